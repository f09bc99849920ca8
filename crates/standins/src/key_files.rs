//! Creates TLS files for tests: a certificate authority, and one certificate that all daemons share.

use rcgen::{BasicConstraints, CertificateParams, DnType, IsCa, Issuer, KeyPair};
use std::path::Path;

/// The DNS name in the daemon certificate.
const DAEMON_NAME: &str = "daemon.pomeloreach";

/// Creates a new authority and a daemon key that it signs, and writes them to `folder` as `ca.pem`,
/// `cert.pem` and `key.pem`.
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
