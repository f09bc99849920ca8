//! HTTP/1.1 with persistent connections, on the parser of `httparse` and the types of `http`.
//!
//! `docs/HTTP.md` lists what `async-h1` and `hyper` cannot do here: `async-h1` passes a truncated
//! body on as if it were complete; `hyper` handles pipelined requests one after the other, and
//! closes a connection on which a mismatched response precedes the expected one.

mod activity;
mod body;
pub mod client;
mod ending;
mod reader;
mod responses;
pub mod server;
mod service;

pub use activity::ConnectionActivity;
pub use reader::MessageError;

use bytes::Bytes;
use http::HeaderMap;
use http::header::CONNECTION;

/// Headers that apply to one connection only. `content-length` and `expect` are included because
/// the client and the server of this module set the length and handle `expect` themselves.
const HOP_BY_HOP: [&str; 11] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Whether a header applies to one connection only and must not be forwarded.
pub fn is_hop_by_hop(name: &str, headers: &HeaderMap) -> bool {
    HOP_BY_HOP.contains(&name) || connection_lists(headers, name)
}

/// Whether the `Connection` header lists `wanted`, which is an option or the name of a header.
fn connection_lists(headers: &HeaderMap, wanted: &str) -> bool {
    let values = headers.get_all(CONNECTION).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .any(|value| value.split(',').any(|listed| listed.trim().eq_ignore_ascii_case(wanted)))
}

/// Appends the header lines of a message to `bytes`.
fn encode_headers(headers: &HeaderMap, bytes: &mut Vec<u8>) {
    for (name, value) in headers {
        bytes.extend_from_slice(name.as_str().as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value.as_bytes());
        bytes.extend_from_slice(b"\r\n");
    }
}

/// Bodies up to this size are copied behind the head of their message, so that both are sent in one
/// packet. Larger ones are sent from where they are.
const JOINED_BODY_BYTES_MAX: usize = 16 * 1024;

/// A message that is ready to be sent: its head, with a small body, and a large body.
struct EncodedMessage {
    head: Vec<u8>,
    body: Bytes,
}

impl EncodedMessage {
    fn new(mut head: Vec<u8>, body: Bytes) -> Self {
        if body.len() > JOINED_BODY_BYTES_MAX {
            return Self { head, body };
        }
        head.extend_from_slice(&body);
        Self { head, body: Bytes::new() }
    }

    /// The parts to send, in order.
    fn parts(&self) -> [&[u8]; 2] {
        [&self.head, &self.body]
    }
}
