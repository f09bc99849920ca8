//! A stand-in for the platform's store, by its page: objects of kinds, lists and watches.

use crate::http::{self, Connection, Message};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Default)]
struct State {
    revision: u64,
    /// The encoded objects by kind and name.
    objects: BTreeMap<(String, String), String>,
    /// All changes: revision, kind, whether it is a removal, and the object.
    changes: Vec<(u64, String, bool, String)>,
}

#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(listener: TcpListener) -> Self {
        let addr = listener.local_addr().unwrap();
        let state = State { revision: 1, ..State::default() };
        let store = Self { addr, shared: Arc::new((Mutex::new(state), Condvar::new())) };
        let server = store.clone();
        http::serve(listener, move |connection| server.serve_connection(connection));
        store
    }

    /// Writes the operators' configuration.
    pub fn publish(&self, spec: &str) {
        self.put("config", "main", spec);
    }

    fn put(&self, kind: &str, name: &str, spec: &str) -> String {
        let mut state = self.shared.0.lock().unwrap();
        let revision = state.revision + 1;
        let object = format!(
            "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":{revision},\
             \"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}"
        );
        state.revision = revision;
        state.objects.insert((kind.to_string(), name.to_string()), object.clone());
        state.changes.push((revision, kind.to_string(), false, object.clone()));
        self.shared.1.notify_all();
        object
    }

    fn remove(&self, kind: &str, name: &str) -> Option<String> {
        let mut state = self.shared.0.lock().unwrap();
        let object = state.objects.remove(&(kind.to_string(), name.to_string()))?;
        state.revision += 1;
        let revision = state.revision;
        state.changes.push((revision, kind.to_string(), true, object.clone()));
        self.shared.1.notify_all();
        Some(object)
    }

    fn serve_connection(&self, mut connection: Connection) {
        while let Ok(request) = connection.read() {
            let (status, body) = self.handle(&request);
            let headers = [("Content-Type", "application/json")];
            let start = format!("HTTP/1.1 {status}");
            if connection.write(&start, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn handle(&self, request: &Message) -> (&'static str, String) {
        let (path, query) = request.path().split_once('?').unwrap_or((request.path(), ""));
        let rest = path.trim_start_matches("/-/objects/");
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let key = (kind.to_string(), name.to_string());
        let found = || self.shared.0.lock().unwrap().objects.get(&key).cloned();
        match (request.first_word(), name) {
            ("GET", "") => ("200 OK", self.list(kind, query)),
            ("GET", _) => found().map_or(("404 Not Found", String::new()), |o| ("200 OK", o)),
            ("POST", _) => {
                let metadata = member(&body, "metadata").unwrap_or_default();
                let name = member(metadata, "name").unwrap_or_default().trim_matches('"');
                let key = (kind.to_string(), name.to_string());
                if let Some(object) = self.shared.0.lock().unwrap().objects.get(&key) {
                    return ("409 Conflict", object.clone());
                }
                ("200 OK", self.put(kind, name, member(&body, "spec").unwrap_or("null")))
            }
            ("PUT", _) if found().is_none() => ("404 Not Found", String::new()),
            ("PUT", _) => ("200 OK", self.put(kind, name, member(&body, "spec").unwrap_or("null"))),
            ("DELETE", _) => {
                self.remove(kind, name).map_or(("404 Not Found", String::new()), |o| ("200 OK", o))
            }
            _ => ("404 Not Found", String::new()),
        }
    }

    fn list(&self, kind: &str, query: &str) -> String {
        let number = |name: &str| -> Option<u64> {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name)?.1.parse().ok()
        };
        let mut state = self.shared.0.lock().unwrap();
        let Some(after) = number("watch") else {
            let items = state.objects.iter().filter(|((of, _), _)| of == kind);
            let items: Vec<&str> = items.map(|(_, object)| object.as_str()).collect();
            return format!(
                "{{\"items\":[{}],\"more\":false,\"current_rev\":{}}}",
                items.join(","),
                state.revision
            );
        };
        let deadline = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        loop {
            let later = state.changes.iter().filter(|change| change.0 > after && change.1 == kind);
            let events: Vec<String> = later
                .map(|(_, _, removed, object)| {
                    format!("{{\"object\":{object},\"removed\":{removed}}}")
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!(
                    "{{\"events\":[{}],\"current_rev\":{}}}",
                    events.join(","),
                    state.revision
                );
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

/// The encoded value of a member of a JSON object.
fn member<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    let bytes = object.as_bytes();
    let mut at = object.find('{')? + 1;
    loop {
        at += bytes[at..].iter().position(|byte| !b" \t\r\n,".contains(byte))?;
        if bytes[at] != b'"' {
            return None;
        }
        let key_end = at + value_length(&bytes[at..])?;
        let key = &object[at + 1..key_end - 1];
        at = key_end + bytes[key_end..].iter().position(|byte| *byte == b':')? + 1;
        at += bytes[at..].iter().position(|byte| !b" \t\r\n".contains(byte))?;
        let end = at + value_length(&bytes[at..])?;
        if key == name {
            return Some(&object[at..end]);
        }
        at = end;
    }
}

/// The length of the JSON value at the start of `bytes`.
fn value_length(bytes: &[u8]) -> Option<usize> {
    let (mut depth, mut in_string, mut escaped) = (0, false, false);
    for (index, byte) in bytes.iter().enumerate() {
        if in_string {
            match byte {
                _ if escaped => escaped = false,
                b'\\' => escaped = true,
                b'"' => in_string = false,
                _ => {}
            }
            if !in_string && depth == 0 {
                return Some(index + 1);
            }
            continue;
        }
        match byte {
            b'"' => in_string = true,
            b'{' | b'[' => depth += 1,
            b'}' | b']' if depth == 0 => return Some(index),
            b'}' | b']' => {
                depth -= 1;
                if depth == 0 {
                    return Some(index + 1);
                }
            }
            b',' if depth == 0 => return Some(index),
            _ => {}
        }
    }
    None
}
