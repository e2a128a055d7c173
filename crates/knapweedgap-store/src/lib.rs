//! The key-value service peer: interface and etcd v3 JSON gateway adapter.
//!
//! [`Store`] is what control code uses. [`etcd::Gateway`] implements it over the network and
//! [`fake::Fake`] in memory. Futures run on one thread and need not be `Send`.

pub mod blob;
pub mod entry;
pub mod error;
pub mod etcd;
pub mod fake;
pub mod key;
pub mod lease;
pub mod table;
pub mod txn;
pub mod watch;

use std::time::Duration;

use knapweedgap_core::revision::Revision;

pub use entry::{Entry, Page};
pub use error::Error;
pub use key::Key;
pub use txn::{Compare, Outcome, Txn};
pub use watch::{Change, Watch};

/// Longest value that the service holds, in bytes.
pub const VALUE_LEN_MAX: usize = 1_000_000;

/// Most writes in one transaction, the default of the service.
pub const OP_COUNT_MAX: usize = 128;

/// Key-value service with compare-and-swap, leases and watches.
#[allow(async_fn_in_trait, reason = "futures run on the executor of the control thread")]
pub trait Store {
    /// Reads one key or a page of the keys under a prefix, in key order.
    ///
    /// # Errors
    ///
    /// Any [`Error`] but [`Error::Unknown`].
    async fn range(&self, range: key::Range) -> Result<Page, Error>;

    /// Applies all writes of `txn` if all its compares hold, and nothing otherwise.
    ///
    /// # Errors
    ///
    /// After [`Error::Unknown`] or [`Error::Invalid`] the writes may have been applied; read a
    /// written key back to find out. Other errors mean that nothing was applied.
    async fn commit(&self, txn: Txn) -> Result<Outcome, Error>;

    /// Creates a lease that ends `ttl` after its last renewal, in whole seconds rounded up.
    ///
    /// # Errors
    ///
    /// After [`Error::Unknown`] a lease may exist that nobody renews; it ends by itself.
    async fn grant(&self, ttl: Duration) -> Result<lease::Id, Error>;

    /// Renews a lease and returns the time it has left.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] with [`error::NOT_FOUND`] when the lease has ended. After
    /// [`Error::Unknown`] it may have been renewed; the call may be repeated.
    async fn keep_alive(&self, lease: lease::Id) -> Result<Duration, Error>;

    /// Ends a lease and deletes its keys.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] with [`error::NOT_FOUND`] when the lease has already ended. A lost answer
    /// is [`Error::Unknown`]; the call may be repeated.
    async fn revoke(&self, lease: lease::Id) -> Result<(), Error>;

    /// Watches the keys under `prefix` for changes of revision `from` and later; revision 0 means
    /// changes after this call.
    ///
    /// # Errors
    ///
    /// Any [`Error`] but [`Error::Unknown`]. [`Error::Compacted`] when the service no longer holds
    /// the changes since `from`; some services tell this only at the first [`Watch::next`].
    async fn watch(&self, prefix: Key, from: Revision) -> Result<Watch, Error>;
}
