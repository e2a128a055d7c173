//! Pace of filling tasks beside tasks that serve users.
//!
//! Answers the load pattern of serving tasks whose slack ([`crate::interference::slack`]) shrinks
//! within seconds, by the swing of their own load or by what fills beside them. The filling tasks
//! that take most of a short slack are slowed down by as much as is missing; they speed up again
//! by as much as is to spare.

use std::time::Duration;

/// Slack below which filling tasks are slowed down. On the days of both deployments higher figures
/// cost more batch work than they spared the users.
pub const SLACK_LOW: f64 = 1.05;
/// Slack that changes of the pace aim at. Reports of slack are rough by about a tenth.
pub const SLACK_GOAL: f64 = 1.2;
/// Time with a slack below 1 after which filling tasks stand still; the platform tolerates 4 s.
pub const HARM_MAX: Duration = Duration::from_millis(1_500);
/// Largest rise of a pace at once, in percent.
const RAISE_MAX: u32 = 50;
/// Lowest pace short of a standstill, in percent.
const PACE_MIN: u32 = 10;
/// Loss of slack at full speed below which a filling task does not matter to a serving one.
const LOSS_MIN: f64 = 0.01;

/// Filling task.
#[derive(Debug, Clone, PartialEq)]
pub struct BestEffort {
    /// Share of its speed, in percent.
    pub speed: u32,
    /// What each serving task loses to it at full speed, in the order of the slacks.
    pub losses: Vec<f64>,
}

/// Returns the next pace of each filling task for the measured slack of each serving one; `harmed`
/// is the time since a slack is below 1.
pub fn speeds(slacks: &[f64], fillers: &[BestEffort], harmed: Duration) -> Vec<u32> {
    let mut speeds: Vec<u32> = fillers.iter().map(|filler| filler.speed).collect();
    if harmed >= HARM_MAX {
        return vec![0; speeds.len()];
    }
    let is_pressed = slacks.iter().any(|slack| *slack < SLACK_LOW);
    if is_pressed {
        for (serving, slack) in slacks.iter().enumerate() {
            if *slack < SLACK_LOW {
                relieve(serving, *slack, fillers, &mut speeds);
            }
        }
        return speeds;
    }
    raise(slacks, fillers, &mut speeds);
    speeds
}

/// Slows down the filling tasks that take most from one serving task until it has the slack that
/// is aimed at. When all that is known does not explain a slack below 1, all of them stand still.
fn relieve(serving: usize, slack: f64, fillers: &[BestEffort], speeds: &mut [u32]) {
    let loss = |position: usize| fillers[position].losses.get(serving).copied().unwrap_or(0.0);
    let mut missing = SLACK_GOAL - slack;
    for (position, filler) in fillers.iter().enumerate() {
        let slower = f64::from(filler.speed.saturating_sub(speeds[position])) / 100.0;
        missing -= slower * loss(position);
    }
    let mut order: Vec<usize> = (0..fillers.len()).collect();
    order.sort_by(|one, other| loss(*other).total_cmp(&loss(*one)));
    for position in order {
        if missing <= 0.0 || loss(position) < LOSS_MIN {
            break;
        }
        let wanted = (missing / loss(position) * 100.0).ceil();
        let slower = (wanted as u32).min(speeds[position]);
        missing -= f64::from(slower) / 100.0 * loss(position);
        speeds[position] -= slower;
        if speeds[position] < PACE_MIN {
            speeds[position] = 0;
        }
    }
    if missing > 0.0 && slack < 1.0 {
        speeds.fill(0);
    }
}

/// Speeds up filling tasks by what the serving ones have to spare, those that take least first.
fn raise(slacks: &[f64], fillers: &[BestEffort], speeds: &mut [u32]) {
    let mut spare: Vec<f64> = slacks.iter().map(|slack| slack - SLACK_GOAL).collect();
    let worst = |filler: &BestEffort| filler.losses.iter().copied().fold(0.0, f64::max);
    let mut order: Vec<usize> = (0..fillers.len()).collect();
    order.sort_by(|one, other| worst(&fillers[*one]).total_cmp(&worst(&fillers[*other])));
    for position in order {
        let losses = &fillers[position].losses;
        let mut faster = 100u32.saturating_sub(speeds[position]).min(RAISE_MAX);
        for (spare, loss) in spare.iter().zip(losses) {
            if *loss >= LOSS_MIN {
                faster = faster.min((spare / loss * 100.0).max(0.0) as u32);
            }
        }
        if speeds[position] + faster < PACE_MIN {
            continue;
        }
        speeds[position] += faster;
        for (spare, loss) in spare.iter_mut().zip(losses) {
            *spare -= f64::from(faster) / 100.0 * loss;
        }
    }
}
