//! Crashes of workers under tasks: which tasks are suspected, and when one is given up.
//!
//! Load pattern: some tasks crash each worker that starts them, with all that runs there; the worker
//! is back after some seconds. Beside them workers are lost for other reasons, one by one, in
//! series, by turns or by the rack, and the tasks on them are sound. The crash of a worker tells only
//! that one of its young runs may be at fault, if any.
//!
//! * *Evidence* of a crash: the worker answers as another incarnation, or another worker answers at
//!   its address. Silence is none: a worker that is paused or cut off neither answers nor keeps its
//!   entry in the registry, and lives. Its runs that lapsed stay open until one of these answers.
//!   A worker that drained before has left and not crashed.
//! * *Runs that count*: those that may have begun on the incarnation that crashed and that no list
//!   has shown [`SETTLED_MS`] after the start, each once. A run whose start was never ordered, or
//!   refused, tells nothing of its task. A run that has settled or is done acquits its task.
//! * *Runs of an earlier owner*: recorded before their start is ordered. A later write marks those
//!   that may have begun, at the latest when their worker ceases to answer; crashes under others are
//!   *unproven*, and a task is given up only with [`PROVEN_CRASHES`] that are not.
//! * *Unexplained* crashes: those in a fleet that lost next to no other workers at the time, see
//!   [`loss`].
//! * *Suspects*: tasks with an unexplained crash, or with [`WAIT_CRASHES`] of any kind. They are
//!   tried apart, see [`trial`]. So are tasks of which a run is open whose worker has vanished, if no
//!   wider loss explains that; the suspicion ends if the worker answers.
//! * *Waiting*: from crash number [`WAIT_CRASHES`] on, runs that lapsed included, a task starts again
//!   only once losses have ceased, or after a wait that doubles with each crash.
//! * *Giving up*: at unexplained crash number [`GIVEN_UP_UNEXPLAINED`], or at crash number
//!   [`GIVEN_UP_CRASHES`], without an acquittal in between.
//!
//! Both counts are part of the job's record. The write that removes the run holds them, so that a
//! successor counts each crash once, and the next start waits for that write.

mod loss;
mod trial;

use std::sync::Arc;

use super::report::{EndCause, Evidence, GivenUp, Report};
use super::table::Task;
use super::worker::{Listing, Run, WorkerKey};
use super::{Dispatcher, Entry, JobId, Kind, Millis, Monotonic, RunKey, TaskId};

pub(super) use loss::Losses;
pub(super) use trial::Trials;

/// Number of unexplained crashes under a task at which it is given up. A sound task meets each with
/// a probability of 1 in 50 at the most in a fleet of 32 or more workers, see [`loss`].
const GIVEN_UP_UNEXPLAINED: u32 = 4;

/// Number of crashes under a task at which it is given up, whatever else was lost. The users' rule
/// is broken by the third start after the third crash.
const GIVEN_UP_CRASHES: u32 = 5;

/// Number of crashes under runs known to have been ordered below which no task is given up. The
/// users' rules allow a job to be failed once two workers have crashed under one of its tasks.
const PROVEN_CRASHES: u32 = 2;

/// Number of crashes from which on a task waits until losses have ceased.
const WAIT_CRASHES: u32 = 3;

/// Longest wait after crash number [`WAIT_CRASHES`], in milliseconds. A fleet may lose workers for
/// hours.
const WAIT_MS: Millis = 10_000;

/// As [`WAIT_MS`], while it is not known of runs whether their workers have crashed. Nothing else
/// bounds a deadly task whose workers never return; a sound one of five silent workers still starts
/// again within a minute.
const OPEN_WAIT_MS: Millis = 13_000;

/// Number of times that these waits double at most. Workers that are cut off may not be heard for
/// hours, those that are lost for good never: their tasks start every 208 s at last.
const MAX_DOUBLINGS: u32 = 4;

/// Time after its start for which lists have to show a run until it is no suspect, in
/// milliseconds. Deadly tasks crash their workers at the start; the longer this is, the more sound
/// tasks are suspected. Lists come every 0.7 s at the latest.
const SETTLED_MS: Millis = 500;

/// Number of runs of a task that are remembered as counted: those of which a start may still be
/// carried out late.
const MAX_BLAMED: usize = 8;

