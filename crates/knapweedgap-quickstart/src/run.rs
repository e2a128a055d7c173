//! The main job, step by step.

use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_executor::LocalExecutor;
use async_io::Timer;
use knapweedgap_core::id;
use knapweedgap_operator::event::{self, Page};
use knapweedgap_operator::job::Priority;
use knapweedgap_settings::{Key, Patch, Path};
use knapweedgap_standin::load;

use crate::clients::Clients;
use crate::entries::Entry;
use crate::evidence::Evidence;
use crate::fault::Fault;
use crate::job::{Job, Work, until};
use crate::layout;
use crate::platform::Platform;
use crate::progress::Progress;
use crate::timeline;

/// Instances of the daemon.
const ENTRIES: usize = 3;
/// Longest start of all instances until every partition has an owner.
const START_TIME: Duration = Duration::from_secs(15);
/// Longest time until settings are in force in all instances (design, 1.2, G9).
const SETTINGS_TIME: Duration = Duration::from_secs(2);
/// Longest time from the submission of urgent work to its start (design, 1.5).
const URGENT_TIME: Duration = Duration::from_millis(1400);
/// Longest time until a job that nothing disturbs has finished.
const JOB_TIME: Duration = Duration::from_secs(20);
/// Longest time until a job has finished whose worker died: the lease of 10 s, its drift, and the
/// work itself.
const RECOVERY_TIME: Duration = Duration::from_secs(25);
/// Longest graceful shutdown: the notice of 2 s, the handover of 10 s and some requests.
const STOP_TIME: Duration = Duration::from_secs(15);
/// Interval at which states are read.
const INTERVAL: Duration = Duration::from_millis(20);

/// What the steps share.
struct Run {
    progress: Progress,
    evidence: Evidence,
    platform: Platform,
    entries: Vec<Entry>,
    clients: Vec<Clients>,
    jobs: Vec<Job>,
    events: Vec<Page>,
    /// Partitions that the stopped instance owned.
    handed_over: usize,
}

/// Starts everything, runs the main job and prints the summary. Returns whether all that must
/// hold did hold.
///
/// # Errors
///
/// A component does not start or a step can't go on.
pub(crate) async fn run(executor: Rc<LocalExecutor<'static>>) -> Result<bool, Fault> {
    let progress = Progress::new();
    let workers = layout::workers()?;
    let of = |partition: u32| workers.get(&partition).cloned().unwrap_or_default();
    // One runner on the bulk partition; its host is not the worker that dies.
    let hosts: Vec<id::Worker> = [layout::BULK, layout::SECOND, 3]
        .into_iter()
        .filter_map(|partition| of(partition).first().cloned())
        .collect();
    let evidence = Evidence::default();
    let platform = Platform::start(executor.clone(), evidence.clone(), &workers, &hosts)?;
    progress.say("started the key-value service, the VM list, 6 workers and 3 runners");
    let entries = Entry::start_all(ENTRIES, platform.store, platform.inventory)?;
    let (clients, jobs, events) = (Vec::new(), Vec::new(), Vec::new());
    let mut run =
        Run { progress, evidence, platform, entries, clients, jobs, events, handed_over: 0 };
    run.ready().await?;
    run.load(&executor).await?;
    run.batch().await?;
    run.evict().await?;
    run.settings().await?;
    let death = run.death(&hosts).await?;
    run.shutdown().await?;
    run.finish(&death).await
}

/// Death of a worker.
struct Death {
    worker: id::Worker,
    wall_us: u64,
}

impl Run {
    fn first(&self) -> Result<&Entry, Fault> {
        self.entries.first().ok_or_else(|| Fault::new("entries", "none is running"))
    }

    async fn ready(&mut self) -> Result<(), Fault> {
        let deadline = Instant::now() + START_TIME;
        for entry in &self.entries {
            loop {
                let health = entry.caller().health().await;
                if health.is_ok_and(|health| health.answers.iter().all(|(_, report)| report.ready))
                {
                    break;
                }
                if Instant::now() > deadline {
                    return Err(Fault::new(entry.id.as_str(), "not ready in time"));
                }
                Timer::after(INTERVAL).await;
            }
        }
        self.owned(deadline).await?;
        self.progress.end("3 instances are ready and every partition has an owner");
        Ok(())
    }

