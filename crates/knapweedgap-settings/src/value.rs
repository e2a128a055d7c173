//! Values of settings and their JSON forms.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use knapweedgap_core::{id, parse, rate, size};
use serde::{Deserialize, Serialize};
use serde_json::Value as Json;
use smol_str::SmolStr;

use crate::duration;
use crate::finding::Code;
use crate::schema::Kind;

/// Largest weight of an availability zone.
pub const WEIGHT_MAX: u64 = 1000;

/// Most availability zones in one map of weights.
pub const ZONES_MAX: usize = 64;

/// HTTP methods that a client may send.
const METHODS: [&str; 7] = ["DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"];

const METHOD_HELP: &str = "use DELETE, GET, HEAD, OPTIONS, PATCH, POST or PUT";

/// Method of an HTTP request, in upper case.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display, Serialize, Deserialize,
)]
#[serde(try_from = "SmolStr", into = "SmolStr")]
pub struct Method(SmolStr);

impl Method {
    /// Returns the method as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for Method {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<Method, parse::Error> {
        if METHODS.contains(&text) {
            return Ok(Method(SmolStr::new(text)));
        }
        Err(parse::Error::new("HTTP method", text, METHOD_HELP))
    }
}

impl TryFrom<SmolStr> for Method {
    type Error = parse::Error;

    fn try_from(text: SmolStr) -> Result<Method, parse::Error> {
        text.parse()
    }
}

impl From<Method> for SmolStr {
    fn from(method: Method) -> SmolStr {
        method.0
    }
}

/// Validated value of one setting.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::From)]
pub enum Value {
    /// Duration, as `"250ms"`.
    Duration(Duration),
    /// Memory, as `"4GiB"`.
    Bytes(size::Bytes),
    /// Processor capacity, as `"1500m"`.
    Processor(size::Processor),
    /// Number without a unit.
    Count(u64),
    /// Fraction, as `"10%"`.
    Share(rate::Share),
    /// Events per second, as `"3/s"`.
    Rate(rate::PerSecond),
    /// HTTP methods, as `["PATCH", "POST"]`.
    Methods(BTreeSet<Method>),
    /// Weight of each availability zone, as `{"zone-1": 80}`.
    Weights(BTreeMap<id::Zone, u32>),
}

/// Why a JSON value was rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rejection {
    /// Kind of fault.
    pub code: Code,
    /// Position in the value, to append to the JSON path of the value; empty for the whole value.
    pub path_suffix: String,
    /// Rejected part of the value, as JSON.
    pub found: String,
    /// How to correct it.
    pub help: String,
}

impl Value {
    /// Parses a value of a kind and checks its range.
    ///
    /// # Errors
    /// Returns all faults of the value.
    pub fn from_json(json: &Json, kind: &Kind) -> Result<Value, Vec<Rejection>> {
        let result = match kind {
            Kind::Duration { min, max } => read::<duration::Text>(json, kind).and_then(|text| {
                let value = text.get();
                within(json, kind, value, *min..=*max).map(Value::Duration)
            }),
            Kind::Bytes { min, max } => read::<size::Bytes>(json, kind)
                .and_then(|value| within(json, kind, value, *min..=*max).map(Value::Bytes)),
            Kind::Processor { min, max } => read::<size::Processor>(json, kind)
                .and_then(|value| within(json, kind, value, *min..=*max).map(Value::Processor)),
            Kind::Count { min, max } => count(json, kind)
                .and_then(|value| within(json, kind, value, *min..=*max).map(Value::Count)),
            Kind::Share { min, max } => read::<Percent>(json, kind)
                .and_then(|value| within(json, kind, value.0, *min..=*max).map(Value::Share)),
            Kind::Rate { min, max } => read::<PerSecond>(json, kind)
                .and_then(|value| within(json, kind, value.0, *min..=*max).map(Value::Rate)),
            Kind::Methods => return methods(json, kind),
            Kind::Weights => return weights(json, kind),
        };
        result.map_err(|rejection| vec![rejection])
    }

    /// Returns the canonical JSON form.
    pub fn to_json(&self) -> Json {
        match self {
            Value::Duration(value) => Json::String(duration::Text::new(*value).to_string()),
            Value::Bytes(value) => Json::String(value.to_string()),
            Value::Processor(value) => Json::String(value.to_string()),
            Value::Count(value) => Json::from(*value),
            Value::Share(value) => Json::String(Percent(*value).to_string()),
            Value::Rate(value) => Json::String(PerSecond(*value).to_string()),
            Value::Methods(methods) => {
                methods.iter().map(|method| Json::from(method.as_str())).collect()
            }
            Value::Weights(weights) => weights
                .iter()
                .map(|(zone, weight)| (zone.as_str().to_owned(), Json::from(*weight)))
                .collect(),
        }
    }
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.to_json() {
            Json::String(text) => f.write_str(&text),
            other => write!(f, "{other}"),
        }
    }
}

