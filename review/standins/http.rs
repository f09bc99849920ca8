//! Minimal HTTP/1.1 over blocking sockets, for the stand-ins.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// A request or a response: its first line, its headers in lower case, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// The method of a request, or the version of a response.
    pub fn first_word(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    /// The path of a request, with its query.
    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.path().parse().unwrap_or(0)
    }
}

/// A connection with the bytes that were read from it and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).ok();
        Self { stream, buffer: Vec::new() }
    }

    pub fn open(addr: SocketAddr, timeout: Duration) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&addr, timeout)?))
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut part = [0; 16 * 1024];
        let bytes = self.stream.read(&mut part)?;
        if bytes == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        self.buffer.extend_from_slice(&part[..bytes]);
        Ok(())
    }

    /// Reads a message whose body has a length; a message without one has no body. Fails if the
    /// connection ends before the message does.
    pub fn read(&mut self) -> io::Result<Message> {
        let head_end = loop {
            if let Some(end) = self.buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                break end;
            }
            self.fill()?;
        };
        let head = String::from_utf8_lossy(&self.buffer[..head_end]).into_owned();
        self.buffer.drain(..head_end + 4);
        let mut lines = head.split("\r\n");
        let start = lines.next().unwrap_or_default().to_string();
        let headers: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_string()))
            .collect();
        let mut message = Message { start, headers, body: Vec::new() };
        let length: usize =
            message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        while self.buffer.len() < length {
            self.fill()?;
        }
        message.body = self.buffer.drain(..length).collect();
        Ok(message)
    }

    /// Writes a message, with the length of its body.
    pub fn write(&mut self, start: &str, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut bytes = format!("{start}\r\n").into_bytes();
        for (name, value) in headers {
            bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
        }
        bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }

    /// Sends a request and reads its response.
    pub fn exchange(
        &mut self,
        start: &str,
        headers: &[(&str, &str)],
        body: &[u8],
        timeout: Duration,
    ) -> io::Result<Message> {
        self.stream.set_read_timeout(Some(timeout))?;
        self.write(&format!("{start} HTTP/1.1"), headers, body)?;
        self.read()
    }
}

/// Serves each connection to a listener on a thread of its own.
pub fn serve(listener: TcpListener, handle: impl Fn(Connection) + Clone + Send + 'static) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || handle(Connection::new(stream)));
        }
    });
}
