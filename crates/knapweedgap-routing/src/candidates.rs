//! Set of upstream positions with constant-time insertion, removal and random choice.

/// Positions in no particular order. The caller stores where each position sits.
#[derive(Debug, Default)]
pub(crate) struct Candidates {
    members: Vec<usize>,
}

impl Candidates {
    pub(crate) fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    pub(crate) fn as_slice(&self) -> &[usize] {
        &self.members
    }

    /// Adds a member and returns its place.
    pub(crate) fn insert(&mut self, member: usize) -> usize {
        self.members.push(member);
        self.members.len() - 1
    }

    /// Removes the member at `place`. Returns the member that now sits there, if any.
    pub(crate) fn remove(&mut self, place: usize) -> Option<usize> {
        self.members.swap_remove(place);
        self.members.get(place).copied()
    }

    /// Draws a member.
    pub(crate) fn draw(&self, rng: &mut fastrand::Rng) -> Option<usize> {
        if self.members.is_empty() {
            return None;
        }
        Some(self.members[rng.usize(..self.members.len())])
    }
}
