//! The settings tree: inheritance, validation, merge and history. Performs no I/O.
//!
//! # Layout
//!
//! The tree is one JSON object. Every node has the optional fields `settings` (known keys, see
//! [`Key`]) and `children` (nodes by name). A node is addressed by its [`Path`], which has at
//! most [`path::DEPTH_MAX`] names:
//!
//! | path | node |
//! |---|---|
//! | `/` | the root: the whole installation |
//! | `region-a`, `region-a/zone-1` | a place; places nest |
//! | `services`, `services/dispatch` | all services, one service |
//! | `region-a/zone-1/services/dispatch` | one service as seen by the instances in a place |
//! | `teams`, `teams/plans` | all teams, one team |
//!
//! `services` and `teams` are reserved names. `services` is allowed in every place. `teams` is
//! allowed only in the root: a job's partition does not depend on its place, so a quota applies to
//! the whole installation.
//!
//! # Inheritance
//!
//! A value applies to the whole subtree of its node unless a node in the subtree overrides it. A
//! service in a place is looked up from the nearest place outwards; in each place the service's own
//! node comes first, then the `services` node, then the place itself:
//!
//! `region-a/services/dispatch` → `region-a/services` → `region-a` → `services/dispatch` →
//! `services` → `/` → built-in default.
//!
//! A list or a map is replaced as a whole and never merged with the inherited one.
//!
//! # Canonical form
//!
//! A node without settings and without children carries no information and is dropped. Values
//! are written with the largest unit that divides them. Two trees are equal if and only if their
//! canonical forms are.

pub mod duration;
pub mod effective;
pub mod finding;
pub mod history;
pub mod patch;
pub mod path;
mod rule;
pub mod schema;
pub mod tree;
pub mod value;

pub use finding::{Finding, Findings};
pub use history::{Change, Document, Record};
pub use patch::Patch;
pub use path::Path;
pub use schema::Key;
pub use tree::Tree;
pub use value::Value;
