//! Parses the JSON lines of a daemon's log.

use serde::Deserialize;
use std::collections::BTreeMap;

/// One line of a daemon's log.
#[derive(Clone, Debug)]
pub struct LogLine {
    /// The text before the JSON object, such as the name of the VM, or the name of the log file.
    pub source: String,
    pub timestamp: String,
    /// The name of the event, such as `request-run`.
    pub event: String,
    /// The message, which consists of `key=value` words.
    pub detail: String,
}

/// The JSON object as the daemon writes it.
#[derive(Deserialize)]
struct JsonLine {
    timestamp: String,
    message: String,
    #[serde(default)]
    kvs: BTreeMap<String, serde_json::Value>,
}

impl LogLine {
    /// Parses a line of the log file `file`. Returns `None` if a daemon did not write the line.
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

    /// The value of the first word `key=value` of the message.
    pub fn value(&self, key: &str) -> Option<&str> {
        self.detail.split_whitespace().find_map(|word| word.strip_prefix(key)?.strip_prefix('='))
    }
}
