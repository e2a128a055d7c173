//! Decisions on jobs of steps: admission, order, placement, leases, speed control and recovery.
//!
//! One instance owns the workload of an installation at a time and keeps one [`engine::Engine`].
//! The engine performs no I/O and reads no clock. Every input is a method with the current time as
//! an argument. After each input the caller fetches the [`action::Action`]s and carries them out.
//!
//! No effect is visible outside before the store holds its record: the caller writes each
//! [`engine::Batch`] to the log and reports it with [`engine::Engine::committed`], which releases
//! the orders and answers that depend on it.

pub mod action;
pub mod admission;
pub mod ahead;
pub mod api;
pub mod bounds;
pub mod check;
pub mod configuration;
pub mod engine;
pub mod evacuation;
pub mod event;
pub mod exclusion;
pub mod history;
pub mod interference;
pub mod job;
pub mod lease;
pub mod loss;
pub mod observer;
pub mod order;
pub mod packing;
pub mod rank;
pub mod record;
pub mod round_trip;
pub mod speeds;
pub mod task;
pub mod throttle;
pub mod wave;
pub mod worker;
