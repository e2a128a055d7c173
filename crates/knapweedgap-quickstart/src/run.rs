//! The main scenario, step by step.

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
use crate::fault::Fault;
use crate::job::{Job, Work, wait_until};
use crate::layout;
use crate::platform::Platform;
use crate::progress::Progress;
use crate::records::Records;
use crate::timeline;

/// Daemon instances.
const ENTRIES: usize = 3;
/// Timeout of the start, until all instances are ready and every partition has an owner.
const START_TIMEOUT: Duration = Duration::from_secs(15);
/// Limit on the time until a settings change is in force in all instances (design, 1.2, G9).
const SETTINGS_LIMIT: Duration = Duration::from_secs(2);
/// Limit on the time from the submission of an urgent task to its start (design, 1.5).
const URGENT_START_LIMIT: Duration = Duration::from_millis(1400);
/// Timeout of a job that no fault delays.
const JOB_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of a job whose worker is killed: the lease of 10 s, its drift, and the run time of the
/// tasks.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(25);
/// Timeout of a graceful shutdown: the notice of 2 s, the handover of 10 s and the requests in
/// flight.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(15);
/// Interval between reads of a state.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// State shared by the steps.
struct Run {
    progress: Progress,
    records: Records,
    platform: Platform,
    entries: Vec<Entry>,
    clients: Vec<Clients>,
    jobs: Vec<Job>,
    events: Vec<Page>,
    /// Number of partitions that the stopped instance owned.
    handed_over_partitions: usize,
}

/// Starts all components, runs the main scenario and prints the summary. Returns `true` if all
/// checks passed.
///
/// # Errors
///
/// Returns a [`Fault`] if a component does not start or a step can't complete.
pub(crate) async fn run(executor: Rc<LocalExecutor<'static>>) -> Result<bool, Fault> {
    let progress = Progress::new();
    let workers = layout::workers()?;
    let workers_of = |partition: u32| workers.get(&partition).cloned().unwrap_or_default();
    // The bulk partition hosts one runner, so another of its workers must be killed.
    let hosts: Vec<id::Worker> = [layout::BULK, layout::SECOND_TEAM, 3]
        .into_iter()
        .filter_map(|partition| workers_of(partition).first().cloned())
        .collect();
    let records = Records::default();
    let platform = Platform::start(executor.clone(), records.clone(), &workers, &hosts)?;
    progress.print("started the key-value service, the VM list, 6 workers and 3 runners");
    let entries = Entry::start_all(ENTRIES, platform.store, platform.inventory)?;
    let (clients, jobs, events) = (Vec::new(), Vec::new(), Vec::new());
    let mut run = Run {
        progress,
        records,
        platform,
        entries,
        clients,
        jobs,
        events,
        handed_over_partitions: 0,
    };
    run.wait_until_ready().await?;
    run.start_load(&executor).await?;
    run.run_batch_jobs().await?;
    run.evict_low_task().await?;
    run.change_settings().await?;
    let kill = run.kill_worker(&hosts).await?;
    run.shut_down_instance().await?;
    run.finish(&kill).await
}

/// Kill of a worker.
struct Kill {
    worker: id::Worker,
    wall_us: u64,
}

impl Run {
    fn first(&self) -> Result<&Entry, Fault> {
        self.entries.first().ok_or_else(|| Fault::new("entries", "no instance is running"))
    }

    async fn wait_until_ready(&mut self) -> Result<(), Fault> {
        let deadline = Instant::now() + START_TIMEOUT;
        for entry in &self.entries {
            loop {
                let health = entry.caller().health().await;
                if health.is_ok_and(|health| health.answers.iter().all(|(_, report)| report.ready))
                {
                    break;
                }
                if Instant::now() > deadline {
                    return Err(Fault::new(
                        entry.id.as_str(),
                        "instance did not become ready in time",
                    ));
                }
                Timer::after(POLL_INTERVAL).await;
            }
        }
        self.wait_for_owners(deadline).await?;
        self.progress.finish_step("3 instances are ready and every partition has an owner");
        Ok(())
    }

    /// Waits until running instances own all partitions and list their workers.
    async fn wait_for_owners(&self, deadline: Instant) -> Result<(), Fault> {
        let entry = self.first()?;
        loop {
            let list = entry.caller().partitions().await;
            let list = list.map_err(|error| Fault::new("partitions", error))?;
            let running =
                |owner: &id::Instance| self.entries.iter().any(|entry| entry.id == *owner);
            let complete = list.partitions.len() == layout::PARTITIONS as usize
                && list.partitions.iter().all(|partition| {
                    partition.workers > 0 && partition.owner.as_ref().is_some_and(running)
                });
            if complete {
                return Ok(());
            }
            if Instant::now() > deadline {
                let reason =
                    format!("some have no running owner or no workers: {:?}", list.partitions);
                return Err(Fault::new("partitions", reason));
            }
            Timer::after(POLL_INTERVAL).await;
        }
    }

