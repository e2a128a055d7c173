//! Keys and key ranges.

use std::str::FromStr;

use derive_more::Display;
use knapweedgap_core::parse;
use smol_str::SmolStr;

/// Maximum length of a key, in bytes.
pub const LEN_MAX: usize = 1024;

/// Default limit on the entries in one page.
pub const PAGE_LEN: u32 = 1000;

/// Key or key prefix: 1 to [`LEN_MAX`] printable ASCII characters except space.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct Key(SmolStr);

impl Key {
    /// Returns the key as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns `true` if this key starts with `prefix`.
    pub fn is_under(&self, prefix: &Key) -> bool {
        self.0.starts_with(prefix.as_str())
    }

    /// Returns the exclusive upper bound of the keys under this prefix.
    pub fn prefix_end(&self) -> Vec<u8> {
        let mut end = self.0.as_bytes().to_vec();
        // A key is not empty and its bytes are below 0x7f, so the addition does not overflow.
        if let Some(last) = end.last_mut() {
            *last += 1;
        }
        end
    }
}

impl FromStr for Key {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<Key, parse::Error> {
        let length_ok = !text.is_empty() && text.len() <= LEN_MAX;
        if length_ok && text.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Ok(Key(SmolStr::new(text)));
        }
        let help = "use 1 to 1024 printable ASCII characters without space";
        Err(parse::Error::new("key", text, help))
    }
}

/// Keys that a range call reads: one key, or a page of the keys under a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Range {
    pub(crate) span: Span,
    pub(crate) after: Option<Key>,
    pub(crate) limit: u32,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Span {
    Key(Key),
    Prefix(Key),
}

impl Range {
    /// Creates a range of one key.
    pub fn key(key: Key) -> Range {
        Range { span: Span::Key(key), after: None, limit: 1 }
    }

    /// Creates a range of the keys that start with `prefix`, at most [`PAGE_LEN`] per page. An
    /// answer above 16 MiB is invalid, so set a lower limit for keys with large values.
    pub fn prefix(prefix: Key) -> Range {
        Range { span: Span::Prefix(prefix), after: None, limit: PAGE_LEN }
    }

    /// Returns the key of a range of one key; `None` for a prefix.
    pub fn single(&self) -> Option<&Key> {
        match &self.span {
            Span::Key(key) => Some(key),
            Span::Prefix(_) => None,
        }
    }

    /// Returns the key or the prefix of this range.
    pub fn start(&self) -> &Key {
        match &self.span {
            Span::Key(key) | Span::Prefix(key) => key,
        }
    }

    /// Returns the last key of the previous page; `None` for the first page.
    pub fn continues_after(&self) -> Option<&Key> {
        self.after.as_ref()
    }

    /// Continues after `key`, the last key of the previous page.
    pub fn after(mut self, key: Key) -> Range {
        self.after = Some(key);
        self
    }

    /// Sets the maximum number of entries in a page; 0 is treated as 1.
    pub fn limit(mut self, entries: u32) -> Range {
        self.limit = entries.max(1);
        self
    }
}
