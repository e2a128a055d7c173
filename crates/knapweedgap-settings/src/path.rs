//! Paths of nodes and the lookup order of values.

use std::borrow::Borrow;
use std::fmt;
use std::str::FromStr;

use knapweedgap_core::{id, parse};
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

/// Most names in a path.
pub const DEPTH_MAX: usize = 8;

/// Reserved name of the node that holds the services of a place.
pub const SERVICES: &str = "services";

/// Reserved name of the node that holds the teams.
pub const TEAMS: &str = "teams";

const WHAT: &str = "settings path";
const NAME_HELP: &str =
    "write names of 1 to 128 of the characters A-Z a-z 0-9 . _ - : separated by /, or / alone";
pub(crate) const DEPTH_HELP: &str = "use at most 8 names";
const TEAMS_HELP: &str = "put teams into the node teams of the root, without nodes below a team";
const SERVICES_HELP: &str = "put services into a node services, without nodes below a service";

/// Kind of a node, which determines the keys that may be set on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
pub enum Level {
    /// The whole installation.
    #[display("root")]
    Root,
    /// A region, an availability zone or another part of the installation.
    #[display("place")]
    Place,
    /// A `services` node or one service.
    #[display("service")]
    Service,
    /// The `teams` node or one team.
    #[display("team")]
    Team,
}

/// Path of a node, written as names separated by `/`; the root is `/`.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "SmolStr", into = "SmolStr")]
pub struct Path {
    names: Vec<SmolStr>,
}

impl Path {
    /// Returns the path of the root.
    pub const fn root() -> Path {
        Path { names: Vec::new() }
    }

    /// Returns the path at which the lookup of a service starts for a node's place. It may be deeper
    /// than [`DEPTH_MAX`]; no values can be set on such a node, but it inherits them.
    pub fn service(node: &Path, service: &id::Service) -> Path {
        let mut names = node.place().names;
        names.push(SmolStr::new_static(SERVICES));
        names.push(SmolStr::new(service.as_str()));
        Path { names }
    }

    /// Returns the path of a team.
    pub fn team(team: &id::Team) -> Path {
        Path { names: vec![SmolStr::new_static(TEAMS), SmolStr::new(team.as_str())] }
    }

    /// Returns the path of a child of this node.
    ///
    /// # Errors
    /// The name is invalid or not allowed in this node, or the path would exceed [`DEPTH_MAX`].
    pub fn child(&self, name: &str) -> Result<Path, parse::Error> {
        // All ids follow the same naming rule; the service id stands for any of them.
        if name.parse::<id::Service>().is_err() {
            return Err(parse::Error::new(WHAT, name, NAME_HELP));
        }
        if self.names.len() >= DEPTH_MAX {
            return Err(parse::Error::new(WHAT, name, DEPTH_HELP));
        }
        match self.group() {
            Some((place, SERVICES)) if self.names.len() > place + 1 => {
                return Err(parse::Error::new(WHAT, name, SERVICES_HELP));
            }
            Some((place, TEAMS)) if self.names.len() > place + 1 => {
                return Err(parse::Error::new(WHAT, name, TEAMS_HELP));
            }
            None if name == TEAMS && !self.names.is_empty() => {
                return Err(parse::Error::new(WHAT, name, TEAMS_HELP));
            }
            _ => {}
        }
        let mut names = self.names.clone();
        names.push(SmolStr::new(name));
        Ok(Path { names })
    }

    /// Returns the names from the root to this node.
    pub fn names(&self) -> &[SmolStr] {
        &self.names
    }

    /// Returns the kind of the node.
    pub fn level(&self) -> Level {
        match self.group() {
            Some((_, SERVICES)) => Level::Service,
            Some(_) => Level::Team,
            None if self.names.is_empty() => Level::Root,
            None => Level::Place,
        }
    }

    /// Returns the place that contains the node, or the node itself if it is a place.
    pub fn place(&self) -> Path {
        let end = self.group().map_or(self.names.len(), |(place, _)| place);
        Path { names: self.names[..end].to_vec() }
    }

    /// Returns `true` if this node is `other` or one of its ancestors.
    pub fn contains(&self, other: &Path) -> bool {
        other.names.starts_with(&self.names)
    }

    /// Returns the nodes from which this node takes its values, itself included, in lookup order.
    pub fn lookup(&self) -> Vec<Path> {
        let mut order = Vec::new();
        self.find(|names| {
            order.push(Path { names: names.to_vec() });
            None::<()>
        });
        order
    }

    /// Calls `visit` with the names of each node in lookup order and returns its first result that
    /// is not `None`.
    pub(crate) fn find<T>(&self, mut visit: impl FnMut(&[SmolStr]) -> Option<T>) -> Option<T> {
        let place_len = self.group().map_or(self.names.len(), |(place, _)| place);
        let (place, group) = self.names.split_at(place_len);
        let mut names = Vec::with_capacity(self.names.len());
        for place_end in (0..=place.len()).rev() {
            names.clear();
            names.extend_from_slice(&place[..place_end]);
            names.extend_from_slice(group);
            for group_end in (0..=group.len()).rev() {
                names.truncate(place_end + group_end);
                let found = visit(&names);
                if found.is_some() {
                    return found;
                }
            }
        }
        None
    }

    /// Returns the path of the same service or group in another place. As for [`Path::service`], it
    /// may be deeper than [`DEPTH_MAX`].
    pub(crate) fn moved_to(&self, place: &Path) -> Path {
        let place_len = self.place().names.len();
        let mut names = place.names.clone();
        names.extend_from_slice(&self.names[place_len..]);
        Path { names }
    }

    /// Returns the JSON path of the node in the tree.
    pub fn json(&self) -> String {
        let mut text = String::from("$");
        for name in &self.names {
            text.push_str(".children[\"");
            text.push_str(name);
            text.push_str("\"]");
        }
        text
    }

    /// Returns the position of the first reserved name, and the name.
    fn group(&self) -> Option<(usize, &str)> {
        let is_group = |name: &SmolStr| name == SERVICES || name == TEAMS;
        let position = self.names.iter().position(is_group)?;
        Some((position, self.names[position].as_str()))
    }
}

// A path is ordered like its slice of names, so a map can be searched without constructing a path.
impl Borrow<[SmolStr]> for Path {
    fn borrow(&self) -> &[SmolStr] {
        &self.names
    }
}

impl fmt::Display for Path {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.names.is_empty() {
            return f.write_str("/");
        }
        for (index, name) in self.names.iter().enumerate() {
            if index > 0 {
                f.write_str("/")?;
            }
            f.write_str(name)?;
        }
        Ok(())
    }
}

impl FromStr for Path {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<Path, parse::Error> {
        let mut path = Path::root();
        if text == "/" {
            return Ok(path);
        }
        for name in text.split('/') {
            path = path
                .child(name)
                .map_err(|error| parse::Error::new(error.what, text, error.help))?;
        }
        Ok(path)
    }
}

impl TryFrom<SmolStr> for Path {
    type Error = parse::Error;

    fn try_from(text: SmolStr) -> Result<Path, parse::Error> {
        text.parse()
    }
}

impl From<Path> for SmolStr {
    fn from(path: Path) -> SmolStr {
        format_smolstr!("{path}")
    }
}
