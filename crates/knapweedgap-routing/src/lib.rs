//! Routing decisions: upstream choice, queueing, retries and limits.
