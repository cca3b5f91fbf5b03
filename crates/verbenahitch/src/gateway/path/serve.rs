//! Attempts of one request at upstreams, until its outcome is known or its
//! deadline has passed.
//!
//! A request that is not idempotent is sent once, and again only after an
//! attempt that provably did not run it. An idempotent request is retried, if
//! possible at another upstream, when the outcome of an attempt is unknown or
//! an attempt makes no progress; the first answer is used. The retry budgets
//! limit all attempts after the first.

use std::pin::pin;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use rand::RngCore;

use crate::domain::{Millis, Monotonic};
use crate::event::{Entry, Kind};

use super::answer::{Answer, Cause, Refusal, UnknownCause};
use super::forward::{self, AttemptOutcome, Limits, Outgoing};
use super::report;
use super::shared::Shared;
use crate::gateway::idempotency::{Claim, ClaimResult};
use crate::gateway::route::{Choice, MAX_ATTEMPTS, Slot};

/// A request that passed all checks.
#[derive(Clone, Debug)]
pub struct Call {
    /// Name of its kind.
    pub kind: String,
    /// Name of its profile.
    pub profile: String,
    /// Worth of an answer.
    pub worth: u32,
    /// Time without progress after which a connection is retired, in milliseconds.
    pub stall_ms: Millis,
    /// Whether running it twice has the effect of running it once.
    pub idempotent: bool,
    /// Idempotency key that the caller gave.
    pub key: Option<String>,
    /// Deadline of the answer.
    pub deadline: Monotonic,
    /// Request as it is sent to upstreams.
    pub outgoing: Outgoing,
}

/// Outcome of a request.
#[derive(Debug)]
pub enum RequestOutcome {
    /// It ran; its complete answer.
    Answered(Answer),
    /// It has not run.
    Refused(Refusal),
    /// It may have run.
    Unknown(UnknownCause, String),
}

/// Cause of a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RetryCause {
    /// An upstream refused the request for lack of a slot. While upstreams
    /// answer, others may have a free slot, so answers earn the budget of these
    /// retries.
    Refused,
    /// A connection failed or made no progress.
    Failed,
}

/// Attempts of one request.
struct Attempts<'a> {
    shared: &'a Shared,
    call: &'a Call,
    tried: [u32; MAX_ATTEMPTS],
    count: usize,
}

/// Sends `call` to upstreams until its outcome is known.
pub async fn serve(shared: &Shared, call: &Call) -> RequestOutcome {
    let choice = match shared.admission.acquire(shared, call).await {
        Ok(choice) => choice,
        Err(refusal) => return RequestOutcome::Refused(refusal),
    };
    let claim = match claim_key(shared, call).await {
        Ok(claim) => claim,
        Err(outcome) => return outcome,
    };
    let outcome = match call.deadline.since(shared.now()) {
        0 => too_late("the deadline passed before the request could be sent"),
        _ => run_attempts(shared, call, choice).await,
    };
    if let (Some(claim), RequestOutcome::Refused(_)) = (claim, &outcome) {
        shared.idempotency.release(claim).await;
    }
    outcome
}

/// Claims the idempotency key of a request that must not run twice.
async fn claim_key(shared: &Shared, call: &Call) -> Result<Option<Claim>, RequestOutcome> {
    let Some(key) = call.key.as_ref().filter(|_| !call.idempotent) else {
        return Ok(None);
    };
    let remaining = Duration::from_millis(call.deadline.since(shared.now()));
    let claim = shared.idempotency.claim(&call.kind, key, shared.new_id());
    match tokio::time::timeout(remaining, claim).await {
        Ok(ClaimResult::Granted(claim)) => Ok(Some(claim)),
        Ok(ClaimResult::AlreadySent) => Err(RequestOutcome::Unknown(
            UnknownCause::AlreadySent,
            "a request with this idempotency key was sent before".to_owned(),
        )),
        Ok(ClaimResult::Failed(reason)) => Err(RequestOutcome::Refused(Refusal::new(
            Cause::StoreDown,
            reason,
        ))),
        Err(_) => {
            let reason = "the idempotency key was not recorded before the deadline";
            Err(RequestOutcome::Refused(Refusal::new(
                Cause::StoreDown,
                reason,
            )))
        }
    }
}

async fn run_attempts(shared: &Shared, call: &Call, first: Choice) -> RequestOutcome {
    let hedge_ms = call.stall_ms.min(call.deadline.since(shared.now()) / 2);
    let mut attempts = Attempts {
        shared,
        call,
        tried: [0; MAX_ATTEMPTS],
        count: 0,
    };
    let mut running = FuturesUnordered::new();
    shared.failure_budget.earn();
    running.push(attempts.start(first));
    let mut hedge = pin!(tokio::time::sleep(Duration::from_millis(hedge_ms)));
    let mut hedged = !call.idempotent;
    let mut unknown = None;
    loop {
        let outcome = tokio::select! {
            Some(outcome) = running.next() => outcome,
            () = &mut hedge, if !hedged => {
                hedged = true;
                running.extend(
                    attempts
                        .next(RetryCause::Failed)
                        .map(|choice| attempts.start(choice)),
                );
                continue;
            }
        };
        let retry = match outcome {
            AttemptOutcome::Refused => RetryCause::Refused,
            _ => RetryCause::Failed,
        };
        match outcome {
            AttemptOutcome::Answered(answer) => return RequestOutcome::Answered(answer),
            AttemptOutcome::Unknown(cause, reason) if !call.idempotent => {
                return RequestOutcome::Unknown(cause, reason);
            }
            AttemptOutcome::Unknown(cause, reason) => unknown = Some((cause, reason)),
            AttemptOutcome::Refused | AttemptOutcome::NotSent(_) => {}
        }
        running.extend(attempts.next(retry).map(|choice| attempts.start(choice)));
        if running.is_empty() {
            return exhausted(unknown);
        }
    }
}

