//! A stand-in for the platform's metadata store: objects by kind and name, one revision counter,
//! conditional writes and watches.

use crate::http::{self, Message};
use crate::json::{self, Json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Json>,
    /// Each change with its revision, its kind, whether it is a removal, and the object.
    changes: Vec<(u64, String, bool, Json)>,
}

#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(addr: SocketAddr) -> Self {
        let state = State { revision: 1, ..State::default() };
        let store = Self { addr, shared: Arc::new((Mutex::new(state), Condvar::new())) };
        let served = store.clone();
        http::serve(addr, move |request| Some(served.handle(request)));
        store
    }

    /// Writes an object as the operator does.
    pub fn put(&self, kind: &str, name: &str, spec: Json) {
        self.write(kind, name, spec);
    }

    /// The spec of an object; null if there is none.
    pub fn spec(&self, kind: &str, name: &str) -> Json {
        let state = self.shared.0.lock().unwrap();
        let object = state.objects.get(&(kind.to_string(), name.to_string()));
        object.map_or(Json::Null, |object| object.get("spec").clone())
    }

    fn write(&self, kind: &str, name: &str, spec: Json) -> Json {
        let mut state = self.shared.0.lock().unwrap();
        let key = (kind.to_string(), name.to_string());
        if let Some(object) = state.objects.get(&key)
            && *object.get("spec") == spec
        {
            return object.clone();
        }
        state.revision += 1;
        let revision = state.revision;
        let metadata = json::object(vec![
            ("name", json::text(name)),
            ("revision", json::number(revision)),
            ("created", json::number(revision)),
            ("finalizers", Json::List(Vec::new())),
            ("deleting", Json::Bool(false)),
        ]);
        let object =
            json::object(vec![("metadata", metadata), ("spec", spec), ("status", Json::Null)]);
        state.objects.insert(key, object.clone());
        state.changes.push((revision, kind.to_string(), false, object.clone()));
        self.shared.1.notify_all();
        object
    }

    fn remove(&self, kind: &str, name: &str) {
        let mut state = self.shared.0.lock().unwrap();
        if let Some(object) = state.objects.remove(&(kind.to_string(), name.to_string())) {
            state.revision += 1;
            let revision = state.revision;
            state.changes.push((revision, kind.to_string(), true, object));
            self.shared.1.notify_all();
        }
    }

    fn handle(&self, request: &Message) -> Vec<u8> {
        let (path, query) = request.path().split_once('?').unwrap_or((request.path(), ""));
        let query_number = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .into_iter()
                .find(|(key, _)| *key == name)
                .and_then(|(_, value)| value.parse().ok())
        };
        let path = path.trim_start_matches("/-/objects/");
        let (kind, name) = match path.split_once('/') {
            Some((kind, name)) => (kind, Some(name)),
            None => (path, None),
        };
        let body = Json::parse(&request.body_text()).unwrap_or(Json::Null);
        let condition: Option<u64> =
            body.get("metadata").get("revision").whole().or(query_number("revision"));
        let present = name.and_then(|name| {
            let state = self.shared.0.lock().unwrap();
            state.objects.get(&(kind.to_string(), name.to_string())).cloned()
        });
        if let (Some(object), Some(revision)) = (&present, condition)
            && object.get("metadata").get("revision").whole() != Some(revision)
        {
            return answer(409, object);
        }
        match (request.method(), name) {
            ("GET", None) => match query_number("watch") {
                Some(after) => self.watch(kind, after, query_number("wait_ms").unwrap_or(0)),
                None => self.list(kind),
            },
            ("GET", Some(_)) => {
                present.map_or(answer(404, &Json::Null), |found| answer(200, &found))
            }
            ("POST", None) => {
                let name = body.get("metadata").get("name").text().unwrap_or_default().to_string();
                let exists = {
                    let state = self.shared.0.lock().unwrap();
                    state.objects.get(&(kind.to_string(), name.clone())).cloned()
                };
                match exists {
                    Some(object) => answer(409, &object),
                    None => answer(200, &self.write(kind, &name, body.get("spec").clone())),
                }
            }
            ("PUT", Some(name)) if present.is_some() => {
                answer(200, &self.write(kind, name, body.get("spec").clone()))
            }
            ("DELETE", Some(name)) if present.is_some() => {
                self.remove(kind, name);
                answer(200, &Json::Null)
            }
            _ => answer(404, &Json::Null),
        }
    }

    fn list(&self, kind: &str) -> Vec<u8> {
        let state = self.shared.0.lock().unwrap();
        let items = state.objects.iter().filter(|((of, _), _)| of == kind);
        let items = items.map(|(_, object)| object.clone()).collect();
        answer(
            200,
            &json::object(vec![
                ("items", Json::List(items)),
                ("more", Json::Bool(false)),
                ("current_rev", json::number(state.revision)),
            ]),
        )
    }

    fn watch(&self, kind: &str, after: u64, wait_ms: u64) -> Vec<u8> {
        let end = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.shared.0.lock().unwrap();
        loop {
            let newer = state.changes.iter().filter(|(at, of, ..)| *at > after && of == kind);
            let events: Vec<Json> = newer
                .map(|(_, _, removed, object)| {
                    json::object(vec![
                        ("removed", Json::Bool(*removed)),
                        ("object", object.clone()),
                    ])
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let page = json::object(vec![
                    ("events", Json::List(events)),
                    ("current_rev", json::number(state.revision)),
                ]);
                return answer(200, &page);
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn answer(status: u16, value: &Json) -> Vec<u8> {
    http::response(status, &[("Content-Type", "application/json")], &value.to_string())
}
