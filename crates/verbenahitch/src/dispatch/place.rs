//! Choice of a worker for a task.
//!
//! Load pattern: standing tasks ([`StepSpec::standing`]) hold most of the committed
//! CPU but use less than half of it. Fillers ([`StepSpec::filler`]) use the idle rest
//! and slow the standing tasks on the same worker, some images far more than others.
//! A filler is therefore placed where most CPU is idle and where it is expected to
//! slow standing tasks least; other tasks are placed where there are few fillers and
//! latency targets.
//!
//! Costs are in units of a worker's CPU: for a task without a target, a fully
//! committed worker costs 1; for a filler, a fully idle one costs -1.
//!
//! The headroom of a standing task is its latency target divided by its tail latency,
//! see [`super::headroom`].
//!
//! Inputs: commitments, exact, as the dispatcher makes them; headrooms, health and pace,
//! as old as the last poll, about a second at most.

use std::cell::RefCell;

use slotmap::{Key, SecondaryMap};

use super::headroom::{self, Effect, Exposure, HeadroomModel, ImageKey, Level};
use super::job::{Amount, StepSpec};
use super::room::Pieces;
use super::worker::Worker;

/// Share of its committed CPU that a standing task is assumed to use: a little under
/// half on average, and a reserve for load peaks.
const STANDING_USE: f64 = 0.5;

/// Fillers leave 1/`RESERVE_DIVISOR` of the memory proportional to the uncommitted CPU
/// free: other tasks need about half of a worker's memory per core.
const RESERVE_DIVISOR: u64 = 2;

/// Share of a filler's requested CPU that must be idle on its worker.
const FILLER_IDLE_SHARE: f64 = 0.9;

/// Cost of a rack other than that of the data.
const OTHER_RACK_COST: f64 = 10.0;

/// Cost of each task of the same step on the worker.
const SAME_STEP_COST: f64 = 0.05;

/// Cost of the worker that the task avoids.
pub(super) const AVOID_COST: f64 = 20.0;

/// Cost per unit of headroom that a placement takes from a standing task.
const LOSS_COST: f64 = 0.5;

/// Lowest headroom that a standing task is expected to keep beside a new filler. Its own load may rise a little faster than expected.
const HEADROOM_MIN: f64 = 1.3;

/// Part of a standing task's lowest headroom that fillers may take together, whatever is
/// left to it. Where targets are tight, batch work would otherwise run only at low load.
const SHARED_PART: f64 = 0.18;

/// Loss of headroom up to which a filler is placed beside tasks with little headroom.
const HARMLESS_LOSS: f64 = 0.05;

/// Expected headroom below which a worker costs more.
const TIGHT_HEADROOM: f64 = 2.0;

/// Cost per unit of headroom below [`TIGHT_HEADROOM`].
const TIGHT_COST: f64 = 0.2;

/// Cost, for a short task, of each piece for such tasks that it destroys.
const SHORT_PIECE_COST: f64 = 1.0;

/// Cost, for a standing task, of each piece for short tasks that it destroys. Less than
/// [`NEW_IMAGE_COST`].
const STANDING_PIECE_COST: f64 = 0.3;

/// Longest time ahead for which loads are estimated, in milliseconds.
const AHEAD_MAX_MS: u64 = 10_000;

/// Weight of a worker's committed share for a task with a target.
const COMMITTED_WEIGHT: f64 = 0.3;

/// Cost of a worker without tasks of the same image. Exceeds [`COMMITTED_WEIGHT`], so
/// that tasks with a target fill workers that already run their image.
const NEW_IMAGE_COST: f64 = 0.5;

/// Cost of each task of another image with a target.
const OTHER_IMAGE_COST: f64 = 0.2;

/// Cost, for a harmless filler, of a worker without tasks with a target: such workers
/// are reserved for harmful fillers.
const NO_TARGET_WORKER_COST: f64 = 0.6;

/// Load of a worker, as far as placement depends on it.
#[derive(Clone, Debug, Default)]
pub(super) struct Load {
    /// Standing tasks with a target, by image.
    pub tails: Vec<Tail>,
    /// Fillers, with their shares of the worker's CPU.
    pub fillers: Vec<Exposure>,
}

/// Standing tasks of one image with a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Tail {
    pub image: ImageKey,
    /// Number of the tasks.
    pub count: u32,
    /// Lowest headroom without fillers; none before all tasks have reported any.
    pub level: Option<Level>,
    /// Headroom that the fillers on the worker take.
    pub loss: f64,
}

