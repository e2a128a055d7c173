//! Output as tables or as JSON.

use std::io::{self, Write};

use serde::Serialize;

use super::case::{Case, Method, Setup, Timeline, User};
use super::metrics::Metrics;

/// Results of the experiment.
#[derive(Debug)]
pub struct Report {
    /// Number of seeds per row.
    pub seeds: u64,
    /// Times of each run.
    pub timeline: Timeline,
    /// One row per user, case and method; the shared queue is the first method of each case.
    pub rows: Vec<Row>,
}

/// Figures of one user, case and method over all seeds.
#[derive(Debug)]
pub struct Row {
    /// Organisation whose fleet is simulated.
    pub user: User,
    /// Load and disturbance.
    pub case: Case,
    /// Method of choosing an upstream.
    pub method: Method,
    /// Figures over all seeds.
    pub figures: Figures,
}

/// Figures in the units of the tables. The field names are those of the JSON output.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Figures {
    /// Median latency of useful answers at the client, over all seeds, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the same latency.
    pub p99_ms: f64,
    /// Smallest 99th percentile of a single seed.
    pub p99_min_ms: f64,
    /// Largest 99th percentile of a single seed.
    pub p99_max_ms: f64,
    /// 99.9th percentile over all seeds.
    pub p999_ms: f64,
    /// Attempts served in the zone of their entry, in percent.
    pub near_percent: f64,
    /// Requests with the final outcome "not run", in percent.
    pub refused_percent: f64,
    /// Requests that timed out or had the outcome "unknown", in percent.
    pub failed_percent: f64,
    /// Useful answers, in percent of the number that all slots can serve.
    pub useful_percent: f64,
    /// Mean wait of an attempt in the queue of its upstream, in milliseconds.
    pub upstream_wait_ms: f64,
    /// Largest number of connections to one upstream.
    pub connections_max: u32,
}

impl Row {
    /// Combines the runs of all seeds.
    pub fn new(setup: &Setup, per_seed: &[Metrics]) -> Row {
        let mut sum = Metrics::new();
        let mut p99_min_ms = f64::INFINITY;
        let mut p99_max_ms = 0.0_f64;
        for metrics in per_seed {
            sum.add(metrics);
            let p99_ms = quantile_ms(metrics, 0.99);
            p99_min_ms = p99_min_ms.min(p99_ms);
            p99_max_ms = p99_max_ms.max(p99_ms);
        }
        let percent = |part: u64, whole: u64| part as f64 * 100.0 / whole.max(1) as f64;
        let measured_s = setup.timeline.measured().as_secs_f64() * per_seed.len() as f64;
        let capacity = setup.capacity_per_s() * measured_s;
        let figures = Figures {
            p50_ms: quantile_ms(&sum, 0.5),
            p99_ms: quantile_ms(&sum, 0.99),
            p99_min_ms,
            p99_max_ms,
            p999_ms: quantile_ms(&sum, 0.999),
            near_percent: percent(sum.served_same_zone, sum.served),
            refused_percent: percent(sum.refused, sum.started),
            failed_percent: percent(sum.failed, sum.started),
            useful_percent: sum.useful_in_time as f64 * 100.0 / capacity,
            upstream_wait_ms: sum.upstream_wait.as_secs_f64() * 1000.0 / sum.served.max(1) as f64,
            connections_max: sum.connections_max,
        };
        Row { user: setup.user, case: setup.case, method: setup.method, figures }
    }
}

fn quantile_ms(metrics: &Metrics, quantile: f64) -> f64 {
    metrics.latency_us.value_at_quantile(quantile) as f64 / 1000.0
}

#[derive(Debug, Serialize)]
struct JsonRow {
    user: String,
    case: String,
    method: String,
    #[serde(flatten)]
    figures: Figures,
}

impl Report {
    /// Returns the row of the shared queue for the user and case of `row`, if the report has it.
    pub fn reference(&self, row: &Row) -> Option<&Row> {
        self.rows.iter().find(|other| {
            other.user == row.user && other.case == row.case && other.method == Method::SharedQueue
        })
    }

    /// Writes one JSON document.
    ///
    /// # Errors
    ///
    /// Returns the error of the writer.
    pub fn write_json(&self, out: &mut impl Write) -> io::Result<()> {
        let row = |row: &Row| JsonRow {
            user: row.user.to_string(),
            case: row.case.to_string(),
            method: row.method.to_string(),
            figures: row.figures,
        };
        let rows: Vec<JsonRow> = self.rows.iter().map(row).collect();
        let document = serde_json::json!({
            "seeds": self.seeds,
            "measured_s": self.timeline.measured().as_secs_f64(),
            "rows": rows,
        });
        serde_json::to_writer_pretty(&mut *out, &document)?;
        writeln!(out)
    }

    /// Writes one Markdown table per user and case.
    ///
    /// # Errors
    ///
    /// Returns the error of the writer.
    pub fn write_text(&self, out: &mut impl Write) -> io::Result<()> {
        writeln!(
            out,
            "{} seeds, {:.0} s measured in each",
            self.seeds,
            self.timeline.measured().as_secs_f64()
        )?;
        let mut previous = None;
        for row in &self.rows {
            if previous != Some((row.user, row.case)) {
                previous = Some((row.user, row.case));
                write_header(out, row)?;
            }
            let ratio = self
                .reference(row)
                .map_or(0.0, |reference| row.figures.p99_ms / reference.figures.p99_ms);
            write_row(out, row, ratio)?;
        }
        Ok(())
    }
}

fn write_header(out: &mut impl Write, row: &Row) -> io::Result<()> {
    writeln!(out, "\n{}: {}\n", row.user, row.case)?;
    writeln!(
        out,
        "| {:<20} | {:>6} | {:>6} | {:>13} | {:>6} | {:>9} | {:>6} | {:>9} | {:>8} | {:>8} | {:>8} | {:>5} |",
        "method",
        "p50 ms",
        "p99 ms",
        "p99 of seeds",
        "p99.9",
        "p99/limit",
        "near %",
        "refused %",
        "failed %",
        "useful %",
        "queue ms",
        "conns"
    )?;
    writeln!(
        out,
        "|{:-<22}|{:->8}|{:->8}|{:->15}|{:->8}|{:->11}|{:->8}|{:->11}|{:->10}|{:->10}|{:->10}|{:->7}|",
        "", ":", ":", ":", ":", ":", ":", ":", ":", ":", ":", ":"
    )
}

fn write_row(out: &mut impl Write, row: &Row, ratio: f64) -> io::Result<()> {
    let figures = &row.figures;
    let spread = format!("{:.0}..{:.0}", figures.p99_min_ms, figures.p99_max_ms);
    writeln!(
        out,
        "| {:<20} | {:>6.0} | {:>6.0} | {:>13} | {:>6.0} | {:>9.2} | {:>6.1} | {:>9.2} | {:>8.2} | {:>8.1} | {:>8.1} | {:>5} |",
        row.method.to_string(),
        figures.p50_ms,
        figures.p99_ms,
        spread,
        figures.p999_ms,
        ratio,
        figures.near_percent,
        figures.refused_percent,
        figures.failed_percent,
        figures.useful_percent,
        figures.upstream_wait_ms,
        figures.connections_max
    )
}
