//! Results of a load.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::history::{CallOutcome, CallRecord};

/// Precision of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Largest latency that the histograms record, in microseconds; longer ones count as this.
const MAX_LATENCY_US: u64 = 3_600_000_000;

/// Results of a load, by kind.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Report {
    /// Figures by the kind's name.
    pub kinds: BTreeMap<String, KindReport>,
    /// Every call, from its caller's record.
    #[serde(skip)]
    pub calls: Vec<CallRecord>,
}

/// Results of the calls of one kind. Latencies are those of complete answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct KindReport {
    /// Calls sent.
    pub sent: u64,
    /// Complete answers that belong to their call.
    pub answered: u64,
    /// Refusals which state that the request has not run.
    pub not_run: u64,
    /// Answers which state that the request may have run.
    pub unknown: u64,
    /// Calls without an answer, or with one that does not state whether the request has run.
    pub broken: u64,
    /// Answers to another call, and incomplete answers.
    pub wrong: u64,
    /// Median latency in microseconds.
    pub p50_us: u64,
    /// 99th percentile of the latency in microseconds.
    pub p99_us: u64,
    /// 99.9th percentile of the latency in microseconds.
    pub p999_us: u64,
    /// Largest latency in microseconds.
    pub max_us: u64,
}

/// Collects the results of completed calls.
#[derive(Debug, Default)]
pub(super) struct Collector {
    kinds: BTreeMap<String, (KindReport, Option<Histogram<u64>>)>,
    calls: Vec<CallRecord>,
}

impl Collector {
    pub(super) fn add(&mut self, kind: &str, call: CallRecord, latency: Duration) {
        let (report, histogram) = self.kinds.entry(kind.to_owned()).or_default();
        report.sent += 1;
        match &call.outcome {
            CallOutcome::Answered { call_id, whole } if *whole && *call_id == call.call_id => {
                report.answered += 1;
                let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
                let histogram = histogram.get_or_insert_with(new_histogram);
                histogram.saturating_record(micros);
            }
            CallOutcome::Answered { .. } => report.wrong += 1,
            CallOutcome::NotRun => report.not_run += 1,
            CallOutcome::Unknown => report.unknown += 1,
            CallOutcome::Broken => report.broken += 1,
        }
        self.calls.push(call);
    }

    pub(super) fn report(self) -> Report {
        let figures = |(name, (report, histogram)): (String, (KindReport, Option<_>))| {
            let report = histogram.map_or(report, |histogram| with_latency(report, &histogram));
            (name, report)
        };
        Report {
            kinds: self.kinds.into_iter().map(figures).collect(),
            calls: self.calls,
        }
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        .expect("the histogram's limits are valid")
}

fn with_latency(report: KindReport, histogram: &Histogram<u64>) -> KindReport {
    KindReport {
        p50_us: histogram.value_at_quantile(0.5),
        p99_us: histogram.value_at_quantile(0.99),
        p999_us: histogram.value_at_quantile(0.999),
        max_us: histogram.max(),
        ..report
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<24}{:>8}{:>9}{:>8}{:>8}{:>7}{:>6}{:>9}{:>9}{:>9}",
            "kind",
            "sent",
            "answered",
            "not-run",
            "unknown",
            "broken",
            "wrong",
            "p50 ms",
            "p99 ms",
            "p99.9 ms"
        )?;
        for (name, kind) in &self.kinds {
            writeln!(
                f,
                "{name:<24}{:>8}{:>9}{:>8}{:>8}{:>7}{:>6}{:>9}{:>9}{:>9}",
                kind.sent,
                kind.answered,
                kind.not_run,
                kind.unknown,
                kind.broken,
                kind.wrong,
                millis(kind.p50_us),
                millis(kind.p99_us),
                millis(kind.p999_us)
            )?;
        }
        Ok(())
    }
}

/// Milliseconds with two decimals.
fn millis(micros: u64) -> String {
    format!("{}.{:02}", micros / 1_000, micros % 1_000 / 10)
}
