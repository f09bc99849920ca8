//! Heads and bodies of HTTP/1.1 on a blocking stream.

use std::io::{self, Read};
use std::net::TcpStream;
use std::os::fd::AsRawFd;

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, bytes: u32) -> i32;
}

const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

/// Sets the receive buffer of a connection, in bytes; the system doubles it.
pub fn set_window(stream: &TcpStream, bytes: i32) {
    // Safety: the descriptor is open, and the value is an `int` of four bytes.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &bytes, 4) };
}

/// The head of a request or of a response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The words of the first line: at most three.
    pub first: [String; 3],
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first[1].parse().unwrap_or(0)
    }

    pub fn length(&self) -> usize {
        self.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn closes(&self) -> bool {
        self.get("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// A stream with the bytes that were read and not used yet.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16 * 1024];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    /// Reads a head; `None` at the end of the stream.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|window| window == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                return Ok(Some(parse(&text)));
            }
            if self.fill()? == 0 {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads exactly `length` bytes. Fails if the stream ends before.
    pub fn body(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// Reads `length` bytes at no more than `bytes_per_s`, and counts those that arrived in `got`.
    pub fn slow_body(&mut self, length: usize, bytes_per_s: f64, got: &mut usize) -> io::Result<()> {
        let started = std::time::Instant::now();
        let mut bytes = vec![0; 16 * 1024];
        let first = self.buffer.len().min(length);
        self.buffer.drain(..first);
        *got = first;
        while *got < length {
            let due_s = *got as f64 / bytes_per_s - started.elapsed().as_secs_f64();
            if due_s > 0.0 {
                std::thread::sleep(std::time::Duration::from_secs_f64(due_s));
            }
            let wanted = (length - *got).min(bytes.len());
            let count = self.stream.read(&mut bytes[..wanted])?;
            if count == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            *got += count;
        }
        Ok(())
    }

    /// Whether bytes of a further message were read.
    pub fn has_rest(&self) -> bool {
        !self.buffer.is_empty()
    }
}

fn parse(text: &str) -> Head {
    let mut lines = text.split("\r\n");
    let mut words = lines.next().unwrap_or_default().splitn(3, ' ').map(str::to_string);
    let first = std::array::from_fn(|_| words.next().unwrap_or_default());
    let headers = lines.filter_map(|line| {
        let (name, value) = line.split_once(':')?;
        Some((name.trim().to_ascii_lowercase(), value.trim().to_string()))
    });
    Head { first, headers: headers.collect() }
}
