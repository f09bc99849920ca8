//! How the server handles the requests of clients, over real connections.

use async_executor::LocalExecutor;
use async_net::{TcpListener, TcpStream};
use bytes::Bytes;
use futures_lite::future::block_on;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use http::{Request, Response};
use pomeloreach_wire::clock::{sleep_ms, within_ms};
use pomeloreach_wire::h1::server::{ServerLimits, Service, serve};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

/// Responds to each request with its method, path and body, after as many milliseconds as the last
/// segment of the path says.
#[derive(Clone, Default)]
struct Echo {
    /// The paths of the requests that started.
    started: Rc<RefCell<Vec<String>>>,
    /// The number of requests that were handled to the end.
    finished: Rc<Cell<u32>>,
    draining: Rc<Cell<bool>>,
}

impl Service for Echo {
    type ResponseFuture = Pin<Box<dyn Future<Output = Response<Bytes>>>>;

    fn respond(&self, request: Request<Bytes>) -> Self::ResponseFuture {
        let path = request.uri().path().to_string();
        self.started.borrow_mut().push(path.clone());
        let finished = self.finished.clone();
        Box::pin(async move {
            let wait_ms = path.rsplit('/').next().and_then(|ms| ms.parse().ok()).unwrap_or(0);
            sleep_ms(wait_ms).await;
            finished.set(finished.get() + 1);
            let body = String::from_utf8_lossy(request.body()).to_string();
            Response::new(Bytes::from(format!("{} {path} {body}", request.method())))
        })
    }

    fn limits(&self) -> ServerLimits {
        ServerLimits {
            header_bytes_max: 1_024,
            body_bytes_max: 64,
            header_timeout_ms: 200,
            idle_timeout_ms: 400,
        }
    }

    fn is_draining(&self) -> bool {
        self.draining.get()
    }
}

/// Sends bytes to a server and returns everything that it sends until the connection closes.
fn send_and_read(service: &Echo, sent: &[u8]) -> String {
    with_server(service, async |mut stream| {
        stream.write_all(sent).await.unwrap();
        read_all(&mut stream).await
    })
}

/// Connects to a server, runs `client` with the connection, and waits for the server to finish.
fn with_server<T>(service: &Echo, client: impl AsyncFnOnce(TcpStream) -> T) -> T {
    let executor = Rc::new(LocalExecutor::new());
    block_on(executor.clone().run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let (service, serving) = (service.clone(), executor.clone());
        let server = executor.spawn(async move {
            let (stream, _) = listener.accept().await.unwrap();
            serve(&serving, stream, &service).await;
        });
        let result = client(TcpStream::connect(addr).await.unwrap()).await;
        within_ms(1_000, server).await.expect("the server must finish when its connection closes");
        result
    }))
}

async fn read_all(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    // A reset is accepted as the end of the connection, as a close is.
    stream.read_to_end(&mut bytes).await.ok();
    String::from_utf8(bytes).unwrap()
}

#[yare::parameterized(
    length = { "POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\nconnection: close\r\n\r\nabc", "POST /a abc" },
    chunks = { "POST /a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\nconnection: close\r\n\r\n2\r\nab\r\n1;x=y\r\nc\r\n0\r\nt: v\r\n\r\n", "POST /a abc" },
    query = { "GET /a/b%20c?x=1 HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n", "GET /a/b%20c " },
    old_version = { "GET /a HTTP/1.0\r\n\r\n", "GET /a " },
)]
fn complete_requests(sent: &str, body: &str) {
    let response = send_and_read(&Echo::default(), sent.as_bytes());
    assert!(response.starts_with("HTTP/1.1 200 OK\r\n"), "{response}");
    assert!(response.contains("connection: close\r\n"), "{response}");
    assert!(response.ends_with(&format!("\r\n\r\n{body}")), "{response}");
}

#[yare::parameterized(
    two_lengths = { "POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd", 400 },
    length_and_chunks = { "POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n", 400 },
    signed_length = { "POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: +3\r\n\r\nabc", 400 },
    other_encoding = { "POST /a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400 },
    bad_chunk_size = { "POST /a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n", 400 },
    long_chunk = { "POST /a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n2\r\nabcd\r\n0\r\n\r\n", 400 },
    trailer_with_bare_line_feeds = { "POST /a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n0\r\nt: v\n\nGET /b HTTP/1.1\r\nhost: h\r\n\r\n", 400 },
    space_before_colon = { "GET /a HTTP/1.1\r\nhost : h\r\n\r\n", 400 },
    not_http = { "\x16\x03\x01\x02\x00\x01\r\n\r\n", 400 },
    large_body = { "POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 65\r\n\r\n", 413 },
    slow_head = { "GET /a HTTP/1.1\r\nhost", 408 },
)]
fn refused_requests(sent: &str, status: u16) {
    let service = Echo::default();
    let response = send_and_read(&service, sent.as_bytes());
    assert!(response.starts_with(&format!("HTTP/1.1 {status} ")), "{response}");
    assert!(service.started.borrow().is_empty(), "a refused request must not reach the service");
}

