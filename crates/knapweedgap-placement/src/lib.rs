//! Placement decisions: jobs, tasks, quotas, leases and the partition log.
//!
//! An instance has one [`engine::Engine`] for each partition that it owns. The engine performs no
//! I/O and reads no clock. Every input is a method that takes the current time. After each input,
//! the caller fetches the actions and carries them out in order:
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
//!         Action::Answer(answer) => { /* answer every caller that waits for answer.request */ }
//!     }
//! }
//! let wake_at = engine.next_wake();
//! # let _ = wake_at;
//! # Ok::<(), knapweedgap_placement::replay::Error>(())
//! ```
//!
//! Inputs: `submit`, `delegate`, `cancel`, `observe`, `observe_latency`, `worker_unreachable`,
//! `set_workers`, `set_settings`, `ownership_validated`, `committed`, `commit_failed` and `tick`.
//!
//! Rules for the caller:
//!
//! - After `Append`, call `committed` once the entry is stored, or `commit_failed` once it is
//!   certain that the entry is not stored and will not be. While the result is unknown, call
//!   neither. The engine emits the next entry only after this call, and reuses the position of a
//!   failed entry.
//! - `submit` returns `Waiting` for an uncommitted job; an `Answer` follows. Answer "not run" for
//!   `NotRun`.
//! - Send each worker a heartbeat (`heartbeat`) every 1 s, one at a time, and drop a late answer to
//!   a heartbeat that timed out. Call `observe` with the time at which the answer arrived.
//! - Call `ownership_validated` with the time at which the check was sent, whenever the key-value
//!   service confirmed the ownership, or while a majority of the instances report that they cannot
//!   reach the service either. The engine renews leases only for 20 s after that time. A commit
//!   counts as a confirmation.
//! - Commands may be lost or repeated; the engine repeats them after the next report.
//!
//! The state changes only when an entry is committed ([`state::State::apply`]), so it always equals
//! the state that a replay of the committed log produces.

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
