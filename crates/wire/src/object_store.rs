//! The client of the object store's HTTP API, see `docs/PLATFORM.md`.

use crate::http::{FullResponse, HttpError, call, new_request};
use http_types::Method;
use pomeloreach_core::store::{StoreFailure, StoreOp, StoreReply, StoredObject};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// The header with an object's version: in a write request, the version that the write expects.
pub const OBJECT_VERSION_HEADER: &str = "x-object-version";
/// The largest response body that is read.
const RESPONSE_BYTES_MAX: usize = 96 * 1024 * 1024;
/// The timeout of a call, in milliseconds; a watch adds the time for which the store may wait.
const CALL_TIMEOUT_MS: u64 = 2_000;

/// The response to a list or a watch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectList {
    pub objects: Vec<StoredObject>,
    /// The store revision at which the list was read.
    pub revision: u64,
}

/// The response to a write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteResponse {
    pub object_version: u64,
}

/// Executes one operation on the store.
pub async fn call_store(addr: SocketAddr, op: &StoreOp) -> Result<StoreReply, StoreFailure> {
    let response = send(addr, op).await.map_err(|e| StoreFailure { reason: e.to_string() })?;
    parse(op, &response).ok_or_else(|| StoreFailure {
        reason: format!("unusable response with status {}", response.status),
    })
}

async fn send(addr: SocketAddr, op: &StoreOp) -> Result<FullResponse, HttpError> {
    let (method, path, body, condition, wait_ms) = match op {
        StoreOp::Get { key } => (Method::Get, object_path(key), None, None, 0),
        StoreOp::Put { key, value, expected_version } => {
            (Method::Put, object_path(key), Some(value.clone()), Some(*expected_version), 0)
        }
        StoreOp::Delete { key } => (Method::Delete, object_path(key), None, None, 0),
        StoreOp::List { prefix, start_after, limit } => {
            let after = start_after.as_deref().unwrap_or("");
            let path = format!("/objects?prefix={prefix}&start_after={after}&limit={limit}");
            (Method::Get, path, None, None, 0)
        }
        StoreOp::Watch { prefix, after_revision, wait_ms } => {
            let path =
                format!("/watch?prefix={prefix}&after_revision={after_revision}&wait_ms={wait_ms}");
            (Method::Get, path, None, None, u64::from(*wait_ms))
        }
    };
    let mut http_request = new_request(method, addr, &path)?;
    if let Some(version) = condition {
        http_request.insert_header(OBJECT_VERSION_HEADER, version.to_string());
    }
    let body = body.map_or(Vec::new(), |value: Arc<str>| value.as_bytes().to_vec());
    call(addr, http_request, body, RESPONSE_BYTES_MAX, CALL_TIMEOUT_MS + wait_ms).await
}

fn object_path(key: &str) -> String {
    format!("/objects/{key}")
}

/// Decodes the response to an operation. Returns `None` if it cannot be decoded or is not one that
/// the API defines.
fn parse(op: &StoreOp, response: &FullResponse) -> Option<StoreReply> {
    match (op, response.status) {
        (StoreOp::Get { key }, 200) => {
            let object_version = response.header(OBJECT_VERSION_HEADER)?.parse().ok()?;
            let value = std::str::from_utf8(&response.body).ok()?.into();
            Some(StoreReply::Object(StoredObject { key: key.clone(), object_version, value }))
        }
        (StoreOp::Get { .. } | StoreOp::Delete { .. }, 404) => Some(StoreReply::Absent),
        (StoreOp::Put { .. } | StoreOp::Delete { .. }, 200) => {
            let write: WriteResponse = response.json().ok()?;
            Some(StoreReply::Written { object_version: write.object_version })
        }
        (StoreOp::Put { .. }, 409) => Some(StoreReply::Conflict),
        (StoreOp::List { .. }, 200) => {
            let list: ObjectList = response.json().ok()?;
            Some(StoreReply::Listed { objects: list.objects, revision: list.revision })
        }
        (StoreOp::Watch { .. }, 200) => {
            let list: ObjectList = response.json().ok()?;
            Some(StoreReply::Changed { objects: list.objects, revision: list.revision })
        }
        _ => None,
    }
}
