//! What callers may send, and what they get, over real connections.

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

/// Answers each request with its method, path and body, after the time that its path names.
#[derive(Clone, Default)]
struct Echo {
    begun: Rc<RefCell<Vec<String>>>,
    ended: Rc<Cell<u32>>,
    leaving: Rc<Cell<bool>>,
}

impl Service for Echo {
    type ResponseFuture = Pin<Box<dyn Future<Output = Response<Bytes>>>>;

    fn respond(&self, request: Request<Bytes>) -> Self::ResponseFuture {
        let path = request.uri().path().to_string();
        self.begun.borrow_mut().push(path.clone());
        let ended = self.ended.clone();
        Box::pin(async move {
            let wait_ms = path.rsplit('/').next().and_then(|ms| ms.parse().ok()).unwrap_or(0);
            sleep_ms(wait_ms).await;
            ended.set(ended.get() + 1);
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
        self.leaving.get()
    }
}

/// Sends bytes to a server, and returns all that comes back until the connection ends.
fn converse(service: &Echo, sent: &[u8]) -> String {
    with_server(service, async |mut stream| {
        stream.write_all(sent).await.unwrap();
        read_all(&mut stream).await
    })
}

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
        within_ms(1_000, server).await.expect("the server ends with its connection");
        result
    }))
}

async fn read_all(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    // A reset ends the connection as well as a close.
    stream.read_to_end(&mut bytes).await.ok();
    String::from_utf8(bytes).unwrap()
}

#[yare::parameterized(
    length = { "POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\nconnection: close\r\n\r\nabc", "POST /a abc" },
    chunks = { "POST /a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\nconnection: close\r\n\r\n2\r\nab\r\n1;x=y\r\nc\r\n0\r\nt: v\r\n\r\n", "POST /a abc" },
    query = { "GET /a/b%20c?x=1 HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n", "GET /a/b%20c " },
    old_version = { "GET /a HTTP/1.0\r\n\r\n", "GET /a " },
)]
fn whole_requests(sent: &str, body: &str) {
    let answer = converse(&Echo::default(), sent.as_bytes());
    assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{answer}");
    assert!(answer.contains("connection: close\r\n"), "{answer}");
    assert!(answer.ends_with(&format!("\r\n\r\n{body}")), "{answer}");
}

#[yare::parameterized(
    two_lengths = { "POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd", 400 },
    length_and_chunks = { "POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n", 400 },
    signed_length = { "POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: +3\r\n\r\nabc", 400 },
    other_encoding = { "POST /a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400 },
    bad_chunk_size = { "POST /a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n", 400 },
    long_chunk = { "POST /a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n2\r\nabcd\r\n0\r\n\r\n", 400 },
    space_before_colon = { "GET /a HTTP/1.1\r\nhost : h\r\n\r\n", 400 },
    no_http = { "\x16\x03\x01\x02\x00\x01\r\n\r\n", 400 },
    large_body = { "POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 65\r\n\r\n", 413 },
    slow_head = { "GET /a HTTP/1.1\r\nhost", 408 },
)]
fn refused_requests(sent: &str, status: u16) {
    let service = Echo::default();
    let answer = converse(&service, sent.as_bytes());
    assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{answer}");
    assert!(service.begun.borrow().is_empty(), "nothing of it is passed on");
}

#[test]
fn large_head_is_refused() {
    let sent = format!("GET /a HTTP/1.1\r\nhost: h\r\nx: {}\r\n\r\n", "y".repeat(2_000));
    let answer = converse(&Echo::default(), sent.as_bytes());
    assert!(answer.starts_with("HTTP/1.1 431 "), "{answer}");
}

/// Requests sent ahead are answered at the same time, and in order.
#[test]
fn sent_ahead() {
    let service = Echo::default();
    let began = std::time::Instant::now();
    let answers = converse(
        &service,
        b"GET /a/150 HTTP/1.1\r\nhost: h\r\n\r\nGET /b/100 HTTP/1.1\r\nhost: h\r\n\r\n\
          GET /c/0 HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n",
    );
    let places: Vec<usize> =
        ["/a/150", "/b/100", "/c/0"].iter().map(|path| answers.find(path).unwrap()).collect();
    assert!(places.is_sorted(), "{answers}");
    assert!(began.elapsed().as_millis() < 240, "one after the other would take 250 ms");
}

/// What may not be repeated waits until nothing before it can end the connection.
#[test]
fn posts_wait() {
    let service = Echo::default();
    service.leaving.set(true);
    let answers = converse(
        &service,
        b"GET /a/50 HTTP/1.1\r\nhost: h\r\n\r\n\
          POST /b/0 HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\n\r\n",
    );
    assert!(answers.contains("/a/50"), "{answers}");
    assert_eq!(*service.begun.borrow(), ["/a/50"], "the answer before it closed the connection");
}

/// Waiting for earlier answers takes nothing away from what is read meanwhile.
#[test]
fn posts_wait_and_go_on() {
    let answers = with_server(&Echo::default(), async |mut stream| {
        let ahead = b"GET /a/60 HTTP/1.1\r\nhost: h\r\n\r\n\
                      POST /b/0 HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\nxy";
        stream.write_all(ahead).await.unwrap();
        sleep_ms(120).await;
        let last = b"GET /c/0 HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
        stream.write_all(last).await.unwrap();
        read_all(&mut stream).await
    });
    for answer in ["GET /a/60 ", "POST /b/0 xy", "GET /c/0 "] {
        assert!(answers.contains(answer), "{answers}");
    }
}

/// A caller that leaves cancels what it asked for, also when it had sent more ahead.
#[test]
fn hang_up_cancels() {
    let service = Echo::default();
    with_server(&service, async |mut stream| {
        let ahead = "GET /a/300 HTTP/1.1\r\nhost: h\r\n\r\n".repeat(3);
        stream.write_all(ahead.as_bytes()).await.unwrap();
        sleep_ms(50).await;
    });
    assert_eq!(service.begun.borrow().len(), 3);
    assert_eq!(service.ended.get(), 0);
}

#[test]
fn idle_ends() {
    let answers = converse(&Echo::default(), b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n");
    assert!(answers.ends_with("GET /a "), "{answers}");
}

/// A connection on which nothing was asked stays open while the daemon leaves, so that a request
/// that crosses the close is not lost.
#[test]
fn leaving_answers_first() {
    let service = Echo::default();
    service.leaving.set(true);
    let answer = converse(&service, b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n");
    assert!(answer.contains("connection: close") && answer.ends_with("GET /a "), "{answer}");
}

#[test]
fn cut_body_is_dropped() {
    let service = Echo::default();
    let answer = with_server(&service, async |mut stream| {
        let sent = b"POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 9\r\n\r\nabc";
        stream.write_all(sent).await.unwrap();
        stream.shutdown(std::net::Shutdown::Write).unwrap();
        read_all(&mut stream).await
    });
    assert_eq!(answer, "");
    assert!(service.begun.borrow().is_empty());
}
