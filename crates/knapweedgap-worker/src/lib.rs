//! The worker peer: leases, task commands and usage reports over HTTP.
