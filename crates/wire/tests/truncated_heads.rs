//! Servers that close the connection in the middle of a response's head.

use futures_lite::future::block_on;
use http::Request;
use pomeloreach_wire::h1::client::Connection;
use pomeloreach_wire::http::{call, new_request};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};

const TIMEOUT_MS: u64 = 2_000;
const BODY_BYTES_MAX: usize = 1_024;

/// Serves one request on a separate thread: sends `response` and closes the connection.
fn serve(response: &[u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let response = response.to_vec();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 1_024];
        assert!(stream.read(&mut request).unwrap() > 0);
        stream.write_all(&response).unwrap();
    });
    addr
}

/// A head that ends early must not become a response with an empty or shorter body, wherever it is cut.
#[yare::parameterized(
    with_length = { "HTTP/1.1 200 OK\r\ncontent-length: 12\r\nx-signature: abc\r\n\r\n" },
    without_length = { "HTTP/1.1 200 OK\r\nx-signature: abc\r\nconnection: close\r\n\r\n" },
    chunked = { "HTTP/1.1 200 OK\r\nx-signature: abc\r\ntransfer-encoding: chunked\r\n\r\n" },
    interim = { "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n" },
)]
fn cut_head_is_no_response(head: &str) {
    for length in 0..head.len() {
        let sent = &head.as_bytes()[..length];
        let response = block_on(async {
            let mut connection = Connection::open(serve(sent), TIMEOUT_MS).await.unwrap();
            let request = Request::get("/a").body(Default::default()).unwrap();
            connection.exchange(&request, BODY_BYTES_MAX, |_| false).await
        });
        assert!(response.is_err(), "{length}: {response:?}");
        let addr = serve(sent);
        let request = new_request(http_types::Method::Get, addr, "/a").unwrap();
        let response = block_on(call(addr, request, vec![], BODY_BYTES_MAX, TIMEOUT_MS));
        assert!(response.is_err(), "{length}, our own deployment: {response:?}");
    }
}
