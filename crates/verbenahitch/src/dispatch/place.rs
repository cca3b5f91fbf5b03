//! Choice of a worker for a task.
//!
//! Load pattern: standing tasks hold most of the committed processors but use
//! less than half of them; fillers live on the rest and slow the standing tasks
//! beside them, some images far more than others. A filler therefore goes where
//! most is idle and where it presses least; other work goes where fillers and
//! latency targets are few.
//!
//! Inputs: commitments, exact by the dispatcher's own orders; health and pace,
//! as old as the last look, at most a second or so.

use super::job::{Amount, StepSpec};
use super::press::{self, ImageId, Presses};
use super::worker::Worker;

/// Share of its committed processors that a standing task uses: a little under
/// half on the average, and some for the peaks of its load.
const STANDING_USE: f64 = 0.5;

/// Part of the memory beside free processors that fillers leave, as a divisor: other
/// work needs about half of what a worker has for each processor.
const RESERVE_DIVISOR: u64 = 2;

/// Share of a filler's request that must be idle for it to start there.
const FILLER_FIT: f64 = 0.9;

/// Cost of a rack that is not that of the data, in parts of a worker.
const REMOTE_COST: f64 = 10.0;

/// Cost of each task of the same step that is there already, in parts of a worker.
const CROWD_COST: f64 = 0.05;

/// Cost of the worker on which the task failed before.
pub(super) const AVOID_COST: f64 = 20.0;

/// Cost of the growth of a tail, in parts of a worker.
const HARM_COST: f64 = 1.0;

/// Weight of a tail that is high already against growth.
const EXCESS_WEIGHT: f64 = 0.5;

/// Cost of a worker's commitment for a standing task, in parts of a worker.
const FILL_COST: f64 = 0.3;

/// Cost of a worker where no task of the same image serves, in parts of a worker:
/// more than that of a worker which is almost full.
const OPEN_COST: f64 = 0.5;

/// Cost of each task of another image that serves there, in parts of a worker.
const FOREIGN_COST: f64 = 0.2;

/// Cost of a worker without standing tasks for a filler that harms nobody, in parts
/// of a worker: such places are for those that do.
const RESERVE_COST: f64 = 0.6;

/// What a choice looks at, for one worker.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Load {
    /// Processors of standing tasks in thousandths.
    pub standing: u64,
    /// Standing tasks with a target.
    pub tails: Vec<Tail>,
    /// Fillers with their shares of the worker's processors.
    pub fillers: Vec<(ImageId, f64)>,
}

/// Tail of a standing task, as logarithms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Tail {
    pub image: ImageId,
    /// Growth by the fillers beside it.
    pub growth: f64,
    /// Tail over target as last seen, with what has been added since.
    pub expected: f64,
}

/// What one more task does to the tails on a worker, as logarithms.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Harm {
    /// Largest growth.
    pub growth: f64,
    /// Largest tail over target.
    pub expected: f64,
}

impl Harm {
    fn is_too_much(self) -> bool {
        self.growth > press::GROWTH_LIMIT || self.expected > press::PLACED.ln()
    }

    fn cost(self) -> f64 {
        let excess = (self.expected - press::UNPRESSED.ln()).max(0.0);
        (self.growth + excess * EXCESS_WEIGHT) * HARM_COST
    }
}

/// What is to be placed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Wanted<'a> {
    pub step: &'a StepSpec,
    image: ImageId,
    /// How widely it harms, zero for what does not fill.
    weight: f64,
}

impl<'a> Wanted<'a> {
    pub fn new(presses: &mut Presses, step: &'a StepSpec) -> Self {
        let image = presses.image(&step.image);
        Self {
            step,
            image,
            weight: if step.filler {
                presses.weight(image)
            } else {
                0.0
            },
        }
    }

    /// Whether its cost depends on what runs on a worker.
    pub fn needs_load(&self) -> bool {
        self.step.filler || self.step.target_ms > 0
    }

    /// What one more task does to the tails on a worker.
    fn harm(&self, presses: &Presses, load: &Load, capacity: u64) -> Harm {
        let none = Harm {
            growth: 0.0,
            expected: f64::NEG_INFINITY,
        };
        let image = self.image;
        if self.step.filler {
            let share = share_of(self.step.amount.cpu_milli, capacity);
            load.tails.iter().fold(none, |worst, tail| {
                let added = presses.pressure(image, tail.image) * share;
                Harm {
                    growth: worst.growth.max(tail.growth + added),
                    expected: worst.expected.max(tail.expected + added),
                }
            })
        } else {
            let each = load.fillers.iter();
            let growth: f64 = each
                .map(|(filler, share)| presses.pressure(*filler, image) * share)
                .sum();
            Harm {
                growth,
                expected: presses.base(image) + growth,
            }
        }
    }
}

