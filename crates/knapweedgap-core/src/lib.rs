//! Newtypes for ids, sizes, rates and revisions, and the clock interface.
