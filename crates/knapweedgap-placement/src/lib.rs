//! Placement decisions: jobs, tasks, quotas, leases and the partition log.
