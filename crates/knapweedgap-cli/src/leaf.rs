//! Common structure of all commands: target, own arguments and help with examples.

use bpaf::{Parser, construct};

use crate::command::{Command, Invocation};
use crate::target::Target;

/// Leaf of the command tree: name and help of a command that can be run.
pub(crate) struct Leaf {
    pub(crate) name: &'static str,
    pub(crate) about: &'static str,
    /// Example command lines, shown at the end of the help.
    pub(crate) examples: &'static [&'static str],
}

impl Leaf {
    /// Builds the parser of the command.
    pub(crate) fn parser<A>(
        &self,
        arguments: impl Parser<A> + 'static,
        wrap: fn(A) -> Command,
    ) -> Box<dyn Parser<Invocation>>
    where
        A: 'static,
    {
        let target = Target::parser();
        let pair = construct!(target, arguments);
        let invocation =
            pair.map(move |(target, arguments)| Invocation { target, command: wrap(arguments) });
        // bpaf keeps a line break only before a line that starts with a space. Four or more spaces
        // would start a code block, which loses its indentation.
        let mut footer = String::from("Examples:");
        for example in self.examples {
            footer.push_str("\n  ");
            footer.push_str(example);
        }
        let options = invocation.to_options().descr(self.about).footer(footer.as_str());
        options.command(self.name).help(self.about).boxed()
    }
}

/// Builds the parser of a command group.
pub(crate) fn group(
    name: &'static str,
    about: &'static str,
    commands: Vec<Box<dyn Parser<Invocation>>>,
) -> Box<dyn Parser<Invocation>> {
    let options = bpaf::choice(commands).to_options().descr(about);
    options.command(name).help(about).boxed()
}
