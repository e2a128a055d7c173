//! Generated bodies whose bytes sender and receiver can derive independently, and their digest.

use std::fmt;
use std::io;
use std::pin::Pin;
use std::str::FromStr;
use std::task::{Context, Poll};

use futures_lite::{AsyncBufRead, AsyncRead};
use knapweedgap_core::parse;
use rapidhash::v3::{DEFAULT_RAPID_SECRETS, RapidStreamHasherV3, rapidhash_v3};
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

/// Digest of a body, written as 16 hexadecimal digits.
///
/// It is computed with rapidhash version 3, which detects mixed-up and truncated answers but does
/// not withstand an attacker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "SmolStr", into = "SmolStr")]
pub struct Digest(u64);

impl Digest {
    /// Computes the digest of a complete body.
    pub fn of(bytes: &[u8]) -> Digest {
        Digest(rapidhash_v3(bytes))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Digest {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<Digest, parse::Error> {
        let error = || parse::Error::new("digest", text, "write 16 lower-case hexadecimal digits");
        let digits = text.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
        if text.len() != 16 || !digits {
            return Err(error());
        }
        u64::from_str_radix(text, 16).map(Digest).map_err(|_| error())
    }
}

impl TryFrom<SmolStr> for Digest {
    type Error = parse::Error;

    fn try_from(text: SmolStr) -> Result<Digest, parse::Error> {
        text.parse()
    }
}

impl From<Digest> for SmolStr {
    fn from(digest: Digest) -> SmolStr {
        format_smolstr!("{digest}")
    }
}

/// Incremental computation of the digest of a body that arrives in chunks.
pub struct Hasher {
    inner: RapidStreamHasherV3<'static>,
    length: u64,
}

impl fmt::Debug for Hasher {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Hasher").field("length", &self.length).finish_non_exhaustive()
    }
}

impl Default for Hasher {
    fn default() -> Hasher {
        Hasher { inner: RapidStreamHasherV3::new(&DEFAULT_RAPID_SECRETS), length: 0 }
    }
}

impl Hasher {
    /// Appends a chunk.
    pub fn write(&mut self, bytes: &[u8]) {
        self.inner.write(bytes);
        self.length = self.length.saturating_add(bytes.len() as u64);
    }

    /// Returns the number of bytes appended so far.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Returns the digest of the bytes appended so far.
    pub fn digest(&self) -> Digest {
        Digest(self.inner.finish())
    }
}

/// Size of the block that a pattern repeats, in bytes. It is odd, so chunks of the usual buffer
/// sizes are not aligned with it and swapped chunks change the digest.
const BLOCK_LEN: usize = 4099;

/// Stream of bytes derived from a name, such as the id of a request.
#[derive(Debug)]
pub struct Pattern {
    block: Vec<u8>,
    position: usize,
    remaining: u64,
}

impl Pattern {
    /// Creates `length` bytes derived from `name`.
    pub fn new(name: &str, length: u64) -> Pattern {
        let mut random = fastrand::Rng::with_seed(rapidhash_v3(name.as_bytes()));
        let mut block = vec![0; BLOCK_LEN];
        random.fill(&mut block);
        Pattern { block, position: 0, remaining: length }
    }

    /// Returns the digest of all bytes of the stream.
    pub fn digest(mut self) -> Digest {
        let mut hasher = Hasher::default();
        loop {
            let count = self.chunk().len();
            if count == 0 {
                return hasher.digest();
            }
            hasher.write(self.chunk());
            self.advance(count);
        }
    }

    /// Returns all bytes of the stream. Intended for short streams.
    pub fn bytes(mut self) -> Vec<u8> {
        let mut bytes = Vec::new();
        loop {
            let count = self.chunk().len();
            if count == 0 {
                return bytes;
            }
            bytes.extend_from_slice(self.chunk());
            self.advance(count);
        }
    }

    fn chunk(&self) -> &[u8] {
        let chunk = &self.block[self.position..];
        let remaining = usize::try_from(self.remaining).unwrap_or(usize::MAX);
        &chunk[..chunk.len().min(remaining)]
    }

    fn advance(&mut self, count: usize) {
        self.remaining = self.remaining.saturating_sub(count as u64);
        self.position = (self.position + count) % BLOCK_LEN;
    }
}

impl AsyncRead for Pattern {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        target: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let chunk = self.chunk();
        let count = chunk.len().min(target.len());
        target[..count].copy_from_slice(&chunk[..count]);
        self.advance(count);
        Poll::Ready(Ok(count))
    }
}

impl AsyncBufRead for Pattern {
    fn poll_fill_buf(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        Poll::Ready(Ok(self.into_ref().get_ref().chunk()))
    }

    fn consume(mut self: Pin<&mut Self>, count: usize) {
        self.advance(count);
    }
}
