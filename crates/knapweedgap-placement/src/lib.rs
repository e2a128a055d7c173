//! Placement decisions: jobs, tasks, quotas, leases and the partition log.
//!
//! An instance keeps one [`engine::Engine`] for each partition that it owns. The engine performs
//! no I/O and reads no clock. Every input is a method that takes the current time; afterwards the
//! caller takes the actions and carries them out in order:
//!
//! ```
//! # use std::time::Instant;
//! # use knapweedgap_core::{id, revision};
//! # use knapweedgap_placement::{command::Action, engine::{Engine, Owner}, settings::Settings};
//! # let now = Instant::now();
//! # let owner = Owner { partition: id::Partition::new(0), epoch: revision::Epoch::new(1) };
//! let mut engine = Engine::replay(owner, Settings::default(), None, &[], now)?;
//! engine.tick(now);
//! for action in engine.actions() {
//!     match action {
//!         Action::Append(entry) => { /* commit, then engine.committed or engine.commit_failed */ }
//!         Action::Store(checkpoint) => { /* store it, then delete the entries it contains */ }
//!         Action::Send(command) => { /* send to command.worker */ }
//!         Action::Answer(answer) => { /* answer everyone who waits for answer.request */ }
//!     }
//! }
//! let sleep_until = engine.next_wake();
//! # let _ = sleep_until;
//! # Ok::<(), knapweedgap_placement::replay::Error>(())
//! ```
//!
//! Inputs: `submit`, `cancel`, `observe`, `observe_latency`, `worker_unreachable`, `set_workers`,
//! `set_settings`, `ownership_validated`, `committed`, `commit_failed` and `tick`.
//!
//! Rules for the caller:
//!
//! - After `Append`, call `committed` when the entry is stored, or `commit_failed` when it is
//!   certain that it is not and will not be. While the result is unknown, call neither. The next
//!   entry is emitted only then. A failed entry's position is used again.
//! - `submit` returns `Waiting` for a job that is not committed; an `Answer` follows. Answer "not
//!   run" for `NotRun`.
//! - Send each worker a heartbeat (`heartbeat`) every 1 s, one at a time, and drop the answer of a
//!   heartbeat that was given up. Call `observe` with the time at which the answer arrived.
//! - Call `ownership_validated` with the time at which the check was sent, whenever the key-value
//!   service confirmed the ownership, or while a majority of the instances state that they cannot
//!   reach it either. Leases are renewed only
//!   for 20 s after it. A commit counts as a confirmation.
//! - Commands may be lost or repeated; the engine repeats them after the next report.
//!
//! The state changes only when an entry is committed ([`state::State::apply`]), so the live state
//! is always the state that a replay of the committed log reaches.

pub mod command;
pub mod completion;
pub mod contribution;
pub mod engine;
pub mod explain;
pub mod interference;
pub mod job;
pub mod lease;
pub mod log;
pub mod pack;
pub mod quarantine;
pub mod quota;
pub mod replay;
pub mod report;
pub mod settings;
pub mod state;
pub mod task;
pub mod usage;
pub mod worker;
