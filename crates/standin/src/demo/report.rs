//! Report of a demo.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;
use verbenahitch::domain::Millis;
use verbenahitch::port::EndKind;

use crate::history::{Session, Violation};
use crate::load;
use crate::store::Calls;

/// Results of a demo.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Report {
    /// Deployment.
    pub deployment: String,
    /// Requests, from the callers' records.
    pub requests: load::Report,
    /// Jobs by profile.
    pub jobs: BTreeMap<String, JobReport>,
    /// Number of runs by profile and kind of end, from the workers' records.
    pub ends: BTreeMap<String, BTreeMap<&'static str, u64>>,
    /// The availability zone that was taken out and brought back.
    pub zone: ZoneReport,
    /// Source, victim and largest slowdown of each pair of profiles, in descending order.
    pub pressure: Vec<(String, String, f64)>,
    /// Number of log events by name.
    pub events: BTreeMap<String, u64>,
    /// Calls that the store received.
    pub store: Calls,
    /// Violations of guarantees.
    pub violations: Vec<Violation>,
}

/// Jobs of one profile.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct JobReport {
    /// Jobs of the profile.
    pub jobs: u64,
    /// Jobs that were not accepted.
    pub not_accepted: u64,
    /// Tasks of all jobs.
    pub tasks: u64,
    /// Tasks that completed.
    pub done: u64,
    /// Tasks that failed permanently.
    pub failed: u64,
    /// Tasks that were cancelled.
    pub cancelled: u64,
    /// Tasks that may or may not have run.
    pub unknown: u64,
}

/// Outage of an availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ZoneReport {
    /// Availability zone.
    pub zone: String,
    /// Processes that had the change in force when the operator received the answer.
    pub confirmed: usize,
    /// Processes that had not.
    pub not_confirmed: usize,
    /// Latency of the call that took it out, in milliseconds.
    pub out_ms: Millis,
    /// Latency of the call that brought it back, in milliseconds.
    pub in_ms: Millis,
}

impl Report {
    /// Whether no guarantee was violated and every kind of request was answered.
    pub fn is_success(&self) -> bool {
        let answered = |kind: &load::KindReport| kind.answered > 0;
        self.violations.is_empty() && self.requests.kinds.values().all(answered)
    }
}

/// Number of runs by profile and kind of end.
pub(super) fn count_ends(session: &Session) -> BTreeMap<String, BTreeMap<&'static str, u64>> {
    let mut ends: BTreeMap<String, BTreeMap<&'static str, u64>> = BTreeMap::new();
    let runs = session.workers.iter().flat_map(|worker| &worker.runs);
    for run in runs {
        let kind = match run.end.map(|end| end.kind) {
            None => "running",
            Some(None) => "lost",
            Some(Some(EndKind::Done)) => "done",
            Some(Some(EndKind::Failed)) => "failed",
            Some(Some(EndKind::Evicted)) => "evicted",
            Some(Some(EndKind::Stopped)) => "stopped",
            Some(Some(EndKind::Lapsed)) => "lapsed",
        };
        let profile = ends.entry(run.profile.clone()).or_default();
        *profile.entry(kind).or_default() += 1;
    }
    ends
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}\n\nRequests\n{}", self.deployment, self.requests)?;
        self.write_jobs(f)?;
        self.write_zone(f)?;
        self.write_pressure(f)?;
        writeln!(
            f,
            "\nStore: {} reads, {} watches, {} writes, {} transactions, {} session calls, {} refused by the rate limit",
            self.store.reads,
            self.store.watches,
            self.store.writes,
            self.store.txns,
            self.store.sessions,
            self.store.limited
        )?;
        writeln!(f, "\nViolations: {}", self.violations.len())?;
        for violation in &self.violations {
            writeln!(f, "  {violation}")?;
        }
        Ok(())
    }
}

impl Report {
    fn write_jobs(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "Batch\n{:<28}{:>6}{:>8}{:>8}{:>8}{:>11}{:>9}{:>11}",
            "profile", "jobs", "tasks", "done", "failed", "cancelled", "unknown", "evictions"
        )?;
        for (profile, job) in &self.jobs {
            let ends = self.ends.get(profile);
            let evicted = ends.and_then(|ends| ends.get("evicted")).unwrap_or(&0);
            writeln!(
                f,
                "{profile:<28}{:>6}{:>8}{:>8}{:>8}{:>11}{:>9}{evicted:>11}",
                job.jobs, job.tasks, job.done, job.failed, job.cancelled, job.unknown
            )?;
        }
        Ok(())
    }

    fn write_zone(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let zone = &self.zone;
        writeln!(
            f,
            "\nZone {}: out in {} ms, in force in {} processes, not confirmed by {}; back in {} ms",
            zone.zone, zone.out_ms, zone.confirmed, zone.not_confirmed, zone.in_ms
        )
    }

    fn write_pressure(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "\nInterference between profiles")?;
        if self.pressure.is_empty() {
            writeln!(f, "  none was observed")?;
        }
        for (source, victim, slowdown) in &self.pressure {
            writeln!(f, "  {source} slowed {victim} by up to {slowdown:.2} times")?;
        }
        Ok(())
    }
}
