//! Makes a set of test keys: a certificate authority and one daemon certificate.

use rcgen::{BasicConstraints, CertificateParams, DnType, IsCa, Issuer, KeyPair};
use std::path::Path;

/// The name in every daemon's certificate.
const DAEMON_NAME: &str = "daemon.pomeloreach";

/// Writes `ca.pem`, `cert.pem` and `key.pem` to a folder.
pub fn write(folder: &Path) -> Result<(), Box<dyn std::error::Error>> {
    std::fs::create_dir_all(folder)?;
    let mut ca_params = CertificateParams::new(Vec::new())?;
    ca_params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    ca_params.distinguished_name.push(DnType::CommonName, "pomeloreach test fleet");
    let ca_key = KeyPair::generate()?;
    let ca = ca_params.self_signed(&ca_key)?;
    let issuer = Issuer::new(ca_params, ca_key);
    let key = KeyPair::generate()?;
    let params = CertificateParams::new(vec![DAEMON_NAME.to_string()])?;
    let certificate = params.signed_by(&key, &issuer)?;
    std::fs::write(folder.join("ca.pem"), ca.pem())?;
    std::fs::write(folder.join("cert.pem"), certificate.pem())?;
    std::fs::write(folder.join("key.pem"), key.serialize_pem())?;
    Ok(())
}
