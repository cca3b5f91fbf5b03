//! Order in which waiting tasks are offered to the placer.
//!
//! Urgent work goes first. Among the rest, each eighth of its deadline that a
//! task has waited counts as a doubling of its worth, and each use of its
//! team's quota as a halving. So a task of any worth is reached in the end,
//! however much of higher worth keeps arriving.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::collections::HashMap;
use crate::domain::{Millis, Monotonic, Profile, TaskKey};

use super::{Ask, Placer};

const AGEING_PARTS: f64 = 8.0;
const QUOTA_HALVINGS: f64 = 2.0;

impl Placer {
    /// Rank of a waiting task; the highest goes first.
    pub fn rank(&self, profile: &Profile, waited_ms: Millis) -> f64 {
        let urgent = if profile.urgent { 1_000.0 } else { 0.0 };
        let worth = f64::from(profile.worth.max(1)).log2();
        let waited = waited_ms as f64 / profile.deadline_ms.max(1) as f64;
        let used = self.dominant_share(&profile.team);
        urgent + worth + AGEING_PARTS * waited - QUOTA_HALVINGS * used
    }
}

/// Waiting tasks, in the order of [`Placer::rank`].
///
/// Tasks of one profile wait in the order of their arrival, so only the first
/// of each profile is ranked.
#[derive(Debug, Default)]
pub struct Queue {
    lines: Vec<Line>,
    by_name: HashMap<Arc<str>, usize>,
    waiting: HashMap<TaskKey, Monotonic>,
}

#[derive(Debug, Default)]
struct Line {
    asks: VecDeque<(Monotonic, Ask)>,
}

impl Queue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of waiting tasks.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds a task that waits since `since`; a task that waits already stays where it is.
    pub fn push(&mut self, ask: Ask, since: Monotonic) {
        if self.waiting.contains_key(&ask.task) {
            return;
        }
        self.waiting.insert(ask.task, since);
        let lines = &mut self.lines;
        let at = *self.by_name.entry(ask.name.clone()).or_insert_with(|| {
            lines.push(Line::default());
            lines.len() - 1
        });
        let line = &mut self.lines[at].asks;
        let place = line.partition_point(|(earlier, _)| *earlier <= since);
        line.insert(place, (since, ask));
    }

    /// Withdraws a task in constant time; says whether it waited.
    pub fn withdraw(&mut self, task: TaskKey) -> bool {
        self.waiting.remove(&task).is_some()
    }

    /// Offers the first task of each profile in the order of their ranks.
    ///
    /// `offer` says whether the task was placed; then the next task of its
    /// profile is offered in turn, otherwise the profile waits for the next call.
    pub fn drain(
        &mut self,
        placer: &mut Placer,
        now: Monotonic,
        mut offer: impl FnMut(&mut Placer, Ask) -> bool,
    ) {
        let mut open: Vec<usize> = (0..self.lines.len()).collect();
        while let Some((at, ask)) = self.first(&mut open, placer, now) {
            let task = ask.task;
            if offer(placer, ask) {
                self.lines[at].asks.pop_front();
                self.waiting.remove(&task);
            } else {
                open.retain(|other| *other != at);
            }
        }
    }

    fn first(
        &mut self,
        open: &mut Vec<usize>,
        placer: &Placer,
        now: Monotonic,
    ) -> Option<(usize, Ask)> {
        let waiting = &self.waiting;
        let lines = &mut self.lines;
        open.retain(|at| lines[*at].settle(waiting));
        let ranked = open.iter().map(|at| {
            let (since, ask) = &self.lines[*at].asks[0];
            (*at, placer.rank(&ask.profile, now.since(*since)))
        });
        let (at, _) = ranked.max_by(|(_, a), (_, b)| a.total_cmp(b))?;
        let (since, ask) = &self.lines[at].asks[0];
        let mut ask = ask.clone();
        ask.waited_ms = now.since(*since);
        Some((at, ask))
    }
}

impl Line {
    /// Drops withdrawn tasks from the front; says whether a task is left.
    fn settle(&mut self, waiting: &HashMap<TaskKey, Monotonic>) -> bool {
        while let Some((since, ask)) = self.asks.front() {
            if waiting.get(&ask.task) == Some(since) {
                return true;
            }
            self.asks.pop_front();
        }
        false
    }
}
