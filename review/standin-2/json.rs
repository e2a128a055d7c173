//! Minimal JSON values: parser and printer.

use std::collections::BTreeMap;

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Map(map) => map.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }
    pub fn str(&self) -> &str {
        match self {
            Json::Str(text) => text,
            _ => "",
        }
    }
    pub fn u64(&self) -> u64 {
        match self {
            Json::Num(number) => *number as u64,
            _ => 0,
        }
    }
    pub fn is_number(&self) -> bool {
        matches!(self, Json::Num(_))
    }
    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = value(bytes, &mut at)?;
        skip(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }
}

pub fn map(fields: Vec<(&str, Json)>) -> Json {
    Json::Map(fields.into_iter().map(|(key, value)| (key.to_owned(), value)).collect())
}
pub fn text(text: impl Into<String>) -> Json {
    Json::Str(text.into())
}
pub fn num(number: u64) -> Json {
    Json::Num(number as f64)
}

fn skip(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip(bytes, at);
    match bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut map = BTreeMap::new();
            loop {
                skip(bytes, at);
                if bytes.get(*at)? == &b'}' {
                    *at += 1;
                    return Some(Json::Map(map));
                }
                if bytes[*at] == b',' {
                    *at += 1;
                    continue;
                }
                let key = string(bytes, at)?;
                skip(bytes, at);
                if bytes.get(*at)? != &b':' {
                    return None;
                }
                *at += 1;
                map.insert(key, value(bytes, at)?);
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip(bytes, at);
                match bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    b',' => *at += 1,
                    _ => list.push(value(bytes, at)?),
                }
            }
        }
        b'"' => Some(Json::Str(string(bytes, at)?)),
        b't' => word(bytes, at, "true", Json::Bool(true)),
        b'f' => word(bytes, at, "false", Json::Bool(false)),
        b'n' => word(bytes, at, "null", Json::Null),
        _ => {
            let start = *at;
            while bytes.get(*at).is_some_and(|byte| b"+-.eE0123456789".contains(byte)) {
                *at += 1;
            }
            std::str::from_utf8(&bytes[start..*at]).ok()?.parse().ok().map(Json::Num)
        }
    }
}

fn word(bytes: &[u8], at: &mut usize, word: &str, value: Json) -> Option<Json> {
    let end = *at + word.len();
    (bytes.get(*at..end)? == word.as_bytes()).then(|| {
        *at = end;
        value
    })
}

fn string(bytes: &[u8], at: &mut usize) -> Option<String> {
    if bytes.get(*at)? != &b'"' {
        return None;
    }
    *at += 1;
    let mut out = Vec::new();
    loop {
        match bytes.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(out).ok();
            }
            b'\\' => {
                let escape = *bytes.get(*at + 1)?;
                *at += 2;
                match escape {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'b' => out.push(8),
                    b'f' => out.push(12),
                    b'u' => {
                        let hex = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        let code = u32::from_str_radix(hex, 16).ok()?;
                        *at += 4;
                        let letter = char::from_u32(code).unwrap_or('?');
                        out.extend(letter.to_string().as_bytes());
                    }
                    other => out.push(other),
                }
            }
            byte => {
                out.push(*byte);
                *at += 1;
            }
        }
    }
}

impl std::fmt::Display for Json {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Json::Null => f.write_str("null"),
            Json::Bool(flag) => write!(f, "{flag}"),
            Json::Num(number) => write!(f, "{number}"),
            Json::Str(text) => quoted(f, text),
            Json::List(list) => {
                f.write_str("[")?;
                for (index, value) in list.iter().enumerate() {
                    if index > 0 {
                        f.write_str(",")?;
                    }
                    write!(f, "{value}")?;
                }
                f.write_str("]")
            }
            Json::Map(map) => {
                f.write_str("{")?;
                for (index, (key, value)) in map.iter().enumerate() {
                    if index > 0 {
                        f.write_str(",")?;
                    }
                    quoted(f, key)?;
                    write!(f, ":{value}")?;
                }
                f.write_str("}")
            }
        }
    }
}

fn quoted(f: &mut std::fmt::Formatter<'_>, text: &str) -> std::fmt::Result {
    f.write_str("\"")?;
    for letter in text.chars() {
        match letter {
            '"' => f.write_str("\\\"")?,
            '\\' => f.write_str("\\\\")?,
            letter if (letter as u32) < 0x20 => write!(f, "\\u{:04x}", letter as u32)?,
            letter => write!(f, "{letter}")?,
        }
    }
    f.write_str("\"")
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let word = u32::from(part[0]) << 16
            | u32::from(*part.get(1).unwrap_or(&0)) << 8
            | u32::from(*part.get(2).unwrap_or(&0));
        for place in 0..4 {
            if place <= part.len() {
                out.push(DIGITS[(word >> (18 - 6 * place) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

pub fn unbase64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut word, mut bits) = (0u32, 0);
    for byte in text.bytes() {
        let Some(digit) = DIGITS.iter().position(|known| *known == byte) else { break };
        word = word << 6 | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((word >> bits) as u8);
            word &= (1 << bits) - 1;
        }
    }
    out
}
