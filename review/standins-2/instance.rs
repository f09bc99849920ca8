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
    beats_stopped: bool,
    state: &'static str,
}

#[derive(Clone)]
pub struct Instance {
    pub id: String,
    spec: Spec,
    born_ms: u64,
    record: Record,
    state: Arc<Mutex<State>>,
}

impl Instance {
    /// Starts the instance of the machine of `spec`.
    pub fn start(id: &str, spec: &Spec, record: &Record) -> Self {
        let born_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let instance = Self {
            id: id.into(),
            spec: spec.clone(),
            born_ms: born_ms as u64,
            record: record.clone(),
            state: Arc::new(Mutex::new(State { state: "ready", ..State::default() })),
        };
        let listener = TcpListener::bind(spec.app_addr).expect("the instance's port is free");
        let serving = instance.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let instance = serving.clone();
                std::thread::spawn(move || instance.serve(stream));
            }
        });
        let beating = instance.clone();
        std::thread::spawn(move || loop {
            if !beating.state.lock().unwrap().beats_stopped {
                beating.beat();
            }
            std::thread::sleep(Duration::from_millis(1_500));
        });
        instance
    }

    /// Sends a heartbeat. Returns the status of the answer.
    pub fn beat(&self) -> Option<u16> {
        let body = {
            let mut state = self.state.lock().unwrap();
            state.sequence += 1;
            format!(
                r#"{{"address":"{}","born":{},"info":{{"service":"{}","version":"v1","zone":"{}","slots":{SLOTS}}},"status":{{"state":"{}","sequence":{},"cold_left_s":0}}}}"#,
                self.spec.app_addr, self.born_ms, self.spec.service, self.spec.zone, state.state, state.sequence
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

    fn serve(&self, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let mut reader = Reader::new(stream);
        while let Ok(Some(head)) = reader.head() {
            let Ok(_body) = reader.body(head.length()) else { return };
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
                self.state.lock().unwrap().running -= 1;
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
        true
    }
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
