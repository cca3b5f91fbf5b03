//! Size of the record of a job's progress.
//!
//! Load pattern: a job of many tasks, most of which can run at once. The store takes values of
//! limited size. A task that has run keeps a row in the record until its job ends, and a run adds to
//! it until its worker lists its end. A job whose tasks exceed the largest value by their rows alone
//! is refused at its submission; of others only as many tasks run at once as the rest has room for.

use super::job::JobSpec;
use super::table::Job;
use super::{Dispatcher, JobId, WorkerInfo};

/// Bytes of the row of a task that has run, without the digits of its position. Further digits of
/// the other numbers are counted as they come.
const ROW_BYTES: usize = r#"{"at":[,,],"done":true,"run":9,"failed":9},"#.len();

/// Bytes that a checkpoint adds to the row, which stays while the task waits.
const CHECKPOINT_BYTES: usize = r#""checkpoint":"0123456789abcdef","#.len();

/// Bytes that a run adds to the row, without the name of its worker.
const RUN_BYTES: usize =
    r#""runs":[[9999,"",1700000000000]],"bounded":[9999],"begun":[9999],"#.len();

/// Bytes that a run adds which ended as the leases of its worker lapsed, with what is known of
/// crashes, without the name of its worker.
const LAPSED_BYTES: usize = concat!(
    r#""lapsed":[[9999,"",1700000000000]],"begun":[9999],"#,
    r#""crashes":9,"unexplained":9,"unproven":9,"blamed":[9999],"#,
)
.len();

/// Bytes of the address of a worker, without its name and the address.
const HOME_BYTES: usize = r#"["",1700000000000,""],"#.len();

/// Length of a worker's name that a submission is checked with.
const NAME_BYTES: usize = 64;

/// Number of runs that a job can have at once in any case.
const RUNS_MIN: usize = 64;

fn digits(number: u32) -> usize {
    number.checked_ilog10().map_or(1, |log| log as usize + 1)
}

/// Bytes of the rows of all tasks of a job, without runs.
pub(super) fn rows_bytes(spec: &JobSpec) -> usize {
    let times = spec.repeat.map_or(1, |repeat| repeat.times).max(1);
    let each = (0u32..).zip(&spec.steps).map(|(at, step)| {
        let position = digits(times - 1) + digits(at) + digits(step.count.saturating_sub(1));
        let checkpoint = if step.checkpoints {
            CHECKPOINT_BYTES
        } else {
            0
        };
        let row = ROW_BYTES + position + checkpoint;
        row.saturating_mul(step.count as usize)
    });
    let round = each.fold(0, usize::saturating_add);
    round.saturating_mul(times as usize)
}

/// Whether the record of a job's progress fits into `max_bytes` with few runs at once.
pub fn fits(spec: &JobSpec, max_bytes: usize) -> bool {
    let run_bytes = RUN_BYTES + LAPSED_BYTES + HOME_BYTES + 4 * NAME_BYTES;
    let rows = rows_bytes(spec);
    let runs = RUNS_MIN.min(rows / ROW_BYTES);
    rows.saturating_add(runs * run_bytes) <= max_bytes
}

/// What the record of a job holds beside the rows.
#[derive(Clone, Copy, Debug, Default)]
struct Additions {
    runs: usize,
    /// Runs that lapsed.
    lapsed: usize,
    /// Further digits of the numbers in the rows.
    digits: usize,
}

impl Additions {
    fn of(job: &Job) -> Self {
        let steps = job.rounds.iter().flat_map(|round| &round.steps);
        let tasks = steps.flat_map(|step| step.tasks());
        tasks.fold(Self::default(), |sum, task| Self {
            runs: sum.runs + task.runs.len(),
            lapsed: sum.lapsed + task.lapsed.len(),
            digits: sum.digits + digits(task.last_run) + digits(task.failed) - 2,
        })
    }
}

impl Dispatcher {
    /// Takes note of the length of a worker's name and address.
    pub(super) fn note_names(&mut self, info: &WorkerInfo) {
        let longest = info.name.len().max(info.address.len());
        self.name_bytes = self.name_bytes.max(longest);
    }

    /// Number of tasks of a job that may be started now without a record that is too large.
    pub(super) fn record_room(&self, id: JobId) -> usize {
        let Some(job) = self.jobs.get(&id) else {
            return 0;
        };
        let homes = self.workers.len() * (HOME_BYTES + 2 * self.name_bytes);
        let (run, lapsed) = (RUN_BYTES + self.name_bytes, LAPSED_BYTES + self.name_bytes);
        let rest = self.bounds.record_max.saturating_sub(job.rows_bytes);
        let rest = rest.saturating_sub(homes);
        let tasks = job.rows_bytes / ROW_BYTES;
        if tasks.saturating_mul(run + lapsed) <= rest {
            return usize::MAX;
        }
        let held = Additions::of(job);
        let taken = held.runs * run + held.lapsed * lapsed + held.digits;
        let free = rest.saturating_sub(taken);
        (free / run).max(RUNS_MIN.saturating_sub(held.runs))
    }
}
