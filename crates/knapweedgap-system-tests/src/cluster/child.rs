//! Child processes that are killed on drop.

use std::fs::{File, OpenOptions};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// Interval at which a process is checked for its end.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Signal that a test sends to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// Ends the process at once.
    Kill,
    /// Requests a graceful shutdown.
    Terminate,
    /// Pauses the process.
    Stop,
    /// Continues a paused process.
    Continue,
}

impl Signal {
    fn name(self) -> &'static str {
        match self {
            Signal::Kill => "KILL",
            Signal::Terminate => "TERM",
            Signal::Stop => "STOP",
            Signal::Continue => "CONT",
        }
    }
}

/// Child process. Dropping it kills the process.
#[derive(Debug)]
pub struct Child {
    inner: std::process::Child,
}

/// Returns the path of a program built next to the test executable.
///
/// # Panics
///
/// Panics if the program is not built.
pub fn program(name: &str) -> PathBuf {
    let path = profile_directory().join(name);
    assert!(
        path.exists(),
        "{} is missing; run `cargo build --workspace --bins` first",
        path.display()
    );
    path
}

/// Returns the directory of the built programs, for example `target/debug`.
pub(super) fn profile_directory() -> PathBuf {
    let executable = std::env::current_exe().expect("the test executable has a path");
    let directory = executable.parent().expect("the test executable is in a directory");
    if directory.ends_with("deps") {
        return directory.parent().expect("deps is in the profile's directory").to_owned();
    }
    directory.to_owned()
}

impl Child {
    /// Starts a program. Its standard error is appended to `log`.
    ///
    /// # Panics
    ///
    /// Panics if the program can't be started.
    pub fn start(name: &str, args: &[String], log: &Path) -> Child {
        let log: File = OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)
            .expect("the log file of a process should be writable");
        let inner = Command::new(program(name))
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .expect("a built program should start");
        Child { inner }
    }

    /// Reads the first line of a stand-in's output and returns the listening address in it.
    ///
    /// # Panics
    ///
    /// Panics if the process ended before it listened.
    pub fn read_address(&mut self) -> SocketAddr {
        let output = self.inner.stdout.take().expect("the output should be read once");
        let mut line = String::new();
        let _ = BufReader::new(output).read_line(&mut line);
        let address = line.trim().strip_prefix("listening ").and_then(|text| text.parse().ok());
        address.unwrap_or_else(|| panic!("no address in the first line of a stand-in: {line:?}"))
    }

    /// Sends a signal. After [`Signal::Kill`] it waits until the process has ended.
    ///
    /// # Panics
    ///
    /// Panics if the signal can't be sent.
    pub fn signal(&mut self, signal: Signal) {
        let id = self.inner.id().to_string();
        let status = Command::new("kill").args(["-s", signal.name(), &id]).status();
        assert!(status.is_ok_and(|status| status.success()), "process {id} can't be signalled");
        if signal == Signal::Kill {
            self.inner.wait().expect("a child process can be waited for");
        }
    }

    /// Waits for the end of the process. Returns `None` if it still runs after the timeout.
    pub fn wait(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + timeout;
        loop {
            if let Ok(Some(status)) = self.inner.try_wait() {
                return Some(status);
            }
            if Instant::now() >= deadline {
                return None;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        // Both calls fail only if the process has ended.
        let _ = self.inner.kill();
        let _ = self.inner.wait();
    }
}
