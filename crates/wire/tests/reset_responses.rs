//! Responses without a length whose connection is reset, over real connections.

use bytes::Bytes;
use futures_lite::future::block_on;
use http::{Request, Response};
use pomeloreach_wire::clock::within_ms;
use pomeloreach_wire::h1::client::{Connection, ExchangeError};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Which of the two sides notices a reset first depends on the moment.
const ROUNDS: usize = 40;
const UPLOAD_BYTES: usize = 16 * 1024 * 1024;
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\n\r\npart of the body";

/// Serves one connection on a separate thread.
fn serve(handle: impl FnOnce(TcpStream) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || handle(listener.accept().unwrap().0));
    addr
}

/// Uploads a large body and reads the response.
fn upload(addr: SocketAddr) -> Result<Response<Bytes>, ExchangeError> {
    let body = Bytes::from(vec![b'u'; UPLOAD_BYTES]);
    let request = Request::put("/a").header("host", "h").body(body).unwrap();
    block_on(async {
        let mut connection = Connection::open(addr, 1_000).await?;
        let exchange = connection.exchange(&request, usize::MAX, |_| false);
        within_ms(10_000, exchange).await.expect("the exchange ends")
    })
}

/// Reads `bytes` of the upload.
fn read_upload(stream: &mut TcpStream, bytes: u64) {
    std::io::copy(&mut stream.take(bytes), &mut std::io::sink()).unwrap();
}

/// A response without a length was taken as complete when its connection was reset during the upload:
/// the write of the body received the error, and the read after it saw the end of the stream.
#[yare::parameterized(
    upload_is_read = { 2 * 1024 * 1024, 0 },
    upload_waits = { 64 * 1024, 20 },
    upload_starts = { 1, 0 },
)]
fn reset_during_upload(read_bytes: u64, pause_ms: u64) {
    let mut complete = 0;
    for _ in 0..ROUNDS {
        let addr = serve(move |mut stream| {
            stream.write_all(RESPONSE).unwrap();
            read_upload(&mut stream, read_bytes);
            std::thread::sleep(Duration::from_millis(pause_ms));
            // Closing with unread bytes resets the connection.
        });
        complete += usize::from(upload(addr).is_ok());
    }
    assert_eq!(complete, 0, "of {ROUNDS} responses were taken as complete");
}

/// A response without a length that ends with its connection before the upload was read is complete.
#[test]
fn end_during_upload() {
    let addr = serve(|mut stream| {
        stream.write_all(RESPONSE).unwrap();
        stream.shutdown(Shutdown::Write).unwrap();
        read_upload(&mut stream, u64::MAX);
    });
    assert_eq!(upload(addr).unwrap().body(), "part of the body");
}
