//! `knapweedgap job submit`

use std::fmt;
use std::path::PathBuf;
use std::str::FromStr;

use bpaf::{Parser, construct, long};
use knapweedgap_core::{id, size};
use knapweedgap_operator::Transport;
use knapweedgap_operator::job::{Priority, Submission};
use knapweedgap_settings::duration::Text;

use crate::command::{Command, Context, Invocation};
use crate::failure::Failure;
use crate::leaf::Leaf;
use crate::output::Output;
use crate::target::read_file;

const LEAF: Leaf = Leaf {
    name: "submit",
    about: "Submit a job. Team and key identify the job, so a submission can be repeated safely",
    examples: &[
        "knapweedgap job submit --team plans --key order-4711 --class grind --tasks 20 \\",
        "  --processor 1500m --memory 4GiB --run-time 10min",
        "knapweedgap job submit --file job.json --json",
    ],
};

/// Arguments of the command. Required options are checked after parsing, so that all missing ones
/// are reported together.
#[derive(Debug)]
pub struct Arguments {
    file: Option<PathBuf>,
    team: Option<id::Team>,
    key: Option<id::Key>,
    class: Option<id::Class>,
    priority: Option<Priority>,
    tasks: Option<u32>,
    processor: Option<size::Processor>,
    memory: Option<size::Bytes>,
    accelerator: Option<size::Accelerator>,
    run_time: Option<Text>,
    retry_limit: Option<u32>,
    zones: Vec<id::Zone>,
    racks: Vec<id::Rack>,
}

/// Builds the parser of an optional option.
fn option<T>(name: &'static str, form: &'static str, help: &'static str) -> impl Parser<Option<T>>
where
    T: FromStr + 'static,
    T::Err: fmt::Display,
{
    long(name).help(help).argument::<T>(form).optional()
}

pub(crate) fn parser() -> Box<dyn Parser<Invocation>> {
    let file = option(
        "file",
        "FILE",
        "Read the submission from a JSON file instead of the options below; - reads standard input",
    );
    let team = option("team", "TEAM", "Team to which the job is accounted (required)");
    let key = option("key", "KEY", "Idempotency key, unique within the team (required)");
    let class =
        option("class", "CLASS", "Class of jobs whose tasks interfere in the same way (required)");
    let priority = option("priority", "PRIORITY", "urgent, normal or low. Default: normal");
    let tasks = option("tasks", "COUNT", "Number of tasks. Default: 1");
    let processor =
        option("processor", "SIZE", "Processor capacity of each task, as 2 or 1500m (required)");
    let memory = option("memory", "SIZE", "Memory of each task, as 4GiB (required)");
    let accelerator = option("accelerator", "COUNT", "Accelerators of each task. Default: 0");
    let run_time = option("run-time", "TIME", "Expected run time of a task, as 10min (required)");
    let retry_limit = option(
        "retry-limit",
        "COUNT",
        "Maximum retries of a failed task. Default: the team's setting",
    );
    let zones = long("zone").help("Run only in this availability zone; may be repeated");
    let zones = zones.argument("ZONE").many();
    let racks = long("rack").help("Run only in this rack; may be repeated");
    let racks = racks.argument("RACK").many();
    let arguments = construct!(Arguments {
        file,
        team,
        key,
        class,
        priority,
        tasks,
        processor,
        memory,
        accelerator,
        run_time,
        retry_limit,
        zones,
        racks
    });
    LEAF.parser(arguments, Command::JobSubmit)
}

impl Arguments {
    fn submission(self) -> Result<Submission, Failure> {
        if let Some(path) = &self.file {
            if self.has_options() {
                let text = "give either --file or the options of the job, not both";
                return Err(Failure::Usage(text.to_owned()));
            }
            return Ok(Submission::decode(&read_file(path)?)?);
        }
        let missing = self.missing();
        let Arguments { team, key, class, processor, memory, run_time, .. } = self;
        let (Some(team), Some(key), Some(class)) = (team, key, class) else {
            return Err(missing);
        };
        let (Some(processor), Some(memory), Some(run_time)) = (processor, memory, run_time) else {
            return Err(missing);
        };
        let accelerator = self.accelerator.unwrap_or_default();
        let mut builder = Submission::builder(team, key, class)
            .priority(self.priority.unwrap_or_default())
            .tasks(self.tasks.unwrap_or(1))
            .size(size::Resources { processor, memory, accelerator })
            .run_time(run_time.get());
        if let Some(limit) = self.retry_limit {
            builder = builder.retry_limit(limit);
        }
        for zone in self.zones {
            builder = builder.zone(zone);
        }
        for rack in self.racks {
            builder = builder.rack(rack);
        }
        Ok(builder.build()?)
    }

    fn has_options(&self) -> bool {
        self.required().iter().any(|(_, given)| *given)
            || self.priority.is_some()
            || self.tasks.is_some()
            || self.accelerator.is_some()
            || self.retry_limit.is_some()
            || !self.zones.is_empty()
            || !self.racks.is_empty()
    }

    /// Returns the names of the required options and whether each is given.
    fn required(&self) -> [(&'static str, bool); 6] {
        [
            ("--team", self.team.is_some()),
            ("--key", self.key.is_some()),
            ("--class", self.class.is_some()),
            ("--processor", self.processor.is_some()),
            ("--memory", self.memory.is_some()),
            ("--run-time", self.run_time.is_some()),
        ]
    }

    fn missing(&self) -> Failure {
        let mut names = Vec::new();
        for (name, given) in self.required() {
            if !given {
                names.push(name);
            }
        }
        Failure::Usage(format!("add {}, or give --file FILE", names.join(", ")))
    }

    pub(crate) async fn run<T>(self, context: &Context<T>) -> Result<Output, Failure>
    where
        T: Transport,
    {
        let submission = self.submission()?;
        let accepted = context.caller.submit(&submission).await?;
        let mut text = format!("job {} accepted", accepted.job);
        if accepted.repeated {
            text.push_str(" (it was accepted before)");
        }
        Ok(Output::new(&accepted, text))
    }
}
