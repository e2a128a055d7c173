//! Speed of best-effort tasks on workers with serving tasks.
//!
//! Designed for the load pattern of serving tasks whose slack ([`crate::interference::slack`])
//! shrinks within seconds, because their own load rises or best-effort tasks on the worker
//! interfere. The best-effort tasks that reduce a low slack most are slowed down to recover the
//! missing slack. They speed up again within the available slack.

use std::time::Duration;

/// Slack below which best-effort tasks are slowed down. Higher values cost more batch work than
/// they save the users in latency.
pub const SLACK_LOW: f64 = 1.05;
/// Slack that speed changes aim at. Reported slack is imprecise by about a tenth.
pub const SLACK_TARGET: f64 = 1.2;
/// Slack that a suspended task must leave when it resumes.
const SLACK_RESUMED: f64 = 1.1;
/// Time with a slack below 1 after which all best-effort tasks are suspended; the platform
/// tolerates 4 s.
pub const VIOLATION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Largest increase of a speed in one step, in percent of the full speed.
pub const INCREASE_MAX: u32 = 50;
/// Lowest speed of a task that is not suspended, in percent of the full speed.
pub const SPEED_MIN: u32 = 10;
/// Loss of slack at full speed below which the effect of a best-effort task on a serving task is
/// ignored.
const LOSS_MIN: f64 = 0.01;

/// Best-effort task.
#[derive(Debug, Clone, PartialEq)]
pub struct BestEffort {
    /// Current speed, in percent of the full speed; the lowest one that it may have if it is not known.
    pub speed: u32,
    /// Largest increase of the speed, in percent of the full speed.
    pub increase_max: u32,
    /// No other task of its job runs, so it resumes with less slack than others.
    pub is_only_run: bool,
    /// Slack that each serving task loses to this task at full speed, in the order of the slacks.
    pub losses: Vec<f64>,
}

/// Returns the highest speed in percent at which a new best-effort task leaves a serving task
/// [`SLACK_TARGET`] of its slack. `loss` is what it takes at full speed. The lowest speed is
/// tolerated down to [`SLACK_LOW`]; `None` if less would be left.
pub fn tolerated_speed(slack: f64, loss: f64) -> Option<u32> {
    if loss < LOSS_MIN {
        return (slack >= SLACK_LOW).then_some(100);
    }
    let speed = ((slack - SLACK_TARGET) / loss * 100.0).clamp(0.0, 100.0) as u32;
    if speed >= SPEED_MIN {
        return Some(speed);
    }
    let left = slack - loss * f64::from(SPEED_MIN) / 100.0;
    (left >= SLACK_LOW).then_some(SPEED_MIN)
}

/// Returns the speed in percent of a new best-effort task that has no place with a
/// [`tolerated_speed`]: the lowest one if the serving task still meets its target beside it, and 0
/// otherwise. A suspended run resumes as soon as there is slack.
pub fn least_speed(slack: f64, loss: f64) -> u32 {
    let left = slack - loss * f64::from(SPEED_MIN) / 100.0;
    if left >= 1.0 { SPEED_MIN } else { 0 }
}

/// Returns the next speed of each best-effort task, in percent, for the measured slack of each
/// serving task. `violation` is the time since a slack fell below 1, or zero.
pub fn speeds(slacks: &[f64], tasks: &[BestEffort], violation: Duration) -> Vec<u32> {
    let mut speeds: Vec<u32> = tasks.iter().map(|task| task.speed).collect();
    if violation >= VIOLATION_TIMEOUT {
        return vec![0; speeds.len()];
    }
    let is_low = slacks.iter().any(|slack| *slack < SLACK_LOW);
    if is_low {
        for (serving, slack) in slacks.iter().enumerate() {
            if *slack < SLACK_LOW {
                decrease(serving, *slack, tasks, &mut speeds);
            }
        }
        return speeds;
    }
    increase(slacks, tasks, &mut speeds);
    speeds
}

/// Slows down the best-effort tasks with the largest loss for one serving task until it is expected
/// to reach [`SLACK_TARGET`]. Suspends all of them when their known losses do not account for a
/// slack below 1.
fn decrease(serving: usize, slack: f64, tasks: &[BestEffort], speeds: &mut [u32]) {
    let loss = |position: usize| tasks[position].losses.get(serving).copied().unwrap_or(0.0);
    let mut missing = SLACK_TARGET - slack;
    for (position, task) in tasks.iter().enumerate() {
        let reduction = f64::from(task.speed.saturating_sub(speeds[position])) / 100.0;
        missing -= reduction * loss(position);
    }
    let mut order: Vec<usize> = (0..tasks.len()).collect();
    order.sort_by(|one, other| loss(*other).total_cmp(&loss(*one)));
    for position in order {
        if missing <= 0.0 || loss(position) < LOSS_MIN {
            break;
        }
        let required = (missing / loss(position) * 100.0).ceil();
        let reduction = (required as u32).min(speeds[position]);
        missing -= f64::from(reduction) / 100.0 * loss(position);
        speeds[position] -= reduction;
        if speeds[position] < SPEED_MIN {
            speeds[position] = 0;
        }
    }
    if missing > 0.0 && slack < 1.0 {
        speeds.fill(0);
    }
}

/// Returns `true` if a suspended task may resume at [`SPEED_MIN`]: the least slack after that is above
/// the one at which it is suspended.
fn may_resume(available: &[f64], task: &BestEffort) -> bool {
    let resumed = f64::from(SPEED_MIN) / 100.0;
    let left = |(available, loss): (&f64, &f64)| available - loss * resumed;
    let least = available.iter().zip(&task.losses).map(left).fold(f64::MAX, f64::min);
    least + SLACK_TARGET >= if task.is_only_run { SLACK_LOW } else { SLACK_RESUMED }
}

/// Speeds up best-effort tasks by the available slack of the serving tasks, in the order of their
/// largest loss, smallest first.
fn increase(slacks: &[f64], tasks: &[BestEffort], speeds: &mut [u32]) {
    let mut available: Vec<f64> = slacks.iter().map(|slack| slack - SLACK_TARGET).collect();
    let largest = |task: &BestEffort| task.losses.iter().copied().fold(0.0, f64::max);
    let mut order: Vec<usize> = (0..tasks.len()).collect();
    order.sort_by(|one, other| largest(&tasks[*one]).total_cmp(&largest(&tasks[*other])));
    for position in order {
        let losses = &tasks[position].losses;
        let increase_max = tasks[position].increase_max;
        let mut added = 100u32.saturating_sub(speeds[position]).min(increase_max);
        for (available, loss) in available.iter().zip(losses) {
            if *loss >= LOSS_MIN {
                added = added.min((available / loss * 100.0).max(0.0) as u32);
            }
        }
        if speeds[position] + added < SPEED_MIN {
            if !may_resume(&available, &tasks[position]) {
                continue;
            }
            added = SPEED_MIN - speeds[position];
        }
        speeds[position] += added;
        for (available, loss) in available.iter_mut().zip(losses) {
            *available -= f64::from(added) / 100.0 * loss;
        }
    }
}
