//! Report of a replay, as a table and as JSON.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use super::tally::{Answers, Tally, percent};
use super::{Policy, Trace};

/// Distribution of a figure over all seeds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Spread {
    /// Mean.
    pub mean: f64,
    /// Minimum.
    pub least: f64,
    /// Maximum.
    pub most: f64,
}

impl Spread {
    fn over(tallies: &[Tally], figure: impl Fn(&Tally) -> f64) -> Self {
        let figures: Vec<f64> = tallies.iter().map(figure).collect();
        let count = figures.len().max(1) as f64;
        Self {
            mean: rounded(figures.iter().sum::<f64>() / count),
            least: rounded(figures.iter().copied().fold(f64::INFINITY, f64::min)),
            most: rounded(figures.iter().copied().fold(f64::NEG_INFINITY, f64::max)),
        }
    }
}

/// Rounds to three decimals, so that a report is the same on every machine.
fn rounded(figure: f64) -> f64 {
    (figure * 1_000.0).round() / 1_000.0
}

impl fmt::Display for Spread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = if self.least == self.most {
            format!("{:.1}", self.mean)
        } else {
            format!("{:.1} ({:.1}-{:.1})", self.mean, self.least, self.most)
        };
        f.pad(&text)
    }
}

/// Label of a row and the figure that it shows.
type KindRow = (&'static str, fn(&KindReport) -> Spread);

/// Answers to requests of one kind.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct KindReport {
    /// Median latency in milliseconds.
    pub p50_ms: Spread,
    /// 99th percentile of the latency in milliseconds.
    pub p99_ms: Spread,
    /// 99.9th percentile of the latency in milliseconds.
    pub p999_ms: Spread,
    /// Answers later than the target, in percent.
    pub missed_percent: Spread,
}

impl KindReport {
    fn new(kind: &str, tallies: &[Tally]) -> Self {
        let over = |figure: &dyn Fn(&Answers) -> f64| {
            Spread::over(tallies, |tally| tally.kinds.get(kind).map_or(0.0, figure))
        };
        let quantile = |at: f64| {
            over(&|answers: &Answers| answers.latency_us.value_at_quantile(at) as f64 / 1_000.0)
        };
        Self {
            p50_ms: quantile(0.5),
            p99_ms: quantile(0.99),
            p999_ms: quantile(0.999),
            missed_percent: over(&|answers: &Answers| {
                percent(answers.missed as f64, answers.latency_us.len() as f64)
            }),
        }
    }
}

fn timely(batch: &str, tallies: &[Tally]) -> Spread {
    Spread::over(tallies, |tally| {
        let batch = tally.batches.get(batch);
        batch.map_or(100.0, super::tally::Batch::timely_percent)
    })
}

/// Results of one policy on a trace.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct PolicyReport {
    /// Policy.
    pub policy: Policy,
    /// Answers by profile.
    pub kinds: BTreeMap<String, KindReport>,
    /// Tasks finished by their deadline in percent, by batch profile.
    pub batches: BTreeMap<String, Spread>,
    /// Worth served of the worth offered, in percent.
    pub worth_percent: Spread,
    /// Batch tasks that finished.
    pub finished: Spread,
    /// Batch tasks finished by their deadline, in percent of those accepted and not cancelled.
    pub timely_percent: Spread,
    /// Useful batch work, in task-seconds per second.
    pub throughput: Spread,
    /// Tasks that were refused because no worker could ever run them.
    pub refused: Spread,
    /// Evictions: against interference, for urgent work and out of a zone.
    pub evictions: Spread,
    /// Changes of a task's CPU share.
    pub throttles: Spread,
    /// Runs that failed on bad workers.
    pub failures: Spread,
    /// Work lost to evictions and failures, in task-seconds.
    pub lost_s: Spread,
    /// Longest wait of an urgent task, in seconds.
    pub urgent_wait_s: Spread,
    /// Ticks in which a worker was committed beyond its capacity, over all workers.
    pub overcommits: Spread,
    /// Decisions per second on one core, if measured.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub decisions_per_second: Option<Spread>,
}

