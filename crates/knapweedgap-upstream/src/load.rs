//! Load that an upstream reports in its responses.
//!
//! The header follows the text format of the Open Request Cost Aggregation proposal: `TEXT `, then
//! pairs `name=value` separated by commas.

use std::str::FromStr;

use derive_more::{Display, Error};
use http_types::Response;
use knapweedgap_core::size;

/// Header with the load.
pub const HEADER: &str = "endpoint-load-metrics";
/// Header that marks a refusal before the request started.
pub const NOT_STARTED: &str = "x-not-started";

const FORMAT: &str = "TEXT ";
const SLOTS: &str = "named_metrics.slots_in_use";

/// Load reported by an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("{FORMAT}{SLOTS}={slots_in_use}")]
pub struct Load {
    /// Number of requests that the upstream processes.
    pub slots_in_use: size::Slot,
}

/// Rejection of a load header.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// The header does not start with `TEXT `.
    #[display("{HEADER}: use the text format, as TEXT {SLOTS}=3")]
    Format,
    /// The slots in use are missing.
    #[display("{HEADER}: {SLOTS} is missing")]
    Missing,
    /// The slots in use are repeated or not a whole number.
    #[display("{HEADER}: {SLOTS} must be one whole number")]
    Number,
}

impl FromStr for Load {
    type Err = Error;

    fn from_str(text: &str) -> Result<Load, Error> {
        let pairs = text.trim().strip_prefix(FORMAT).ok_or(Error::Format)?;
        let mut found = None;
        for pair in pairs.split(',') {
            let Some((name, value)) = pair.split_once('=') else { continue };
            if name.trim() != SLOTS {
                continue;
            }
            let slots = parse_whole(value.trim()).ok_or(Error::Number)?;
            if found.replace(slots).is_some() {
                return Err(Error::Number);
            }
        }
        found.map(|slots_in_use| Load { slots_in_use }).ok_or(Error::Missing)
    }
}

/// Parses a whole number. Values of the proposal are floating-point numbers, so `3.0` is accepted.
fn parse_whole(text: &str) -> Option<size::Slot> {
    let digits = match text.split_once('.') {
        Some((digits, fraction)) if fraction.bytes().all(|byte| byte == b'0') => digits,
        Some(_) => return None,
        None => text,
    };
    let valid = digits.bytes().all(|byte| byte.is_ascii_digit());
    digits.parse().ok().filter(|_| valid)
}

/// Returns the slots in use that a response reports, or `None` if the header is missing or invalid.
/// The response is valid without it.
pub fn slots_in_use(response: &Response) -> Option<size::Slot> {
    let header = response.header(HEADER)?;
    let load: Load = header.last().as_str().parse().ok()?;
    Some(load.slots_in_use)
}

/// Returns `true` if a response is a refusal before the request started: status 503 with
/// [`NOT_STARTED`] set to `true`.
pub fn is_refusal(response: &Response) -> bool {
    let marked = response.header(NOT_STARTED);
    let marked = marked.is_some_and(|value| value.last().as_str().eq_ignore_ascii_case("true"));
    marked && u16::from(response.status()) == 503
}