/// Part of `whole`, zero of nothing.
pub(super) fn share_of(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    as_float(part) / as_float(whole)
}

/// Processors in thousandths that are idle beside all that runs, negative if short.
pub(super) fn idle_milli(worker: &Worker, load: &Load) -> f64 {
    let capacity = as_float(worker.info.capacity.cpu_milli);
    let standing = as_float(load.standing);
    let others = as_float(worker.committed.cpu_milli) - standing;
    capacity - standing * STANDING_USE - others - as_float(worker.filling)
}

/// Why a task cannot go to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Misfit {
    /// The worker lacks the label.
    Label,
    /// Enough tasks of the step are there.
    Spread,
    /// Its room is committed.
    Room,
    /// Its processors are not idle enough for a filler.
    Busy,
    /// A task there would be slowed too much.
    Harm,
}

/// Whether a worker has the label and the room for one more task of `step`.
///
/// # Errors
///
/// When it has not.
pub(super) fn fit(worker: &Worker, step: &StepSpec, same_step: u32) -> Result<(), Misfit> {
    let info = &worker.info;
    if !step.label.is_empty() && !info.labels.contains(&step.label) {
        return Err(Misfit::Label);
    }
    if step.spread > 0 && same_step >= step.spread {
        return Err(Misfit::Spread);
    }
    let amount = committed(step);
    let free = info.capacity.less(worker.committed);
    let reserve = if step.filler {
        reserve_mb(info.capacity, free)
    } else {
        0
    };
    if !amount.fits(free) || amount.memory_mb + reserve > free.memory_mb {
        return Err(Misfit::Room);
    }
    Ok(())
}

/// Cost of one more task of a step without a target on a worker where it fits.
pub(super) fn plain_cost(worker: &Worker, step: &StepSpec, same_step: u32) -> f64 {
    distance(worker, step) + used(worker) + f64::from(same_step) * CROWD_COST
}

/// Cost of one more filler, or task with a target, on a worker where it fits.
///
/// # Errors
///
/// When it should not go there.
pub(super) fn cost(
    worker: &Worker,
    load: &Load,
    wanted: &Wanted<'_>,
    same_step: u32,
    presses: &Presses,
) -> Result<f64, Misfit> {
    let step = wanted.step;
    let capacity = worker.info.capacity.cpu_milli;
    let harm = wanted.harm(presses, load, capacity);
    if !step.filler {
        let shared = apart(load, wanted.image) + f64::from(same_step) * CROWD_COST;
        return Ok(distance(worker, step) + used(worker) * FILL_COST + shared + harm.cost());
    }
    if harm.is_too_much() {
        return Err(Misfit::Harm);
    }
    let idle = idle_milli(worker, load);
    if idle < as_float(step.amount.cpu_milli) * FILLER_FIT {
        return Err(Misfit::Busy);
    }
    let reserved = if load.tails.is_empty() {
        RESERVE_COST * (1.0 - wanted.weight)
    } else {
        0.0
    };
    let idle = idle / as_float(capacity.max(1));
    Ok(distance(worker, step) + reserved + harm.cost() - idle)
}

/// Cost of the way to the data of a step.
fn distance(worker: &Worker, step: &StepSpec) -> f64 {
    if step.rack.is_empty() || step.rack == worker.rack() {
        return 0.0;
    }
    REMOTE_COST
}

/// Part of a worker's processors that is committed.
fn used(worker: &Worker) -> f64 {
    as_float(worker.committed.cpu_milli) / as_float(worker.info.capacity.cpu_milli.max(1))
}

/// Memory that fillers leave for the processors that are not committed, in MB.
fn reserve_mb(capacity: Amount, free: Amount) -> u64 {
    free.cpu_milli * capacity.memory_mb / capacity.cpu_milli.max(1) / RESERVE_DIVISOR
}

/// Cost of a worker for a standing task by the images that serve there: tasks of one
/// image gather, so that a filler which harms it finds workers without it.
fn apart(load: &Load, image: ImageId) -> f64 {
    let is_same = |tail: &&Tail| tail.image == image;
    let same = load.tails.iter().filter(is_same).count();
    let foreign = load.tails.len() - same;
    let open = if same == 0 { OPEN_COST } else { 0.0 };
    #[expect(
        clippy::cast_precision_loss,
        reason = "a worker runs a few dozen tasks"
    )]
    let mixed = foreign as f64 * FOREIGN_COST;
    open + mixed
}

/// What a task of `step` takes of a worker's capacity.
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
