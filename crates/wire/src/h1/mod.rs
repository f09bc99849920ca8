//! HTTP/1.1 with persistent connections, on the parser of `httparse` and the types of `http`.
//!
//! `docs/HTTP.md` lists what `async-h1` and `hyper` cannot do here: `async-h1` passes a truncated
//! body on as if it were complete; `hyper` handles pipelined requests one after the other, and
//! closes a connection on which a mismatched response precedes the expected one.

pub mod client;
mod reader;
pub mod server;

pub use reader::MessageError;

use http::HeaderMap;
use http::header::CONNECTION;

/// Headers that apply to one connection only. `content-length` and `expect` are included because
/// the client and the server of this module set the length and handle `expect` themselves.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
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
