//! Lock that allows one installation at a time.

use std::fs::{File, OpenOptions};

use super::child::profile_directory;

/// Waits until no other test runs an installation. The lock is on a file, so that it also excludes
/// tests of other test programs.
pub(super) fn acquire() -> File {
    let path = profile_directory().join("system-tests.lock");
    let file = OpenOptions::new().create(true).truncate(false).write(true).open(path);
    let file = file.expect("the lock file should be writable");
    file.lock().expect("the lock file should be lockable");
    file
}
