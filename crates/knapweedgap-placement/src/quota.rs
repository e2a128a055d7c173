//! Team quotas: the sum of the sizes that a team may have committed at once.
//!
//! A quota holds for the installation. Each partition counts its own use exactly and that of the
//! other partitions as last reported, so concurrent placements may exceed a quota for the time of
//! one report.

use std::collections::BTreeMap;

use knapweedgap_core::{id, size};

/// Sizes committed for each team. A team without committed sizes has no record.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Usage {
    teams: BTreeMap<id::Team, size::Resources>,
}

impl Usage {
    /// Returns the use of every team that has committed sizes.
    pub fn all(&self) -> &BTreeMap<id::Team, size::Resources> {
        &self.teams
    }

    /// Returns the use of one team.
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
    /// Returns what is left for this partition of a quota after the use of the others.
    fn remaining(&self, team: &id::Team) -> Option<size::Resources> {
        let other_partitions = self.other_partitions.get(team).copied().unwrap_or_default();
        self.of(team).map(|quota| quota - other_partitions)
    }

    /// Returns the quota of a team; `None` sets no limit.
    pub fn of(&self, team: &id::Team) -> Option<size::Resources> {
        self.teams.get(team).copied().or(self.default)
    }

    /// Tells whether a team that uses `used` may add `size`.
    pub fn allows(&self, team: &id::Team, used: size::Resources, size: size::Resources) -> bool {
        self.remaining(team).is_none_or(|remaining| remaining.fits(&(used + size)))
    }
}