    /// Waits until running instances own all partitions and know their workers.
    async fn owned(&self, deadline: Instant) -> Result<(), Fault> {
        let entry = self.first()?;
        loop {
            let list = entry.caller().partitions().await;
            let list = list.map_err(|error| Fault::new("partitions", error))?;
            let running =
                |owner: &id::Instance| self.entries.iter().any(|entry| entry.id == *owner);
            let whole = list.partitions.len() == layout::PARTITIONS as usize
                && list.partitions.iter().all(|partition| {
                    partition.workers > 0 && partition.owner.as_ref().is_some_and(running)
                });
            if whole {
                return Ok(());
            }
            if Instant::now() > deadline {
                let reason = format!("not all are owned in time: {:?}", list.partitions);
                return Err(Fault::new("partitions", reason));
            }
            Timer::after(INTERVAL).await;
        }
    }

    async fn load(&mut self, executor: &LocalExecutor<'static>) -> Result<(), Fault> {
        for entry in &self.entries {
            self.clients.push(Clients::start(executor, entry.client, self.evidence.clone()));
        }
        let evidence = self.evidence.clone();
        let answered = move || {
            evidence.requests().told.get(&load::Outcome::Complete).copied().unwrap_or_default()
                >= 50
        };
        if !until(Duration::from_secs(10), answered).await {
            return Err(Fault::new("requests", "50 answers did not arrive within 10 s"));
        }
        self.progress.end("requests are answered through all entries; the load goes on");
        Ok(())
    }

    async fn batch(&mut self) -> Result<(), Fault> {
        let (first, second) = {
            let caller = self.first()?.caller();
            let work = |team, name, partition, tasks| Work {
                team,
                name,
                partition,
                priority: Priority::Normal,
                tasks,
                size: layout::resources(1, 1),
                run_time: Duration::from_secs(1),
            };
            let first = work("grinding", "plans", layout::BULK, 12).submit(&caller).await?;
            let second = work("telecom", "transcripts", layout::SECOND, 4).submit(&caller).await?;
            first.finished(&caller, JOB_TIME).await?;
            second.finished(&caller, JOB_TIME).await?;
            (first, second)
        };
        self.jobs.extend([first, second]);
        self.progress.end("batch jobs of two teams finished");
        Ok(())
    }

    /// Fills the only worker of a partition with low work and submits urgent work.
    async fn evict(&mut self) -> Result<(), Fault> {
        let caller = self.first()?.caller();
        let low = Work {
            team: "telecom",
            name: "reindex",
            partition: layout::CONTENDED,
            priority: Priority::Low,
            tasks: 1,
            size: layout::resources(4, 4),
            run_time: Duration::from_secs(4),
        };
        let low = low.submit(&caller).await?;
        let (evidence, id) = (self.evidence.clone(), low.id);
        if !until(JOB_TIME, || evidence.starts(id) == 1).await {
            return Err(Fault::new(&low.name, "not started"));
        }
        // The task has written a checkpoint by then.
        Timer::after(Duration::from_millis(1500)).await;
        let urgent = Work {
            team: "grinding",
            name: "urgent-plan",
            partition: layout::CONTENDED,
            priority: Priority::Urgent,
            tasks: 1,
            size: layout::resources(2, 2),
            run_time: Duration::from_secs(1),
        };
        let submitted = Instant::now();
        let urgent = urgent.submit(&caller).await?;
        let id = urgent.id;
        if !until(JOB_TIME, || evidence.starts(id) == 1).await {
            return Err(Fault::new(&urgent.name, "not started"));
        }
        let waited = submitted.elapsed();
        self.progress.say(&format!("urgent work started after {} ms", waited.as_millis()));
        self.progress.require(waited <= URGENT_TIME, "urgent work started after more than 1.4 s");
        urgent.finished(&caller, JOB_TIME).await?;
        low.finished(&caller, JOB_TIME).await?;
        let (starts, stops) = (evidence.starts(low.id), evidence.stops(low.id));
        self.progress.require(stops == 1, &format!("the low task was stopped {stops} times"));
        self.progress.require(starts == 2, &format!("the low task was started {starts} times"));
        self.jobs.extend([low, urgent]);
        self.progress.end("a low task was evicted by urgent work, resumed once and finished");
        Ok(())
    }

