use std::fmt;

use knapweedgap_core::id;

use super::State;
use crate::error::Body;
use crate::query::{Fields, Writer};

/// Which jobs to list; written as a query string. Fields that are not set do not restrict.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Filter {
    /// Jobs of this team.
    pub team: Option<id::Team>,
    /// Jobs of this class.
    pub class: Option<id::Class>,
    /// Jobs in this state.
    pub state: Option<State>,
    /// Jobs with a larger id than this one, to read the list page by page.
    pub after: Option<id::Job>,
    /// Most jobs in the answer.
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
