//! How the client handles the responses of targets, over real connections.

use async_net::{TcpListener, TcpStream};
use bytes::Bytes;
use futures_lite::future::{block_on, zip};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use http::{HeaderMap, Request, Response};
use pomeloreach_wire::clock::sleep_ms;
use pomeloreach_wire::h1::MessageError;
use pomeloreach_wire::h1::client::{Connection, ExchangeError};

fn request(path: &str) -> Request<Bytes> {
    Request::get(path).header("host", "h").header("id", path).body(Bytes::new()).unwrap()
}

/// A response is mismatched if it carries the id of another request.
fn is_mismatched(path: &'static str) -> impl Fn(&HeaderMap) -> bool {
    move |headers| headers.get("id").is_some_and(|id| id != path)
}

/// Sends requests for `paths` to a target that answers the n-th request with the n-th response.
/// Returns the results, and whether the connection must be closed afterwards.
fn exchange_all(
    responses: &[&str],
    paths: &[&'static str],
) -> (Vec<Result<Response<Bytes>, ExchangeError>>, bool) {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let server = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            for response in responses {
                read_request(&mut stream).await;
                stream.write_all(response.as_bytes()).await.unwrap();
            }
            stream.flush().await.unwrap();
            // A response without a length ends with the connection.
            stream.shutdown(std::net::Shutdown::Write).unwrap();
            sleep_ms(50).await;
        };
        let client = async {
            let mut connection = Connection::open(addr, 1_000).await.unwrap();
            let mut results = Vec::new();
            for path in paths {
                results.push(connection.exchange(&request(path), 100, is_mismatched(path)).await);
            }
            (results, connection.must_close())
        };
        zip(server, client).await.1
    })
}

async fn read_request(stream: &mut TcpStream) {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).await.unwrap_or(0) > 0 {
        head.push(byte[0]);
    }
}

#[yare::parameterized(
    length = { "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc", false },
    chunks = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", false },
    until_close = { "HTTP/1.1 200 OK\r\n\r\nabc", true },
    close = { "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 3\r\n\r\nabc", true },
    interim = { "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc", false },
    extra_bytes = { "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabcHTTP/1.1 200 OK\r\n", true },
)]
fn complete_responses(sent: &str, expected_close: bool) {
    let (mut results, must_close) = exchange_all(&[sent], &["/a"]);
    let response = results.pop().unwrap().unwrap();
    assert_eq!((response.status().as_u16(), response.body().as_ref()), (200, &b"abc"[..]));
    assert_eq!(must_close, expected_close);
}

#[yare::parameterized(
    short = { "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nabc" },
    no_last_chunk = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n" },
    head_only = { "HTTP/1.1 200 OK\r\ncont" },
    no_response = { "" },
    not_http = { "hello\r\n\r\n" },
    too_long = { "HTTP/1.1 200 OK\r\ncontent-length: 101\r\n\r\n" },
    two_lengths = { "HTTP/1.1 200 OK\r\ncontent-length: 3\r\ncontent-length: 2\r\n\r\nabc" },
)]
fn unusable_responses(sent: &str) {
    let (mut results, must_close) = exchange_all(&[sent], &["/a"]);
    let error = results.pop().unwrap().unwrap_err();
    assert!(matches!(error, ExchangeError::NoResponse(_)), "{error}");
    assert!(must_close, "the connection must not be used again");
}

/// The target repeats its response to the first request before it responds to the second one.
#[test]
fn mismatched_response() {
    let first = "HTTP/1.1 200 OK\r\nid: /a\r\ncontent-length: 1\r\n\r\na";
    let repeated_first = "HTTP/1.1 200 OK\r\nid: /a\r\ncontent-length: 5\r\n\r\nagain\
                          HTTP/1.1 200 OK\r\nid: /b\r\ncontent-length: 1\r\n\r\nb";
    let (results, _) = exchange_all(&[first, repeated_first], &["/a", "/b"]);
    let bodies: Vec<Bytes> = results.into_iter().map(|r| r.unwrap().into_body()).collect();
    assert_eq!(bodies, ["a", "b"]);
}

/// A connection is not reused if the target closed it or sent bytes that belong to no request.
#[yare::parameterized(
    closed = { "", false },
    unexpected_bytes = { "HTTP/1.1 200 OK\r\n", false },
)]
fn idle_connection(sent: &str, is_usable: bool) {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let connection = Connection::open(listener.local_addr().unwrap(), 1_000).await.unwrap();
        let (mut stream, _) = listener.accept().await.unwrap();
        assert!(connection.is_usable().await);
        stream.write_all(sent.as_bytes()).await.unwrap();
        drop(stream);
        sleep_ms(20).await;
        assert_eq!(connection.is_usable().await, is_usable);
    });
}

/// The connection must be closed after a response that arrives before the request body is sent.
#[test]
fn early_response() {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let server = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            read_request(&mut stream).await;
            let response = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";
            stream.write_all(response).await.unwrap();
            sleep_ms(100).await;
        };
        let client = async {
            let mut connection = Connection::open(addr, 1_000).await.unwrap();
            let mut request = request("/a");
            *request.method_mut() = http::Method::POST;
            *request.body_mut() = Bytes::from(vec![b'x'; 64 * 1024 * 1024]);
            let response = connection.exchange(&request, 100, |_| false).await.unwrap();
            assert_eq!(response.status().as_u16(), 503);
            assert!(connection.must_close());
        };
        zip(server, client).await;
    });
}

#[test]
fn connection_refused() {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        drop(listener);
        let error = Connection::open(addr, 1_000).await.unwrap_err();
        assert!(matches!(error, ExchangeError::Connect(_)), "{error}");
    });
}

#[test]
fn closed_before_response() {
    let (mut results, _) = exchange_all(&[""], &["/a"]);
    let error = results.pop().unwrap().unwrap_err();
    assert!(matches!(error, ExchangeError::NoResponse(MessageError::Closed)), "{error}");
}

/// A status above 599 was returned as that of a response, and after 101 the bytes that followed were
/// read as the next response, or awaited in vain.
#[yare::parameterized(
    zero = { "000 None" },
    below_informational = { "099 None" },
    switching_protocols = { "101 Switching Protocols" },
    above_server_errors = { "600 None" },
    largest = { "999 None" },
)]
fn status_that_http_does_not_have(status: &str) {
    let response = format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\n\r\n{OK}");
    let (results, must_close) = exchange_all(&[&response], &["/"]);
    let error = results[0].as_ref().unwrap_err();
    assert!(matches!(error, ExchangeError::NoResponse(MessageError::Malformed(_))), "{error}");
    assert!(must_close);
}

const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

/// Every status of HTTP, also one that nobody registered.
#[yare::parameterized(
    unregistered = { "299" },
    unregistered_error = { "599" },
)]
fn status_without_a_meaning(status: &str) {
    let response = format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\n\r\n");
    let (results, _) = exchange_all(&[&response], &["/"]);
    assert_eq!(results[0].as_ref().unwrap().status().as_str(), status);
}