/// Run that ended as the leases of its worker lapsed; whether the worker has crashed is not known.
#[derive(Clone, Debug)]
pub(super) struct LapsedRun {
    pub number: u32,
    pub worker: WorkerKey,
    pub incarnation: u64,
    /// Address at which that incarnation took calls, empty if unknown.
    pub home: Arc<str>,
    /// Whether its start is known to have been ordered.
    pub is_ordered: bool,
    /// Whether the worker has vanished from the registry too, and no wider loss explains that.
    pub is_unexplained: bool,
}

/// What shows that a worker has crashed under a run.
#[derive(Clone, Copy, Debug)]
struct Proof {
    evidence: Evidence,
    /// Whether it came after the leases had lapsed.
    is_late: bool,
}

/// What is known of a worker under a lapsed run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    Crashed,
    /// The incarnation runs on, or is not known to be another one.
    Cleared,
    Open,
}

impl LapsedRun {
    fn of(run: &Run) -> Self {
        Self {
            number: run.number,
            worker: run.worker,
            incarnation: run.incarnation,
            home: Arc::clone(&run.home),
            is_ordered: run.begin().is_ordered(),
            is_unexplained: false,
        }
    }
}

/// Whether lists have shown a run for long enough after its start. An order may be carried out
/// late, so that the time counts from its confirmation.
fn is_settled(run: &Run) -> bool {
    if run.has_settled {
        return true;
    }
    let begin = run.confirmed_at.unwrap_or(run.seen_at);
    run.seen_at.since(begin) >= SETTLED_MS
}

/// Whether a task is a suspect after a number of crashes.
pub(super) fn is_suspect(crashes: u32, unexplained: u32) -> bool {
    unexplained > 0 || crashes >= WAIT_CRASHES
}

/// Longest wait of a task until it starts again after a number of crashes, in milliseconds;
/// `first_ms` after the first ones that make it wait.
fn longest_wait_ms(first_ms: Millis, crashes: u32) -> Millis {
    match crashes.checked_sub(WAIT_CRASHES) {
        None => 0,
        Some(more) => first_ms << more.min(MAX_DOUBLINGS),
    }
}

impl Dispatcher {
    /// Cause of the end of a run, by what it rests on.
    pub(super) fn end_cause(&self, run: &Run, cause: EndCause, evidence: Evidence) -> EndCause {
        let by_worker = match evidence {
            Evidence::Restart | Evidence::Replaced => true,
            Evidence::Listed
            | Evidence::Missing
            | Evidence::Lapse
            | Evidence::Refusal
            | Evidence::NotOrdered => run.is_crashed,
        };
        let is_unexplained = match cause {
            EndCause::Stopped | EndCause::Lapsed | EndCause::Crashed => true,
            EndCause::Done | EndCause::Failed | EndCause::Broken | EndCause::Alone => false,
        };
        let may_have_begun = run.begin().is_possible();
        let has_drained = self.workers[run.worker].has_drained;
        if by_worker && is_unexplained && may_have_begun && !has_drained {
            EndCause::Crashed
        } else {
            cause
        }
    }

    /// Draws the conclusions from the end of a run for its task.
    pub(super) fn judge_end(
        &mut self,
        run: &Run,
        cause: EndCause,
        evidence: Evidence,
        now: Monotonic,
    ) {
        match cause {
            EndCause::Crashed if !is_settled(run) => {
                let proof = Proof {
                    evidence,
                    is_late: false,
                };
                self.count_crash(run.task, LapsedRun::of(run), proof, now);
            }
            EndCause::Lapsed
                if evidence == Evidence::Lapse
                    && !is_settled(run)
                    && !self.workers[run.worker].has_drained
                    && run.begin().is_possible() =>
            {
                self.add_lapsed(run.task, LapsedRun::of(run), now);
            }
            EndCause::Done => self.acquit(run.task),
            EndCause::Crashed
            | EndCause::Lapsed
            | EndCause::Failed
            | EndCause::Stopped
            | EndCause::Broken
            | EndCause::Alone => {}
        }
    }

