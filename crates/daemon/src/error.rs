//! The errors that prevent the daemon from starting.

use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// An error shown to the person who starts the daemon.
#[derive(Debug, Error)]
pub enum DaemonError {
    #[error("Cannot read {path}: {source}.", path = path.display())]
    ReadSettings { path: PathBuf, source: std::io::Error },
    #[error("{path} is not a valid settings file: {reason}", path = path.display())]
    InvalidSettings { path: PathBuf, reason: String },
    #[error("{path} holds no usable key or certificate: {reason}.", path = path.display())]
    Keys { path: PathBuf, reason: String },
    #[error("Cannot listen on {addr}: {source}.")]
    Listen { addr: SocketAddr, source: std::io::Error },
    #[error("The operating system provides no random numbers: {0}.")]
    Random(String),
    #[error("Settings without a section 'mesh' need the section 'tls'.")]
    TlsMissing,
    #[error("Cannot wait for signals: {0}.")]
    Signals(std::io::Error),
}
