//! Requests with many headers, all within the limit on the size of the head.

use async_executor::LocalExecutor;
use async_net::{TcpListener, TcpStream};
use bytes::Bytes;
use futures_lite::future::block_on;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use http::{Request, Response};
use pomeloreach_wire::h1::server::{ServerLimits, Service, serve};
use std::future::{Ready, ready};
use std::rc::Rc;

const HEADER_BYTES_MAX: usize = 16_384;

/// Responds to each request with the number of its headers.
#[derive(Clone)]
struct HeaderCount;

impl Service for HeaderCount {
    type ResponseFuture = Ready<Response<Bytes>>;

    fn respond(&self, request: Request<Bytes>) -> Self::ResponseFuture {
        ready(Response::new(Bytes::from(request.headers().len().to_string())))
    }

    fn limits(&self) -> ServerLimits {
        ServerLimits {
            header_bytes_max: HEADER_BYTES_MAX,
            body_bytes_max: 64,
            header_timeout_ms: 500,
            idle_timeout_ms: 500,
        }
    }
}

/// A head within the limit on its size was refused with 400 because of the number of its headers.
#[yare::parameterized(
    above_parser_limit = { 129 },
    many = { 500 },
)]
fn head_within_size_limit(headers: usize) {
    let lines: String = (1..headers).map(|index| format!("x-{index}: v\r\n")).collect();
    let sent = format!("GET /a HTTP/1.1\r\nhost: h\r\n{lines}\r\n");
    assert!(sent.len() < HEADER_BYTES_MAX);
    let executor = Rc::new(LocalExecutor::new());
    let response = block_on(executor.clone().run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut client = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let (stream, _) = listener.accept().await.unwrap();
        let server_executor = executor.clone();
        let server =
            executor.spawn(async move { serve(&server_executor, stream, &HeaderCount).await });
        client.write_all(sent.as_bytes()).await.unwrap();
        let mut bytes = vec![0; 1_024];
        let length = client.read(&mut bytes).await.unwrap();
        drop(client);
        server.await;
        String::from_utf8_lossy(&bytes[..length]).to_string()
    }));
    assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    assert!(response.ends_with(&format!("\r\n\r\n{headers}")), "{response}");
}
