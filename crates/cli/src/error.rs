//! The errors of `pomeloreach` and their exit codes.

use pomeloreach_core::api::{EditResponse, ErrorResponse};
use pomeloreach_core::code::ResultCode;
use pomeloreach_core::config::Refusal;
use pomeloreach_wire::http::HttpError;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// An error shown to the operator; see `docs/ERRORS.md` for exit codes.
#[derive(Debug, Error)]
pub enum CliError {
    #[error("Cannot read {path}: {source}.", path = path.display())]
    ReadFile { path: PathBuf, source: std::io::Error },
    #[error("Cannot write to standard output: {0}.")]
    WriteOutput(std::io::Error),
    #[error("{path} is not a valid table or row file: {reason}", path = path.display())]
    BadFile { path: PathBuf, reason: String },
    #[error("The tables in the files are not valid: {0}.")]
    BadTables(Refusal),
    #[error("The request to the daemon at {addr} failed: {source}.")]
    RequestFailed { addr: SocketAddr, source: HttpError },
    #[error("The response from the daemon at {addr} cannot be decoded: {reason}.")]
    BadResponse { addr: SocketAddr, reason: String },
    #[error("The daemon refused the request: {reason} ({number} {code}).", reason = .0.reason, number = .0.number, code = .0.code)]
    Refused(ErrorResponse),
    #[error("The edit is not in force: {reason} ({number} {code}).", reason = .0.reason, number = .0.number, code = .0.code)]
    EditNotAccepted(EditResponse),
    #[error(
        "It is not known whether the edit is in force: {reason}. Repeat the command with --edit-id {edit_id}."
    )]
    EditOutcomeUnknown { reason: String, edit_id: String },
    #[error("The table has no row '{0}'.")]
    RowNotFound(String),
    #[error("The log files have no line about the request '{0}'.")]
    RequestNotFound(String),
    /// The state that `drain` or `status --wait` waits for was not reached in time. Holds what was
    /// missing.
    #[error("Timed out: {0}")]
    WaitTimedOut(String),
}

impl CliError {
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::ReadFile { .. } | Self::BadFile { .. } | Self::BadTables(_) => 2,
            Self::RowNotFound(_) | Self::RequestNotFound(_) => 2,
            Self::EditNotAccepted(response) if response.code == ResultCode::EditConflict => 4,
            Self::EditNotAccepted(response) if response.code == ResultCode::StoreAway => 1,
            Self::Refused(_) | Self::EditNotAccepted(_) => 3,
            Self::EditOutcomeUnknown { .. } => 5,
            Self::WaitTimedOut(_) => 6,
            Self::WriteOutput(_) | Self::RequestFailed { .. } | Self::BadResponse { .. } => 1,
        }
    }
}
