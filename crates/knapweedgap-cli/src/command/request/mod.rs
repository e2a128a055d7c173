//! Commands on client requests.

pub mod outcome;

use bpaf::Parser;

use crate::command::Invocation;
use crate::leaf::group;

pub(crate) fn parser() -> Box<dyn Parser<Invocation>> {
    group("request", "Look up client requests", vec![outcome::parser()])
}
