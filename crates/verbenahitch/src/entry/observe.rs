//! Metrics of an entry host.

use std::time::Duration;

use metrics::{counter, gauge, histogram};

use super::accounts::Denial;
use super::admission::Refusal;
use crate::dispatch::{AccountStatus, Digest, Hindsight, StepCounts};
use crate::domain::Millis;

/// Records a final answer to a caller and its duration.
pub fn record_answer(method: &str, status: u16, took: Duration) {
    let labels = [
        ("method", method.to_owned()),
        ("status", status.to_string()),
    ];
    counter!("verbenahitch_answers_total", &labels).increment(1);
    histogram!("verbenahitch_answer_seconds", "method" => method.to_owned())
        .record(took.as_secs_f64());
}

/// Records a call that was refused for its key.
pub(super) fn record_denial(denial: &Denial) {
    let account = match denial {
        Denial::Withdrawn(name) => name.to_string(),
        Denial::NoKey | Denial::Unknown | Denial::Outdated => String::new(),
    };
    let labels = [("cause", denial.name().to_owned()), ("account", account)];
    counter!("verbenahitch_keys_refused_total", &labels).increment(1);
}

/// Sets the age of the declarations in force; infinite before the first confirmation.
pub(super) fn set_declaration_age(age: Option<Millis>) {
    #[expect(clippy::cast_precision_loss, reason = "far below 2^52 milliseconds")]
    let seconds = age.map_or(f64::INFINITY, |age| age as f64 / 1_000.0);
    gauge!("verbenahitch_declaration_age_seconds").set(seconds);
}

/// Records a call to a worker that the dispatcher ordered, and its duration.
pub(super) fn record_order(kind: &'static str, is_ok: bool, took: Duration) {
    let outcome = if is_ok { "done" } else { "failed" };
    counter!("verbenahitch_orders_total", "kind" => kind, "outcome" => outcome).increment(1);
    histogram!("verbenahitch_order_seconds", "kind" => kind).record(took.as_secs_f64());
}

/// Records an attempt of the owner to commit, and the time since its first attempt.
pub(super) fn record_commit(is_ok: bool, took: Duration) {
    let outcome = if is_ok { "stored" } else { "failed" };
    counter!("verbenahitch_owner_commits_total", "outcome" => outcome).increment(1);
    histogram!("verbenahitch_owner_commit_seconds").record(took.as_secs_f64());
    let unstored = if is_ok { Duration::ZERO } else { took };
    gauge!("verbenahitch_owner_commit_unstored_seconds").set(unstored.as_secs_f64());
}

/// Sets the number of records that the store does not take.
pub(super) fn set_held_writes(count: usize) {
    #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
    gauge!("verbenahitch_owner_writes_held").set(count as f64);
}

/// Sets the metrics of the owner: workers that may be given tasks, active runs, the runs
/// that workers have listed without an assignment since the last call, and the waiting
/// steps.
pub(super) fn set_owner_metrics(
    workers: usize,
    runs: usize,
    unassigned: u64,
    waiting: &StepCounts,
) {
    #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
    let set = |gauge: metrics::Gauge, count: usize| gauge.set(count as f64);
    set(gauge!("verbenahitch_workers_usable"), workers);
    set(gauge!("verbenahitch_runs"), runs);
    counter!("verbenahitch_unassigned_runs_total").increment(unassigned);
    let set = |class: &'static str, count: usize| {
        set(
            gauge!("verbenahitch_steps_waiting", "class" => class),
            count,
        );
    };
    set("standing", waiting.standing);
    set("in-time", waiting.in_time);
    set("deferred", waiting.deferred);
    set("late", waiting.late);
    set("no-value", waiting.no_value);
    set_skipped(waiting);
}

/// Sets the metrics of waiting steps that the last assignment did not try.
fn set_skipped(waiting: &StepCounts) {
    #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
    gauge!("verbenahitch_steps_skipped").set(waiting.skipped as f64);
    let untried = Duration::from_millis(waiting.untried_ms).as_secs_f64();
    gauge!("verbenahitch_steps_untried_seconds").set(untried);
}

/// Sets the metrics of client accounts.
pub(super) fn set_account_metrics(accounts: &[AccountStatus]) {
    for account in accounts {
        let label = [("account", account.name.clone())];
        gauge!("verbenahitch_account_share", &label).set(account.share);
        gauge!("verbenahitch_account_entitled_share", &label).set(account.entitled);
        gauge!("verbenahitch_account_cap_used", &label).set(account.cap_used);
        gauge!("verbenahitch_account_waiting_steps", &label).set(f64::from(account.waiting));
    }
}

/// Records a refused job and the age of the digest that decided.
pub(super) fn record_refusal(refusal: &Refusal) {
    counter!("verbenahitch_jobs_refused_total", "cause" => refusal.cause.name()).increment(1);
    histogram!("verbenahitch_digest_age_seconds")
        .record(Duration::from_millis(refusal.age_ms).as_secs_f64());
}

/// Records what came of a cancel.
pub(super) fn record_cancel(outcome: &'static str) {
    counter!("verbenahitch_cancels_total", "outcome" => outcome).increment(1);
}

/// Records a job that is refused whatever the owner forecasts.
pub(super) fn record_rejection(cause: &'static str) {
    counter!("verbenahitch_jobs_refused_total", "cause" => cause).increment(1);
}

/// Records a job that is accepted though the forecast speaks against it.
pub(super) fn record_unenforced(refusal: &Refusal) {
    counter!("verbenahitch_jobs_without_prospect_total", "cause" => refusal.cause.name())
        .increment(1);
}

/// Sets the expected waits of queues in which work waits, and the number of these queues.
pub(super) fn set_forecasts(digest: &Digest) {
    let longest = digest.queues.iter().map(|row| row.wait_ms).max();
    let longest = Duration::from_millis(longest.unwrap_or(0)).as_secs_f64();
    gauge!("verbenahitch_forecast_wait_seconds").set(longest);
    #[expect(clippy::cast_precision_loss, reason = "a few queues")]
    gauge!("verbenahitch_forecast_queues").set(digest.queues.len() as f64);
}

/// Records how far forecasts were from the ends of their jobs.
pub(super) fn record_hindsight(hindsight: Hindsight) {
    counter!("verbenahitch_forecasts_total").increment(hindsight.jobs);
    counter!("verbenahitch_forecast_error_milliseconds_total").increment(hindsight.error_ms);
}
