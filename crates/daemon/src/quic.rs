//! QUIC between daemons, with mutual TLS: both sides present a certificate that the fleet's CA
//! signed.

use crate::error::DaemonError;
use crate::settings::Tls;
use async_executor::Executor;
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{AsyncTimer, AsyncUdpSocket, ClientConfig, Endpoint, EndpointConfig, Runtime};
use quinn::{ServerConfig, SmolRuntime, TransportConfig};
use rustls::RootCertStore;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use std::future::Future;
use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::pin::Pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The DNS name in the certificate of every daemon.
pub const CERTIFICATE_NAME: &str = "daemon.pomeloreach";
/// The ALPN name of the protocol between daemons.
const ALPN: &[u8] = b"pomeloreach/1";
/// Time without traffic after which a connection is closed, in milliseconds.
const IDLE_TIMEOUT_MS: u64 = 15_000;
/// Number of streams that one daemon may have open on a connection.
const STREAMS_MAX: u32 = 1_024;

/// Runs the tasks of the QUIC library on the executor of the daemon.
#[derive(Debug)]
struct ExecutorRuntime {
    executor: Arc<Executor<'static>>,
}

impl Runtime for ExecutorRuntime {
    fn new_timer(&self, at: Instant) -> Pin<Box<dyn AsyncTimer>> {
        SmolRuntime.new_timer(at)
    }

    fn spawn(&self, future: Pin<Box<dyn Future<Output = ()> + Send>>) {
        self.executor.spawn(future).detach();
    }

    fn wrap_udp_socket(&self, socket: UdpSocket) -> std::io::Result<Arc<dyn AsyncUdpSocket>> {
        SmolRuntime.wrap_udp_socket(socket)
    }
}

/// The CA certificates, and the certificate chain and the private key of this daemon.
struct Credentials {
    roots: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
}

/// Checks that the files named in the TLS settings are usable, by building the server and the client
/// configuration from them.
pub fn check_credentials(tls: &Tls) -> Result<(), DaemonError> {
    server_config(read_credentials(tls)?, tls)?;
    client_config(read_credentials(tls)?, tls)?;
    Ok(())
}

/// Binds the UDP socket for all calls and control links, in both directions.
pub fn bind(
    addr: SocketAddr,
    tls: &Tls,
    executor: &Arc<Executor<'static>>,
) -> Result<Endpoint, DaemonError> {
    let socket = UdpSocket::bind(addr).map_err(|source| DaemonError::Listen { addr, source })?;
    let server = server_config(read_credentials(tls)?, tls)?;
    let runtime = Arc::new(ExecutorRuntime { executor: executor.clone() });
    let mut endpoint = Endpoint::new(EndpointConfig::default(), Some(server), socket, runtime)
        .map_err(|source| DaemonError::Listen { addr, source })?;
    endpoint.set_default_client_config(client_config(read_credentials(tls)?, tls)?);
    Ok(endpoint)
}

fn read_credentials(tls: &Tls) -> Result<Credentials, DaemonError> {
    let mut roots = RootCertStore::empty();
    for certificate in read_certificates(&tls.ca_path)? {
        roots.add(certificate).map_err(|error| credentials_error(&tls.ca_path, &error))?;
    }
    let chain = read_certificates(&tls.cert_path)?;
    let key = PrivateKeyDer::from_pem_file(&tls.key_path)
        .map_err(|error| credentials_error(&tls.key_path, &error))?;
    Ok(Credentials { roots: Arc::new(roots), chain, key })
}

fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, DaemonError> {
    let certificates: Vec<_> = CertificateDer::pem_file_iter(path)
        .and_then(Iterator::collect)
        .map_err(|error| credentials_error(path, &error))?;
    if certificates.is_empty() {
        return Err(credentials_error(path, &"the file contains no certificate"));
    }
    Ok(certificates)
}

fn credentials_error(path: &Path, reason: &dyn std::fmt::Display) -> DaemonError {
    DaemonError::Keys { path: path.to_path_buf(), reason: reason.to_string() }
}

fn crypto_provider() -> Arc<rustls::crypto::CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

fn server_config(credentials: Credentials, tls: &Tls) -> Result<ServerConfig, DaemonError> {
    let cert_error = |error: &dyn std::fmt::Display| credentials_error(&tls.cert_path, error);
    let verifier =
        WebPkiClientVerifier::builder_with_provider(credentials.roots, crypto_provider())
            .build()
            .map_err(|error| credentials_error(&tls.ca_path, &error))?;
    let mut config = rustls::ServerConfig::builder_with_provider(crypto_provider())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|error| cert_error(&error))?
        .with_client_cert_verifier(verifier)
        .with_single_cert(credentials.chain, credentials.key)
        .map_err(|error| cert_error(&error))?;
    config.alpn_protocols = vec![ALPN.to_vec()];
    // Early data can be replayed, so a request in it could run twice.
    config.max_early_data_size = 0;
    let crypto = QuicServerConfig::try_from(config).map_err(|error| cert_error(&error))?;
    let mut server = ServerConfig::with_crypto(Arc::new(crypto));
    server.transport_config(transport_config());
    Ok(server)
}

fn client_config(credentials: Credentials, tls: &Tls) -> Result<ClientConfig, DaemonError> {
    let cert_error = |error: &dyn std::fmt::Display| credentials_error(&tls.cert_path, error);
    let mut config = rustls::ClientConfig::builder_with_provider(crypto_provider())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|error| cert_error(&error))?
        .with_root_certificates(credentials.roots)
        .with_client_auth_cert(credentials.chain, credentials.key)
        .map_err(|error| cert_error(&error))?;
    config.alpn_protocols = vec![ALPN.to_vec()];
    config.enable_early_data = false;
    let crypto = QuicClientConfig::try_from(config).map_err(|error| cert_error(&error))?;
    let mut client = ClientConfig::new(Arc::new(crypto));
    client.transport_config(transport_config());
    Ok(client)
}

fn transport_config() -> Arc<TransportConfig> {
    let mut transport = TransportConfig::default();
    let idle_timeout =
        Duration::from_millis(IDLE_TIMEOUT_MS).try_into().expect("the idle timeout is in range");
    transport.max_idle_timeout(Some(idle_timeout));
    transport.max_concurrent_bidi_streams(STREAMS_MAX.into());
    transport.max_concurrent_uni_streams(0u32.into());
    Arc::new(transport)
}
