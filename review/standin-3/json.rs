//! A small JSON reader and writer.

use std::fmt;

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, key: &str) -> &Json {
        const NONE: Json = Json::Null;
        match self {
            Json::Map(rows) => rows.iter().find(|(k, _)| k == key).map_or(&NONE, |(_, v)| v),
            _ => &NONE,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Str(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Num(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    pub fn parse(bytes: &[u8]) -> Option<Json> {
        let mut parser = Parser { bytes, at: 0 };
        let value = parser.value()?;
        parser.space();
        (parser.at == bytes.len()).then_some(value)
    }
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => f.write_str("null"),
            Json::Bool(value) => write!(f, "{value}"),
            Json::Num(number) if number.fract() == 0.0 => write!(f, "{}", *number as i64),
            Json::Num(number) => write!(f, "{number}"),
            Json::Str(text) => write_text(f, text),
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
            Json::Map(rows) => {
                f.write_str("{")?;
                for (index, (key, value)) in rows.iter().enumerate() {
                    if index > 0 {
                        f.write_str(",")?;
                    }
                    write_text(f, key)?;
                    write!(f, ":{value}")?;
                }
                f.write_str("}")
            }
        }
    }
}

fn write_text(f: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    f.write_str("\"")?;
    for c in text.chars() {
        match c {
            '"' => f.write_str("\\\"")?,
            '\\' => f.write_str("\\\\")?,
            c if (c as u32) < 0x20 => write!(f, "\\u{:04x}", c as u32)?,
            c => write!(f, "{c}")?,
        }
    }
    f.write_str("\"")
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, text: &str) -> Option<()> {
        let end = self.at + text.len();
        (self.bytes.get(self.at..end)? == text.as_bytes()).then(|| self.at = end)
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.bytes.get(self.at)? {
            b'n' => self.take("null").map(|()| Json::Null),
            b't' => self.take("true").map(|()| Json::Bool(true)),
            b'f' => self.take("false").map(|()| Json::Bool(false)),
            b'"' => self.string().map(Json::Str),
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                self.space();
                if self.take("]").is_some() {
                    return Some(Json::List(list));
                }
                loop {
                    list.push(self.value()?);
                    self.space();
                    if self.take("]").is_some() {
                        return Some(Json::List(list));
                    }
                    self.take(",")?;
                }
            }
            b'{' => {
                self.at += 1;
                let mut rows = Vec::new();
                self.space();
                if self.take("}").is_some() {
                    return Some(Json::Map(rows));
                }
                loop {
                    self.space();
                    let key = self.string()?;
                    self.space();
                    self.take(":")?;
                    rows.push((key, self.value()?));
                    self.space();
                    if self.take("}").is_some() {
                        return Some(Json::Map(rows));
                    }
                    self.take(",")?;
                }
            }
            _ => {
                let start = self.at;
                while self.bytes.get(self.at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                text.parse().ok().map(Json::Num)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take("\"")?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escape = *self.bytes.get(self.at)?;
                    self.at += 1;
                    let c = match escape {
                        b'n' => '\n',
                        b't' => '\t',
                        b'r' => '\r',
                        b'b' => '\u{8}',
                        b'f' => '\u{c}',
                        b'u' => {
                            let code = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?);
                            self.at += 4;
                            char::from_u32(u32::from_str_radix(code.ok()?, 16).ok()?)?
                        }
                        other => char::from(other),
                    };
                    bytes.extend(c.to_string().as_bytes());
                }
                byte => bytes.push(byte),
            }
        }
    }
}

/// Builds a map.
#[macro_export]
macro_rules! map {
    ($($key:literal : $value:expr),* $(,)?) => {
        $crate::json::Json::Map(vec![$(($key.to_owned(), $value.into())),*])
    };
}

impl From<&str> for Json {
    fn from(text: &str) -> Json {
        Json::Str(text.to_owned())
    }
}

impl From<String> for Json {
    fn from(text: String) -> Json {
        Json::Str(text)
    }
}

impl From<u64> for Json {
    fn from(number: u64) -> Json {
        Json::Num(number as f64)
    }
}

impl From<u32> for Json {
    fn from(number: u32) -> Json {
        Json::Num(f64::from(number))
    }
}

impl From<f64> for Json {
    fn from(number: f64) -> Json {
        Json::Num(number)
    }
}

impl From<bool> for Json {
    fn from(value: bool) -> Json {
        Json::Bool(value)
    }
}

impl From<Vec<Json>> for Json {
    fn from(list: Vec<Json>) -> Json {
        Json::List(list)
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes as base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let value =
            chunk.iter().fold(0u32, |sum, &b| sum << 8 | u32::from(b)) << (8 * (3 - chunk.len()));
        for index in 0..4 {
            let c = ALPHABET[(value >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= chunk.len() { char::from(c) } else { '=' });
        }
    }
    text
}

/// Decodes base64.
pub fn unbase64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut value, mut bits) = (0u32, 0);
    for c in text.bytes() {
        let Some(digit) = ALPHABET.iter().position(|&a| a == c) else { break };
        value = value << 6 | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((value >> bits) as u8);
        }
    }
    bytes
}
