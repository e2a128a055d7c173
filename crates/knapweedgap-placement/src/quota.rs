//! Team quotas: the sum of the sizes that a team may have committed in the partition at once.

use std::collections::BTreeMap;

use knapweedgap_core::{id, size};

/// Sizes committed for each team. A team without committed sizes has no record.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Usage {
    teams: BTreeMap<id::Team, size::Resources>,
}

impl Usage {
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
    /// Quota of each team in this partition.
    pub teams: BTreeMap<id::Team, size::Resources>,
}

impl Table {
    /// Returns the quota of a team; `None` sets no limit.
    pub fn of(&self, team: &id::Team) -> Option<size::Resources> {
        self.teams.get(team).copied().or(self.default)
    }

    /// Tells whether a team that uses `used` may add `size`.
    pub fn allows(&self, team: &id::Team, used: size::Resources, size: size::Resources) -> bool {
        self.of(team).is_none_or(|quota| quota.fits(&(used + size)))
    }
}
