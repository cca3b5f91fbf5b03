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

/// What became of an offered task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It was placed; the next task of its profile is offered.
    Taken,
    /// Room is being made for it; it waits, and the next task of its profile is offered.
    Promised,
    /// It found no room; its profile waits for the next call.
    Declined,
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

    /// Offers waiting tasks in the order of their ranks.
    pub fn drain(
        &mut self,
        placer: &mut Placer,
        now: Monotonic,
        mut offer: impl FnMut(&mut Placer, Ask) -> Offer,
    ) {
        let mut cursors = vec![Some(0); self.lines.len()];
        while let Some((at, cursor, ask)) = self.first(&mut cursors, placer, now) {
            let task = ask.task;
            match offer(placer, ask) {
                Offer::Taken => {
                    self.lines[at].asks.remove(cursor);
                    self.waiting.remove(&task);
                }
                Offer::Promised => cursors[at] = Some(cursor + 1),
                Offer::Declined => cursors[at] = None,
            }
        }
    }

    /// Task of the highest rank at the cursors of the lines.
    fn first(
        &mut self,
        cursors: &mut [Option<usize>],
        placer: &Placer,
        now: Monotonic,
    ) -> Option<(usize, usize, Ask)> {
        let mut best: Option<(f64, usize, usize)> = None;
        for (at, place) in cursors.iter_mut().enumerate() {
            let Some(cursor) = *place else {
                continue;
            };
            let Some((since, ask)) = self.lines[at].settle(cursor, &self.waiting) else {
                *place = None;
                continue;
            };
            let rank = placer.rank(&ask.profile, now.since(*since));
            if best.is_none_or(|(highest, _, _)| rank > highest) {
                best = Some((rank, at, cursor));
            }
        }
        let (_, at, cursor) = best?;
        let (since, ask) = &self.lines[at].asks[cursor];
        let mut ask = ask.clone();
        ask.waited_ms = now.since(*since);
        Some((at, cursor, ask))
    }
}

impl Line {
    /// Drops withdrawn tasks at `cursor`; returns the task that is there then.
    fn settle(
        &mut self,
        cursor: usize,
        waiting: &HashMap<TaskKey, Monotonic>,
    ) -> Option<&(Monotonic, Ask)> {
        while let Some((since, ask)) = self.asks.get(cursor) {
            if waiting.get(&ask.task) == Some(since) {
                break;
            }
            self.asks.remove(cursor);
        }
        self.asks.get(cursor)
    }
}
