//! HTTP connections to one instance.

use std::net::SocketAddr;
use std::time::Duration;

use http_types::Method;
use knapweedgap_http::json;

use crate::transport::{Error, Transport};

/// Transport to one instance over HTTP.
#[derive(Debug)]
pub struct Http {
    caller: json::Caller,
    address: String,
}

impl Http {
    /// Creates a transport; `timeout` applies to each call.
    pub fn new(address: SocketAddr, timeout: Duration) -> Http {
        Http { caller: json::Caller::new(address, timeout), address: address.to_string() }
    }
}

impl Transport for Http {
    async fn call(
        &self,
        method: Method,
        path_and_query: &str,
        body: Option<Vec<u8>>,
    ) -> Result<(u16, Vec<u8>), Error> {
        match self.caller.call(method, path_and_query, body).await {
            Ok(response) => Ok((response.status, response.body)),
            // If no byte was sent, the instance cannot have received the call.
            Err(failure) if failure.sent == 0 => Err(Error::NotSent(failure.error.to_string())),
            Err(failure) => Err(Error::NoAnswer(failure.error.to_string())),
        }
    }

    fn address(&self) -> &str {
        &self.address
    }
}
