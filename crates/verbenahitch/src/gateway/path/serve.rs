//! The way of one admitted request: attempts at upstreams until its outcome is
//! known or the deadline has passed.
//!
//! A request that is not idempotent goes on the wire once, and again only after
//! an attempt that provably did not run. An idempotent one is tried elsewhere
//! when its outcome is unclear or an attempt makes no progress; the first
//! answer wins. The budget bounds all tries after the first.

use std::pin::pin;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use rand::RngCore;

use crate::domain::{Millis, Monotonic};
use crate::event::{Entry, Kind};

use super::answer::{Answer, Cause, Doubt, Refusal};
use super::forward::{self, Limits, Outcome, Outgoing};
use super::report;
use super::shared::Shared;
use crate::gateway::once::{Claim, Ticket};
use crate::gateway::route::{ATTEMPTS, Choice, Slot};

/// An admitted request.
#[derive(Clone, Debug)]
pub struct Call {
    /// Name of its kind.
    pub kind: String,
    /// Name of its profile.
    pub profile: String,
    /// What its answer is worth.
    pub worth: u32,
    /// Time without progress after which a connection is given up.
    pub patience_ms: Millis,
    /// Whether running it twice has the effect of running it once.
    pub idempotent: bool,
    /// Idempotency key that the caller gave.
    pub key: Option<String>,
    /// When its answer is due.
    pub deadline: Monotonic,
    /// What upstreams get.
    pub outgoing: Outgoing,
}

/// What became of a request.
#[derive(Debug)]
pub enum End {
    /// It ran and this is its whole answer.
    Answered(Answer),
    /// It has not run.
    Refused(Refusal),
    /// It may have run.
    Unknown(Doubt, String),
}

/// Why a request is tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Retry {
    /// An upstream refused it for lack of a slot. This says that others may
    /// have one for as long as answers come, and each answer pays for a retry.
    Refused,
    /// A connection failed or made no progress.
    Failed,
}

/// Attempts of one request.
struct Attempts<'a> {
    shared: &'a Shared,
    call: &'a Call,
    tried: [u32; ATTEMPTS],
    count: usize,
}

/// Carries `call` to upstreams until its outcome is known.
pub async fn serve(shared: &Shared, call: &Call) -> End {
    let choice = match shared.admission.slot(shared, call).await {
        Ok(choice) => choice,
        Err(refusal) => return End::Refused(refusal),
    };
    let ticket = match claim(shared, call).await {
        Ok(ticket) => ticket,
        Err(end) => return end,
    };
    let end = match call.deadline.since(shared.now()) {
        0 => late("the deadline passed before the request could be sent"),
        _ => race(shared, call, choice).await,
    };
    if let (Some(ticket), End::Refused(_)) = (ticket, &end) {
        shared.once.release(ticket).await;
    }
    end
}

/// Claims the idempotency key of a request that must not run twice.
async fn claim(shared: &Shared, call: &Call) -> Result<Option<Ticket>, End> {
    let Some(key) = call.key.as_ref().filter(|_| !call.idempotent) else {
        return Ok(None);
    };
    let remaining = Duration::from_millis(call.deadline.since(shared.now()));
    let claim = shared.once.claim(&call.kind, key, shared.fresh_id());
    match tokio::time::timeout(remaining, claim).await {
        Ok(Claim::Granted(ticket)) => Ok(Some(ticket)),
        Ok(Claim::AlreadySent) => Err(End::Unknown(
            Doubt::AlreadySent,
            "a request with this idempotency key was sent before".to_owned(),
        )),
        Ok(Claim::Failed(reason)) => Err(End::Refused(Refusal::new(Cause::StoreDown, reason))),
        Err(_) => {
            let reason = "the idempotency key was not recorded before the deadline";
            Err(End::Refused(Refusal::new(Cause::StoreDown, reason)))
        }
    }
}