    /// Counts a crash of a worker under a run of a task, and gives the task up if it is one too many.
    fn count_crash(&mut self, task: TaskId, run: LapsedRun, proof: Proof, now: Monotonic) {
        let job = self.jobs.get(&task.job);
        if job.is_none_or(|job| job.state.is_final()) {
            return;
        }
        let (number, worker) = (run.number, run.worker);
        let seen = &self.workers[worker];
        let (name, lost_at, incarnation) =
            (seen.info.name.clone(), seen.lost_at, seen.incarnation());
        let (is_listed, answered_at) = (seen.listing == Listing::Listed, seen.answered_at);
        // A life that ended after the leases had lapsed may have ended for another reason.
        let is_timely = !proof.is_late;
        let is_unexplained = is_timely && lost_at.is_some_and(|at| self.is_calm(at, task.job));
        let Some(state) = self.task_mut(task).filter(|state| !state.done) else {
            return;
        };
        // A start that the next incarnation may carry out late can be lost with that one too.
        if state.blamed.contains(&number) {
            return;
        }
        if state.blamed.len() >= MAX_BLAMED {
            state.blamed.remove(0);
        }
        state.blamed.push(number);
        state.crashes += 1;
        state.unexplained += u32::from(is_unexplained);
        state.unproven += u32::from(!run.is_ordered);
        state.crashed_at = Some(now);
        // Its next start elsewhere tells whether the worker is at fault.
        state.avoid = Some(worker);
        let (crashes, unexplained) = (state.crashes, state.unexplained);
        let proven = crashes - state.unproven.min(crashes);
        let is_enough = crashes >= GIVEN_UP_CRASHES || unexplained >= GIVEN_UP_UNEXPLAINED;
        let is_given_up = is_enough && proven >= PROVEN_CRASHES;
        let kind = if is_given_up {
            Kind::TaskGivenUp
        } else {
            Kind::CrashSuspected
        };
        Entry::new(kind)
            .with_text("task", task)
            .with("run", number)
            .with("worker", name)
            .with("evidence", proof.evidence)
            .with("late", proof.is_late)
            .with("run-incarnation", run.incarnation)
            .with("incarnation", incarnation)
            .with("listed", is_listed)
            .with("answer-age-ms", answered_at.map(|at| now.since(at)))
            .with("crashes", crashes)
            .with("unexplained", unexplained)
            .with("proven", proven)
            .with("cause", is_given_up.then_some(GivenUp::Crashes))
            .with("lost-ago-ms", lost_at.map(|at| now.since(at)))
            .with("longest-wait-ms", longest_wait_ms(WAIT_MS, crashes))
            .emit();
        if is_suspect(crashes, unexplained) {
            self.suspect(task, now);
        }
        if is_given_up {
            self.fail_job(task.job, now);
        }
        self.mark_dirty(task.job);
    }

    /// Records that a worker has ceased to answer, or has restarted.
    pub(super) fn note_loss(&mut self, key: WorkerKey, now: Monotonic) {
        let worker = &self.workers[key];
        let before = worker.lost_at;
        let runs = worker.runs.iter().map(|run| &self.runs[*run]);
        let young = runs.filter(|run| !is_settled(run));
        let is_unmarked = |run: &&Run| !run.is_marked && run.begin().is_ordered();
        let unmarked: Vec<JobId> = young
            .clone()
            .filter(is_unmarked)
            .map(|run| run.task.job)
            .collect();
        let is_on_trial = young
            .clone()
            .any(|run| self.suspects.contains_key(&run.task));
        let mut jobs: Vec<JobId> = young.map(|run| run.task.job).collect();
        jobs.sort_unstable();
        jobs.dedup();
        let is_leaving = worker.has_drained;
        // A worker that does not answer every other poll is one loss.
        let is_again = before.is_some_and(|at| now.since(at) <= loss::WINDOW_MS);
        self.workers[key].lost_at = Some(now);
        if !is_on_trial && !is_leaving && !is_again {
            self.losses.add(now, jobs);
        }
        // Their records tell a successor which runs may have begun.
        for job in unmarked {
            self.mark_dirty(job);
        }
    }

    /// Tells the store that a suspect's start is ordered: its worker may crash at once, and this
    /// owner be lost before it notices.
    pub(super) fn mark_ordered(&mut self, task: TaskId) {
        let is_counted = |state: &Task| is_suspect(state.crashes, state.unexplained);
        if self.task(task).is_some_and(is_counted) {
            self.mark_dirty(task.job);
        }
    }

    /// Whether next to no workers were lost around a moment but those with young runs of the job.
    fn is_calm(&self, around: Monotonic, job: JobId) -> bool {
        self.losses.is_calm(around, job, self.listed_count)
    }

