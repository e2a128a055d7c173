//! Team quotas: limits on the sum of the sizes that a team has committed at a time.
//!
//! A quota applies to the whole installation. Each partition counts its own use exactly and that of
//! the other partitions as last reported, so concurrent placements may exceed a quota until the
//! next report.

use std::collections::BTreeMap;

use knapweedgap_core::{id, size};

/// Committed sizes by team. A team without committed sizes has no entry.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Usage {
    teams: BTreeMap<id::Team, size::Resources>,
}

impl Usage {
    /// Returns the committed sizes of every team that has any.
    pub fn all(&self) -> &BTreeMap<id::Team, size::Resources> {
        &self.teams
    }

    /// Returns the committed sizes of one team.
    pub fn of(&self, team: &id::Team) -> size::Resources {
        self.teams.get(team).copied().unwrap_or_default()
    }

    /// Adds a committed size.
    pub fn add(&mut self, team: &id::Team, size: size::Resources) {
        *self.teams.entry(team.clone()).or_default() += size;
    }

    /// Removes a committed size.
    pub fn remove(&mut self, team: &id::Team, size: size::Resources) {
        let Some(used) = self.teams.get_mut(team) else { return };
        *used -= size;
        if *used == size::Resources::default() {
            self.teams.remove(team);
        }
    }
}

/// Quotas of the teams.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Table {
    /// Quota of a team that is not in `teams`; `None` sets no limit.
    pub default: Option<size::Resources>,
    /// Quota of each team.
    pub teams: BTreeMap<id::Team, size::Resources>,
    /// Sizes that the teams have committed in other partitions, as last reported.
    pub other_partitions: BTreeMap<id::Team, size::Resources>,
}

impl Table {
    /// Returns the part of a quota that other partitions do not use; `None` if there is no limit.
    fn remaining(&self, team: &id::Team) -> Option<size::Resources> {
        let other_partitions = self.other_partitions.get(team).copied().unwrap_or_default();
        self.of(team).map(|quota| quota - other_partitions)
    }

    /// Returns the quota of a team; `None` if there is no limit.
    pub fn of(&self, team: &id::Team) -> Option<size::Resources> {
        self.teams.get(team).copied().or(self.default)
    }

    /// Returns `true` if a team that uses `used` in this partition may add `size`.
    pub fn allows(&self, team: &id::Team, used: size::Resources, size: size::Resources) -> bool {
        self.remaining(team).is_none_or(|remaining| remaining.fits(&(used + size)))
    }
}
