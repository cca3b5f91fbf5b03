//! Placer and queue of one availability zone, under the policy that is replayed.

use serde::{Deserialize, Serialize};

use crate::collections::HashSet;
use crate::domain::{Monotonic, Resources, WorkerKey};
use crate::interference::Mitigation;
use crate::placement::{Choice, PlacementRequest, Placer, Reason, WaitingTasks};
use crate::port::Usage;

/// Placement policy of a replay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// The scheduler's own decisions, aware of interference.
    Aware,
    /// The first worker with room, without regard to interference.
    FirstFit,
    /// Some workers for latency-critical work only, the others for batch only.
    Reserved,
    /// No batch work at all, which gives the baseline latency.
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
    pub(super) queue: WaitingTasks,
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
    /// Workers that take no batch until their quarantine ends.
    pub(super) quarantined: HashSet<WorkerKey>,
}

impl Cell {
    pub(super) fn new(policy: Policy, seed: u64) -> Self {
        Self {
            placer: Placer::new(seed),
            queue: WaitingTasks::new(),
            in_service: true,
            chooser: Chooser {
                policy,
                order: Vec::new(),
                reserved: HashSet::default(),
                quarantined: HashSet::default(),
            },
        }
    }

    pub(super) fn observe(&mut self, worker: WorkerKey, usage: &Usage, now: Monotonic) {
        if self.chooser.policy == Policy::Aware {
            self.placer.observe(worker, usage, now);
        }
    }

    pub(super) fn interference_actions(&mut self, now: Monotonic) -> Vec<Mitigation> {
        match self.chooser.policy {
            Policy::Aware => self.placer.mitigate(now),
            Policy::FirstFit | Policy::Reserved | Policy::Alone => Vec::new(),
        }
    }
}

impl Chooser {
    /// Resources that are committed for a task.
    pub(super) fn need(&self, placer: &Placer, request: &PlacementRequest) -> Resources {
        match self.policy {
            Policy::Aware => placer.predicted_size(&request.name, &request.profile),
            Policy::FirstFit | Policy::Reserved | Policy::Alone => request.profile.resources,
        }
    }

    pub(super) fn choose(
        &self,
        placer: &Placer,
        request: &PlacementRequest,
        need: Resources,
        now: Monotonic,
    ) -> Choice {
        match self.policy {
            Policy::Aware => placer.choose_sized(request, need, now),
            Policy::FirstFit | Policy::Reserved => self.first_fit(placer, request, need),
            Policy::Alone => Choice::Wait(Reason::NoRoom),
        }
    }

    fn first_fit(&self, placer: &Placer, request: &PlacementRequest, need: Resources) -> Choice {
        let mut workers = self.order.iter().copied();
        if !workers
            .clone()
            .any(|worker| need.fits(placer.capacity(worker)))
        {
            return Choice::Infeasible("larger than every worker".to_owned());
        }
        let fitting = workers.find(|worker| {
            let available = !self.reserved.contains(worker) && !self.quarantined.contains(worker);
            available && request.avoid != Some(*worker) && need.fits(placer.free(*worker))
        });
        match fitting {
            Some(worker) => Choice::Place {
                worker,
                runner_up: None,
                reason: Reason::BestFit,
            },
            None => Choice::Wait(Reason::NoRoom),
        }
    }
}