    async fn settings(&mut self) -> Result<(), Fault> {
        let path: Path = layout::parse("services/dispatch")?;
        let caller = self.first()?.caller();
        let settings = caller.settings().await;
        let base = settings.map_err(|error| Fault::new("settings", error))?.revision;
        let patch =
            Patch::builder(base).author("quickstart").set(&path, Key::QueueLength, 512).build();
        let sent = Instant::now();
        let patched = caller.patch(&patch).await;
        let revision = patched.map_err(|error| Fault::new("settings", error))?.revision;
        for entry in &self.entries {
            loop {
                let shown = entry.caller().settings().await;
                if shown.is_ok_and(|shown| shown.revision >= revision) {
                    break;
                }
                if sent.elapsed() > JOB_TIME {
                    return Err(Fault::new(entry.id.as_str(), "the change is not in force"));
                }
                Timer::after(INTERVAL).await;
            }
        }
        let waited = sent.elapsed();
        self.progress.say(&format!("settings in force everywhere after {} ms", waited.as_millis()));
        self.progress.require(waited <= SETTINGS_TIME, "settings took more than 2 s");
        self.progress.end("a settings change is in force in all instances");
        Ok(())
    }

    /// Kills a worker that runs tasks and hosts no runner.
    async fn death(&mut self, hosts: &[id::Worker]) -> Result<Death, Fault> {
        let caller = self.first()?.caller();
        let work = Work {
            team: "grinding",
            name: "night-plans",
            partition: layout::BULK,
            priority: Priority::Normal,
            tasks: 9,
            size: layout::resources(1, 1),
            run_time: Duration::from_secs(3),
        };
        let job = work.submit(&caller).await?;
        let evidence = self.evidence.clone();
        let victim = || {
            let running = evidence.running(job.id);
            running.into_keys().find(|worker| !hosts.contains(worker))
        };
        let all = || evidence.starts(job.id) == job.tasks && victim().is_some();
        if !until(JOB_TIME, all).await {
            return Err(Fault::new(&job.name, "its tasks did not start"));
        }
        Timer::after(Duration::from_secs(1)).await;
        let Some(worker) = victim() else {
            return Err(Fault::new(&job.name, "no worker without a runner runs a task"));
        };
        let lost = evidence.running(job.id).get(&worker).copied().unwrap_or_default();
        self.platform.kill(&worker).await;
        let death = Death { worker, wall_us: wall_us() };
        self.progress.say(&format!("killed {} with {lost} running tasks", death.worker));
        job.finished(&caller, RECOVERY_TIME).await?;
        let starts = evidence.starts(job.id);
        let wanted = job.tasks + lost;
        let fault = format!("{starts} attempts started after a death, {wanted} are right");
        self.progress.require(starts == wanted, &fault);
        self.jobs.push(job);
        self.progress.end("the tasks of a dead worker were resumed elsewhere and finished");
        Ok(death)
    }

    /// Returns the position of an instance that owns a partition, so that its stop includes a
    /// handover.
    async fn owner_index(&mut self) -> Result<usize, Fault> {
        let list = self.first()?.caller().partitions().await;
        let list = list.map_err(|error| Fault::new("partitions", error))?;
        let owner = list.partitions.iter().find_map(|partition| partition.owner.clone());
        let owned = list.partitions.iter().filter(|partition| partition.owner == owner).count();
        self.handed_over = owned;
        let position = self.entries.iter().position(|entry| Some(&entry.id) == owner.as_ref());
        position.ok_or_else(|| Fault::new("partitions", "no running instance owns any"))
    }

