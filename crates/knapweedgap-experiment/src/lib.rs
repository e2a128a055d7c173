//! Experiments that measure the decisions and print tables.