    /// Whether a task under which workers have crashed waits: until losses have ceased, and until it
    /// is known of runs that lapsed whether their workers have crashed. A standing task waits for
    /// the latter from the next loss on only: it serves users, and has been away for a lease already.
    pub(super) fn must_wait(
        &self,
        task: &Task,
        job: JobId,
        is_standing: bool,
        now: Monotonic,
    ) -> bool {
        let crashes = task.crashes + u32::try_from(task.lapsed.len()).unwrap_or(u32::MAX);
        let Some(at) = task.crashed_at.filter(|_| crashes >= WAIT_CRASHES) else {
            return false;
        };
        let is_first = is_standing && crashes == WAIT_CRASHES;
        let is_open = !task.lapsed.is_empty() && !is_first;
        // What was lost before is not known to a new owner.
        let is_known = !is_open && now.since(self.began_at) > loss::WINDOW_MS;
        let is_calm = is_known && self.is_calm(now, job);
        let first_ms = if is_open { OPEN_WAIT_MS } else { WAIT_MS };
        // Beside that many crashes an open run most likely is one more.
        let is_likely = is_open && task.crashes >= WAIT_CRASHES;
        let wait_ms = longest_wait_ms(first_ms, crashes + u32::from(is_likely));
        !is_calm && now.since(at) < wait_ms
    }

    /// Makes a task a suspect.
    pub(super) fn suspect(&mut self, task: TaskId, now: Monotonic) {
        let is_open = self
            .jobs
            .get(&task.job)
            .is_some_and(|job| !job.state.is_final());
        if is_open && self.task_mut(task).is_some_and(|state| !state.done) {
            self.suspects.insert(task, now);
        }
    }

    /// Ends the suspicion of a task of which a run is done or has settled.
    fn acquit(&mut self, task: TaskId) {
        self.assign_needed |= self.suspects.remove(&task).is_some();
        let is_counted = |state: &Task| state.crashes > 0 || !state.lapsed.is_empty();
        if !self.task(task).is_some_and(is_counted) {
            return;
        }
        if let Some(state) = self.task_mut(task) {
            (state.crashes, state.unexplained, state.unproven) = (0, 0, 0);
            state.lapsed.clear();
        }
        self.mark_dirty(task.job);
    }

    /// Acquits the task of a run that a list has shown. The store is told of standing tasks, once all
    /// runs of their job have settled; a write that happens anyway tells it of others.
    pub(super) fn judge_listed(&mut self, key: RunKey) {
        let run = &mut self.runs[key];
        if !is_settled(run) {
            return;
        }
        let is_newly = !std::mem::replace(&mut run.has_settled, true);
        let (task, is_wanted) = (run.task, !run.stop_wanted);
        let is_recorded = is_newly && run.standing;
        if is_wanted {
            self.acquit(task);
        }
        if is_recorded && self.all_runs(task.job, |run| run.has_settled) {
            self.mark_dirty(task.job);
        }
    }

    /// Blames the crash of an earlier incarnation on its runs of which a start got no answer.
    pub(super) fn blame_unanswered(&mut self, key: WorkerKey, report: &Report, now: Monotonic) {
        let runs: Vec<RunKey> = self.workers[key].runs.iter().copied().collect();
        for at in runs {
            let run = &mut self.runs[at];
            let is_listed = report
                .running
                .iter()
                .map(|entry| (entry.task, entry.run))
                .chain(report.ended.iter().map(|entry| (entry.task, entry.run)))
                .any(|listed| listed == (run.task, run.number));
            if !run.unanswered || run.in_flight || run.confirmed_at.is_some() || is_listed {
                continue;
            }
            run.stopped_at = None;
            run.retry_at = now;
            self.blame_start(at);
        }
    }

    /// Blames a crash of its worker on a run of which a start got no answer. The start may still
    /// be carried out by the next incarnation; it is stopped there before the task starts again.
    pub(super) fn blame_start(&mut self, key: RunKey) {
        self.runs[key].is_crashed = true;
        self.stop_run(key);
    }

    /// Records that a run ended as the leases of its worker lapsed.
    pub(super) fn add_lapsed(&mut self, task: TaskId, run: LapsedRun, now: Monotonic) {
        let is_open = self
            .jobs
            .get(&task.job)
            .is_some_and(|job| !job.state.is_final());
        let Some(state) = self.task_mut(task).filter(|state| is_open && !state.done) else {
            return;
        };
        let worker = run.worker;
        state.lapsed.push(run);
        state.crashed_at = Some(now);
        state.avoid = Some(worker);
        self.workers[worker].lapsed_tasks.push(task);
    }