impl Load {
    /// Adds a standing task with a target.
    pub fn add_tail(&mut self, image: ImageKey, level: Option<Level>) {
        if let Some(tail) = self.tails.iter_mut().find(|tail| tail.image == image) {
            tail.count += 1;
            tail.level = tail.level.zip(level).map(|(a, b)| a.lower(b));
            return;
        }
        self.tails.push(Tail {
            image,
            count: 1,
            level,
            loss: 0.0,
        });
    }
}

/// Effect of placing one more task on the headroom of standing tasks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct TailImpact {
    /// Largest loss of headroom by the placement.
    pub loss: f64,
    /// Lowest headroom expected after it.
    pub headroom: f64,
    /// Whether a task would keep too little headroom.
    pub is_excessive: bool,
}

impl TailImpact {
    fn cost(self) -> f64 {
        let tight = (TIGHT_HEADROOM - self.headroom).max(0.0);
        self.loss * LOSS_COST + tight * TIGHT_COST
    }
}

/// Request to place tasks of a step.
#[derive(Clone, Debug)]
pub(super) struct AssignmentRequest<'a> {
    pub step: &'a StepSpec,
    pub image: ImageKey,
    /// Harmfulness of a filler, zero for other tasks.
    harmfulness: f64,
    /// Effects of a filler on the tasks of images that it was compared with.
    effects: RefCell<SecondaryMap<ImageKey, Effect>>,
    /// Pieces for short steps, none while enough are left.
    pieces: Option<Pieces>,
    /// Whether a short task leaves the emptiest workers to fillers.
    spares_idle: bool,
    /// Whether a filler may take what standing tasks are expected to need.
    is_owed: bool,
}

impl<'a> AssignmentRequest<'a> {
    pub fn new(
        model: &mut HeadroomModel,
        step: &'a StepSpec,
        pieces: Option<Pieces>,
        spares_idle: bool,
    ) -> Self {
        let image = if step.filler || step.target_ms > 0 {
            model.find_image(&step.image)
        } else {
            ImageKey::null()
        };
        Self {
            step,
            image,
            harmfulness: if step.filler {
                model.harmfulness(image)
            } else {
                0.0
            },
            effects: RefCell::default(),
            pieces,
            spares_idle,
            is_owed: false,
        }
    }

    /// Lets a filler take what standing tasks are expected to need.
    pub fn set_owed(&mut self) {
        self.is_owed = true;
    }

    /// Records the placement of a filler beside tasks of a standing image.
    pub fn add_trial(&mut self, model: &mut HeadroomModel, standing: ImageKey) {
        if self.image.is_null() {
            self.image = model.use_image(&self.step.image);
        }
        model.add_trial(self.image, standing);
        let effect = model.placement_effect(self.image, standing);
        self.effects.get_mut().insert(standing, effect);
    }

    /// Effect of a filler on the tasks of an image.
    fn effect(&self, model: &HeadroomModel, standing: ImageKey) -> Effect {
        let compute = || model.placement_effect(self.image, standing);
        match self.effects.borrow_mut().entry(standing) {
            Some(entry) => *entry.or_insert_with(compute),
            None => compute(),
        }
    }

    /// Cost of the pieces for short steps that the task destroys.
    fn piece_cost(&self, room: &Room, weight: f64) -> f64 {
        self.pieces.map_or(0.0, |pieces| {
            let count = pieces.destroyed(room.free, committed(self.step));
            as_float(count) * weight
        })
    }

    /// Whether the cost of placing it depends on the load of a worker.
    pub fn needs_load(&self) -> bool {
        self.step.filler || self.step.target_ms > 0
    }