/// Outcome after the last attempt; unknown if any attempt may have run the request.
fn exhausted(unknown: Option<(UnknownCause, String)>) -> RequestOutcome {
    match unknown {
        Some((cause, reason)) => RequestOutcome::Unknown(cause, reason),
        None => RequestOutcome::Refused(Refusal::new(
            Cause::NoUpstream,
            "the upstreams that were tried did not take the request",
        )),
    }
}

fn too_late(reason: &str) -> RequestOutcome {
    RequestOutcome::Refused(Refusal::new(Cause::TooLate, reason))
}

impl<'a> Attempts<'a> {
    /// Chooses the upstream of the next attempt, if attempts, budget and deadline allow one.
    ///
    /// An upstream that refused the request is not tried again; one whose
    /// connection failed is tried again on a new connection if there is no other.
    fn next(&self, cause: RetryCause) -> Option<Choice> {
        let now = self.shared.now();
        if self.count >= MAX_ATTEMPTS || self.call.deadline <= now {
            return None;
        }
        let random = rand::rng().next_u64();
        let table = self.shared.table.load();
        let other = table.choose(now, random, &self.tried[..self.count]);
        let choice = other.or_else(|| {
            table
                .choose(now, random, &[])
                .filter(|_| cause == RetryCause::Failed)
        })?;
        let budget = match cause {
            RetryCause::Failed => &self.shared.failure_budget,
            RetryCause::Refused => &self.shared.refusal_budget,
        };
        budget.spend().then_some(choice)
    }

    fn start(&mut self, choice: Choice) -> impl Future<Output = AttemptOutcome> + use<'a> {
        report::chosen(self.call, self.count, &choice);
        self.tried[self.count] = choice.slot.upstream().id;
        self.count += 1;
        attempt(self.shared, self.call, choice.slot)
    }
}

async fn attempt(shared: &Shared, call: &Call, slot: Slot) -> AttemptOutcome {
    let upstream = slot.upstream();
    let client = upstream.client();
    let limits = Limits {
        size: shared.settings.gateway.answer_limit,
        idle_timeout: Duration::from_millis(shared.settings.gateway.silence_ms),
    };
    let remaining = call.deadline.since(shared.now());
    let started = std::time::Instant::now();
    let send = forward::send(
        &client,
        &upstream.address,
        &call.outgoing,
        remaining,
        limits,
    );
    let mut send = pin!(send);
    let result = tokio::select! {
        result = &mut send => result,
        () = tokio::time::sleep(Duration::from_millis(call.stall_ms)) => {
            retire_connections(shared, &slot, &client, "no progress");
            send.await
        }
    };
    if result.leaving && upstream.note_leaving() {
        Entry::new(Kind::UpstreamLeaving)
            .with("upstream", &upstream.name)
            .with("source", "upstream")
            .emit();
    }
    match &result.outcome {
        AttemptOutcome::Answered(_) => {
            shared.refusal_budget.earn();
            shared.latency.observe(&call.kind, started.elapsed());
            upstream.limit.accepted(upstream.in_flight());
            if upstream.health.succeeded() {
                report::returned(upstream);
            }
        }
        AttemptOutcome::Refused => upstream.limit.refused(),
        AttemptOutcome::NotSent(reason) => count_failure(shared, &slot, reason),
        // A deadline that the caller set too short does not indicate a faulty connection.
        AttemptOutcome::Unknown(UnknownCause::Deadline, _) => {}
        AttemptOutcome::Unknown(_, reason) => retire_connections(shared, &slot, &client, reason),
    }
    result.outcome
}

/// Retires the connections of `client`, and counts one failure for all requests on them.
fn retire_connections(
    shared: &Shared,
    slot: &Slot,
    client: &std::sync::Arc<reqwest::Client>,
    reason: &str,
) {
    let upstream = slot.upstream();
    if upstream.retire(client) {
        Entry::new(Kind::ConnectionRetired)
            .with("upstream", &upstream.name)
            .with("reason", reason)
            .emit();
        count_failure(shared, slot, reason);
    }
}

fn count_failure(shared: &Shared, slot: &Slot, reason: &str) {
    let upstream = slot.upstream();
    let permitted = shared.table.load().may_eject();
    if upstream.health.failed(shared.now(), permitted) {
        Entry::new(Kind::UpstreamEjected)
            .with("upstream", &upstream.name)
            .with("reason", reason)
            .emit();
    }
}
