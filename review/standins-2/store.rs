//! The platform's object store: linearizable, with watches.

use crate::daemon::free_addr;
use crate::http::Reader;
use crate::json::{Json, quote};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
struct Object {
    revision: u64,
    spec: String,
}

struct Change {
    revision: u64,
    kind: String,
    text: String,
}

struct Content {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    changes: Vec<Change>,
}

#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    content: Arc<Mutex<Content>>,
}

fn object_text(name: &str, object: &Object) -> String {
    let (revision, spec) = (object.revision, &object.spec);
    format!(
        r#"{{"metadata":{{"name":{},"revision":{revision}}},"spec":{spec},"status":null}}"#,
        quote(name)
    )
}

impl Content {
    fn put(&mut self, kind: &str, name: &str, spec: &str) -> Object {
        let key = (kind.to_string(), name.to_string());
        if let Some(object) = self.objects.get(&key).filter(|object| object.spec == spec) {
            return object.clone();
        }
        self.revision += 1;
        let object = Object { revision: self.revision, spec: spec.to_string() };
        let text = format!(r#"{{"object":{},"removed":false}}"#, object_text(name, &object));
        self.changes.push(Change { revision: self.revision, kind: kind.into(), text });
        self.objects.insert(key, object.clone());
        object
    }

    fn remove(&mut self, kind: &str, name: &str) {
        if let Some(object) = self.objects.remove(&(kind.to_string(), name.to_string())) {
            self.revision += 1;
            let text = format!(r#"{{"object":{},"removed":true}}"#, object_text(name, &object));
            self.changes.push(Change { revision: self.revision, kind: kind.into(), text });
        }
    }
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind(free_addr()).expect("a free port");
        let content = Content { revision: 1, objects: BTreeMap::new(), changes: Vec::new() };
        let store = Self {
            addr: listener.local_addr().expect("the address is known"),
            content: Arc::new(Mutex::new(content)),
        };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes the configuration, as an operator does.
    pub fn publish(&self, config: &str) {
        self.content.lock().unwrap().put("config", "main", config);
    }

    fn serve(&self, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let mut reader = Reader::new(stream);
        while let Ok(Some(head)) = reader.head() {
            let Ok(body) = reader.body(head.length()) else { return };
            // The sheets give 4 ms an answer.
            std::thread::sleep(Duration::from_millis(4));
            let (status, text) = self.handle(&head.first[0], &head.first[1], &body);
            let reply = format!(
                "HTTP/1.1 {status} OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{text}",
                text.len()
            );
            if reader.stream.write_all(reply.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn handle(&self, method: &str, target: &str, body: &[u8]) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let Some(path) = path.strip_prefix("/-/objects/") else { return (404, "null".into()) };
        let (kind, name) = match path.split_once('/') {
            Some((kind, name)) => (kind, Some(name)),
            None => (path, None),
        };
        if method == "GET" && name.is_none() {
            return match query.get("watch").and_then(|text| text.parse().ok()) {
                Some(after) => self.watch(kind, after, &query),
                None => self.list(kind),
            };
        }
        let parsed = Json::parse(&String::from_utf8_lossy(body)).unwrap_or(Json::Null);
        let metadata = parsed.get("metadata").cloned().unwrap_or(Json::Null);
        let spec = parsed.get("spec").map_or("null".into(), Json::encode);
        let wanted = metadata.get("revision").and_then(Json::number);
        let wanted = wanted.or(query.get("revision").and_then(|text| text.parse().ok()));
        let name = name.or(metadata.get("name").and_then(Json::text)).unwrap_or_default();
        let mut content = self.content.lock().unwrap();
        let present = content.objects.get(&(kind.to_string(), name.to_string())).cloned();
        match (method, present) {
            ("POST", Some(object)) => (409, object_text(name, &object)),
            ("POST", None) => (200, object_text(name, &content.put(kind, name, &spec))),
            (_, None) => (404, "null".into()),
            ("GET", Some(object)) => (200, object_text(name, &object)),
            (_, Some(object)) if wanted.is_some_and(|wanted| wanted != object.revision) => {
                (409, object_text(name, &object))
            }
            ("PUT", Some(_)) => (200, object_text(name, &content.put(kind, name, &spec))),
            ("DELETE", Some(_)) => {
                content.remove(kind, name);
                (200, "null".into())
            }
            _ => (400, "null".into()),
        }
    }

    fn list(&self, kind: &str) -> (u16, String) {
        let content = self.content.lock().unwrap();
        let items: Vec<String> = content
            .objects
            .iter()
            .filter(|((other, _), _)| other == kind)
            .map(|((_, name), object)| object_text(name, object))
            .collect();
        let (items, revision) = (items.join(","), content.revision);
        (200, format!(r#"{{"items":[{items}],"more":false,"current_rev":{revision}}}"#))
    }

    fn watch(&self, kind: &str, after: u64, query: &BTreeMap<&str, &str>) -> (u16, String) {
        let wait_ms = query.get("wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            {
                let content = self.content.lock().unwrap();
                let changes = content.changes.iter();
                let events: Vec<&str> = changes
                    .filter(|change| change.kind == kind && change.revision > after)
                    .map(|change| change.text.as_str())
                    .collect();
                if !events.is_empty() || Instant::now() >= deadline {
                    let (events, revision) = (events.join(","), content.revision);
                    return (200, format!(r#"{{"events":[{events}],"current_rev":{revision}}}"#));
                }
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}
