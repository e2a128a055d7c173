//! Set of upstream positions with constant-time insertion, removal and random choice.

/// Unordered set of positions. The caller stores the index of each member.
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

    /// Adds a member and returns its index.
    pub(crate) fn insert(&mut self, member: usize) -> usize {
        self.members.push(member);
        self.members.len() - 1
    }

    /// Removes the member at `index`. Returns the member that moves to this index, if any.
    pub(crate) fn remove(&mut self, index: usize) -> Option<usize> {
        self.members.swap_remove(index);
        self.members.get(index).copied()
    }

    /// Returns a uniformly random member, or `None` if the set is empty.
    pub(crate) fn draw(&self, rng: &mut fastrand::Rng) -> Option<usize> {
        if self.members.is_empty() {
            return None;
        }
        Some(self.members[rng.usize(..self.members.len())])
    }
}
