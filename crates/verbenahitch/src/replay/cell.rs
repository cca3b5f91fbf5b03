//! One availability zone's placer, under the policy that is replayed.

use serde::{Deserialize, Serialize};

use crate::collections::HashSet;
use crate::domain::{Monotonic, Resources, WorkerKey};
use crate::interference::Relief;
use crate::placement::{Ask, Choice, Placer, Queue, Reason};
use crate::port::Usage;

/// Policy that decides in a replay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// The product's own decisions.
    Aware,
    /// The first worker with room, without regard to interference.
    FirstFit,
    /// Whole workers for the latency-critical work, the others for batch.
    Reserved,
    /// No batch at all: the latency that could be had.
    Alone,
}

impl Policy {
    /// All policies.
    pub const ALL: [Self; 4] = [Self::Aware, Self::FirstFit, Self::Reserved, Self::Alone];

    /// Name in reports.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Aware => "aware",
            Self::FirstFit => "first-fit",
            Self::Reserved => "reserved",
            Self::Alone => "alone",
        }
    }
}

/// Placer and queue of one zone.
#[derive(Debug)]
pub(super) struct Cell {
    pub(super) placer: Placer,
    pub(super) queue: Queue,
    pub(super) in_service: bool,
    pub(super) chooser: Chooser,
}

/// How a worker is chosen.
#[derive(Debug)]
pub(super) struct Chooser {
    pub(super) policy: Policy,
    /// Workers in a fixed order.
    pub(super) order: Vec<WorkerKey>,
    /// Workers that take no batch.
    pub(super) reserved: HashSet<WorkerKey>,
    /// Workers that take no batch for now.
    pub(super) closed: HashSet<WorkerKey>,
}

impl Cell {
    pub(super) fn new(policy: Policy, seed: u64) -> Self {
        Self {
            placer: Placer::new(seed),
            queue: Queue::new(),
            in_service: true,
            chooser: Chooser {
                policy,
                order: Vec::new(),
                reserved: HashSet::default(),
                closed: HashSet::default(),
            },
        }
    }

    pub(super) fn observe(&mut self, worker: WorkerKey, usage: &Usage, now: Monotonic) {
        if self.chooser.policy == Policy::Aware {
            self.placer.observe(worker, usage, now);
        }
    }

    pub(super) fn relieve(&mut self, now: Monotonic) -> Vec<Relief> {
        match self.chooser.policy {
            Policy::Aware => self.placer.relieve(now),
            Policy::FirstFit | Policy::Reserved | Policy::Alone => Vec::new(),
        }
    }
}

impl Chooser {
    /// What a task commits.
    pub(super) fn need(&self, placer: &Placer, ask: &Ask) -> Resources {
        match self.policy {
            Policy::Aware => placer.size(&ask.name, &ask.profile),
            Policy::FirstFit | Policy::Reserved | Policy::Alone => ask.profile.resources,
        }
    }

    pub(super) fn choose(
        &self,
        placer: &Placer,
        ask: &Ask,
        need: Resources,
        now: Monotonic,
    ) -> Choice {
        match self.policy {
            Policy::Aware => placer.choose_sized(ask, need, now),
            Policy::FirstFit | Policy::Reserved => self.first_fit(placer, ask, need),
            Policy::Alone => Choice::Wait(Reason::NoRoom),
        }
    }

    fn first_fit(&self, placer: &Placer, ask: &Ask, need: Resources) -> Choice {
        let mut all = self.order.iter().copied();
        if !all.clone().any(|worker| need.fits(placer.capacity(worker))) {
            return Choice::Never("larger than every worker".to_owned());
        }
        let able = all.find(|worker| {
            let open = !self.reserved.contains(worker) && !self.closed.contains(worker);
            open && ask.avoid != Some(*worker) && need.fits(placer.free(*worker))
        });
        match able {
            Some(worker) => Choice::Place {
                worker,
                runner_up: None,
                reason: Reason::BestFit,
            },
            None => Choice::Wait(Reason::NoRoom),
        }
    }
}
