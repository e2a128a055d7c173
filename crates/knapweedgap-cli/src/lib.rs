//! The command-line tool.
