//! Profiles, declarations, tasks and workers for the placement tests.

use std::collections::BTreeMap;
use std::sync::Arc;

use slotmap::SlotMap;
use verbenahitch::config::{Declarations, Team};
use verbenahitch::domain::{
    Class, Eviction, JobKey, Monotonic, Profile, Resources, TaskKey, WorkerKey,
};
use verbenahitch::placement::{Choice, PlacementRequest, Placer, Resident, WorkerState};

/// A batch profile of one core and 1 GiB.
pub fn batch() -> Profile {
    Profile {
        class: Class::Batch,
        team: "night".to_owned(),
        resources: Resources::new(1, 1_024),
        worth: 10,
        target_ms: 60_000,
        deadline_ms: 3_600_000,
        max_slowdown: 4.0,
        min_share: 0.25,
        eviction: Eviction::default(),
        idempotent: true,
        urgent: false,
        pressure: 0.2,
    }
}

/// A latency-critical profile of two cores and 4 GiB that tolerates 1.5 times its baseline latency.
pub fn service() -> Profile {
    Profile {
        class: Class::LatencyCritical,
        team: "day".to_owned(),
        resources: Resources::new(2, 4_096),
        worth: 100,
        target_ms: 50,
        deadline_ms: 1_000,
        max_slowdown: 1.5,
        ..batch()
    }
}

/// Declarations with one team of `quota` and the named profiles.
pub fn declarations(team: &str, quota: Resources, profiles: &[(&str, &Profile)]) -> Declarations {
    let token_digest = String::new();
    let named = |(name, profile): &(&str, &Profile)| ((*name).to_owned(), (*profile).clone());
    Declarations {
        teams: BTreeMap::from([(
            team.to_owned(),
            Team {
                quota,
                token_digest,
            },
        )]),
        profiles: profiles.iter().map(named).collect(),
        ..Declarations::default()
    }
}

/// Source of tasks with unique keys and run numbers.
#[derive(Default)]
pub struct Tasks {
    jobs: SlotMap<JobKey, ()>,
    run: u64,
}

impl Tasks {
    /// The only task of a new job.
    pub fn request(&mut self, name: &str, profile: &Profile) -> PlacementRequest {
        let job = self.jobs.insert(());
        self.request_of(job, 0, name, profile)
    }

    /// A new job.
    pub fn job(&mut self) -> JobKey {
        self.jobs.insert(())
    }

    /// A task of a job.
    pub fn request_of(
        &mut self,
        job: JobKey,
        index: u32,
        name: &str,
        profile: &Profile,
    ) -> PlacementRequest {
        PlacementRequest {
            task: TaskKey { job, index },
            name: Arc::from(name),
            profile: Arc::new(profile.clone()),
            avoid: None,
            waited_ms: 0,
        }
    }

    /// A run of the task in `request`, with its declared resources.
    pub fn resident(&mut self, request: &PlacementRequest, since: Monotonic) -> Resident {
        self.run += 1;
        Resident {
            task: request.task,
            run: self.run,
            name: Arc::clone(&request.name),
            profile: Arc::clone(&request.profile),
            resources: request.profile.resources,
            since,
        }
    }

    /// Places a new task on `worker`, where it must fit.
    pub fn put(
        &mut self,
        placer: &mut Placer,
        worker: WorkerKey,
        name: &str,
        profile: &Profile,
    ) -> Resident {
        let request = self.request(name, profile);
        let resident = self.resident(&request, Monotonic(0));
        placer
            .commit(worker, resident.clone())
            .expect("the task fits");
        resident
    }
}

/// Adds open workers, three to a rack.
pub fn workers(placer: &mut Placer, count: usize, capacity: Resources) -> Vec<WorkerKey> {
    let add =
        |at: usize| placer.add_worker(capacity, &format!("rack-{}", at / 3), WorkerState::Open);
    (0..count).map(add).collect()
}

/// Worker of a choice, if it places the task.
pub fn placed(choice: &Choice) -> Option<WorkerKey> {
    match choice {
        Choice::Place { worker, .. } => Some(*worker),
        _ => None,
    }
}
