//! How the server ends connections, over real connections.

use async_executor::LocalExecutor;
use async_net::{TcpListener, TcpStream};
use bytes::Bytes;
use futures_lite::future::block_on;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use http::{HeaderValue, Request, Response};
use pomeloreach_wire::clock::{sleep_ms, within_ms};
use pomeloreach_wire::h1::server::{ServerLimits, Service, serve};
use rustix::net::{self, AddressFamily, SocketType};
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;

const LARGE_BYTES: usize = 128 * 1024;
/// More than the system buffers for a connection.
const HUGE_BYTES: usize = 8 * 1024 * 1024;
/// The receive buffer of a client on a slow path, which the system doubles.
const WINDOW_BYTES: usize = 8 * 1024;
const IDLE_TIMEOUT_MS: u64 = 400;

/// Responds after as many milliseconds as the last segment of the path says. Paths below `/large/`
/// get `LARGE_BYTES`, those below `/huge/` get `HUGE_BYTES`, and the response to one below `/closing/`
/// closes the connection.
#[derive(Clone, Default)]
struct Delayed {
    draining: Rc<Cell<bool>>,
    /// The number of requests that were started.
    started: Rc<Cell<usize>>,
}

impl Service for Delayed {
    type ResponseFuture = Pin<Box<dyn Future<Output = Response<Bytes>>>>;

    fn respond(&self, request: Request<Bytes>) -> Self::ResponseFuture {
        self.started.set(self.started.get() + 1);
        let path = request.uri().path().to_string();
        Box::pin(async move {
            sleep_ms(path.rsplit('/').next().and_then(|ms| ms.parse().ok()).unwrap_or(0)).await;
            let mut response = Response::new(match path.split('/').nth(1) {
                Some("large") => vec![b'x'; LARGE_BYTES].into(),
                Some("huge") => vec![b'x'; HUGE_BYTES].into(),
                _ => path.clone().into(),
            });
            if path.starts_with("/closing/") {
                response.headers_mut().insert("connection", HeaderValue::from_static("close"));
            }
            response
        })
    }

    fn limits(&self) -> ServerLimits {
        ServerLimits {
            header_bytes_max: 1_024,
            body_bytes_max: 64,
            header_timeout_ms: 200,
            idle_timeout_ms: IDLE_TIMEOUT_MS,
        }
    }

    fn is_draining(&self) -> bool {
        self.draining.get()
    }
}

/// Connects to a server, runs `client` with the connection, and waits for the server to finish.
fn with_server<T>(service: &Delayed, client: impl AsyncFnOnce(TcpStream) -> T) -> T {
    let executor = Rc::new(LocalExecutor::new());
    block_on(executor.clone().run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let (service, serving) = (service.clone(), executor.clone());
        let server = executor.spawn(async move {
            let (stream, _) = listener.accept().await.unwrap();
            serve(&serving, stream, &service).await;
        });
        let result = client(connect_with_window(addr)).await;
        within_ms(1_000, server).await.expect("the server must finish when its connection closes");
        result
    }))
}

/// Connects with a small receive buffer, so that the system holds most of a response on the side of
/// the server.
fn connect_with_window(addr: SocketAddr) -> TcpStream {
    let socket = net::socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
    net::sockopt::set_socket_recv_buffer_size(&socket, WINDOW_BYTES).unwrap();
    net::connect(&socket, &addr).unwrap();
    std::net::TcpStream::from(socket).try_into().unwrap()
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: h\r\n\r\n")
}

/// Reads until the server has sent its last byte.
async fn read_all(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.expect("the connection must not be reset");
    String::from_utf8(bytes).unwrap()
}

/// A request that crosses the close must not discard the rest of the last response.
#[test]
fn crossing_request_keeps_response() {
    let service = Delayed::default();
    service.draining.set(true);
    let response = with_server(&service, async |mut stream| {
        stream.write_all(get("/large/0").as_bytes()).await.unwrap();
        let (mut received, mut part) = (Vec::new(), vec![0; WINDOW_BYTES]);
        loop {
            let bytes = stream.read(&mut part).await.expect("the connection must not be reset");
            if bytes == 0 {
                return String::from_utf8(received).unwrap();
            }
            received.extend_from_slice(&part[..bytes]);
            // The server may have closed the connection, which the next read shows.
            stream.write_all(get("/b/0").as_bytes()).await.ok();
            sleep_ms(2).await;
        }
    });
    let (head, body) = response.split_once("\r\n\r\n").unwrap();
    assert!(head.contains("connection: close"), "{head}");
    assert_eq!(body.len(), LARGE_BYTES);
}

