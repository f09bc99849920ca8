//! How the server bounds the memory of clients, over real connections.

use async_executor::LocalExecutor;
use async_net::{TcpListener, TcpStream};
use bytes::Bytes;
use futures_lite::future::{block_on, or, pending};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use http::{Request, Response};
use pomeloreach_wire::clock::{sleep_ms, within_ms};
use pomeloreach_wire::h1::server::{Bound, ServerLimits, Service, serve};
use pomeloreach_wire::memory::budget::STALL_MS;
use pomeloreach_wire::memory::{Memory, Room};
use rustix::net::{self, AddressFamily, SocketType};
use std::cell::{Cell, RefCell};
use std::future::{Future, Ready, ready};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;

/// The budget, an eighth of which is reserved for small requests.
const BUDGET_BYTES: usize = 512 * 1024;
/// A body that leaves no room for another one of the same size.
const LARGE_BYTES: usize = 300 * 1024;
const BODY_BYTES_MAX: usize = 400 * 1024;
const IDLE_TIMEOUT_MS: u64 = 2_500;

/// Responds with the length of the body. The path `/large` gets `LARGE_BYTES`.
#[derive(Clone)]
struct Bounded {
    memory: Arc<Memory>,
    started: Rc<Cell<usize>>,
    bounds: Rc<RefCell<Vec<Bound>>>,
}

impl Default for Bounded {
    fn default() -> Self {
        let memory = Memory::new(BUDGET_BYTES);
        Self { memory, started: Rc::default(), bounds: Rc::default() }
    }
}

impl Service for Bounded {
    type ResponseFuture = Ready<Response<Bytes>>;

    fn respond(&self, request: Request<Bytes>) -> Self::ResponseFuture {
        self.started.set(self.started.get() + 1);
        let is_large = request.uri().path() == "/large";
        let body = if is_large {
            self.memory.charged(vec![b'x'; LARGE_BYTES].into())
        } else {
            request.body().len().to_string().into()
        };
        ready(Response::new(body))
    }

    fn limits(&self) -> ServerLimits {
        ServerLimits {
            header_bytes_max: 1_024,
            body_bytes_max: BODY_BYTES_MAX,
            header_timeout_ms: 200,
            idle_timeout_ms: IDLE_TIMEOUT_MS,
        }
    }

    fn memory(&self) -> Arc<Memory> {
        self.memory.clone()
    }

    fn bound_reached(&self, bound: Bound) {
        self.bounds.borrow_mut().push(bound);
    }
}

/// Serves connections while `clients` runs.
fn with_server<T>(
    service: &(impl Service + Clone + 'static),
    clients: impl AsyncFnOnce(SocketAddr) -> T,
) -> T {
    let executor = Rc::new(LocalExecutor::new());
    block_on(executor.clone().run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let accepting = async {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let (service, serving) = (service.clone(), executor.clone());
                executor.spawn(async move { serve(&serving, stream, &service).await }).detach();
            }
        };
        or(clients(addr), async {
            accepting.await;
            pending().await
        })
        .await
    }))
}

/// Connects with a small receive buffer, which the system doubles.
fn connect_with_window(addr: SocketAddr) -> TcpStream {
    let socket = net::socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
    net::sockopt::set_socket_recv_buffer_size(&socket, 8 * 1024).unwrap();
    net::connect(&socket, &addr).unwrap();
    std::net::TcpStream::from(socket).try_into().unwrap()
}

/// A connection whose responses are not read for a second is closed when their memory is needed for
/// others, and no sooner: its client may be reading slowly.
#[test]
fn unread_responses_make_room() {
    let service = Bounded::default();
    with_server(&service, async |addr| {
        let mut unread = connect_with_window(addr);
        for _ in 0..64 {
            if unread.write_all(b"GET /large HTTP/1.1\r\nhost: h\r\n\r\n").await.is_err() {
                break;
            }
        }
        sleep_ms(300).await;
        assert!(upload(addr, 20 * 1024).await.starts_with("HTTP/1.1 503 "));
        assert_eq!(*service.bounds.borrow(), [Bound::Memory]);
        sleep_ms(STALL_MS).await;
        assert!(upload(addr, 20 * 1024).await.starts_with("HTTP/1.1 200 "));
    });
    assert!(service.bounds.borrow().contains(&Bound::UnreadMemory));
    assert!(service.memory.used_bytes() < BUDGET_BYTES);
}