    async fn start_load(&mut self, executor: &LocalExecutor<'static>) -> Result<(), Fault> {
        for entry in &self.entries {
            self.clients.push(Clients::start(executor, entry.client, self.records.clone()));
        }
        let records = self.records.clone();
        let answered = move || {
            records
                .summarize_requests()
                .outcomes
                .get(&load::Outcome::Complete)
                .copied()
                .unwrap_or_default()
                >= 50
        };
        if !wait_until(Duration::from_secs(10), answered).await {
            return Err(Fault::new("requests", "fewer than 50 were answered within 10 s"));
        }
        self.progress.finish_step("at least 50 requests were answered; the load continues");
        Ok(())
    }

    async fn run_batch_jobs(&mut self) -> Result<(), Fault> {
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
            let second =
                work("telecom", "transcripts", layout::SECOND_TEAM, 4).submit(&caller).await?;
            first.wait_finished(&caller, JOB_TIMEOUT).await?;
            second.wait_finished(&caller, JOB_TIMEOUT).await?;
            (first, second)
        };
        self.jobs.extend([first, second]);
        self.progress.finish_step("batch jobs of two teams finished");
        Ok(())
    }

    /// Occupies the only worker of a partition with a low task, submits an urgent one and checks
    /// that it evicts the low task.
    async fn evict_low_task(&mut self) -> Result<(), Fault> {
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
        let (records, id) = (self.records.clone(), low.id);
        if !wait_until(JOB_TIMEOUT, || records.starts(id) == 1).await {
            return Err(Fault::new(&low.name, "its task did not start"));
        }
        // Waits until the task has written its first checkpoint, after 1 s.
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
        if !wait_until(JOB_TIMEOUT, || records.starts(id) == 1).await {
            return Err(Fault::new(&urgent.name, "its task did not start"));
        }
        let waited = submitted.elapsed();
        self.progress.print(&format!("the urgent task started after {} ms", waited.as_millis()));
        self.progress
            .check(waited <= URGENT_START_LIMIT, "the urgent task took more than 1.4 s to start");
        urgent.wait_finished(&caller, JOB_TIMEOUT).await?;
        low.wait_finished(&caller, JOB_TIMEOUT).await?;
        let (starts, stops) = (records.starts(low.id), records.stops(low.id));
        self.progress.check(stops == 1, &format!("the low task was stopped {stops} times"));
        self.progress.check(starts == 2, &format!("the low task was started {starts} times"));
        self.jobs.extend([low, urgent]);
        self.progress
            .finish_step("a low task was evicted by an urgent one, resumed once and finished");
        Ok(())
    }

    async fn change_settings(&mut self) -> Result<(), Fault> {
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
                if sent.elapsed() > JOB_TIMEOUT {
                    return Err(Fault::new(
                        entry.id.as_str(),
                        "the settings change did not come into force in time",
                    ));
                }
                Timer::after(POLL_INTERVAL).await;
            }
        }
        let waited = sent.elapsed();
        self.progress
            .print(&format!("settings in force in all instances after {} ms", waited.as_millis()));
        self.progress.check(
            waited <= SETTINGS_LIMIT,
            "the settings change took more than 2 s to be in force",
        );
        self.progress.finish_step("a settings change is in force in all instances");
        Ok(())
    }

    /// Kills a worker that runs tasks and hosts no runner, and checks that its tasks resume on
    /// other workers.
    async fn kill_worker(&mut self, hosts: &[id::Worker]) -> Result<Kill, Fault> {
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
        let records = self.records.clone();
        let find_target = || {
            let running = records.running(job.id);
            running.into_keys().find(|worker| !hosts.contains(worker))
        };
        let all_started = || records.starts(job.id) == job.tasks && find_target().is_some();
        if !wait_until(JOB_TIMEOUT, all_started).await {
            return Err(Fault::new(&job.name, "its tasks did not start"));
        }
        Timer::after(Duration::from_secs(1)).await;
        let Some(worker) = find_target() else {
            return Err(Fault::new(&job.name, "all workers that run its tasks host a runner"));
        };
        let lost = records.running(job.id).get(&worker).copied().unwrap_or_default();
        self.platform.kill(&worker).await;
        let kill = Kill { worker, wall_us: unix_time_us() };
        self.progress.print(&format!("killed {} with {lost} running tasks", kill.worker));
        job.wait_finished(&caller, RECOVERY_TIMEOUT).await?;
        let starts = records.starts(job.id);
        let expected = job.tasks + lost;
        let failure =
            format!("{starts} attempts started with one worker killed, expected {expected}");
        self.progress.check(starts == expected, &failure);
        self.jobs.push(job);
        self.progress
            .finish_step("the tasks of a killed worker were resumed on other workers and finished");
        Ok(kill)
    }

    /// Returns the index of an instance that owns a partition, so that its shutdown includes a
    /// handover.
    async fn owner_index(&mut self) -> Result<usize, Fault> {
        let list = self.first()?.caller().partitions().await;
        let list = list.map_err(|error| Fault::new("partitions", error))?;
        let owner = list.partitions.iter().find_map(|partition| partition.owner.clone());
        let owned = list.partitions.iter().filter(|partition| partition.owner == owner).count();
        self.handed_over_partitions = owned;
        let position = self.entries.iter().position(|entry| Some(&entry.id) == owner.as_ref());
        position.ok_or_else(|| Fault::new("partitions", "no running instance owns a partition"))
    }

    /// Shuts one instance down under load. Its clients stop once it no longer reports ready, as
    /// with a load balancer.
    async fn shut_down_instance(&mut self) -> Result<(), Fault> {
        let index = self.owner_index().await?;
        let entry = self.entries.remove(index);
        let clients = self.clients.remove(index);
        self.progress.print(&format!("stopping {}", entry.id));
        entry.stop();
        let deadline = Instant::now() + SHUTDOWN_TIMEOUT;
        while is_ready(&entry).await {
            if Instant::now() > deadline {
                return Err(Fault::new(
                    entry.id.as_str(),
                    "instance still reports ready after its shutdown began",
                ));
            }
            Timer::after(POLL_INTERVAL).await;
        }
        // The event buffer of the instance is lost when it ends.
        self.events.push(timeline::read(&entry).await?);
        clients.finish().await?;
        entry.wait_ended().await?;
        self.progress.print(&format!("{} has ended", entry.id));
        self.progress.check(Instant::now() <= deadline, "the shutdown took more than 15 s");
        self.wait_for_owners(Instant::now() + SHUTDOWN_TIMEOUT).await?;
        self.progress
            .finish_step("one instance was shut down under load and its partitions have owners");
        Ok(())
    }

    async fn finish(mut self, kill: &Kill) -> Result<bool, Fault> {
        for clients in std::mem::take(&mut self.clients) {
            clients.finish().await?;
        }
        self.events.push(timeline::read(self.first()?).await?);
        let events = event::merge(std::mem::take(&mut self.events));
        let (completed, tasks) = self.check_jobs(kill);
        let requests = self.records.summarize_requests();
        let complete = requests.outcomes.get(&load::Outcome::Complete).copied().unwrap_or_default();
        let total: u64 = requests.outcomes.values().sum();
        for line in self.records.failed_requests() {
            self.progress.check(false, &line);
        }
        let (non_idempotent, repeated) = self.records.non_idempotent_runs();
        let failure = format!("{repeated} non-idempotent requests ran more than once");
        self.progress.check(repeated == 0, &failure);
        let unreadable = self.records.unreadable();
        self.progress.check(unreadable == 0, "some records of stand-ins can't be decoded");
        let count = |kind: &str| events.events.iter().filter(|event| event.kind == kind).count();
        // Releases before the shutdown only rebalance the partitions.
        let draining = events.events.iter().find(|event| event.kind == "instance-draining");
        let since = draining.map(|event| event.at);
        let handover = |event: &&event::Event| {
            event.kind == "partition-released" && since.is_some_and(|since| event.at >= since)
        };
        let released = events.events.iter().filter(handover).count();
        let owned = self.handed_over_partitions;
        let failure = format!("{released} partition releases, expected {owned}");
        self.progress.check(released == owned, &failure);
        let (evicted, resumed) = (count("task-evicted"), count("task-resumed"));
        self.progress
            .check(evicted == 1, &format!("{evicted} evictions in the time line, expected 1"));
        timeline::print(&events);
        println!("\nSummary");
        println!(
            "  requests   {complete} of {total} answered completely, {non_idempotent} of them non-idempotent"
        );
        println!("  latency    median {} us, p99 {} us", requests.median_us, requests.p99_us);
        println!("  jobs       {completed} of {} completed exactly once", self.jobs.len());
        println!("  tasks      {tasks} completed exactly once");
        println!("  evictions  {evicted}, resumed attempts {resumed}");
        for (step, time) in self.progress.steps() {
            println!("  {:6.2} s   {step}", time.as_secs_f64());
        }
        println!("  {:6.2} s   in total", self.progress.elapsed().as_secs_f64());
        for failure in self.progress.failures() {
            println!("  FAILED: {failure}");
        }
        let passed = self.progress.failures().is_empty();
        println!("{}", if passed { "all checks passed" } else { "some checks failed" });
        Ok(passed)
    }

    /// Checks all jobs against the records of the workers. Returns the numbers of jobs and of tasks
    /// that completed exactly once.
    fn check_jobs(&mut self, kill: &Kill) -> (usize, usize) {
        let (mut jobs, mut tasks) = (0, 0);
        for job in &self.jobs {
            let (completed, repeated) = self.records.completed(job.id);
            let passed = completed == job.tasks && repeated == 0;
            let failure = format!(
                "{}: {completed} of {} tasks completed, {repeated} of them more than once",
                job.name, job.tasks
            );
            self.progress.check(passed, &failure);
            jobs += usize::from(passed);
            tasks += completed - repeated;
        }
        for task in self.records.overlaps(&kill.worker, kill.wall_us) {
            self.progress
                .check(false, &format!("two attempts of task {task} ran at the same time"));
        }
        (jobs, tasks)
    }
}

async fn is_ready(entry: &Entry) -> bool {
    let health = entry.caller().health().await;
    health.is_ok_and(|health| health.answers.iter().any(|(_, report)| report.ready))
}

fn unix_time_us() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}