/// The number of responses in what a client received.
fn count_responses(received: &str) -> usize {
    received.matches("HTTP/1.1 200 ").count()
}

/// Requests that arrived while the last response was being written ran, and got no response.
#[test]
fn requests_behind_last_response() {
    let service = Delayed::default();
    service.draining.set(true);
    let received = with_server(&service, async |mut stream| {
        stream.write_all(get("/huge/0").as_bytes()).await.unwrap();
        sleep_ms(50).await;
        for _ in 0..8 {
            stream.write_all(get("/b/0").as_bytes()).await.unwrap();
            sleep_ms(5).await;
        }
        read_all(&mut stream).await
    });
    assert_eq!(count_responses(&received), service.started.get());
}

/// Requests behind one that asks for the connection to be closed ran, and got no response.
#[test]
fn requests_behind_close() {
    let service = Delayed::default();
    let received = with_server(&service, async |mut stream| {
        let closing = "GET /a/50 HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
        let requests = format!("{closing}{}{}", get("/b/0"), get("/b/0"));
        stream.write_all(requests.as_bytes()).await.unwrap();
        read_all(&mut stream).await
    });
    assert!(received.contains("/a/50"), "{received}");
    assert_eq!(count_responses(&received), service.started.get());
}

/// Requests that had started before a response closed the connection got no response.
#[test]
fn requests_behind_closing_response() {
    let service = Delayed::default();
    let received = with_server(&service, async |mut stream| {
        let requests = format!("{}{}{}", get("/closing/50"), get("/b/0"), get("/b/100"));
        stream.write_all(requests.as_bytes()).await.unwrap();
        read_all(&mut stream).await
    });
    assert_eq!(count_responses(&received), service.started.get());
    assert!(received.ends_with("/b/100"), "{received}");
}

/// A client that is still sending a refused body must receive the refusal.
#[test]
fn refusal_during_upload() {
    let response = with_server(&Delayed::default(), async |mut stream| {
        let head = "POST /a/0 HTTP/1.1\r\nhost: h\r\ncontent-length: 2097152\r\n\r\n";
        stream.write_all(head.as_bytes()).await.unwrap();
        for _ in 0..32 {
            stream.write_all(&[b'y'; 64 * 1024]).await.expect("the server must go on reading");
            sleep_ms(2).await;
        }
        read_all(&mut stream).await
    });
    assert!(response.starts_with("HTTP/1.1 413 "), "{response}");
}

/// The idle time begins when the response was sent, not when the request was read.
#[test]
fn idle_after_long_request() {
    let responses = with_server(&Delayed::default(), async |mut stream| {
        stream.write_all(get("/a/300").as_bytes()).await.unwrap();
        sleep_ms(300 + IDLE_TIMEOUT_MS * 4 / 5).await;
        stream.write_all(get("/b/0").as_bytes()).await.unwrap();
        read_all(&mut stream).await
    });
    assert!(responses.contains("/a/300") && responses.ends_with("/b/0"), "{responses}");
}

/// A body that never arrives must not cut off the responses to earlier requests.
#[test]
fn stalled_body_after_request() {
    let responses = with_server(&Delayed::default(), async |mut stream| {
        let stalled = "PUT /b/0 HTTP/1.1\r\nhost: h\r\ncontent-length: 5\r\n\r\nxy";
        stream.write_all(format!("{}{stalled}", get("/a/600")).as_bytes()).await.unwrap();
        read_all(&mut stream).await
    });
    let refused_at = responses.find("HTTP/1.1 408 ").expect("the stalled request is refused");
    assert!(responses.find("/a/600").is_some_and(|at| at < refused_at), "{responses}");
}

/// A client that does not close its side does not hold the connection for ever.
#[test]
fn client_that_stays() {
    let started = std::time::Instant::now();
    let executor = Rc::new(LocalExecutor::new());
    block_on(executor.clone().run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let client = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let (stream, _) = listener.accept().await.unwrap();
        serve(&executor, stream, &Delayed::default()).await;
        drop(client);
    }));
    let took_ms = started.elapsed().as_millis() as u64;
    assert!((2_000..4_000).contains(&took_ms), "{took_ms} ms");
}
