//! Limits that change while a client keeps its connection open.

use async_executor::LocalExecutor;
use async_net::{TcpListener, TcpStream};
use bytes::Bytes;
use futures_lite::future::{block_on, or};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use http::{Request, Response};
use pomeloreach_wire::clock::sleep_ms;
use pomeloreach_wire::h1::server::{ServerLimits, Service, serve};
use std::cell::Cell;
use std::future::{Ready, ready};
use std::rc::Rc;

/// The head and body of a request that only the later limits allow.
const LARGE_REQUEST: &str = "POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 40\r\n\r\n\
                             0123456789012345678901234567890123456789";

/// Responds to each request with the number of bytes in its body.
#[derive(Clone)]
struct BodyLength(Rc<Cell<ServerLimits>>);

impl Service for BodyLength {
    type ResponseFuture = Ready<Response<Bytes>>;

    fn respond(&self, request: Request<Bytes>) -> Self::ResponseFuture {
        ready(Response::new(Bytes::from(request.body().len().to_string())))
    }

    fn limits(&self) -> ServerLimits {
        self.0.get()
    }
}

fn limits(header_bytes_max: usize, body_bytes_max: usize) -> ServerLimits {
    ServerLimits { header_bytes_max, body_bytes_max, header_timeout_ms: 500, idle_timeout_ms: 500 }
}

async fn read_response(stream: &mut TcpStream) -> String {
    let mut bytes = vec![0; 1_024];
    let length = stream.read(&mut bytes).await.unwrap();
    String::from_utf8_lossy(&bytes[..length]).to_string()
}

/// A request on a kept connection was refused by limits that had been replaced before it was sent.
#[yare::parameterized(
    body = { limits(1_024, 8) },
    head = { limits(40, 64) },
)]
fn request_after_limits_were_raised(earlier: ServerLimits) {
    let current = Rc::new(Cell::new(earlier));
    let service = BodyLength(current.clone());
    let executor = Rc::new(LocalExecutor::new());
    let response = block_on(executor.clone().run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut client = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let (stream, _) = listener.accept().await.unwrap();
        let calling = async {
            client.write_all(b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n").await.unwrap();
            assert!(read_response(&mut client).await.starts_with("HTTP/1.1 200 "));
            sleep_ms(20).await;
            current.set(limits(1_024, 64));
            sleep_ms(20).await;
            client.write_all(LARGE_REQUEST.as_bytes()).await.unwrap();
            read_response(&mut client).await
        };
        let serving = async {
            serve(&executor, stream, &service).await;
            std::future::pending().await
        };
        or(calling, serving).await
    }));
    assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    assert!(response.ends_with("\r\n\r\n40"), "{response}");
}
