//! HTTP/1.1 as the stand-ins speak it: blocking, one thread for each connection.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The head and body of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line without its end.
    pub start: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// The method of a request.
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    /// The path and query of a request.
    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// The status of a response; 0 if it cannot be read.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn body_text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection with the bytes that were received and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).ok();
        Self { stream, buffer: Vec::new() }
    }

    pub fn connect(addr: SocketAddr, timeout_ms: u64) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&addr, Duration::from_millis(timeout_ms))?))
    }

    /// Reads more bytes. Returns false at the end of the stream.
    fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 16 * 1024];
        let bytes = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..bytes]);
        Ok(bytes > 0)
    }

    /// Reads a message. `None` if the other side closed the connection before its first byte. A body
    /// without a length is read to the end only of a response.
    pub fn read(&mut self, is_response: bool) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                break at;
            }
            if !self.fill()? {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let mut message =
            Message { start: lines.next().unwrap_or_default().into(), ..Message::default() };
        for line in lines {
            let (name, value) = line.split_once(':').unwrap_or((line, ""));
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
        }
        let length = message.header("content-length").and_then(|text| text.parse::<usize>().ok());
        match length {
            Some(length) => {
                while self.buffer.len() < length {
                    if !self.fill()? {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                }
                message.body = self.buffer.drain(..length).collect();
            }
            None if is_response && message.status() != 204 && message.status() != 304 => {
                while self.fill()? {}
                message.body = std::mem::take(&mut self.buffer);
            }
            None => {}
        }
        Ok(Some(message))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Sends a request and reads its response within a time.
    pub fn exchange(&mut self, request: &[u8], timeout_ms: u64) -> io::Result<Message> {
        let end = Instant::now() + Duration::from_millis(timeout_ms);
        self.write(request)?;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(io::ErrorKind::TimedOut.into());
            }
            self.stream.set_read_timeout(Some(left))?;
            let response = self.read(true)?.ok_or(io::ErrorKind::ConnectionAborted)?;
            if !(100..200).contains(&response.status()) {
                return Ok(response);
            }
        }
    }
}

/// A request with a body and its length.
pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method != "GET" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    text.push_str(body);
    text.into_bytes()
}

pub fn response(status: u16, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} Status\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    text.into_bytes()
}

/// Serves connections until the process ends: each request gets the bytes that `handle` returns, or
/// the connection is closed if it returns none.
pub fn serve(
    addr: SocketAddr,
    handle: impl Fn(&Message) -> Option<Vec<u8>> + Send + Sync + 'static,
) {
    let listener = TcpListener::bind(addr).expect("the port is free");
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            std::thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Ok(Some(message)) = connection.read(false) {
                    let Some(bytes) = handle(&message) else { break };
                    if connection.write(&bytes).is_err() {
                        break;
                    }
                }
                connection.stream.shutdown(Shutdown::Both).ok();
            });
        }
    });
}
