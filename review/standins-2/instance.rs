//! An instance beside a daemon: it sends heartbeats and runs requests.

use crate::daemon::Spec;
use crate::http::Reader;
use crate::record::Record;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

pub const SLOTS: u32 = 8;

#[derive(Default)]
struct State {
    sequence: u64,
    running: u32,
    /// The number of runs by request id.
    runs: BTreeMap<String, u32>,
    /// When each request reached the instance, in seconds of the record.
    arrivals: Vec<f64>,
    /// The process does not run: nothing listens and no heartbeat is sent.
    is_down: bool,
    /// When the instance started by the clock of its machine.
    born_ms: u64,
    starts: u64,
    state: &'static str,
}

#[derive(Clone)]
pub struct Instance {
    pub id: String,
    spec: Spec,
    record: Record,
    state: Arc<Mutex<State>>,
}

impl Instance {
    /// Starts the instance of the machine of `spec`.
    pub fn start(id: &str, spec: &Spec, record: &Record) -> Self {
        let instance = Self {
            id: id.into(),
            spec: spec.clone(),
            record: record.clone(),
            state: Arc::new(Mutex::new(State {
                state: "ready",
                born_ms: clock_ms(),
                ..State::default()
            })),
        };
        instance.listen();
        let beating = instance.clone();
        std::thread::spawn(move || loop {
            if !beating.state.lock().unwrap().is_down {
                beating.beat();
            }
            std::thread::sleep(Duration::from_millis(1_500));
        });
        instance
    }

