//! A stand-in for an application instance, by the platform's page.

use crate::daemon::Daemon;
use crate::http::{self, Connection, Message};
use crate::record::Record;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A request that reached an instance.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    pub at_s: f64,
    pub method: String,
    /// The place of the request on its connection, from 0.
    pub place: usize,
}

/// What an instance does with a request.
pub enum Answer {
    /// Runs it for this time and answers with a body of this size.
    Run { work: Duration, body_bytes: usize },
    /// Sends exactly these bytes after this time and runs nothing.
    Bytes { wait: Duration, bytes: Vec<u8> },
    /// Runs it as `Run` does, but sends these bytes first, after `early`.
    RunAfterBytes { early: Duration, bytes: Vec<u8>, work: Duration, body_bytes: usize },
}

pub type Behaviour = Arc<dyn Fn(&Message, &Arrival) -> Answer + Send + Sync>;

#[derive(Default)]
struct State {
    sequence: u64,
    beats: bool,
    has_ended: bool,
    arrivals: Vec<Arrival>,
    runs: Vec<Arrival>,
}

#[derive(Clone)]
pub struct Instance {
    pub id: String,
    service: String,
    zone: String,
    addr: SocketAddr,
    control: SocketAddr,
    born_ms: u64,
    record: Record,
    behaviour: Behaviour,
    state: Arc<Mutex<State>>,
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

impl Instance {
    /// Starts the instance beside a daemon, with its heartbeats.
    pub fn start(id: &str, beside: &Daemon, record: &Record, behaviour: Behaviour) -> Self {
        let instance = Self {
            id: id.to_string(),
            service: beside.service.clone(),
            zone: beside.zone.clone(),
            addr: beside.app_addr,
            control: beside.control,
            born_ms: unix_ms(),
            record: record.clone(),
            behaviour,
            state: Arc::new(Mutex::new(State { beats: true, ..State::default() })),
        };
        let listener = TcpListener::bind(beside.app_addr).expect("the port is free");
        let server = instance.clone();
        http::serve(listener, move |connection| server.serve_connection(connection));
        let beating = instance.clone();
        thread::spawn(move || loop {
            if beating.state.lock().unwrap().beats {
                let body = beating.beat_body("ready");
                beating.beat(&body);
            }
            thread::sleep(Duration::from_millis(1_500));
        });
        instance
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state.lock().unwrap().arrivals.clone()
    }

    pub fn runs(&self) -> Vec<Arrival> {
        self.state.lock().unwrap().runs.clone()
    }

    pub fn stop_beats(&self) {
        self.state.lock().unwrap().beats = false;
    }

    /// Ends the instance: it answers nothing more, not even what it is running.
    pub fn end(&self) {
        self.record.line(format!("instance {} ends", self.id));
        self.state.lock().unwrap().has_ended = true;
    }

    fn has_ended(&self) -> bool {
        self.state.lock().unwrap().has_ended
    }

    /// The body of the next heartbeat.
    pub fn beat_body(&self, state_name: &str) -> String {
        let mut state = self.state.lock().unwrap();
        state.sequence += 1;
        format!(
            "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\
             \"zone\":\"{}\",\"slots\":12}},\"status\":{{\"state\":\"{state_name}\",\
             \"sequence\":{},\"cold_left_s\":0}}}}",
            self.addr, self.born_ms, self.service, self.zone, state.sequence
        )
    }

    /// Sends a heartbeat. Returns whether it was acknowledged.
    pub fn beat(&self, body: &str) -> bool {
        let start = format!("PUT /-/instances/{}", self.id);
        self.control_call(&start, body.as_bytes()) == Some(200)
    }

    /// Reports that the instance leaves. Returns whether that was acknowledged.
    pub fn leave(&self) -> bool {
        let body = format!("{{\"born\":{}}}", self.born_ms);
        let status = self.control_call(&format!("DELETE /-/instances/{}", self.id), body.as_bytes());
        self.record.line(format!("instance {} sends DELETE, gets {status:?}", self.id));
        status == Some(200)
    }

    fn control_call(&self, start: &str, body: &[u8]) -> Option<u16> {
        let timeout = Duration::from_secs(1);
        let headers = [("Host", "daemon"), ("Content-Type", "application/json")];
        let mut connection = Connection::open(self.control, timeout).ok()?;
        Some(connection.exchange(start, &headers, body, timeout).ok()?.status())
    }

    fn serve_connection(&self, mut connection: Connection) {
        let mut place = 0;
        while let Ok(request) = connection.read() {
            if self.has_ended() {
                return;
            }
            let id = request.header("pomeloreach-request-id").unwrap_or_default().to_string();
            let expected = request.header("pomeloreach-expected-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                self.record.line(format!("instance {} answers 421 to {id}", self.id));
                let headers = [("Pomeloreach-Instance-Id", self.id.as_str())];
                connection.write("HTTP/1.1 421 Misdirected Request", &headers, b"").ok();
                continue;
            }
            let (at_s, method) = (self.record.now_s(), request.first_word().to_string());
            let arrival = Arrival { id: id.clone(), at_s, method, place };
            place += 1;
            self.state.lock().unwrap().arrivals.push(arrival.clone());
            let answer = (self.behaviour)(&request, &arrival);
            let (work, body_bytes) = match answer {
                Answer::Bytes { wait, bytes } => {
                    self.record.line(format!("instance {} does not run {id}", self.id));
                    thread::sleep(wait);
                    if std::io::Write::write_all(&mut connection.stream, &bytes).is_err() {
                        return;
                    }
                    continue;
                }
                Answer::Run { work, body_bytes } => {
                    self.begin(&request, &arrival);
                    (work, body_bytes)
                }
                Answer::RunAfterBytes { early, bytes, work, body_bytes } => {
                    self.begin(&request, &arrival);
                    thread::sleep(early);
                    self.record.line(format!("instance {} sends additional bytes", self.id));
                    std::io::Write::write_all(&mut connection.stream, &bytes).ok();
                    (work.saturating_sub(early), body_bytes)
                }
            };
            thread::sleep(work);
            if self.has_ended() {
                self.record.line(format!("instance {} has ended while it ran {id}", self.id));
                return;
            }
            let headers = [
                ("Pomeloreach-Request-Id", id.as_str()),
                ("Pomeloreach-Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1"),
            ];
            let body = vec![b'x'; body_bytes];
            self.record.line(format!("instance {} has run {id}", self.id));
            if connection.write("HTTP/1.1 200 OK", &headers, &body).is_err() {
                return;
            }
        }
    }

    fn begin(&self, request: &Message, arrival: &Arrival) {
        self.record.line(format!("instance {} runs {} {}", self.id, arrival.id, request.start));
        self.state.lock().unwrap().runs.push(arrival.clone());
    }
}
