//! Decoder of chunked bodies (RFC 9112, section 7.1) that holds no bytes.

use crate::error::Error;

/// Largest length of the extensions of a chunk, and of all trailers of a body, in bytes.
const EXTRA_LEN_MAX: usize = 16 * 1024;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    SizeStart,
    Size,
    /// White space after the size, before the end of the line or an extension.
    SizeSpace,
    Extension,
    SizeEnd,
    Data,
    DataCr,
    DataLf,
    LineStart,
    Trailer,
    LastLf,
    Done,
}

/// Decoder of one body. Chunk extensions and trailers are discarded.
#[derive(Debug)]
pub(crate) struct Decoder {
    state: State,
    /// Bytes of the current chunk that have not been decoded.
    remaining: u64,
    extra_len: usize,
}

/// Result of one step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Step {
    pub(crate) consumed: usize,
    pub(crate) written: usize,
}

impl Decoder {
    pub(crate) fn new() -> Decoder {
        Decoder { state: State::SizeStart, remaining: 0, extra_len: 0 }
    }

    pub(crate) fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Decodes bytes of `input` into `target` until one of them is used up or the body ends.
    pub(crate) fn decode(&mut self, input: &[u8], target: &mut [u8]) -> Result<Step, Error> {
        let mut step = Step { consumed: 0, written: 0 };
        while step.consumed < input.len() && !self.is_done() {
            if self.state != State::Data {
                self.control(input[step.consumed])?;
                step.consumed += 1;
                continue;
            }
            let remaining = usize::try_from(self.remaining).unwrap_or(usize::MAX);
            let (input, target) = (&input[step.consumed..], &mut target[step.written..]);
            let count = remaining.min(input.len()).min(target.len());
            if count == 0 {
                return Ok(step);
            }
            target[..count].copy_from_slice(&input[..count]);
            step.consumed += count;
            step.written += count;
            self.remaining -= count as u64;
            if self.remaining == 0 {
                self.state = State::DataCr;
            }
        }
        Ok(step)
    }

    /// Decodes one byte outside the data of a chunk.
    fn control(&mut self, byte: u8) -> Result<(), Error> {
        self.state = match (self.state, byte) {
            (State::SizeStart | State::Size, _) if byte.is_ascii_hexdigit() => {
                let digit = (byte as char).to_digit(16).unwrap_or(0);
                let shifted = self.remaining.checked_mul(16).ok_or_else(malformed)?;
                self.remaining = shifted + u64::from(digit);
                State::Size
            }
            (State::Size | State::SizeSpace, b';') => State::Extension,
            (State::Size | State::SizeSpace, b' ' | b'\t') => self.extra(State::SizeSpace)?,
            (State::Size | State::SizeSpace | State::Extension, b'\r') => State::SizeEnd,
            (State::Extension, _) if byte != b'\n' => self.extra(State::Extension)?,
            (State::SizeEnd, b'\n') if self.remaining == 0 => State::LineStart,
            (State::SizeEnd, b'\n') => State::Data,
            (State::DataCr, b'\r') => State::DataLf,
            (State::DataLf, b'\n') => {
                self.extra_len = 0;
                State::SizeStart
            }
            (State::LineStart, b'\r') => State::LastLf,
            (State::Trailer, b'\n') => State::LineStart,
            (State::LineStart | State::Trailer, _) if byte != b'\n' => {
                self.extra(State::Trailer)?
            }
            (State::LastLf, b'\n') => State::Done,
            _ => return Err(malformed()),
        };
        Ok(())
    }

    fn extra(&mut self, next: State) -> Result<State, Error> {
        self.extra_len += 1;
        if self.extra_len > EXTRA_LEN_MAX { Err(malformed()) } else { Ok(next) }
    }
}

fn malformed() -> Error {
    Error::Malformed("invalid chunk in the body".to_owned())
}
