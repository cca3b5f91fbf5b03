//! Check of a whole session, and the violations that it finds.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use verbenahitch::config::Declarations;
use verbenahitch::domain::{Millis, Resources, TaskId};

use super::record::Session;
use super::{requests, tasks};

/// Rules that a session is checked against.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Rules {
    /// Time for which tasks may still start in a zone that was taken out, in milliseconds.
    pub zone_grace_ms: Millis,
    /// Tolerance between times from different clocks, in milliseconds.
    pub slack_ms: Millis,
    /// Whether answers of workers were lost, so that a reported end may not have been received.
    pub lossy: bool,
    /// Kinds of request, by the first segment of the path, that must not run twice.
    pub once_kinds: BTreeSet<String>,
    /// Profiles whose tasks must not run again after an unknown outcome.
    pub once_profiles: BTreeSet<String>,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            zone_grace_ms: 5_000,
            slack_ms: 2,
            lossy: false,
            once_kinds: BTreeSet::new(),
            once_profiles: BTreeSet::new(),
        }
    }
}

impl Rules {
    /// Rules for the kinds and profiles of `declarations`.
    pub fn new(declarations: &Declarations) -> Self {
        let profiles = &declarations.profiles;
        let once = profiles.iter().filter(|(_, profile)| !profile.idempotent);
        let once_profiles: BTreeSet<String> = once.map(|(name, _)| name.clone()).collect();
        let kinds = declarations.kinds.values();
        let once_kinds = kinds.filter(|kind| once_profiles.contains(&kind.profile));
        let first_segment =
            |path: &str| path.trim_matches('/').split('/').next().map(str::to_owned);
        Self {
            once_kinds: once_kinds
                .filter_map(|kind| first_segment(&kind.path))
                .collect(),
            once_profiles,
            ..Self::default()
        }
    }
}

/// Violation of a guarantee.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Snafu)]
#[serde(rename_all = "kebab-case", tag = "violation")]
pub enum Violation {
    /// Two runs of a task overlapped.
    #[snafu(display("task {task} ran on {first} and {second} at once from {at}"))]
    TwoPlaces {
        /// Task.
        task: TaskId,
        /// Worker of the earlier run.
        first: String,
        /// Worker of the later run.
        second: String,
        /// Start of the overlap.
        at: Millis,
    },
    /// A task was started after it had completed.
    #[snafu(display("task {task} was started on {worker} after its end"))]
    StartedAfterEnd {
        /// Task.
        task: TaskId,
        /// Worker that started it again.
        worker: String,
    },
    /// A task that must not run twice was started after a run with an unknown outcome.
    #[snafu(display("task {task} was started on {worker} after an unknown outcome"))]
    StartedAfterLoss {
        /// Task.
        task: TaskId,
        /// Worker that started it again.
        worker: String,
    },
    /// A task was started in an availability zone that was out.
    #[snafu(display(
        "task {task} started on {worker}, {late_ms} ms after zone {zone} was taken out"
    ))]
    StartedOut {
        /// Task.
        task: TaskId,
        /// Worker that started it.
        worker: String,
        /// Availability zone.
        zone: String,
        /// Time since the zone was taken out, in milliseconds.
        late_ms: Millis,
    },
    /// A worker was committed beyond its capacity.
    #[snafu(display("worker {worker} was committed beyond its capacity at {at}: {committed:?}"))]
    Overcommitted {
        /// Worker.
        worker: String,
        /// Time of the start that exceeded the capacity.
        at: Millis,
        /// Resources that its runs committed.
        committed: Resources,
    },
    /// A request that must not run twice did.
    #[snafu(display("request {kind} with key {key:?} ran {runs} times"))]
    RanTwice {
        /// First segment of the path.
        kind: String,
        /// Idempotency key, or else call ID, or else request ID.
        key: String,
        /// Number of runs.
        runs: usize,
    },
    /// A caller got an answer to another call, or an incomplete one.
    #[snafu(display("call {call_id} got an answer to {got:?}, complete: {whole}"))]
    WrongAnswer {
        /// Call.
        call_id: String,
        /// Call that the answer belongs to.
        got: String,
        /// Whether the answer was complete.
        whole: bool,
    },
    /// A request ran although its caller got a refusal which states that it had not.
    #[snafu(display("call {call_id} was refused as not run, but ran on {worker}"))]
    RanAfterAll {
        /// Call.
        call_id: String,
        /// Worker that ran it.
        worker: String,
    },
    /// A caller got an answer although no worker ran the request.
    #[snafu(display("call {call_id} was answered, but no worker ran it"))]
    RanNowhere {
        /// Call.
        call_id: String,
    },
}

/// All violations in a session, in a deterministic order.
pub fn check(session: &Session, rules: &Rules) -> Vec<Violation> {
    let mut violations = Vec::new();
    tasks::check(session, rules, &mut violations);
    requests::check(session, rules, &mut violations);
    violations
}