    /// Effect of placing one more task on a worker: of a filler on the tasks there, of the
    /// fillers there on another task.
    fn tail_impact(&self, model: &HeadroomModel, load: &Load, capacity_milli: u64) -> TailImpact {
        let image = self.image;
        if !self.step.filler {
            let loss = model.loss(&load.fillers, image);
            return TailImpact {
                loss,
                headroom: model.floor(image) - loss,
                is_excessive: false,
            };
        }
        let share = share_of(self.step.amount.cpu_milli, capacity_milli);
        let ahead_ms = self.step.estimate_ms.min(AHEAD_MAX_MS);
        let none = TailImpact {
            loss: 0.0,
            headroom: f64::INFINITY,
            is_excessive: false,
        };
        load.tails.iter().fold(none, |worst, tail| {
            let Effect { pressure, floor } = self.effect(model, tail.image);
            let added = pressure * share;
            let level = tail
                .level
                .map_or(floor, |level| headroom::level_ahead(level, floor, ahead_ms));
            let total = tail.loss + added;
            let headroom = level - total;
            let is_excessive =
                added > HARMLESS_LOSS && headroom < HEADROOM_MIN && total > floor * SHARED_PART;
            TailImpact {
                loss: worst.loss.max(added),
                headroom: worst.headroom.min(headroom),
                is_excessive: worst.is_excessive || is_excessive,
            }
        })
    }
}

/// `part` as a fraction of `whole`, zero if `whole` is zero.
pub(super) fn share_of(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    as_float(part) / as_float(whole)
}

/// Idle CPU of a worker in thousandths of a core, negative if it is overcommitted.
fn idle_milli(worker: &Worker) -> f64 {
    let capacity = as_float(worker.info.capacity.cpu_milli);
    let standing = as_float(worker.standing_milli);
    let others = as_float(worker.committed.cpu_milli) - standing;
    capacity - standing * STANDING_USE - others - as_float(worker.filler_milli)
}

/// Reason for which a task cannot be placed on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Misfit {
    /// The worker is not known to have the label.
    Label,
    /// The worker has as many tasks of the step as the step's spread allows.
    Spread,
    /// The free CPU or accelerators do not suffice, or its runs need more than it has.
    Cpu,
    /// The free memory does not suffice, or would not after a filler, or its runs need more.
    Memory,
    /// The idle CPU does not suffice for a filler.
    Busy,
    /// The filler would slow a standing task too much.
    Harm,
    /// The client account has no room under its cap, on any worker.
    Cap,
    /// The worker is held for an overdue standing task.
    Held,
}

/// Whether a worker is known to have the label that a step requires.
pub(super) fn has_label(worker: &Worker, step: &StepSpec) -> bool {
    let is_known = || worker.is_described() && worker.info.labels.contains(&step.label);
    step.label.is_empty() || is_known()
}

/// Checks the label and the spread of a worker for one more task of `step`.
///
/// # Errors
///
/// The first requirement that the worker does not meet.
pub(super) fn allows(worker: &Worker, step: &StepSpec, same_step: u32) -> Result<(), Misfit> {
    if !has_label(worker, step) {
        return Err(Misfit::Label);
    }
    if step.spread > 0 && same_step >= step.spread {
        return Err(Misfit::Spread);
    }
    Ok(())
}

/// What a worker has for further tasks.
#[derive(Clone, Copy, Debug)]
pub(super) struct Room {
    free: Amount,
    capacity_milli: u64,
    committed_milli: u64,
    /// Idle CPU in thousandths of a core, see [`idle_milli`].
    idle_milli: f64,
    capacity_mb: u64,
    /// Memory that fillers leave for other tasks, in MB.
    reserve_mb: u64,
    /// Resource of which its runs need more than it has.
    over: Option<Misfit>,
}

impl Room {
    pub fn of(worker: &Worker) -> Self {
        let capacity = worker.info.capacity;
        let free = worker.free();
        let over = match worker.is_over() {
            true if worker.committed.memory_mb <= capacity.memory_mb => Some(Misfit::Cpu),
            true => Some(Misfit::Memory),
            false => None,
        };
        Self {
            free,
            capacity_milli: capacity.cpu_milli,
            committed_milli: worker.committed.cpu_milli,
            idle_milli: idle_milli(worker),
            capacity_mb: capacity.memory_mb,
            reserve_mb: reserve_mb(capacity, free),
            over,
        }
    }

    /// Share of the CPU that is committed.
    fn committed_share(&self) -> f64 {
        as_float(self.committed_milli) / as_float(self.capacity_milli.max(1))
    }