    /// Shuts one instance down under load, as a load balancer sees it.
    async fn shutdown(&mut self) -> Result<(), Fault> {
        let index = self.owner_index().await?;
        let entry = self.entries.remove(index);
        let clients = self.clients.remove(index);
        self.progress.say(&format!("{} is asked to stop", entry.id));
        entry.stop();
        let deadline = Instant::now() + STOP_TIME;
        while is_ready(&entry).await {
            if Instant::now() > deadline {
                return Err(Fault::new(entry.id.as_str(), "it still reports ready"));
            }
            Timer::after(INTERVAL).await;
        }
        // Its event buffer ends with it.
        self.events.push(timeline::read(&entry).await?);
        clients.finish().await?;
        entry.ended().await?;
        self.progress.say(&format!("{} has ended", entry.id));
        self.progress.require(Instant::now() <= deadline, "the shutdown took more than 15 s");
        self.owned(Instant::now() + STOP_TIME).await?;
        self.progress.end("one instance was shut down under load and its partitions have owners");
        Ok(())
    }

    async fn finish(mut self, death: &Death) -> Result<bool, Fault> {
        for clients in std::mem::take(&mut self.clients) {
            clients.finish().await?;
        }
        self.events.push(timeline::read(self.first()?).await?);
        let events = event::merge(std::mem::take(&mut self.events));
        let (completed, tasks) = self.check_jobs(death);
        let requests = self.evidence.requests();
        let whole = requests.told.get(&load::Outcome::Complete).copied().unwrap_or_default();
        let total: u64 = requests.told.values().sum();
        for line in self.evidence.failed_requests() {
            self.progress.require(false, &line);
        }
        let (keyed, repeated) = self.evidence.keyed_runs();
        let fault = format!("{repeated} non-idempotent requests ran more than once");
        self.progress.require(repeated == 0, &fault);
        let unreadable = self.evidence.unreadable();
        self.progress.require(unreadable == 0, "a record of a stand-in can't be read");
        let count = |kind: &str| events.events.iter().filter(|event| event.kind == kind).count();
        // A release before the shutdown only balances the partitions over the instances.
        let draining = events.events.iter().find(|event| event.kind == "instance-draining");
        let since = draining.map(|event| event.at);
        let handover = |event: &&event::Event| {
            event.kind == "partition-released" && since.is_some_and(|since| event.at >= since)
        };
        let released = events.events.iter().filter(handover).count();
        let owned = self.handed_over;
        let fault = format!("{released} releases for the handover of {owned} partitions");
        self.progress.require(released == owned, &fault);
        let (evicted, resumed) = (count("task-evicted"), count("task-resumed"));
        self.progress.require(evicted == 1, &format!("{evicted} evictions in the time line"));
        timeline::print(&events);
        println!("\nSummary");
        println!("  requests   {whole} of {total} answered whole, {keyed} of them non-idempotent");
        println!("  latency    median {} us, p99 {} us", requests.median_us, requests.p99_us);
        println!("  jobs       {completed} of {} completed exactly once", self.jobs.len());
        println!("  tasks      {tasks} completed exactly once");
        println!("  evictions  {evicted}, resumed attempts {resumed}");
        for (step, time) in self.progress.steps() {
            println!("  {:6.2} s   {step}", time.as_secs_f64());
        }
        println!("  {:6.2} s   in total", self.progress.elapsed().as_secs_f64());
        for fault in self.progress.faults() {
            println!("  FAULT: {fault}");
        }
        let holds = self.progress.faults().is_empty();
        println!("{}", if holds { "everything held" } else { "something did not hold" });
        Ok(holds)
    }

    /// Checks the record of the workers. Returns the jobs and tasks that completed exactly once.
    fn check_jobs(&mut self, death: &Death) -> (usize, usize) {
        let (mut jobs, mut tasks) = (0, 0);
        for job in &self.jobs {
            let (completed, repeated) = self.evidence.completed(job.id);
            let holds = completed == job.tasks && repeated == 0;
            let fault = format!(
                "{}: {completed} of {} tasks completed, {repeated} of them more than once",
                job.name, job.tasks
            );
            self.progress.require(holds, &fault);
            jobs += usize::from(holds);
            tasks += completed - repeated;
        }
        for task in self.evidence.overlaps(&death.worker, death.wall_us) {
            self.progress.require(false, &format!("task {task} ran in two places at once"));
        }
        (jobs, tasks)
    }
}

async fn is_ready(entry: &Entry) -> bool {
    let health = entry.caller().health().await;
    health.is_ok_and(|health| health.answers.iter().any(|(_, report)| report.ready))
}

fn wall_us() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}
