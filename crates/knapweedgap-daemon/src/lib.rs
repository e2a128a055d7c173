//! The daemon: one control thread and several traffic threads.
