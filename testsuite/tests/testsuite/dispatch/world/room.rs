//! Rooms of the workers as they change, and the check that no start brings a worker over its
//! room.

use std::collections::BTreeMap;

use verbenahitch::dispatch::{Amount, JobId, JobSpec, TaskId};
use verbenahitch::domain::Millis;

use super::{FakeRun, FakeWorker, World};

/// Rooms that a worker had earlier, with the time until which it had each.
#[derive(Default)]
pub struct EarlierRooms(Vec<(Millis, Amount)>);

/// What the runs of a worker take; fillers take no CPU.
fn taken(runs: &[FakeRun], specs: &BTreeMap<JobId, JobSpec>) -> Amount {
    let mut sum = Amount::default();
    for run in runs {
        let spec = &specs[&run.task.job].steps[run.task.step as usize];
        let mut amount = spec.amount;
        if spec.filler {
            amount.cpu_milli = 0;
        }
        sum.add(amount);
    }
    sum
}

impl FakeWorker {
    /// Checks the runs after a start that was ordered at `sent`: they fit into a room that the
    /// worker has named since. What is being stopped counts.
    pub fn check_room(
        &self,
        task: TaskId,
        specs: &BTreeMap<JobId, JobSpec>,
        sent: Millis,
    ) -> Result<(), String> {
        let taken = taken(&self.life.runs, specs);
        // The orders of a tick come before the changes that a test makes after it.
        let since = self
            .earlier_rooms
            .0
            .iter()
            .filter(|(until, _)| *until >= sent);
        let rooms = since.map(|(_, room)| *room).chain([self.info.capacity]);
        let room = rooms.reduce(Amount::max).unwrap_or_default();
        if taken.fits(room) {
            return Ok(());
        }
        let name = &self.info.name;
        Err(format!("{task} brings {name} to {taken:?} of {room:?}"))
    }
}

impl World {
    /// Changes the room of a worker, which says so at once.
    pub fn resize_worker(&mut self, name: &str, room: Amount) {
        let worker = self.workers.get_mut(name).unwrap();
        let earlier = std::mem::replace(&mut worker.info.capacity, room);
        worker.earlier_rooms.0.push((self.now, earlier));
        self.send_registry();
    }

    pub fn rooms_exceeded(&self) -> &[String] {
        &self.over_room
    }

    /// # Panics
    ///
    /// When a start has brought a worker over its room.
    pub fn assert_rooms(&self) {
        assert!(self.over_room.is_empty(), "{:#?}", self.over_room);
    }
}
