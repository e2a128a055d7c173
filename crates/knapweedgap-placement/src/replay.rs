//! Replay: rebuilds the state of a partition from its checkpoint and log.

use derive_more::{Display, Error};
use knapweedgap_core::revision;

use crate::log;
use crate::state::{Fault, State};

/// Reason for which a stored checkpoint or log cannot be replayed.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// The format version is not supported.
    #[display(
        "{place}: format version {version} is not supported; run a daemon version that supports it"
    )]
    Version {
        /// Checkpoint or entry with this version.
        #[error(not(source))]
        place: String,
        /// Stored version.
        #[error(not(source))]
        version: u16,
    },
    /// An entry is missing.
    #[display("entry {found} follows entry {last}; read the log again")]
    Gap {
        /// Last entry applied.
        #[error(not(source))]
        last: revision::Sequence,
        /// Next entry found.
        #[error(not(source))]
        found: revision::Sequence,
    },
    /// A record contradicts the state.
    #[display("entry {sequence}, record {record}: {fault}")]
    Record {
        /// Entry that contains the record.
        #[error(not(source))]
        sequence: revision::Sequence,
        /// Position of the record in the entry, starting at 0.
        #[error(not(source))]
        record: usize,
        /// Contradiction between the record and the state.
        #[error(source)]
        fault: Fault,
    },
}

/// Rebuilds the state and returns it with the position of the last applied entry.
///
/// # Errors
/// Returns the first entry and record that cannot be applied.
pub fn rebuild(
    checkpoint: Option<log::Checkpoint>,
    entries: &[log::Entry],
) -> Result<(State, revision::Sequence), Error> {
    let (mut state, mut last) = match checkpoint {
        Some(checkpoint) => {
            check_version("checkpoint".to_owned(), checkpoint.version)?;
            (checkpoint.state, checkpoint.sequence)
        }
        None => (State::default(), revision::Sequence::default()),
    };
    state.rebuild_indexes();
    for entry in entries {
        if entry.sequence <= last {
            continue;
        }
        check_version(format!("entry {}", entry.sequence), entry.version)?;
        if entry.sequence != last.next() {
            return Err(Error::Gap { last, found: entry.sequence });
        }
        for (record, content) in entry.records.iter().enumerate() {
            let sequence = entry.sequence;
            state.apply(content).map_err(|fault| Error::Record { sequence, record, fault })?;
        }
        last = entry.sequence;
    }
    Ok((state, last))
}

fn check_version(place: String, version: u16) -> Result<(), Error> {
    if version == log::VERSION { Ok(()) } else { Err(Error::Version { place, version }) }
}
