//! Hands free slots to requests.

use std::sync::Arc;
use std::time::Duration;

use rand::RngCore;
use tokio::sync::{mpsc, oneshot};

use crate::domain::{Millis, Monotonic};

use super::freed::Freed;
use super::queue::{Queue, Shed, Ticket};
use crate::gateway::path::Call;
use crate::gateway::path::Shared;
use crate::gateway::path::{Cause, Refusal};
use crate::gateway::route::Choice;

/// Time between two looks at slots that came free by time alone, in milliseconds.
const TICK_MS: Millis = 20;
/// Longest wait that a refused caller is told, in milliseconds.
const LONGEST_RETRY_MS: Millis = 30_000;

/// A request that waits for a slot.
#[derive(Debug)]
pub struct Waiter {
    ticket: Ticket,
    reply: oneshot::Sender<Result<Choice, Refusal>>,
}

/// Gate that every request passes.
#[derive(Debug)]
pub struct Admission {
    waiters: mpsc::Sender<Waiter>,
    freed: Arc<Freed>,
}

impl Admission {
    /// Creates the gate, and the receiver that [`dispatch`] needs.
    pub fn new(most: usize) -> (Self, mpsc::Receiver<Waiter>) {
        let (waiters, receiver) = mpsc::channel(most.max(1));
        let gate = Self {
            waiters,
            freed: Arc::default(),
        };
        (gate, receiver)
    }

    /// Signal of freed slots.
    pub fn freed(&self) -> &Arc<Freed> {
        &self.freed
    }

    /// Gets a slot for `call`, waiting for one if the deadline leaves the time.
    ///
    /// # Errors
    ///
    /// The refusal that the caller gets.
    pub async fn slot(&self, shared: &Shared, call: &Call) -> Result<Choice, Refusal> {
        let now = shared.now();
        let floor_ms = shared.latency.floor_us(&call.kind) / 1_000;
        let left = call.deadline.since(now);
        if left <= floor_ms {
            let reason = format!("{left} ms are left, an answer takes {floor_ms} ms or more");
            return Err(Refusal::new(Cause::TooLate, reason));
        }
        // Who arrives later must not overtake those that wait.
        if !self.freed.is_awaited()
            && let Some(choice) = choose(shared, now)
        {
            return Ok(choice);
        }
        if !shared.table.load().has_upstream() {
            let reason = "no upstream is in service";
            return Err(Refusal::new(Cause::NoUpstream, reason));
        }
        let mean_ms = shared.latency.mean_us(&call.kind) / 1_000;
        let ticket = Ticket {
            kind: call.kind.clone(),
            worth: call.worth,
            latest: Monotonic(call.deadline.0.saturating_sub(mean_ms)),
        };
        self.wait(ticket).await
    }

    async fn wait(&self, ticket: Ticket) -> Result<Choice, Refusal> {
        let (reply, answer) = oneshot::channel();
        self.freed.begin();
        if self.waiters.try_send(Waiter { ticket, reply }).is_err() {
            self.freed.end();
            return Err(overloaded(LONGEST_RETRY_MS));
        }
        let stopped = |_| Err(overloaded(LONGEST_RETRY_MS));
        answer.await.unwrap_or_else(stopped)
    }
}

/// Owns the queue of waiting requests until the gateway ends.
pub async fn dispatch(shared: Arc<Shared>, mut waiters: mpsc::Receiver<Waiter>) {
    let most = shared.settings.gateway.concurrency;
    let mut queue = Queue::new(most);
    let mut tick = tokio::time::interval(Duration::from_millis(TICK_MS));
    let freed = Arc::clone(&shared.admission.freed);
    loop {
        tokio::select! {
            waiter = waiters.recv() => {
                let Some(waiter) = waiter else { return };
                let ticket = waiter.ticket.clone();
                if let Some(shed) = queue.push(shared.now(), ticket, waiter) {
                    refuse(&shared, shed);
                }
            }
            () = freed.signalled() => {}
            _ = tick.tick(), if !queue.is_empty() => {}
        }
        hand_out(&shared, &mut queue);
    }
}

fn hand_out(shared: &Shared, queue: &mut Queue<Waiter>) {
    let now = shared.now();
    while let Some(shed) = queue.pop_late(now) {
        refuse(shared, shed);
    }
    while !queue.is_empty() {
        let Some(choice) = choose(shared, now) else {
            return;
        };
        match queue.pop(now) {
            Some(Ok(waiter)) => {
                shared.admission.freed.end();
                // A caller that stopped waiting drops the choice, which frees its slot.
                let _ = waiter.reply.send(Ok(choice));
            }
            Some(Err(shed)) => refuse(shared, shed),
            None => return,
        }
    }
    queue.rest();
}

fn refuse(shared: &Shared, shed: Shed<Waiter>) {
    shared.admission.freed.end();
    let (waiter, refusal) = match shed {
        Shed::Late(waiter, wait) => {
            let reason = "no slot comes free in time for the deadline";
            let refusal = Refusal::new(Cause::TooLate, reason).after(wait);
            (waiter, refusal)
        }
        Shed::Worthless(waiter, wait) => (waiter, overloaded(wait)),
    };
    let _ = waiter.reply.send(Err(refusal));
}

fn choose(shared: &Shared, now: Monotonic) -> Option<Choice> {
    let dice = rand::rng().next_u64();
    shared.table.load().choose(now, dice, &[])
}

fn overloaded(wait_ms: Millis) -> Refusal {
    let reason = "all upstreams are busy";
    Refusal::new(Cause::Overloaded, reason).after(wait_ms.min(LONGEST_RETRY_MS))
}
