//! The check as a whole, and what it finds.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use verbenahitch::config::Declarations;
use verbenahitch::domain::{Millis, Resources, TaskId};

use super::record::Session;
use super::{requests, tasks};

/// What a session is held against.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Rules {
    /// Time after which no task starts in a zone that was taken out, in milliseconds.
    pub zone_grace_ms: Millis,
    /// Inaccuracy of times from different clocks, in milliseconds.
    pub slack_ms: Millis,
    /// Whether answers of workers were lost, so that an end that was told may not have been heard.
    pub lossy: bool,
    /// Kinds of request, by the first part of the path, that must not run twice.
    pub once_kinds: BTreeSet<String>,
    /// Profiles whose tasks must not run again after an unclear end.
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
        let first = |path: &str| path.trim_matches('/').split('/').next().map(str::to_owned);
        Self {
            once_kinds: once_kinds.filter_map(|kind| first(&kind.path)).collect(),
            once_profiles,
            ..Self::default()
        }
    }
}

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Snafu)]
#[serde(rename_all = "kebab-case", tag = "violation")]
pub enum Violation {
    /// A task ran in two places at once.
    #[snafu(display("task {task} ran on {first} and {second} at once from {at}"))]
    TwoPlaces {
        /// Task.
        task: TaskId,
        /// Worker that ran it first.
        first: String,
        /// Worker that ran it as well.
        second: String,
        /// Start of the overlap.
        at: Millis,
    },
    /// A task was started after it had run to its end.
    #[snafu(display("task {task} was started on {worker} after its end"))]
    StartedAfterEnd {
        /// Task.
        task: TaskId,
        /// Worker that started it again.
        worker: String,
    },
    /// A task that must not run twice was started after an end that nobody knows.
    #[snafu(display("task {task} was started on {worker} after an unclear end"))]
    StartedAfterLoss {
        /// Task.
        task: TaskId,
        /// Worker that started it again.
        worker: String,
    },
    /// A task started in an availability zone that was out.
    #[snafu(display("task {task} started on {worker}, {late_ms} ms after {zone} was out"))]
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
    /// A worker was committed beyond its size.
    #[snafu(display("worker {worker} was committed beyond its size at {at}: {committed:?}"))]
    Overcommitted {
        /// Worker.
        worker: String,
        /// When.
        at: Millis,
        /// What its runs committed.
        committed: Resources,
    },
    /// A request that must not run twice did.
    #[snafu(display("request {kind} with key {key:?} ran {runs} times"))]
    RanTwice {
        /// First part of the path.
        kind: String,
        /// Idempotency key, or identity of the call if it has none.
        key: String,
        /// Number of times.
        runs: usize,
    },
    /// A caller got an answer to another request, or part of one.
    #[snafu(display("call {call_id} got an answer to {got:?}, whole: {whole}"))]
    WrongAnswer {
        /// Call.
        call_id: String,
        /// Call that the answer belongs to.
        got: String,
        /// Whether the answer was whole.
        whole: bool,
    },
    /// A request ran although its caller was told that it had not.
    #[snafu(display("call {call_id} was refused as not run, but ran on {worker}"))]
    RanAfterAll {
        /// Call.
        call_id: String,
        /// Worker that ran it.
        worker: String,
    },
    /// A caller got an answer that no worker gave.
    #[snafu(display("call {call_id} was answered, but ran nowhere"))]
    RanNowhere {
        /// Call.
        call_id: String,
    },
}

/// All violations in a session, in a fixed order.
pub fn check(session: &Session, rules: &Rules) -> Vec<Violation> {
    let mut found = Vec::new();
    tasks::check(session, rules, &mut found);
    requests::check(session, rules, &mut found);
    found
}
