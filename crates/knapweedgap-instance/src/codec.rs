//! Encoding of frames: one version byte, a CBOR item with the sender and the kind of body, and a
//! CBOR item with the body.
//!
//! The body is a separate item, so that the sender of a frame with an unknown body can be decoded.

use derive_more::{Display, Error};
use knapweedgap_core::{id, revision};
use knapweedgap_timeline::Stamp;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::wire::{Body, Frame, VERSION};

/// Largest encoded frame, in bytes. A settings tree of 1 MB fits, the largest value of the
/// key-value service.
pub const FRAME_LEN_MAX: usize = 1_500_000;

/// Deepest nesting of CBOR items that the decoder accepts. The messages nest at most 8 deep.
const NESTING_MAX: usize = 16;

/// Error of an encoded frame, with its place.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// The frame is larger than [`FRAME_LEN_MAX`].
    #[display("frame: {len} bytes exceed the limit of {FRAME_LEN_MAX}")]
    Size {
        /// Size of the frame, in bytes.
        len: usize,
    },
    /// The frame has another layout.
    #[display(
        "frame.version: found {found}, expected {VERSION}: run the same release on all instances"
    )]
    Version {
        /// Version byte of the frame.
        found: u8,
    },
    /// The frame is empty.
    #[display("frame: empty")]
    Empty,
    /// The sender or the kind of body cannot be decoded.
    #[display("frame.head: {reason}")]
    Head {
        /// Message of the serializer or decoder, truncated.
        reason: SmolStr,
    },
    /// The kind of body is unknown, as with a body that a newer release added.
    #[display("frame.head.kind: unknown body {kind:?} from {sender}")]
    Kind {
        /// Sender of the frame.
        sender: id::Instance,
        /// Kind of body, as written in the frame.
        kind: SmolStr,
    },
    /// The body does not have the layout of its kind.
    #[display("frame.body.{kind}: {reason} from {sender}")]
    Body {
        /// Sender of the frame.
        sender: id::Instance,
        /// Kind of body, as written in the frame.
        kind: SmolStr,
        /// Message of the serializer or decoder, truncated.
        reason: SmolStr,
    },
}

impl Error {
    /// Returns `true` if the link must close. Only after an invalid or unknown body can the rest of
    /// the stream still be trusted.
    pub const fn closes_link(&self) -> bool {
        !matches!(self, Error::Kind { .. } | Error::Body { .. })
    }
}

#[derive(Debug, Serialize, Deserialize)]
struct Head {
    sender: id::Instance,
    incarnation: id::Incarnation,
    stamp: Stamp,
    sequence: revision::Sequence,
    kind: SmolStr,
}

/// Encodes a frame.
///
/// # Errors
///
/// Returns [`Error::Size`] if the frame is larger than [`FRAME_LEN_MAX`], and [`Error::Head`] or
/// [`Error::Body`] if the serializer fails.
pub fn encode(frame: &Frame) -> Result<Vec<u8>, Error> {
    let head = Head {
        sender: frame.sender.clone(),
        incarnation: frame.incarnation,
        stamp: frame.stamp,
        sequence: frame.sequence,
        kind: SmolStr::new_static(frame.body.name()),
    };
    let mut bytes = vec![VERSION];
    ciborium::into_writer(&head, &mut bytes)
        .map_err(|error| Error::Head { reason: truncated(error) })?;
    let body = match &frame.body {
        Body::Hello(body) => ciborium::into_writer(body, &mut bytes),
        Body::Ping(body) => ciborium::into_writer(body, &mut bytes),
        Body::Pong(body) => ciborium::into_writer(body, &mut bytes),
        Body::Settings(body) => ciborium::into_writer(body, &mut bytes),
        Body::Forward(body) => ciborium::into_writer(body, &mut bytes),
        Body::Reply(body) => ciborium::into_writer(body, &mut bytes),
        Body::Events(body) => ciborium::into_writer(body, &mut bytes),
        Body::Release(body) => ciborium::into_writer(body, &mut bytes),
        Body::Latencies(body) => ciborium::into_writer(body, &mut bytes),
        Body::Orders(body) => ciborium::into_writer(body, &mut bytes),
        Body::Outcomes(body) => ciborium::into_writer(body, &mut bytes),
    };
    body.map_err(|error| Error::Body {
        sender: frame.sender.clone(),
        kind: SmolStr::new_static(frame.body.name()),
        reason: truncated(error),
    })?;
    if bytes.len() > FRAME_LEN_MAX {
        return Err(Error::Size { len: bytes.len() });
    }
    Ok(bytes)
}

/// Decodes a frame.
///
/// # Errors
///
/// Returns the first error in the frame, with its place.
pub fn decode(bytes: &[u8]) -> Result<Frame, Error> {
    if bytes.len() > FRAME_LEN_MAX {
        return Err(Error::Size { len: bytes.len() });
    }
    let (version, mut rest) = bytes.split_first().ok_or(Error::Empty)?;
    if *version != VERSION {
        return Err(Error::Version { found: *version });
    }
    let head: Head = read_item(&mut rest).map_err(|reason| Error::Head { reason })?;
    let body = match head.kind.as_str() {
        "hello" => read_item(&mut rest).map(Body::Hello),
        "ping" => read_item(&mut rest).map(Body::Ping),
        "pong" => read_item(&mut rest).map(Body::Pong),
        "settings" => read_item(&mut rest).map(Body::Settings),
        "forward" => read_item(&mut rest).map(Body::Forward),
        "reply" => read_item(&mut rest).map(Body::Reply),
        "events" => read_item(&mut rest).map(Body::Events),
        "release" => read_item(&mut rest).map(Body::Release),
        "latencies" => read_item(&mut rest).map(Body::Latencies),
        "orders" => read_item(&mut rest).map(Body::Orders),
        "outcomes" => read_item(&mut rest).map(Body::Outcomes),
        _ => return Err(Error::Kind { sender: head.sender, kind: head.kind }),
    };
    let body = body.and_then(|body| match rest.len() {
        0 => Ok(body),
        len => Err(smol_str::format_smolstr!("{len} bytes after the body")),
    });
    let body = body.map_err(|reason| Error::Body {
        sender: head.sender.clone(),
        kind: head.kind,
        reason,
    })?;
    Ok(Frame {
        sender: head.sender,
        incarnation: head.incarnation,
        stamp: head.stamp,
        sequence: head.sequence,
        body,
    })
}

fn read_item<Item>(rest: &mut &[u8]) -> Result<Item, SmolStr>
where
    Item: DeserializeOwned,
{
    ciborium::de::from_reader_with_recursion_limit(rest, NESTING_MAX).map_err(truncated)
}

/// Returns the message of an error, truncated to a length that fits into a log line.
fn truncated<Message>(error: Message) -> SmolStr
where
    Message: std::fmt::Display,
{
    const LEN_MAX: usize = 200;
    let text = error.to_string();
    let mut end = text.len().min(LEN_MAX);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    SmolStr::new(&text[..end])
}
