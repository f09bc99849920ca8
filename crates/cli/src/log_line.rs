//! One line of a daemon's log.

use serde::Deserialize;
use std::collections::BTreeMap;

/// A line as the daemon wrote it, with whatever stood before it, such as the name of the VM.
#[derive(Clone, Debug)]
pub struct LogLine {
    pub source: String,
    pub timestamp: String,
    pub event: String,
    pub detail: String,
}

#[derive(Deserialize)]
struct JsonLine {
    timestamp: String,
    message: String,
    #[serde(default)]
    kvs: BTreeMap<String, serde_json::Value>,
}

impl LogLine {
    /// Reads a line; nothing if it is not one of a daemon's.
    pub fn parse(line: &str, file: &str) -> Option<Self> {
        let json_start = line.find('{')?;
        let json_line: JsonLine = serde_json::from_str(&line[json_start..]).ok()?;
        let prefix = line[..json_start].trim();
        let source = if prefix.is_empty() { file } else { prefix };
        Some(Self {
            source: source.to_string(),
            timestamp: json_line.timestamp,
            event: json_line.kvs.get("name")?.as_str()?.to_string(),
            detail: json_line.message,
        })
    }

    /// The value of a `key=value` word.
    pub fn value(&self, key: &str) -> Option<&str> {
        self.detail.split_whitespace().find_map(|word| word.strip_prefix(key)?.strip_prefix('='))
    }
}