/// Sends the head of a request with a body, and a part of the body.
async fn start_upload(addr: SocketAddr, announced: usize, sent: usize) -> TcpStream {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    let head = format!("POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: {announced}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(&vec![b'y'; sent]).await.unwrap();
    stream
}

/// Reads a response whose body is short.
async fn response(stream: &mut TcpStream) -> String {
    let mut received = Vec::new();
    let mut part = [0; 1_024];
    let reading = async {
        while !received.windows(4).any(|window| window == b"\r\n\r\n") {
            let bytes = stream.read(&mut part).await.expect("the connection must not be reset");
            assert!(bytes > 0, "the connection was closed before the response");
            received.extend_from_slice(&part[..bytes]);
        }
    };
    within_ms(2_000, reading).await.expect("the server responds");
    String::from_utf8(received).unwrap()
}

async fn upload(addr: SocketAddr, bytes: usize) -> String {
    let mut stream = start_upload(addr, bytes, bytes).await;
    response(&mut stream).await
}

/// A body that stalls gives its memory to one that arrives, and its client is told that the request
/// has not run.
#[test]
fn stalled_body_makes_room() {
    let service = Bounded::default();
    with_server(&service, async |addr| {
        let mut stalled = start_upload(addr, LARGE_BYTES, LARGE_BYTES - 1).await;
        sleep_ms(STALL_MS + 100).await;
        assert!(upload(addr, LARGE_BYTES).await.starts_with("HTTP/1.1 200 "));
        let refusal = response(&mut stalled).await;
        assert!(refusal.starts_with("HTTP/1.1 503 "), "{refusal}");
        assert!(refusal.contains("retry-after: "), "{refusal}");
        assert!(refusal.contains("connection: close"), "{refusal}");
    });
    assert_eq!(service.started.get(), 1);
    assert_eq!(*service.bounds.borrow(), [Bound::StalledRequest]);
}

/// While another large body arrives, a large request is refused and a small one is served.
#[test]
fn small_request_uses_reserve() {
    let service = Bounded::default();
    with_server(&service, async |addr| {
        let mut active = start_upload(addr, LARGE_BYTES, LARGE_BYTES / 2).await;
        sleep_ms(50).await;
        let refusal = upload(addr, LARGE_BYTES).await;
        assert!(refusal.starts_with("HTTP/1.1 503 ") && refusal.contains("retry-after: "));
        assert!(upload(addr, 20 * 1024).await.starts_with("HTTP/1.1 200 "));
        active.write_all(&vec![b'y'; LARGE_BYTES - LARGE_BYTES / 2]).await.unwrap();
        assert!(response(&mut active).await.starts_with("HTTP/1.1 200 "));
    });
    assert_eq!(*service.bounds.borrow(), [Bound::Memory]);
    assert!(service.memory.used_bytes() < 64 * 1024, "the bodies are released");
}

/// Incomplete requests with short bodies, of which there may be many, make room for a complete one.
#[test]
fn short_stalled_bodies_make_room() {
    let service = Bounded::default();
    with_server(&service, async |addr| {
        let mut stalled = Vec::new();
        // Each of them takes more than 4 KiB, so that there is no room for all.
        for _ in 0..BUDGET_BYTES / (4 * 1024) {
            stalled.push(start_upload(addr, 10, 9).await);
        }
        assert!(upload(addr, 20 * 1024).await.starts_with("HTTP/1.1 200 "));
        let refusal = response(&mut stalled[0]).await;
        assert!(refusal.starts_with("HTTP/1.1 503 "), "{refusal}");
    });
    assert!(service.bounds.borrow().iter().all(|bound| *bound == Bound::StalledRequest));
}

/// A body far over the limit that is just sent is refused without being read to its end.
#[test]
fn endless_body_is_refused() {
    let service = Bounded::default();
    with_server(&service, async |addr| {
        let mut stream = TcpStream::connect(addr).await.unwrap();
        let head = "POST /a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n";
        stream.write_all(head.as_bytes()).await.unwrap();
        let mut chunk = format!("{:x}\r\n", 16 * 1024).into_bytes();
        chunk.resize(chunk.len() + 16 * 1024, b'z');
        chunk.extend_from_slice(b"\r\n");
        let mut writer = stream.clone();
        let sending = async {
            while writer.write_all(&chunk).await.is_ok() {}
            pending().await
        };
        let refusal = or(response(&mut stream), sending).await;
        assert!(refusal.starts_with("HTTP/1.1 413 "), "{refusal}");
    });
    assert_eq!(*service.bounds.borrow(), [Bound::BodySize]);
}

/// A client that reads no responses must not make the server read its requests without end, and loses
/// its connection after the idle time.
#[test]
fn unread_responses_stop_reading() {
    let service = Bounded { memory: Memory::new(64 * LARGE_BYTES), ..Bounded::default() };
    with_server(&service, async |addr| {
        let mut stream = connect_with_window(addr);
        for _ in 0..64 {
            stream.write_all(b"GET /large HTTP/1.1\r\nhost: h\r\n\r\n").await.unwrap();
            sleep_ms(5).await;
        }
        // The system takes some of the responses into the buffer for sending.
        assert!(service.started.get() < 40, "{} requests were started", service.started.get());
        sleep_ms(IDLE_TIMEOUT_MS + 500).await;
    });
    let bounds = service.bounds.borrow();
    assert_eq!(*bounds, [Bound::UnreadTime]);
    assert_eq!(service.memory.used_bytes(), 0, "the responses are released");
}

/// Memory that a response needs beyond what was reserved for it is granted only once there is room, and
/// what is reserved and not needed is returned.
#[test]
fn response_waits_for_room() {
    let memory = Memory::new(BUDGET_BYTES);
    block_on(async {
        let room = Room::try_reserve(&memory, LARGE_BYTES).unwrap();
        assert!(Room::try_reserve(&memory, LARGE_BYTES).is_none(), "there is no room for two");
        let part = room.take(LARGE_BYTES / 2).await;
        assert_eq!(memory.used_bytes(), LARGE_BYTES, "it was reserved");
        let other = Room::empty(&memory);
        let mut waiting = Box::pin(other.take(LARGE_BYTES));
        assert!(within_ms(50, &mut waiting).await.is_none());
        drop(room);
        drop(part);
        let charge = within_ms(1_000, waiting).await.expect("there is room");
        assert_eq!((charge.bytes(), memory.used_bytes()), (LARGE_BYTES, LARGE_BYTES));
        assert!(Room::reserve(&memory, LARGE_BYTES, 20).await.is_none());
        drop(charge);
        assert!(Room::reserve(&memory, LARGE_BYTES, 20).await.is_some());
    });
    assert_eq!(memory.used_bytes(), 0);
}

/// Pipelined requests for large responses were all started before the first of them was complete.
#[test]
fn large_responses_start_in_turn() {
    #[derive(Clone)]
    struct Slow {
        memory: Arc<Memory>,
        running: Rc<Cell<usize>>,
        most: Rc<Cell<usize>>,
    }
    impl Service for Slow {
        type ResponseFuture = Pin<Box<dyn Future<Output = Response<Bytes>>>>;

        fn respond(&self, _request: Request<Bytes>) -> Self::ResponseFuture {
            let service = self.clone();
            service.running.set(service.running.get() + 1);
            service.most.set(service.most.get().max(service.running.get()));
            Box::pin(async move {
                sleep_ms(20).await;
                service.running.set(service.running.get() - 1);
                Response::new(Bytes::from(vec![b'x'; 1_024]))
            })
        }

        fn limits(&self) -> ServerLimits {
            Bounded::default().limits()
        }

        fn memory(&self) -> Arc<Memory> {
            self.memory.clone()
        }

        fn expected_response_bytes(&self, head: &Request<()>) -> usize {
            if head.uri().path() == "/large" { LARGE_BYTES } else { 1_024 }
        }
    }
    for (path, most) in [("/large", 1..2), ("/small", 8..33)] {
        let memory = Memory::new(BUDGET_BYTES);
        let service = Slow { memory, running: Rc::default(), most: Rc::default() };
        with_server(&service, async |addr| {
            let mut stream = TcpStream::connect(addr).await.unwrap();
            let requests = format!("GET {path} HTTP/1.1\r\nhost: h\r\n\r\n").repeat(8);
            stream.write_all(requests.as_bytes()).await.unwrap();
            let mut received = Vec::new();
            let mut part = [0; 4_096];
            while received.windows(12).filter(|part| *part == b"HTTP/1.1 200").count() < 8 {
                let reading = within_ms(2_000, stream.read(&mut part)).await;
                let bytes = reading.expect("the server responds").unwrap();
                assert!(bytes > 0, "the connection was closed");
                received.extend_from_slice(&part[..bytes]);
            }
        });
        assert!(most.contains(&service.most.get()), "{path}: {}", service.most.get());
    }
}