    /// Checks the free resources for one more task of `step`.
    ///
    /// # Errors
    ///
    /// The first resource that does not suffice.
    pub fn fit(&self, request: &AssignmentRequest<'_>) -> Result<(), Misfit> {
        let step = request.step;
        // What needs nothing of a resource fits into none of it, but not beside too much.
        if let Some(misfit) = self.over {
            return Err(misfit);
        }
        let amount = committed(step);
        if amount.cpu_milli > self.free.cpu_milli || amount.gpus > self.free.gpus {
            return Err(Misfit::Cpu);
        }
        let reserve = if step.filler && !request.is_owed {
            // An idle worker takes any filler that it has the memory for.
            let most = self.capacity_mb.saturating_sub(amount.memory_mb);
            self.reserve_mb.min(most)
        } else {
            0
        };
        if amount.memory_mb.saturating_add(reserve) > self.free.memory_mb {
            return Err(Misfit::Memory);
        }
        Ok(())
    }
}

/// Cost of one more task of a step without a target on a worker where it fits: the emptiest
/// worker, or where it destroys the fewest pieces and fits best while fillers are late.
/// Harmful fillers can only use workers with few standing tasks, which are the emptiest.
pub(super) fn plain_cost(
    room: &Room,
    rack_cost: f64,
    request: &AssignmentRequest<'_>,
    same_step: u32,
) -> f64 {
    let committed = room.committed_share();
    let load = if request.spares_idle {
        1.0 - committed + request.piece_cost(room, SHORT_PIECE_COST)
    } else {
        committed
    };
    rack_cost + load + f64::from(same_step) * SAME_STEP_COST
}

/// Cost of one more filler, or task with a target, on a worker where it fits.
///
/// # Errors
///
/// When too little CPU is idle for a filler, or it would slow a standing task too much.
pub(super) fn load_cost(
    room: &Room,
    rack_cost: f64,
    load: &Load,
    request: &AssignmentRequest<'_>,
    same_step: u32,
    model: &HeadroomModel,
) -> Result<f64, Misfit> {
    let step = request.step;
    let capacity_milli = room.capacity_milli;
    if step.filler && room.idle_milli < as_float(step.amount.cpu_milli) * FILLER_IDLE_SHARE {
        return Err(Misfit::Busy);
    }
    let impact = request.tail_impact(model, load, capacity_milli);
    if !step.filler {
        let packing = image_cost(load, request.image) + f64::from(same_step) * SAME_STEP_COST;
        return Ok(rack_cost
            + room.committed_share() * COMMITTED_WEIGHT
            + request.piece_cost(room, STANDING_PIECE_COST)
            + packing
            + impact.cost());
    }
    if impact.is_excessive && !request.is_owed {
        return Err(Misfit::Harm);
    }
    let reserved = if load.tails.is_empty() {
        NO_TARGET_WORKER_COST * (1.0 - request.harmfulness)
    } else {
        0.0
    };
    let idle = room.idle_milli / as_float(capacity_milli.max(1));
    Ok(rack_cost + reserved + impact.cost() - idle)
}

/// Cost of a worker by the rack of the step's data, which is not empty.
pub(super) fn rack_cost(worker: &Worker, step: &StepSpec) -> f64 {
    if step.rack == worker.rack() {
        return 0.0;
    }
    OTHER_RACK_COST
}

/// Memory that fillers leave for tasks on the uncommitted CPU, in MB.
fn reserve_mb(capacity: Amount, free: Amount) -> u64 {
    let product = u128::from(free.cpu_milli) * u128::from(capacity.memory_mb);
    let reserve = product / u128::from(capacity.cpu_milli.max(1)) / u128::from(RESERVE_DIVISOR);
    u64::try_from(reserve).unwrap_or(u64::MAX)
}

/// Cost from the images of the standing tasks with a target on the worker. Tasks of
/// one image are packed together, so that workers without the image remain for fillers
/// that slow it.
fn image_cost(load: &Load, image: ImageKey) -> f64 {
    let count = |is_same: bool| -> u32 {
        let counted = load
            .tails
            .iter()
            .filter(|tail| (tail.image == image) == is_same);
        counted.map(|tail| tail.count).sum()
    };
    let new_image = if count(true) == 0 {
        NEW_IMAGE_COST
    } else {
        0.0
    };
    let other_images = f64::from(count(false)) * OTHER_IMAGE_COST;
    new_image + other_images
}

/// Resources that a task of `step` commits on a worker: no CPU for a filler.
pub(super) fn committed(step: &StepSpec) -> Amount {
    let cpu_milli = if step.filler {
        0
    } else {
        step.amount.cpu_milli
    };
    Amount {
        cpu_milli,
        ..step.amount
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "thousandths of cores are far below 2^52"
)]
fn as_float(milli: u64) -> f64 {
    milli as f64
}
