//! What can go wrong for an operator, and the exit code that says so to programs.

use pomeloreach_core::api::{EditAnswer, ErrorAnswer};
use pomeloreach_core::code::ResultCode;
use pomeloreach_core::config::Refusal;
use pomeloreach_wire::http::HttpError;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// An error for the operator; see `docs/ERRORS.md` for exit codes.
#[derive(Debug, Error)]
pub enum CliError {
    #[error("Cannot read {path}: {source}.", path = path.display())]
    ReadFile { path: PathBuf, source: std::io::Error },
    #[error("Cannot write the answer: {0}.")]
    WriteOutput(std::io::Error),
    #[error("{path} is not a valid table file: {reason}", path = path.display())]
    BadFile { path: PathBuf, reason: String },
    #[error("The tables are refused: {0}.")]
    BadTables(Refusal),
    #[error("The daemon at {addr} cannot be asked: {source}.")]
    RequestFailed { addr: SocketAddr, source: HttpError },
    #[error("The daemon at {addr} gave an answer that cannot be read: {reason}.")]
    BadResponse { addr: SocketAddr, reason: String },
    #[error("The daemon refused: {reason} ({number} {code}).", reason = .0.reason, number = .0.number, code = .0.code)]
    Refused(ErrorAnswer),
    #[error("The edit is not in force: {reason} ({number} {code}).", reason = .0.reason, number = .0.number, code = .0.code)]
    EditNotAccepted(EditAnswer),
    #[error(
        "It is not known whether the edit is in force: {reason}. Ask again with --edit-id {edit_id}."
    )]
    EditOutcomeUnknown { reason: String, edit_id: String },
    #[error("There is no row '{0}'.")]
    RowNotFound(String),
    #[error("No line of these logs names the request '{0}'.")]
    RequestNotFound(String),
    #[error("{0}")]
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