/// A head that arrives byte by byte is refused once the time for the whole head has passed.
#[test]
fn dripping_head() {
    let service = Echo::default();
    let started = std::time::Instant::now();
    let response = with_server(&service, async |mut stream| {
        let writer = stream.clone();
        let dripping = async {
            let mut writer = writer;
            let mut sent = writer.write_all(b"GET /a HTTP/1.1\r\nx: ").await;
            while sent.is_ok() {
                sleep_ms(20).await;
                sent = writer.write_all(b"y").await;
            }
            std::future::pending().await
        };
        futures_lite::future::or(read_all(&mut stream), dripping).await
    });
    assert!(response.starts_with("HTTP/1.1 408 "), "{response}");
    assert!(started.elapsed().as_millis() < 400, "{:?}", started.elapsed());
}

#[test]
fn large_head() {
    let sent = format!("GET /a HTTP/1.1\r\nhost: h\r\nx: {}\r\n\r\n", "y".repeat(2_000));
    let response = send_and_read(&Echo::default(), sent.as_bytes());
    assert!(response.starts_with("HTTP/1.1 431 "), "{response}");
}

/// Pipelined requests are handled concurrently, and their responses are sent in order.
#[test]
fn pipelined_requests() {
    let service = Echo::default();
    let started = std::time::Instant::now();
    let responses = send_and_read(
        &service,
        b"GET /a/150 HTTP/1.1\r\nhost: h\r\n\r\nGET /b/100 HTTP/1.1\r\nhost: h\r\n\r\n\
          GET /c/0 HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n",
    );
    let offsets: Vec<usize> =
        ["/a/150", "/b/100", "/c/0"].iter().map(|path| responses.find(path).unwrap()).collect();
    assert!(offsets.is_sorted(), "{responses}");
    assert!(started.elapsed().as_millis() < 240, "sequential handling would take 250 ms");
}

/// A POST does not start if the response before it closes the connection: its client would not
/// receive a response and may not repeat the request.
#[test]
fn post_after_close() {
    let service = Echo::default();
    service.draining.set(true);
    let responses = send_and_read(
        &service,
        b"GET /a/50 HTTP/1.1\r\nhost: h\r\n\r\n\
          POST /b/0 HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\n\r\n",
    );
    assert!(responses.contains("/a/50"), "{responses}");
    assert_eq!(*service.started.borrow(), ["/a/50"], "the first response closed the connection");
}

/// Bytes that arrive while a POST waits for earlier responses are not lost.
#[test]
fn pipelined_post() {
    let responses = with_server(&Echo::default(), async |mut stream| {
        let pipelined = b"GET /a/60 HTTP/1.1\r\nhost: h\r\n\r\n\
                          POST /b/0 HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\nxy";
        stream.write_all(pipelined).await.unwrap();
        sleep_ms(120).await;
        let last = b"GET /c/0 HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
        stream.write_all(last).await.unwrap();
        read_all(&mut stream).await
    });
    for response in ["GET /a/60 ", "POST /b/0 xy", "GET /c/0 "] {
        assert!(responses.contains(response), "{responses}");
    }
}

/// Pipelined requests are cancelled when the client closes the connection.
#[test]
fn disconnect_cancels_requests() {
    let service = Echo::default();
    with_server(&service, async |mut stream| {
        let pipelined = "GET /a/300 HTTP/1.1\r\nhost: h\r\n\r\n".repeat(3);
        stream.write_all(pipelined.as_bytes()).await.unwrap();
        sleep_ms(50).await;
    });
    assert_eq!(service.started.borrow().len(), 3);
    assert_eq!(service.finished.get(), 0);
}

#[test]
fn idle_timeout() {
    let responses = send_and_read(&Echo::default(), b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n");
    assert!(responses.ends_with("GET /a "), "{responses}");
}

/// An idle connection stays open while the service drains, until its next response: a request that
/// is already on its way must not be lost.
#[test]
fn request_while_draining() {
    let service = Echo::default();
    service.draining.set(true);
    let response = send_and_read(&service, b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n");
    assert!(response.contains("connection: close") && response.ends_with("GET /a "), "{response}");
}

#[test]
fn truncated_body() {
    let service = Echo::default();
    let response = with_server(&service, async |mut stream| {
        let sent = b"POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 9\r\n\r\nabc";
        stream.write_all(sent).await.unwrap();
        stream.shutdown(std::net::Shutdown::Write).unwrap();
        read_all(&mut stream).await
    });
    assert_eq!(response, "");
    assert!(service.started.borrow().is_empty());
}
