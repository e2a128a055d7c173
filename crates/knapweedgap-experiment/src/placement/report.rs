//! Output as a table or as JSON.

use std::io::{self, Write};

use serde::Serialize;

use super::case::{Method, Setup};
use super::metrics::Metrics;

/// Results of the experiment.
#[derive(Debug)]
pub struct Report {
    /// Number of seeds per row.
    pub seeds: u64,
    /// Duration of a run, in virtual seconds.
    pub seconds: u32,
    /// One row per user, weighting and method.
    pub rows: Vec<Row>,
}

/// Figures of one user, weighting and method over all seeds.
#[derive(Debug)]
pub struct Row {
    /// Setup; its seed is not used.
    pub setup: Setup,
    /// Figures over all seeds.
    pub figures: Figures,
}

/// Figures in the units of the table. The field names are those of the JSON output.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Figures {
    /// Service time outside the latency target, in percent.
    pub missed_percent: f64,
    /// Largest `missed_percent` of a single seed.
    pub missed_max_percent: f64,
    /// Core hours of completed tasks.
    pub core_hours: f64,
    /// Number of completed tasks.
    pub finished: u64,
    /// Evictions that end interference with a service.
    pub evicted_interference: u64,
    /// Evictions for other reasons.
    pub evicted_other: u64,
    /// Run time lost to evictions, in hours.
    pub lost_hours: f64,
    /// Median delay from the submission of an urgent job to its start, in milliseconds.
    pub urgent_p50_ms: u64,
    /// 99th percentile of the same delay, in milliseconds.
    pub urgent_p99_ms: u64,
    /// Urgent jobs that started after more than 1.4 s or not at all, in percent.
    pub urgent_late_percent: f64,
    /// Submissions refused because no worker is large enough.
    pub refused: u64,
    /// Submissions refused for other reasons.
    pub refused_other: u64,
}

/// Limit on the delay from the submission of an urgent job to its start.
const URGENT_LIMIT_MS: u64 = 1400;

impl Row {
    /// Combines the runs of all seeds.
    pub fn new(setup: Setup, per_seed: &[Metrics]) -> Row {
        let percent = |part: u64, whole: u64| part as f64 * 100.0 / whole.max(1) as f64;
        let mut sum = Metrics::default();
        let mut missed_max_percent = 0.0_f64;
        for metrics in per_seed {
            sum.add(metrics);
            let missed = percent(metrics.missed_s, metrics.service_s);
            missed_max_percent = missed_max_percent.max(missed);
        }
        sum.urgent_ms.sort_unstable();
        let started = sum.urgent_ms.len() as u64;
        let late = sum.urgent_ms.iter().filter(|delay| **delay > URGENT_LIMIT_MS).count() as u64;
        let figures = Figures {
            missed_percent: percent(sum.missed_s, sum.service_s),
            missed_max_percent,
            core_hours: sum.completed / 3600.0,
            finished: sum.finished,
            evicted_interference: sum.evicted_interference,
            evicted_other: sum.evicted_other,
            lost_hours: sum.lost_s / 3600.0,
            urgent_p50_ms: quantile(&sum.urgent_ms, 50),
            urgent_p99_ms: quantile(&sum.urgent_ms, 99),
            urgent_late_percent: percent(late + sum.urgent_waiting, started + sum.urgent_waiting),
            refused: sum.refused,
            refused_other: sum.refused_other,
        };
        Row { setup, figures }
    }
}

fn quantile(sorted: &[u64], percent: usize) -> u64 {
    let last = sorted.len().saturating_sub(1);
    sorted.get(last * percent / 100).copied().unwrap_or_default()
}

#[derive(Debug, Serialize)]
struct JsonRow {
    user: String,
    weighting: String,
    method: String,
    #[serde(flatten)]
    figures: Figures,
}

#[derive(Debug, Serialize)]
struct Document {
    seeds: u64,
    seconds: u32,
    rows: Vec<JsonRow>,
}

impl Report {
    /// Returns the row of `method` for the user and weighting of `row`, if the report has it.
    pub fn counterpart(&self, row: &Row, method: Method) -> Option<&Row> {
        self.rows.iter().find(|other| {
            other.setup.user == row.setup.user
                && other.setup.weighting == row.setup.weighting
                && other.setup.method == method
        })
    }

    /// Writes one JSON document.
    ///
    /// # Errors
    ///
    /// Returns the error of the writer.
    pub fn write_json(&self, out: &mut impl Write) -> io::Result<()> {
        let rows = self.rows.iter().map(|row| JsonRow {
            user: row.setup.user.to_string(),
            weighting: row.setup.weighting.to_string(),
            method: row.setup.method.to_string(),
            figures: row.figures,
        });
        let document = Document { seeds: self.seeds, seconds: self.seconds, rows: rows.collect() };
        serde_json::to_writer_pretty(&mut *out, &document)?;
        writeln!(out)
    }

    /// Writes a Markdown table, followed by the results against their aims.
    ///
    /// # Errors
    ///
    /// Returns the error of the writer.
    pub fn write_text(&self, out: &mut impl Write) -> io::Result<()> {
        writeln!(out, "{} seeds of {} virtual seconds", self.seeds, self.seconds)?;
        writeln!(
            out,
            "| fleet | weighting | method | outside target % (worst seed) | core hours \
             | tasks | evictions: interference | other | lost task hours \
             | urgent p50 ms | p99 ms | late % |"
        )?;
        writeln!(out, "|---|---|---|---|---|---|---|---|---|---|---|---|")?;
        for row in &self.rows {
            let figures = &row.figures;
            writeln!(
                out,
                "| {} | {} | {} | {:.2} ({:.2}) | {:.0} | {} | {} | {} | {:.1} | {} | {} | {:.1} |",
                row.setup.user,
                row.setup.weighting,
                row.setup.method,
                figures.missed_percent,
                figures.missed_max_percent,
                figures.core_hours,
                figures.finished,
                figures.evicted_interference,
                figures.evicted_other,
                figures.lost_hours,
                figures.urgent_p50_ms,
                figures.urgent_p99_ms,
                figures.urgent_late_percent,
            )?;
        }
        for row in self.rows.iter().filter(|row| row.setup.method == Method::Engine) {
            self.write_aims(row, out)?;
        }
        Ok(())
    }

    fn write_aims(&self, row: &Row, out: &mut impl Write) -> io::Result<()> {
        let figures_of = |method| self.counterpart(row, method).map(|row| row.figures);
        let (Some(isolated), Some(blind), Some(reactive)) =
            (figures_of(Method::Isolated), figures_of(Method::Blind), figures_of(Method::Reactive))
        else {
            return Ok(());
        };
        let figures = row.figures;
        writeln!(
            out,
            "{}, {}: throughput {:.0} % of blind packing (aim: at least 85 %), \
             time outside target {:.1} times that of no colocation (aim: at most 2), \
             evictions against interference {:.0} % of reaction only (aim: at most 10 %)",
            row.setup.user,
            row.setup.weighting,
            figures.core_hours * 100.0 / blind.core_hours,
            figures.missed_percent / isolated.missed_percent,
            figures.evicted_interference as f64 * 100.0
                / (reactive.evicted_interference.max(1)) as f64,
        )
    }
}
