//! Order in which waiting tasks are offered to the placer.
//!
//! Urgent tasks go first. The others are ordered by worth: a task's worth doubles with
//! every eighth of its deadline that it has waited, and halves with every half of its
//! team's quota that is committed. So no task starves, however many tasks of higher
//! worth keep arriving.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::collections::HashMap;
use crate::domain::{Millis, Monotonic, Profile, TaskKey};

use super::{PlacementRequest, Placer};

/// Doublings of a task's worth after waiting for its whole deadline.
const WAIT_DOUBLINGS: f64 = 8.0;
/// Halvings of a task's worth if its team has committed its whole quota.
const QUOTA_HALVINGS: f64 = 2.0;

impl Placer {
    /// Rank of a waiting task: log2 of its adjusted worth, plus a constant for an urgent task.
    /// The highest goes first.
    pub fn rank(&self, profile: &Profile, waited_ms: Millis) -> f64 {
        let urgent = if profile.urgent { 1_000.0 } else { 0.0 };
        let worth = f64::from(profile.worth.max(1)).log2();
        let waited = waited_ms as f64 / profile.deadline_ms.max(1) as f64;
        let used = self.dominant_share(&profile.team);
        urgent + worth + WAIT_DOUBLINGS * waited - QUOTA_HALVINGS * used
    }
}

/// Result of offering a task for placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferResult {
    /// The task was placed; the next task of its profile is offered.
    Placed,
    /// Room is reserved for the task; it waits, and the next task of its profile is offered.
    Reserved,
    /// The task was not placed; no further task of its profile is offered in this call.
    Declined,
}

/// Waiting tasks, ordered by [`Placer::rank`].
///
/// Tasks of one profile are served in the order of arrival, so only the first
/// task of each profile is ranked.
#[derive(Debug, Default)]
pub struct WaitingTasks {
    by_profile: Vec<ProfileQueue>,
    by_name: HashMap<Arc<str>, usize>,
    waiting: HashMap<TaskKey, Monotonic>,
}

#[derive(Debug, Default)]
struct ProfileQueue {
    requests: VecDeque<(Monotonic, PlacementRequest)>,
}

impl WaitingTasks {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of waiting tasks.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no task waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds a task that has waited since `since`; no effect if it is already waiting.
    pub fn push(&mut self, request: PlacementRequest, since: Monotonic) {
        if self.waiting.contains_key(&request.task) {
            return;
        }
        self.waiting.insert(request.task, since);
        let queues = &mut self.by_profile;
        let at = *self.by_name.entry(request.name.clone()).or_insert_with(|| {
            queues.push(ProfileQueue::default());
            queues.len() - 1
        });
        let requests = &mut self.by_profile[at].requests;
        let position = requests.partition_point(|(earlier, _)| *earlier <= since);
        requests.insert(position, (since, request));
    }

    /// Withdraws a task in constant time; returns whether it was waiting.
    pub fn withdraw(&mut self, task: TaskKey) -> bool {
        self.waiting.remove(&task).is_some()
    }

    /// Offers waiting tasks in order of rank and removes those that are placed.
    pub fn offer_all(
        &mut self,
        placer: &mut Placer,
        now: Monotonic,
        mut offer: impl FnMut(&mut Placer, PlacementRequest) -> OfferResult,
    ) {
        let mut cursors = vec![Some(0); self.by_profile.len()];
        while let Some((at, position, request)) = self.highest(&mut cursors, placer, now) {
            let task = request.task;
            match offer(placer, request) {
                OfferResult::Placed => {
                    self.by_profile[at].requests.remove(position);
                    self.waiting.remove(&task);
                }
                OfferResult::Reserved => cursors[at] = Some(position + 1),
                OfferResult::Declined => cursors[at] = None,
            }
        }
    }

    /// Task of the highest rank among those at the cursors, with the index of its queue and
    /// its position there. A queue whose cursor is `None` offers no further task.
    fn highest(
        &mut self,
        cursors: &mut [Option<usize>],
        placer: &Placer,
        now: Monotonic,
    ) -> Option<(usize, usize, PlacementRequest)> {
        let mut best: Option<(f64, usize, usize)> = None;
        for (at, cursor) in cursors.iter_mut().enumerate() {
            let Some(position) = *cursor else {
                continue;
            };
            let Some((since, request)) =
                self.by_profile[at].drop_withdrawn(position, &self.waiting)
            else {
                *cursor = None;
                continue;
            };
            let rank = placer.rank(&request.profile, now.since(*since));
            if best.is_none_or(|(top, _, _)| rank > top) {
                best = Some((rank, at, position));
            }
        }
        let (_, at, position) = best?;
        let (since, request) = &self.by_profile[at].requests[position];
        let mut request = request.clone();
        request.waited_ms = now.since(*since);
        Some((at, position, request))
    }
}

impl ProfileQueue {
    /// Removes withdrawn tasks at `position`; returns the next waiting task, if any.
    fn drop_withdrawn(
        &mut self,
        position: usize,
        waiting: &HashMap<TaskKey, Monotonic>,
    ) -> Option<&(Monotonic, PlacementRequest)> {
        while let Some((since, request)) = self.requests.get(position) {
            if waiting.get(&request.task) == Some(since) {
                break;
            }
            self.requests.remove(position);
        }
        self.requests.get(position)
    }
}
