//! One installation at a time.

use std::fs::{File, OpenOptions};

use super::child::profile_directory;

/// Waits until no other test runs an installation. The lock is on a file, so that it also holds
/// between test programs.
pub(super) fn acquire() -> File {
    let path = profile_directory().join("system-tests.lock");
    let file = OpenOptions::new().create(true).truncate(false).write(true).open(path);
    let file = file.expect("the lock file can be opened");
    file.lock().expect("the lock can be taken");
    file
}