    /// Accepts connections until the instance is down.
    fn listen(&self) {
        let listener = TcpListener::bind(self.spec.app_addr).expect("the instance's port is free");
        listener.set_nonblocking(true).expect("the listener can be polled");
        let serving = self.clone();
        let start = self.state.lock().unwrap().starts;
        std::thread::spawn(move || {
            while serving.runs_since(start) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        stream.set_nonblocking(false).ok();
                        let instance = serving.clone();
                        std::thread::spawn(move || instance.serve(stream, start));
                    }
                    Err(_) => std::thread::sleep(Duration::from_millis(1)),
                }
            }
        });
    }

    fn runs_since(&self, start: u64) -> bool {
        let state = self.state.lock().unwrap();
        !state.is_down && state.starts == start
    }

    /// Crashes, and starts again under the same id after `down_ms`, by a clock that is `ahead_ms` ahead.
    pub fn restart(&self, down_ms: u64, ahead_ms: i64) {
        self.state.lock().unwrap().is_down = true;
        std::thread::sleep(Duration::from_millis(down_ms));
        {
            let mut state = self.state.lock().unwrap();
            state.is_down = false;
            state.starts += 1;
            state.sequence = 0;
            state.running = 0;
            state.state = "ready";
            state.born_ms = clock_ms().saturating_add_signed(ahead_ms);
        }
        self.listen();
        self.beat();
    }

    /// Says that it is leaving. Returns the status of the answer.
    pub fn leave(&self) -> Option<u16> {
        self.state.lock().unwrap().state = "draining";
        self.beat()
    }

    /// When each request reached the instance.
    pub fn arrivals(&self) -> Vec<f64> {
        self.state.lock().unwrap().arrivals.clone()
    }

    /// Sends a heartbeat. Returns the status of the answer.
    pub fn beat(&self) -> Option<u16> {
        let body = {
            let mut state = self.state.lock().unwrap();
            state.sequence += 1;
            format!(
                r#"{{"address":"{}","born":{},"info":{{"service":"{}","version":"v1","zone":"{}","slots":{SLOTS}}},"status":{{"state":"{}","sequence":{},"cold_left_s":0}}}}"#,
                self.spec.app_addr, state.born_ms, self.spec.service, self.spec.zone, state.state, state.sequence
            )
        };
        control_call(self.spec.operator_addr, "PUT", &self.id, &body)
    }

    /// How often the request ran.
    pub fn runs(&self, request: &str) -> u32 {
        self.state.lock().unwrap().runs.get(request).copied().unwrap_or(0)
    }

    pub fn total_runs(&self) -> usize {
        self.state.lock().unwrap().runs.len()
    }

    fn serve(&self, stream: TcpStream, start: u64) {
        stream.set_nodelay(true).ok();
        stream.set_read_timeout(Some(Duration::from_millis(20))).ok();
        let mut reader = Reader::new(stream);
        loop {
            let head = match reader.head() {
                Ok(Some(head)) => head,
                Err(error) if is_timeout(&error) && self.runs_since(start) => continue,
                _ => return,
            };
            let Ok(_body) = reader.body(head.length()) else { return };
            if !self.runs_since(start) {
                return;
            }
            let request = head.get("pomeloreach-request-id").unwrap_or_default().to_string();
            let reply = if head.get("pomeloreach-expected-instance") != Some(&self.id) {
                "HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\r\n".to_string().into_bytes()
            } else if !self.begin(&request) {
                format!(
                    "HTTP/1.1 503 Service Unavailable\r\npomeloreach-request-id: {request}\r\n\
                     pomeloreach-not-executed: 1\r\ncontent-length: 0\r\n\r\n"
                )
                .into_bytes()
            } else {
                self.record.add(format!("instance {} runs {request}", self.id));
                // The last two segments of the path: milliseconds of work, bytes of the answer.
                let path = head.first[1].clone();
                let mut segments = path.rsplit('/').map(|text| text.parse::<usize>().unwrap_or(0));
                let bytes = segments.next().unwrap_or(0);
                let work_ms = segments.next().unwrap_or(0);
                std::thread::sleep(Duration::from_millis(work_ms as u64));
                {
                    let mut state = self.state.lock().unwrap();
                    state.running = state.running.saturating_sub(1);
                }
                self.record.add(format!("instance {} answers {request}", self.id));
                let mut reply = format!(
                    "HTTP/1.1 200 OK\r\npomeloreach-request-id: {request}\r\n\
                     pomeloreach-response-signature: s.{}.{request}\r\nkeep-alive: timeout=10\r\n\
                     pomeloreach-server-load: 1,0,{SLOTS}\r\ncontent-length: {bytes}\r\n\r\n",
                    self.id
                )
                .into_bytes();
                reply.resize(reply.len() + bytes, b'a');
                reply
            };
            if reader.stream.write_all(&reply).is_err() {
                return;
            }
        }
    }

    /// Takes a slot for a request; false if there is none.
    fn begin(&self, request: &str) -> bool {
        let mut state = self.state.lock().unwrap();
        if state.running >= SLOTS {
            return false;
        }
        state.running += 1;
        *state.runs.entry(request.to_string()).or_default() += 1;
        state.arrivals.push(self.record.now_s());
        true
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut)
}

/// The time of day, in milliseconds.
fn clock_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Makes a call about an instance at a daemon's control address. Returns the status.
pub fn control_call(addr: SocketAddr, method: &str, id: &str, body: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_millis(500)).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(1_000))).ok()?;
    let call = format!(
        "{method} /-/instances/{id} HTTP/1.1\r\nhost: {addr}\r\ncontent-type: application/json\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(call.as_bytes()).ok()?;
    let head = Reader::new(stream).head().ok()??;
    Some(head.status())
}

/// Whether the daemon says that it is ready.
pub fn is_ready(addr: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&addr, Duration::from_millis(500)) else {
        return false;
    };
    stream.set_read_timeout(Some(Duration::from_millis(1_000))).ok();
    let call = format!("GET /-/readiness HTTP/1.1\r\nhost: {addr}\r\n\r\n");
    if stream.write_all(call.as_bytes()).is_err() {
        return false;
    }
    matches!(Reader::new(stream).head(), Ok(Some(head)) if head.status() == 200)
}
