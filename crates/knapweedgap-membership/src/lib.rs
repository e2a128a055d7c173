//! Membership and partition ownership decisions.
