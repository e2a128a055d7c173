//! Commands, one per file, grouped by noun.

pub mod doctor;
pub mod events;
pub mod health;
pub mod instances;
pub mod job;
pub mod partitions;
pub mod request;
pub mod settings;

use bpaf::{OptionParser, Parser};
use knapweedgap_operator::{Caller, Transport};

use crate::failure::Failure;
use crate::output::Output;
use crate::target::Target;

/// A command with its target.
#[derive(Debug)]
pub struct Invocation {
    pub(crate) target: Target,
    pub(crate) command: Command,
}

/// Environment in which a command runs.
#[derive(Debug)]
pub struct Context<T> {
    pub(crate) caller: Caller<T>,
    /// Name of the user, recorded in the settings history; empty if unknown.
    pub(crate) user: String,
}

macro_rules! commands {
    ($($variant:ident => $path:path;)*) => {
        /// One command with its arguments.
        #[derive(Debug)]
        pub enum Command {
            $(#[doc = stringify!($path)] $variant($path),)*
        }

        impl Command {
            pub(crate) async fn run<T>(self, context: &Context<T>) -> Result<Output, Failure>
            where
                T: Transport,
            {
                match self {
                    $(Command::$variant(arguments) => arguments.run(context).await,)*
                }
            }
        }
    };
}

commands! {
    JobSubmit => job::submit::Arguments;
    JobStatus => job::status::Arguments;
    JobList => job::list::Arguments;
    JobCancel => job::cancel::Arguments;
    JobWait => job::wait::Arguments;
    SettingsGet => settings::get::Arguments;
    SettingsSet => settings::set::Arguments;
    SettingsUnset => settings::unset::Arguments;
    SettingsEffective => settings::effective::Arguments;
    SettingsCheck => settings::check::Arguments;
    SettingsDiff => settings::diff::Arguments;
    SettingsHistory => settings::history::Arguments;
    SettingsSchema => settings::schema::Arguments;
    Events => events::Arguments;
    Instances => instances::Arguments;
    Partitions => partitions::Arguments;
    Doctor => doctor::Arguments;
    Health => health::Arguments;
    RequestOutcome => request::outcome::Arguments;
}

/// Returns the parser of the command line.
pub fn options() -> OptionParser<Invocation> {
    let commands = vec![
        job::parser(),
        settings::parser(),
        events::parser(),
        instances::parser(),
        partitions::parser(),
        doctor::parser(),
        health::parser(),
        request::parser(),
    ];
    bpaf::choice(commands)
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Operates knapweedgap: jobs, settings and the state of the instances.")
        .footer("Exit codes: 0 ok, 1 refused, 2 usage, 3 unreachable, 4 not found, 5 conflict, 6 wait timed out.")
}
