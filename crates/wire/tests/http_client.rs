//! What targets may answer, and what is made of it, over real connections.

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

/// An answer is stray if it bears the id of another request.
fn is_mismatched(path: &'static str) -> impl Fn(&HeaderMap) -> bool {
    move |headers| headers.get("id").is_some_and(|id| id != path)
}

/// Makes exchanges with a target that answers the n-th request with the n-th text.
fn exchanges(
    answers: &[&str],
    paths: &[&'static str],
) -> (Vec<Result<Response<Bytes>, ExchangeError>>, bool) {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let server = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            for answer in answers {
                read_request(&mut stream).await;
                stream.write_all(answer.as_bytes()).await.unwrap();
            }
            stream.flush().await.unwrap();
            // An answer without a length ends here.
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
    until_end = { "HTTP/1.1 200 OK\r\n\r\nabc", true },
    close = { "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 3\r\n\r\nabc", true },
    interim = { "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc", false },
    extra_bytes = { "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabcHTTP/1.1 200 OK\r\n", true },
)]
fn whole_answers(answer: &str, is_done: bool) {
    let (mut results, done) = exchanges(&[answer], &["/a"]);
    let response = results.pop().unwrap().unwrap();
    assert_eq!((response.status().as_u16(), response.body().as_ref()), (200, &b"abc"[..]));
    assert_eq!(done, is_done);
}

#[yare::parameterized(
    short = { "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nabc" },
    no_last_chunk = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n" },
    head_only = { "HTTP/1.1 200 OK\r\ncont" },
    no_answer = { "" },
    no_http = { "hello\r\n\r\n" },
    too_long = { "HTTP/1.1 200 OK\r\ncontent-length: 101\r\n\r\n" },
    two_lengths = { "HTTP/1.1 200 OK\r\ncontent-length: 3\r\ncontent-length: 2\r\n\r\nabc" },
)]
fn cut_answers_are_no_answers(answer: &str) {
    let (mut results, done) = exchanges(&[answer], &["/a"]);
    let error = results.pop().unwrap().unwrap_err();
    assert!(matches!(error, ExchangeError::NoResponse(_)), "{error}");
    assert!(done, "the connection is not used again");
}

/// A second answer to an earlier request stands before the one that was asked for.
#[test]
fn stray_answers_are_skipped() {
    let first = "HTTP/1.1 200 OK\r\nid: /a\r\ncontent-length: 1\r\n\r\na";
    let stray_first = "HTTP/1.1 200 OK\r\nid: /a\r\ncontent-length: 5\r\n\r\nagain\
                       HTTP/1.1 200 OK\r\nid: /b\r\ncontent-length: 1\r\n\r\nb";
    let (results, _) = exchanges(&[first, stray_first], &["/a", "/b"]);
    let bodies: Vec<Bytes> = results.into_iter().map(|r| r.unwrap().into_body()).collect();
    assert_eq!(bodies, ["a", "b"]);
}

/// A connection that the target has closed, or on which it has sent something, is not used.
#[yare::parameterized(
    closed = { "", false },
    stray_bytes = { "HTTP/1.1 200 OK\r\n", false },
)]
fn idle_connection_is_checked(sent: &str, is_usable: bool) {
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

/// An answer that comes before a long body was sent ends the connection after it.
#[test]
fn early_answer() {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let server = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            read_request(&mut stream).await;
            let answer = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";
            stream.write_all(answer).await.unwrap();
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
fn nobody_listens() {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        drop(listener);
        let error = Connection::open(addr, 1_000).await.unwrap_err();
        assert!(matches!(error, ExchangeError::Connect(_)), "{error}");
    });
}

#[test]
fn errors_tell_what_came() {
    let (mut results, _) = exchanges(&[""], &["/a"]);
    let error = results.pop().unwrap().unwrap_err();
    assert!(matches!(error, ExchangeError::NoResponse(MessageError::Closed)), "{error}");
}
