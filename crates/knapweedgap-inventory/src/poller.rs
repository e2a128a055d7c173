//! Fetches the VM list and keeps the last one.

use std::net::SocketAddr;
use std::time::Duration;

use http_types::Method;
use knapweedgap_http::json;
use smol_str::format_smolstr;

use crate::list::{Fault, List, Update};
use crate::{Error, codec};

/// Caller of the VM list with the last list.
#[derive(Debug)]
pub struct Poller {
    caller: json::Caller,
    list: List,
}

/// Result of one poll.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// What the answer did to the list.
    pub update: Update,
    /// Bad records of the answer.
    pub faults: Vec<Fault>,
}

impl Poller {
    /// Creates a poller with an empty list whose calls take at most `timeout` each.
    pub fn new(address: SocketAddr, timeout: Duration) -> Poller {
        Poller { caller: json::Caller::new(address, timeout), list: List::default() }
    }

    /// Returns the last list; empty at revision 0 before the first answer.
    pub fn list(&self) -> &List {
        &self.list
    }

    /// Fetches the list once.
    ///
    /// # Errors
    ///
    /// [`Error`] when no list could be read; the last one is kept.
    pub async fn poll(&mut self) -> Result<Report, Error> {
        let answer = self.caller.call(Method::Get, "/v1/vms", None).await;
        let answer =
            answer.map_err(|failure| Error::Unavailable(format_smolstr!("{}", failure.error)))?;
        if answer.status != 200 {
            return Err(Error::Unavailable(format_smolstr!("status {}", answer.status)));
        }
        let decoded = codec::decode(&answer.body)?;
        let update = self.list.update(&decoded);
        Ok(Report { update, faults: decoded.faults })
    }
}
