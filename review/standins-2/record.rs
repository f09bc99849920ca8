//! What was sent, answered and run, with the time since the case began.

use std::fs;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { started: Instant::now(), lines: Arc::default() }
    }

    /// Seconds since the case began.
    pub fn now_s(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn add(&self, line: impl Into<String>) {
        let now_s = self.now_s();
        self.lines.lock().unwrap().push((now_s, line.into()));
    }

    /// Like `add`, and prints the line.
    pub fn say(&self, line: impl Into<String>) {
        let line = line.into();
        println!("{:8.3} {line}", self.now_s());
        self.add(line);
    }

    pub fn write(&self, path: &Path) {
        let mut text = String::new();
        for (at_s, line) in self.lines.lock().unwrap().iter() {
            text.push_str(&format!("{at_s:8.3} {line}\n"));
        }
        fs::write(path, text).expect("the record can be written");
    }
}
