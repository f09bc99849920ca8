//! An HTTP client for the operator port of a daemon.

use crate::error::CliError;
use async_io::block_on;
use http_types::Method;
use pomeloreach_core::api::{AnnouncementResponse, EditResponse, ErrorResponse, StatusResponse};
use pomeloreach_core::code::ResultCode;
use pomeloreach_core::config::Config;
use pomeloreach_core::edit::{Change, EditRequest};
use pomeloreach_wire::http::{self, FullResponse, HttpError};
use rand_core::{OsRng, TryRngCore};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::net::SocketAddr;

/// How long the client waits for a response, in milliseconds.
const TIMEOUT_MS: u64 = 20_000;
/// The largest response body that is read, in bytes.
const RESPONSE_BYTES_MAX: usize = 64 * 1024 * 1024;

/// Sends requests to the daemon whose operator port is `addr`.
#[derive(Clone, Copy, Debug)]
pub struct Client {
    pub addr: SocketAddr,
}

impl Client {
    pub fn config(&self) -> Result<Config, CliError> {
        self.get("/config")
    }

    pub fn status(&self) -> Result<StatusResponse, CliError> {
        self.get("/status")
    }

    pub fn dump(&self) -> Result<Value, CliError> {
        self.get("/dump")
    }

    /// The daemon's metrics as text.
    pub fn metrics(&self) -> Result<String, CliError> {
        let response = self.send(Method::Get, "/metrics", Vec::new())?;
        if response.status != 200 {
            return Err(self.error_from(&response));
        }
        String::from_utf8(response.body)
            .map_err(|error| CliError::BadResponse { addr: self.addr, reason: error.to_string() })
    }

    pub fn drain(&self) -> Result<AnnouncementResponse, CliError> {
        self.decode(self.send(Method::Post, "/drain", Vec::new())?)
    }

    /// Publishes changes as one edit and returns the response if they are in force.
    ///
    /// If the outcome is unknown, the error holds the edit id. A repeated request with that id
    /// applies the edit at most once.
    pub fn edit(
        &self,
        changes: Vec<Change>,
        edit_id: Option<String>,
    ) -> Result<EditResponse, CliError> {
        let asked_before = edit_id.is_some();
        let edit_id = edit_id.unwrap_or_else(new_edit_id);
        let request = EditRequest {
            edit_id: edit_id.as_str().into(),
            author: author().into(),
            changes,
            asked_before,
        };
        let body = serde_json::to_vec(&request).expect("an edit can always be encoded as JSON");
        let unknown =
            |reason: String| CliError::EditOutcomeUnknown { reason, edit_id: edit_id.clone() };
        let response = match self.call_daemon(Method::Post, "/edits", body) {
            Ok(response) => response,
            Err(source @ HttpError::Connect(_)) => {
                return Err(CliError::RequestFailed { addr: self.addr, source });
            }
            Err(error) => return Err(unknown(error.to_string())),
        };
        let Ok(edit_response) = response.json::<EditResponse>() else {
            return Err(self.error_from(&response));
        };
        match edit_response.code {
            ResultCode::EditAccepted | ResultCode::EditUnchanged => Ok(edit_response),
            ResultCode::EditUnknown | ResultCode::TimedOut => Err(unknown(edit_response.reason)),
            _ => Err(CliError::EditNotAccepted(edit_response)),
        }
    }

    fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CliError> {
        self.decode(self.send(Method::Get, path, Vec::new())?)
    }

    /// Sends a request; a failure becomes [`CliError::RequestFailed`].
    fn send(&self, method: Method, path: &str, body: Vec<u8>) -> Result<FullResponse, CliError> {
        self.call_daemon(method, path, body)
            .map_err(|source| CliError::RequestFailed { addr: self.addr, source })
    }

    /// Sends a request and reads the complete response.
    fn call_daemon(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<FullResponse, HttpError> {
        let request = http::new_request(method, self.addr, path)?;
        block_on(http::call(self.addr, request, body, RESPONSE_BYTES_MAX, TIMEOUT_MS))
    }

    /// Decodes the JSON body of a response with status 200.
    fn decode<T: DeserializeOwned>(&self, response: FullResponse) -> Result<T, CliError> {
        if response.status != 200 {
            return Err(self.error_from(&response));
        }
        response
            .json()
            .map_err(|error| CliError::BadResponse { addr: self.addr, reason: error.to_string() })
    }

    /// The error that an unsuccessful response describes; `BadResponse` if the body is not an error.
    fn error_from(&self, response: &FullResponse) -> CliError {
        match response.json::<ErrorResponse>() {
            Ok(error) => CliError::Refused(error),
            Err(error) => CliError::BadResponse { addr: self.addr, reason: error.to_string() },
        }
    }
}

fn new_edit_id() -> String {
    let random = OsRng.try_next_u64().expect("the operating system provides random numbers");
    format!("edit-{random:016x}")
}

/// The name of the user who runs the command, which is recorded as the author of an edit.
fn author() -> String {
    std::env::var("USER").ok().filter(|user| !user.is_empty()).unwrap_or_else(|| "unknown".into())
}