    /// Whether it is still to be found out if a worker has crashed under runs that lapsed.
    pub(super) fn has_open_lapses(&mut self, key: WorkerKey) -> bool {
        while let Some(task) = self.workers[key].lapsed_tasks.last() {
            let job = self.jobs.get(&task.job);
            let is_final = job.is_none_or(|job| job.state.is_final());
            let lapsed = self.task(*task).map(|state| &state.lapsed);
            let mut lapsed = lapsed.into_iter().flatten();
            if !is_final && lapsed.any(|run| run.worker == key) {
                return true;
            }
            self.workers[key].lapsed_tasks.pop();
        }
        false
    }

    /// Suspects the tasks of open runs on a worker that neither answers nor is listed, unless a
    /// wider loss explains it.
    pub(super) fn suspect_vanished(&mut self, key: WorkerKey, now: Monotonic) {
        let worker = &mut self.workers[key];
        if std::mem::replace(&mut worker.has_vanished, true) {
            return;
        }
        let Some(lost_at) = worker.lost_at else {
            return;
        };
        for task in worker.lapsed_tasks.clone() {
            if !self.is_calm(lost_at, task.job) {
                continue;
            }
            let Some(state) = self.task_mut(task) else {
                continue;
            };
            let lapsed = state.lapsed.iter_mut();
            for run in lapsed.filter(|run| run.worker == key) {
                run.is_unexplained = true;
            }
            self.suspect(task, now);
        }
    }

    /// Ends the suspicion of a task that nothing is left of.
    fn clear_suspicion(&mut self, task: TaskId) {
        let is_left = |state: &Task| is_suspect(state.crashes, state.unexplained_losses());
        if !self.task(task).is_some_and(is_left) {
            self.assign_needed |= self.suspects.remove(&task).is_some();
        }
    }

    /// Judges the runs that had lapsed on a worker before it answered: an incarnation that runs on
    /// has not crashed under them.
    pub(super) fn judge_lapsed(&mut self, key: WorkerKey, incarnation: u64, now: Monotonic) {
        self.workers[key].has_vanished = false;
        self.close_lapsed(key, Evidence::Restart, now, |run| {
            if run.incarnation != 0 && incarnation != 0 && run.incarnation != incarnation {
                Verdict::Crashed
            } else {
                Verdict::Cleared
            }
        });
    }

    /// Counts the crash of a worker under the runs that had lapsed there, as another one answers at
    /// the address of their incarnation.
    pub(super) fn blame_replaced(&mut self, key: WorkerKey, address: &str, now: Monotonic) {
        self.close_lapsed(key, Evidence::Replaced, now, |run| {
            if run.incarnation != 0 && *run.home == *address {
                Verdict::Crashed
            } else {
                Verdict::Open
            }
        });
    }

    fn close_lapsed(
        &mut self,
        key: WorkerKey,
        evidence: Evidence,
        now: Monotonic,
        judge: impl Fn(&LapsedRun) -> Verdict,
    ) {
        let has_drained = self.workers[key].has_drained;
        let proof = Proof {
            evidence,
            is_late: true,
        };
        let (mut crashed, mut cleared) = (0_u32, 0_u32);
        for task in std::mem::take(&mut self.workers[key].lapsed_tasks) {
            let Some(state) = self.task_mut(task) else {
                continue;
            };
            let mut judged = Vec::new();
            let mut is_open = false;
            state.lapsed.retain(|run| {
                if run.worker != key {
                    return true;
                }
                let verdict = judge(run);
                if verdict == Verdict::Open {
                    is_open = true;
                } else {
                    judged.push((run.clone(), verdict));
                }
                verdict == Verdict::Open
            });
            let worker = &mut self.workers[key];
            if is_open && !worker.lapsed_tasks.contains(&task) {
                worker.lapsed_tasks.push(task);
            }
            if !judged.is_empty() {
                self.mark_dirty(task.job);
            }
            for (run, verdict) in judged {
                if verdict == Verdict::Crashed && !has_drained {
                    crashed += 1;
                    self.count_crash(task, run, proof, now);
                } else {
                    cleared += 1;
                }
            }
            self.clear_suspicion(task);
        }
        if crashed + cleared == 0 {
            return;
        }
        let worker = &self.workers[key];
        Entry::new(Kind::LapseJudged)
            .with("worker", &worker.info.name)
            .with("evidence", (crashed > 0).then_some(evidence))
            .with("crashed", crashed)
            .with("cleared", cleared)
            .with("incarnation", worker.incarnation())
            .with("listed", worker.listing == Listing::Listed)
            .with("lost-ago-ms", worker.lost_at.map(|at| now.since(at)))
            .emit();
    }
}
