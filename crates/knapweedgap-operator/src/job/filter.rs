use std::fmt;

use knapweedgap_core::id;

use super::State;
use crate::error::Body;
use crate::query::{Fields, Writer};

/// Selects the jobs to list; formatted as a query string. Fields that are not set do not restrict
/// the selection.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Filter {
    /// Only jobs of this team.
    pub team: Option<id::Team>,
    /// Only jobs of this class.
    pub class: Option<id::Class>,
    /// Only jobs in this state.
    pub state: Option<State>,
    /// Only jobs with a larger id than this one, for pagination.
    pub after: Option<id::Job>,
    /// Most jobs in the response.
    pub limit: Option<u32>,
}

impl Filter {
    pub(crate) fn parse(query: &str) -> Result<Filter, Body> {
        let mut fields = Fields::parse(query)?;
        let filter = Filter {
            team: fields.take("team")?,
            class: fields.take("class")?,
            state: fields.take("state")?,
            after: fields.take("after")?,
            limit: fields.take("limit")?,
        };
        fields.finish("team, class, state, after, limit")?;
        Ok(filter)
    }
}

impl fmt::Display for Filter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut writer = Writer::new(f);
        writer.field("team", &self.team)?;
        writer.field("class", &self.class)?;
        writer.field("state", &self.state)?;
        writer.field("after", &self.after)?;
        writer.field("limit", &self.limit)
    }
}
