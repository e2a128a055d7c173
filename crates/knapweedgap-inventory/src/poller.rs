//! Poller that fetches the VM list and keeps the last valid one.

use std::net::SocketAddr;
use std::time::Duration;

use http_types::Method;
use knapweedgap_http::json;
use smol_str::format_smolstr;

use crate::list::{Fault, List, Update};
use crate::{Error, codec};

/// Client of the VM list that keeps the last valid list.
#[derive(Debug)]
pub struct Poller {
    caller: json::Caller,
    list: List,
}

/// Result of a successful poll.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Effect of the answer on the kept list.
    pub update: Update,
    /// Faults of the invalid records in the answer.
    pub faults: Vec<Fault>,
}

impl Poller {
    /// Creates a poller with an empty list. `timeout` limits each call.
    pub fn new(address: SocketAddr, timeout: Duration) -> Poller {
        Poller { caller: json::Caller::new(address, timeout), list: List::default() }
    }

    /// Returns the last valid list; empty with revision 0 before the first answer.
    pub fn list(&self) -> &List {
        &self.list
    }

    /// Fetches the list once and updates the kept one.
    ///
    /// # Errors
    ///
    /// [`Error`] if the list could not be fetched or decoded; the kept list is unchanged then.
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