/// Parses a string with a unit.
fn read<T>(json: &Json, kind: &Kind) -> Result<T, Rejection>
where
    T: FromStr,
{
    let Json::String(text) = json else { return Err(reject(Code::WrongType, json, kind)) };
    text.parse().map_err(|_| reject(Code::WrongUnit, json, kind))
}

fn count(json: &Json, kind: &Kind) -> Result<u64, Rejection> {
    let Json::Number(number) = json else { return Err(reject(Code::WrongType, json, kind)) };
    number.as_u64().ok_or_else(|| reject(Code::OutOfRange, json, kind))
}

fn within<T>(
    json: &Json,
    kind: &Kind,
    value: T,
    range: std::ops::RangeInclusive<T>,
) -> Result<T, Rejection>
where
    T: PartialOrd,
{
    if range.contains(&value) {
        return Ok(value);
    }
    Err(reject(Code::OutOfRange, json, kind))
}

fn reject(code: Code, json: &Json, kind: &Kind) -> Rejection {
    Rejection { code, path_suffix: String::new(), found: json.to_string(), help: kind.help() }
}

fn methods(json: &Json, kind: &Kind) -> Result<Value, Vec<Rejection>> {
    let Json::Array(list) = json else { return Err(vec![reject(Code::WrongType, json, kind)]) };
    let mut found = BTreeSet::new();
    let mut rejections = Vec::new();
    for (index, item) in list.iter().enumerate() {
        match read::<Method>(item, kind) {
            Ok(method) => {
                found.insert(method);
            }
            Err(rejection) => {
                let code = match rejection.code {
                    Code::WrongUnit => Code::OutOfRange,
                    other => other,
                };
                rejections.push(Rejection { code, path_suffix: format!("[{index}]"), ..rejection });
            }
        }
    }
    if rejections.is_empty() { Ok(Value::Methods(found)) } else { Err(rejections) }
}

fn weights(json: &Json, kind: &Kind) -> Result<Value, Vec<Rejection>> {
    let Json::Object(map) = json else { return Err(vec![reject(Code::WrongType, json, kind)]) };
    if map.len() > ZONES_MAX {
        return Err(vec![reject(Code::OutOfRange, &Json::from(map.len()), kind)]);
    }
    let mut found = BTreeMap::new();
    let mut rejections = Vec::new();
    for (name, item) in map {
        let Ok(zone) = name.parse::<id::Zone>() else {
            let rejection = reject(Code::BadPath, &Json::from(name.as_str()), kind);
            rejections.push(rejection);
            continue;
        };
        let weight = count(item, kind)
            .and_then(|weight| within(item, kind, weight, 0..=WEIGHT_MAX))
            .and_then(|weight| {
                u32::try_from(weight).map_err(|_| reject(Code::OutOfRange, item, kind))
            });
        match weight {
            Ok(weight) => {
                found.insert(zone, weight);
            }
            Err(rejection) => {
                rejections.push(Rejection { path_suffix: format!("[\"{name}\"]"), ..rejection });
            }
        }
    }
    if rejections.is_empty() && !found.is_empty() && found.values().all(|weight| *weight == 0) {
        let help = "give at least one availability zone a weight above 0".to_owned();
        rejections.push(Rejection { help, ..reject(Code::OutOfRange, json, kind) });
    }
    if rejections.is_empty() { Ok(Value::Weights(found)) } else { Err(rejections) }
}

/// Share written in percent with at most one decimal place, as `10%` or `99.9%`.
struct Percent(rate::Share);

impl fmt::Display for Percent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let milli = self.0.milli();
        if milli.is_multiple_of(10) {
            return write!(f, "{}%", milli / 10);
        }
        write!(f, "{}.{}%", milli / 10, milli % 10)
    }
}

impl FromStr for Percent {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<Percent, parse::Error> {
        let error = || parse::Error::new("share", text, "write percent as 10% or 99.9%");
        let number = text.strip_suffix('%').ok_or_else(error)?;
        let (whole, tenths) = number.split_once('.').unwrap_or((number, "0"));
        let digits = |part: &str| !part.is_empty() && part.bytes().all(|b| b.is_ascii_digit());
        if !digits(whole) || !digits(tenths) || tenths.len() != 1 {
            return Err(error());
        }
        let whole: u32 = whole.parse().map_err(|_| error())?;
        let tenths: u32 = tenths.parse().map_err(|_| error())?;
        let milli = whole.checked_mul(10).and_then(|milli| milli.checked_add(tenths));
        milli.map(rate::Share::from_milli).map(Percent).ok_or_else(error)
    }
}

/// Rate written with its unit, as `3/s`.
struct PerSecond(rate::PerSecond);

impl fmt::Display for PerSecond {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for PerSecond {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<PerSecond, parse::Error> {
        let error = || parse::Error::new("rate", text, "write events per second as 3/s");
        let number = text.strip_suffix("/s").ok_or_else(error)?;
        number.parse().map(PerSecond).map_err(|_| error())
    }
}
