//! One line of a daemon's log.

use serde::Deserialize;
use std::collections::BTreeMap;

/// A line as the daemon wrote it, with whatever stood before it, such as the name of the VM.
#[derive(Clone, Debug)]
pub struct LogLine {
    pub source: String,
    pub timestamp: String,
    pub name: String,
    pub detail: String,
}

#[derive(Deserialize)]
struct Written {
    timestamp: String,
    message: String,
    #[serde(default)]
    kvs: BTreeMap<String, serde_json::Value>,
}

impl LogLine {
    /// Reads a line; nothing if it is not one of a daemon's.
    pub fn parse(line: &str, file: &str) -> Option<Self> {
        let begin = line.find('{')?;
        let written: Written = serde_json::from_str(&line[begin..]).ok()?;
        let prefix = line[..begin].trim();
        let source = if prefix.is_empty() { file } else { prefix };
        Some(Self {
            source: source.to_string(),
            timestamp: written.timestamp,
            name: written.kvs.get("name")?.as_str()?.to_string(),
            detail: written.message,
        })
    }

    /// The value of a `key=value` word.
    pub fn value(&self, key: &str) -> Option<&str> {
        self.detail.split_whitespace().find_map(|word| word.strip_prefix(key)?.strip_prefix('='))
    }
}
