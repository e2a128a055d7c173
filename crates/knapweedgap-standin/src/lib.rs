//! Stand-ins of the outside systems for tests and the quickstart.
