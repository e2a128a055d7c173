//! Client interface of the key-value service and its adapter for the etcd v3 JSON gateway.
//!
//! Control code uses the [`Store`] trait. [`etcd::Gateway`] implements it over the network and
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

/// Maximum length of a value, in bytes.
pub const VALUE_LEN_MAX: usize = 1_000_000;

/// Maximum number of writes in one transaction; the default limit of etcd.
pub const OP_COUNT_MAX: usize = 128;

/// Key-value service with compare-and-swap, leases and watches.
#[allow(async_fn_in_trait, reason = "futures run on the executor of the control thread")]
pub trait Store {
    /// Reads one key or a page of the keys under a prefix, in key order.
    ///
    /// # Errors
    ///
    /// Any [`Error`] except [`Error::Unknown`].
    async fn range(&self, range: key::Range) -> Result<Page, Error>;

    /// Applies all writes of `txn` if all its compares hold, and none otherwise.
    ///
    /// # Errors
    ///
    /// After [`Error::Unknown`] or [`Error::Invalid`] the writes may have been applied; reading
    /// back a written key shows whether they were. Other errors mean that nothing was applied.
    async fn commit(&self, txn: Txn) -> Result<Outcome, Error>;

    /// Creates a lease that expires `ttl` after its last renewal. `ttl` is rounded up to whole
    /// seconds.
    ///
    /// # Errors
    ///
    /// After [`Error::Unknown`] or [`Error::Invalid`] a lease may exist whose id the caller does
    /// not have. It expires after `ttl`.
    async fn grant(&self, ttl: Duration) -> Result<lease::Id, Error>;

    /// Renews a lease and returns its remaining time.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] with code [`error::NOT_FOUND`] if the lease has ended. After
    /// [`Error::Unknown`] the lease may have been renewed; the call is safe to repeat.
    async fn keep_alive(&self, lease: lease::Id) -> Result<Duration, Error>;

    /// Revokes a lease and deletes its keys.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] with code [`error::NOT_FOUND`] if the lease has already ended. After
    /// [`Error::Unknown`] the lease may have been revoked; the call is safe to repeat.
    async fn revoke(&self, lease: lease::Id) -> Result<(), Error>;

    /// Watches the keys under `prefix` for changes from revision `from` on. Revision 0 selects the
    /// changes after this call.
    ///
    /// # Errors
    ///
    /// Any [`Error`] except [`Error::Unknown`]. [`Error::Compacted`] if the service no longer holds
    /// the changes since `from`; some services report this only at the first [`Watch::next`].
    async fn watch(&self, prefix: Key, from: Revision) -> Result<Watch, Error>;
}