impl PolicyReport {
    pub(super) fn new(policy: Policy, trace: &Trace, tallies: &[Tally], timing: bool) -> Self {
        let over = |figure: fn(&Tally) -> f64| Spread::over(tallies, figure);
        let declared = trace.declarations();
        let measured = |name: &&String| tallies.iter().any(|tally| tally.kinds.contains_key(*name));
        let names = declared.profiles.keys().filter(measured);
        let ran = |name: &&String| {
            tallies
                .iter()
                .any(|tally| tally.batches.contains_key(*name))
        };
        let batches = declared.profiles.keys().filter(ran);
        Self {
            policy,
            batches: batches
                .map(|name| (name.clone(), timely(name, tallies)))
                .collect(),
            kinds: names
                .map(|name| (name.clone(), KindReport::new(name, tallies)))
                .collect(),
            worth_percent: over(Tally::worth_percent),
            finished: over(Tally::finished),
            timely_percent: over(Tally::timely_percent),
            throughput: over(Tally::throughput),
            refused: over(|tally| tally.refused_tasks as f64),
            evictions: over(|tally| tally.evictions as f64),
            throttles: over(|tally| tally.throttles as f64),
            failures: over(|tally| tally.failures as f64),
            lost_s: over(|tally| tally.lost_ms / 1_000.0),
            urgent_wait_s: over(|tally| tally.urgent_wait_ms as f64 / 1_000.0),
            overcommits: over(|tally| tally.overcommits as f64),
            decisions_per_second: timing.then(|| over(Tally::decisions_per_second)),
        }
    }

    fn figures(&self) -> Vec<(&'static str, Spread)> {
        let mut all = vec![
            ("worth served %", self.worth_percent),
            ("tasks finished", self.finished),
            ("by deadline %", self.timely_percent),
            ("task-seconds/s", self.throughput),
            ("refused tasks", self.refused),
            ("evictions", self.evictions),
            ("throttles", self.throttles),
            ("failed runs", self.failures),
            ("lost work s", self.lost_s),
            ("urgent wait s", self.urgent_wait_s),
            ("overcommits", self.overcommits),
        ];
        all.extend(self.decisions_per_second.map(|rate| ("decisions/s", rate)));
        all
    }
}

/// Results of all policies on a trace.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Report {
    /// Name of the trace.
    pub trace: String,
    /// Seeds, one run of each policy per seed.
    pub seeds: Vec<u64>,
    /// Policies.
    pub policies: Vec<PolicyReport>,
}

impl Report {
    /// Report as JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).expect("a report has a JSON form")
    }

    /// Report of one policy, if it was replayed.
    pub fn policy(&self, policy: Policy) -> Option<&PolicyReport> {
        self.policies.iter().find(|report| report.policy == policy)
    }

    fn row(&self, f: &mut fmt::Formatter<'_>, name: &str, cells: &[String]) -> fmt::Result {
        write!(f, "{name:<30}")?;
        for cell in cells {
            write!(f, " {cell:>24}")?;
        }
        writeln!(f)
    }

    fn batches(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(first) = self.policies.first() else {
            return Ok(());
        };
        for name in first.batches.keys() {
            let batches = self.policies.iter().map(|policy| policy.batches.get(name));
            let cells: Vec<String> = batches
                .map(|batch| batch.map_or(String::new(), Spread::to_string))
                .collect();
            self.row(f, &format!("{name} timely %"), &cells)?;
        }
        Ok(())
    }

    fn kinds(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(first) = self.policies.first() else {
            return Ok(());
        };
        let rows: [KindRow; 4] = [
            ("p50 ms", |kind| kind.p50_ms),
            ("p99 ms", |kind| kind.p99_ms),
            ("p99.9 ms", |kind| kind.p999_ms),
            ("missed %", |kind| kind.missed_percent),
        ];
        for name in first.kinds.keys() {
            for (label, figure) in rows {
                let kinds = self.policies.iter().map(|policy| policy.kinds.get(name));
                let cells: Vec<String> = kinds
                    .map(|kind| kind.map_or(String::new(), |kind| figure(kind).to_string()))
                    .collect();
                self.row(f, &format!("{name} {label}"), &cells)?;
            }
        }
        Ok(())
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seeds = self.seeds.len();
        writeln!(f, "{}: mean (least-most) over {seeds} seeds", self.trace)?;
        let names = self.policies.iter().map(|policy| policy.policy.name());
        let names: Vec<String> = names.map(str::to_owned).collect();
        self.row(f, "", &names)?;
        self.kinds(f)?;
        self.batches(f)?;
        let all: Vec<_> = self.policies.iter().map(PolicyReport::figures).collect();
        for at in 0..all.first().map_or(0, Vec::len) {
            let cells: Vec<String> = all.iter().map(|row| row[at].1.to_string()).collect();
            self.row(f, all[0][at].0, &cells)?;
        }
        Ok(())
    }
}
