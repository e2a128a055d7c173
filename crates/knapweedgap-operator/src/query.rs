//! Query strings of filters.
//!
//! All values are ids, numbers and states, whose characters need no percent-encoding.

use std::fmt;
use std::str::FromStr;

use crate::error::{Body, Code};

/// Fields of a query string that have not been read yet.
#[derive(Debug)]
pub(crate) struct Fields<'a> {
    fields: Vec<(&'a str, &'a str)>,
}

impl<'a> Fields<'a> {
    pub(crate) fn parse(query: &'a str) -> Result<Fields<'a>, Body> {
        let mut fields: Vec<(&str, &str)> = Vec::new();
        for pair in query.split('&') {
            if pair.is_empty() {
                continue;
            }
            let Some((name, value)) = pair.split_once('=') else {
                return Err(invalid(pair, "write the query as name=value&name=value"));
            };
            if fields.iter().any(|(other, _)| *other == name) {
                return Err(invalid(name, "name each field once"));
            }
            fields.push((name, value));
        }
        Ok(Fields { fields })
    }

    pub(crate) fn take<T>(&mut self, name: &str) -> Result<Option<T>, Body>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let Some(index) = self.fields.iter().position(|(other, _)| *other == name) else {
            return Ok(None);
        };
        let (_, value) = self.fields.swap_remove(index);
        value.parse().map(Some).map_err(|error: T::Err| invalid(name, &error.to_string()))
    }

    pub(crate) fn finish(self, known: &str) -> Result<(), Body> {
        match self.fields.first() {
            None => Ok(()),
            Some((name, _)) => Err(invalid(name, &format!("use the fields {known}"))),
        }
    }
}

fn invalid(place: &str, help: &str) -> Body {
    let field: String = place.chars().take(64).collect();
    Body::new(Code::Invalid, format!("query field {field:?}"), help)
}

/// Formats fields as a query string.
pub(crate) struct Writer<'a, 'b> {
    out: &'a mut fmt::Formatter<'b>,
    is_empty: bool,
}

impl<'a, 'b> Writer<'a, 'b> {
    pub(crate) fn new(out: &'a mut fmt::Formatter<'b>) -> Writer<'a, 'b> {
        Writer { out, is_empty: true }
    }

    pub(crate) fn field<T>(&mut self, name: &str, value: &Option<T>) -> fmt::Result
    where
        T: fmt::Display,
    {
        let Some(value) = value else { return Ok(()) };
        if !self.is_empty {
            self.out.write_str("&")?;
        }
        self.is_empty = false;
        write!(self.out, "{name}={value}")
    }
}
