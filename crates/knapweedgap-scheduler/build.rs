//! Passes the revision of the sources to the compiler, read from the files of the Git repository.
//! Sources without a repository have an unknown revision.

use std::path::{Path, PathBuf};
use std::{env, fs};

const UNKNOWN: &str = "unknown";
/// Number of hexadecimal digits of a revision in the log.
const DIGITS: usize = 12;

fn main() {
    println!("cargo::rerun-if-changed=build.rs");
    let package = env::var_os("CARGO_MANIFEST_DIR").map(PathBuf::from);
    let revision = package.and_then(|package| revision(&package.join("../..")));
    let revision = revision.unwrap_or_else(|| UNKNOWN.to_owned());
    println!("cargo::rustc-env=KNAPWEEDGAP_REVISION={revision}");
}

/// Returns the revision that is checked out; `None` if it can't be read.
fn revision(root: &Path) -> Option<String> {
    let folder = git_folder(root)?;
    let head = read(&folder.join("HEAD"))?;
    // The log of the head changes with each commit, also while the branch has no file of its own.
    let _ = read(&folder.join("logs/HEAD"));
    let Some(reference) = head.strip_prefix("ref: ") else { return digits(&head) };
    // A worktree shares the branches of its repository.
    let shared = read(&folder.join("commondir")).map(|path| folder.join(path));
    for folder in [Some(folder), shared].into_iter().flatten() {
        let found = read(&folder.join(reference)).or_else(|| packed(&folder, reference));
        if let Some(found) = found {
            return digits(&found);
        }
    }
    None
}

/// Returns the folder of the repository, which a file names in a worktree.
fn git_folder(root: &Path) -> Option<PathBuf> {
    let path = root.join(".git");
    if path.is_dir() {
        return Some(path);
    }
    let text = read(&path)?;
    Some(root.join(text.strip_prefix("gitdir: ")?))
}

fn packed(folder: &Path, reference: &str) -> Option<String> {
    let text = read(&folder.join("packed-refs"))?;
    let lines = text.lines().filter_map(|line| line.split_once(' '));
    lines.into_iter().find(|(_, name)| *name == reference).map(|(found, _)| found.to_owned())
}

/// Returns the text of a file without its last line break, and rebuilds when the file changes.
fn read(path: &Path) -> Option<String> {
    let text = fs::read_to_string(path).ok()?;
    println!("cargo::rerun-if-changed={}", path.display());
    Some(text.trim_end().to_owned())
}

/// Returns the first digits of a revision; `None` if the text is none.
fn digits(text: &str) -> Option<String> {
    let is_revision = text.len() >= DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    is_revision.then(|| text.chars().take(DIGITS).collect())
}
