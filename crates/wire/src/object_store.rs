//! The platform's object API over HTTP, see `docs/PLATFORM.md`.

use crate::http::{FullResponse, HttpError, call, new_request};
use http_types::Method;
use pomeloreach_core::store::{StoreFailure, StoreOp, StoreReply, StoredObject};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// The header that carries the version of an object, and the condition of a write.
pub const OBJECT_VERSION_HEADER: &str = "x-object-version";
/// The largest answer of the store that is read, in bytes.
const ANSWER_BYTES_MAX: usize = 96 * 1024 * 1024;
/// How long a call may take, in milliseconds; a watch may also wait.
const CALL_TIMEOUT_MS: u64 = 2_000;

/// The answer to a list or a watch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectList {
    pub objects: Vec<StoredObject>,
    /// The revision of the store that the list shows.
    pub revision: u64,
}

/// The answer to a write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteResponse {
    pub object_version: u64,
}

/// Carries out one call to the store.
pub async fn call_store(addr: SocketAddr, op: &StoreOp) -> Result<StoreReply, StoreFailure> {
    let answer = send(addr, op).await.map_err(|e| StoreFailure { reason: e.to_string() })?;
    parse(op, &answer).ok_or_else(|| StoreFailure {
        reason: format!("the answer has status {} and cannot be used", answer.status),
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
    call(addr, http_request, body, ANSWER_BYTES_MAX, CALL_TIMEOUT_MS + wait_ms).await
}

fn object_path(key: &str) -> String {
    format!("/objects/{key}")
}

fn parse(op: &StoreOp, answer: &FullResponse) -> Option<StoreReply> {
    match (op, answer.status) {
        (StoreOp::Get { key }, 200) => {
            let object_version = answer.header(OBJECT_VERSION_HEADER)?.parse().ok()?;
            let value = std::str::from_utf8(&answer.body).ok()?.into();
            Some(StoreReply::Object(StoredObject { key: key.clone(), object_version, value }))
        }
        (StoreOp::Get { .. } | StoreOp::Delete { .. }, 404) => Some(StoreReply::Absent),
        (StoreOp::Put { .. } | StoreOp::Delete { .. }, 200) => {
            let written: WriteResponse = answer.json().ok()?;
            Some(StoreReply::Written { object_version: written.object_version })
        }
        (StoreOp::Put { .. }, 409) => Some(StoreReply::Conflict),
        (StoreOp::List { .. }, 200) => {
            let list: ObjectList = answer.json().ok()?;
            Some(StoreReply::Listed { objects: list.objects, revision: list.revision })
        }
        (StoreOp::Watch { .. }, 200) => {
            let list: ObjectList = answer.json().ok()?;
            Some(StoreReply::Changed { objects: list.objects, revision: list.revision })
        }
        _ => None,
    }
}
