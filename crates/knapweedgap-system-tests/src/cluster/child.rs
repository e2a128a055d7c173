//! Processes that are killed on drop.

use std::fs::{File, OpenOptions};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// Interval at which the end of a process is looked for.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Signal to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// Ends it at once.
    Kill,
    /// Asks for a graceful shutdown.
    Terminate,
    /// Pauses it.
    Stop,
    /// Continues it after a pause.
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

/// Process. Dropping it kills it.
#[derive(Debug)]
pub struct Child {
    inner: std::process::Child,
}

/// Returns the path of a program built next to the test executable.
///
/// # Panics
///
/// When it is not built.
pub fn program(name: &str) -> PathBuf {
    let path = profile_directory().join(name);
    assert!(
        path.exists(),
        "{} is missing; run `cargo build --workspace --bins` first",
        path.display()
    );
    path
}

/// Returns the directory of the built programs, as `target/debug`.
pub(super) fn profile_directory() -> PathBuf {
    let executable = std::env::current_exe().expect("the test executable has a path");
    let directory = executable.parent().expect("the test executable is in a directory");
    if directory.ends_with("deps") {
        return directory.parent().expect("deps is in the profile's directory").to_owned();
    }
    directory.to_owned()
}

impl Child {
    /// Starts a program; its standard error is appended to `log`.
    ///
    /// # Panics
    ///
    /// When it can't be started.
    pub fn start(name: &str, args: &[String], log: &Path) -> Child {
        let log: File = OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)
            .expect("the log of a process can be opened");
        let inner = Command::new(program(name))
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .expect("a process can be started");
        Child { inner }
    }

    /// Reads the first line of a stand-in and returns the address that it names.
    ///
    /// # Panics
    ///
    /// When the process ended before it listened.
    pub fn listening(&mut self) -> SocketAddr {
        let output = self.inner.stdout.take().expect("the output is read once");
        let mut line = String::new();
        let _ = BufReader::new(output).read_line(&mut line);
        let address = line.trim().strip_prefix("listening ").and_then(|text| text.parse().ok());
        address.unwrap_or_else(|| panic!("no address in the first line of a stand-in: {line:?}"))
    }

    /// Sends a signal. After a kill it waits for the end.
    ///
    /// # Panics
    ///
    /// When the signal can't be sent.
    pub fn signal(&mut self, signal: Signal) {
        let id = self.inner.id().to_string();
        let status = Command::new("kill").args(["-s", signal.name(), &id]).status();
        assert!(status.is_ok_and(|status| status.success()), "process {id} is gone");
        if signal == Signal::Kill {
            self.inner.wait().expect("the process is a child");
        }
    }

    /// Waits for the end; nothing when the time is over.
    pub fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + limit;
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
        // Both fail only when the process is gone.
        let _ = self.inner.kill();
        let _ = self.inner.wait();
    }
}