async fn race(shared: &Shared, call: &Call, first: Choice) -> End {
    let hedge_ms = call.patience_ms.min(call.deadline.since(shared.now()) / 2);
    let mut attempts = Attempts {
        shared,
        call,
        tried: [0; ATTEMPTS],
        count: 0,
    };
    let mut running = FuturesUnordered::new();
    shared.failures.earn();
    running.push(attempts.start(first));
    let mut hedge = pin!(tokio::time::sleep(Duration::from_millis(hedge_ms)));
    let mut hedged = !call.idempotent;
    let mut doubt = None;
    loop {
        let outcome = tokio::select! {
            Some(outcome) = running.next() => outcome,
            () = &mut hedge, if !hedged => {
                hedged = true;
                running.extend(attempts.next(Retry::Failed).map(|choice| attempts.start(choice)));
                continue;
            }
        };
        let cause = match outcome {
            Outcome::Refused => Retry::Refused,
            _ => Retry::Failed,
        };
        match outcome {
            Outcome::Answered(answer) => return End::Answered(answer),
            Outcome::Unknown(kind, reason) if !call.idempotent => {
                return End::Unknown(kind, reason);
            }
            Outcome::Unknown(kind, reason) => doubt = Some((kind, reason)),
            Outcome::Refused | Outcome::NotSent(_) => {}
        }
        running.extend(attempts.next(cause).map(|choice| attempts.start(choice)));
        if running.is_empty() {
            return failed(doubt);
        }
    }
}

/// Outcome after the last attempt; an attempt that may have run outweighs refusals.
fn failed(doubt: Option<(Doubt, String)>) -> End {
    match doubt {
        Some((doubt, reason)) => End::Unknown(doubt, reason),
        None => End::Refused(Refusal::new(
            Cause::NoUpstream,
            "the upstreams that were tried did not take the request",
        )),
    }
}

fn late(reason: &str) -> End {
    End::Refused(Refusal::new(Cause::TooLate, reason))
}

impl<'a> Attempts<'a> {
    /// Chooses where to try next, if attempts, budget and deadline allow it.
    ///
    /// An upstream that has refused is not asked again; one whose connection
    /// failed may answer on a fresh one if there is no other.
    fn next(&self, cause: Retry) -> Option<Choice> {
        let now = self.shared.now();
        if self.count >= ATTEMPTS || self.call.deadline <= now {
            return None;
        }
        let dice = rand::rng().next_u64();
        let table = self.shared.table.load();
        let other = table.choose(now, dice, &self.tried[..self.count]);
        let choice = other.or_else(|| {
            table
                .choose(now, dice, &[])
                .filter(|_| cause == Retry::Failed)
        })?;
        let budget = match cause {
            Retry::Failed => &self.shared.failures,
            Retry::Refused => &self.shared.refusals,
        };
        budget.spend().then_some(choice)
    }

    fn start(&mut self, choice: Choice) -> impl Future<Output = Outcome> + use<'a> {
        report::chosen(self.call, self.count, &choice);
        self.tried[self.count] = choice.slot.upstream().id;
        self.count += 1;
        attempt(self.shared, self.call, choice.slot)
    }
}

async fn attempt(shared: &Shared, call: &Call, slot: Slot) -> Outcome {
    let upstream = slot.upstream();
    let client = upstream.client();
    let limits = Limits {
        size: shared.settings.gateway.answer_limit,
        silence: Duration::from_millis(shared.settings.gateway.silence_ms),
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
    let report = tokio::select! {
        report = &mut send => report,
        () = tokio::time::sleep(Duration::from_millis(call.patience_ms)) => {
            suspect(shared, &slot, &client, "no progress");
            send.await
        }
    };
    if report.leaving && upstream.leave() {
        Entry::new(Kind::UpstreamLeaving)
            .with("upstream", &upstream.name)
            .with("source", "upstream")
            .emit();
    }
    match &report.outcome {
        Outcome::Answered(_) => {
            shared.refusals.earn();
            shared.latency.observe(&call.kind, started.elapsed());
            upstream.limit.taken(upstream.in_flight());
            if upstream.health.succeeded() {
                report::returned(upstream);
            }
        }
        Outcome::Refused => upstream.limit.refused(),
        Outcome::NotSent(reason) => count_failure(shared, &slot, reason),
        // A deadline that a caller set short says nothing of the connection.
        Outcome::Unknown(Doubt::Deadline, _) => {}
        Outcome::Unknown(_, reason) => suspect(shared, &slot, &client, reason),
    }
    report.outcome
}

/// Gives up the connections of `client`, and counts one failure for all requests on them.
fn suspect(shared: &Shared, slot: &Slot, client: &std::sync::Arc<reqwest::Client>, reason: &str) {
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
