//! Hybrid logical clock and the event time line.
