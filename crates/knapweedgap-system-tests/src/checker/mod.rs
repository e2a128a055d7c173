//! Independent checker. It reads only the records of the stand-ins and shares no code with the
//! decisions of the daemon.

pub mod batch;
pub mod requests;
pub mod settings;
