//! The part of JSON that the store needs: values with their text.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = value(bytes, &mut at)?;
        skip(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }

    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Map(map) => map.get(key),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(number) => number.parse().ok(),
            _ => None,
        }
    }

    pub fn encode(&self) -> String {
        match self {
            Json::Null => "null".into(),
            Json::Bool(value) => value.to_string(),
            Json::Number(number) => number.clone(),
            Json::Text(text) => quote(text),
            Json::List(items) => {
                let items: Vec<String> = items.iter().map(Json::encode).collect();
                format!("[{}]", items.join(","))
            }
            Json::Map(map) => {
                let fields: Vec<String> =
                    map.iter().map(|(key, value)| format!("{}:{}", quote(key), value.encode())).collect();
                format!("{{{}}}", fields.join(","))
            }
        }
    }
}

pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for character in text.chars() {
        match character {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            character if (character as u32) < 0x20 => {
                quoted.push_str(&format!("\\u{:04x}", character as u32));
            }
            character => quoted.push(character),
        }
    }
    quoted.push('"');
    quoted
}

fn skip(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn eat(bytes: &[u8], at: &mut usize, wanted: u8) -> Option<()> {
    skip(bytes, at);
    (bytes.get(*at) == Some(&wanted)).then(|| *at += 1)
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip(bytes, at);
    match bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut map = BTreeMap::new();
            if eat(bytes, at, b'}').is_some() {
                return Some(Json::Map(map));
            }
            loop {
                skip(bytes, at);
                let key = string(bytes, at)?;
                eat(bytes, at, b':')?;
                map.insert(key, value(bytes, at)?);
                if eat(bytes, at, b'}').is_some() {
                    return Some(Json::Map(map));
                }
                eat(bytes, at, b',')?;
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            if eat(bytes, at, b']').is_some() {
                return Some(Json::List(items));
            }
            loop {
                items.push(value(bytes, at)?);
                if eat(bytes, at, b']').is_some() {
                    return Some(Json::List(items));
                }
                eat(bytes, at, b',')?;
            }
        }
        b'"' => Some(Json::Text(string(bytes, at)?)),
        _ => {
            let start = *at;
            while bytes.get(*at).is_some_and(|b| b.is_ascii_alphanumeric() || b"+-.".contains(b)) {
                *at += 1;
            }
            match std::str::from_utf8(&bytes[start..*at]).ok()? {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                "" => None,
                number => Some(Json::Number(number.into())),
            }
        }
    }
}

fn string(bytes: &[u8], at: &mut usize) -> Option<String> {
    if bytes.get(*at) != Some(&b'"') {
        return None;
    }
    *at += 1;
    let mut raw = Vec::new();
    loop {
        match *bytes.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(raw).ok();
            }
            b'\\' => {
                let escaped = *bytes.get(*at + 1)?;
                *at += 2;
                match escaped {
                    b'n' => raw.push(b'\n'),
                    b't' => raw.push(b'\t'),
                    b'r' => raw.push(b'\r'),
                    b'b' => raw.push(8),
                    b'f' => raw.push(12),
                    b'u' => {
                        let hex = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        let code = u32::from_str_radix(hex, 16).ok()?;
                        let character = char::from_u32(code).unwrap_or('\u{fffd}');
                        raw.extend(character.to_string().bytes());
                        *at += 4;
                    }
                    other => raw.push(other),
                }
            }
            byte => {
                raw.push(byte);
                *at += 1;
            }
        }
    }
}
