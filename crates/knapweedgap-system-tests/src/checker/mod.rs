//! Independent checkers. They read only the records of the stand-ins and share no code with the
//! decision logic of the daemon.

pub mod batch;
pub mod requests;
pub mod settings;
