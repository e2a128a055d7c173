//! Interface of the connection to one instance.

use std::future::Future;

use derive_more::Display;
use http_types::Method;

/// Sends calls to one instance.
pub trait Transport {
    /// Sends one call and returns the HTTP status and the body of the response.
    ///
    /// # Errors
    /// No response arrived. [`Error::NotSent`] guarantees that the instance did not receive the
    /// call.
    fn call(
        &self,
        method: Method,
        path_and_query: &str,
        body: Option<Vec<u8>>,
    ) -> impl Future<Output = Result<(u16, Vec<u8>), Error>>;

    /// Returns the address of the instance, for error messages.
    fn address(&self) -> &str;
}

/// Reason why no response arrived.
#[derive(Debug, Clone, PartialEq, Eq, Display, derive_more::Error)]
pub enum Error {
    /// The call was not sent.
    #[display("not sent: {_0}")]
    NotSent(#[error(not(source))] String),
    /// The call was sent; whether it took effect is unknown.
    #[display("no answer: {_0}")]
    NoAnswer(#[error(not(source))] String),
}
