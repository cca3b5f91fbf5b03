//! Assigns free slots to requests, and refuses those that cannot get one in time.

use std::sync::Arc;
use std::time::Duration;

use rand::RngCore;
use tokio::sync::{mpsc, oneshot};

use crate::domain::{Millis, Monotonic};

use super::queue::{Queue, QueueKey, Shed};
use super::slot_signal::SlotSignal;
use crate::gateway::path::Call;
use crate::gateway::path::Shared;
use crate::gateway::path::{Cause, Refusal};
use crate::gateway::route::Choice;

/// Interval of checks for late requests and for slots that open without a signal, as after an
/// ejection, in milliseconds.
const TICK_MS: Millis = 20;
/// Longest retry delay given to a refused caller, in milliseconds.
const MAX_RETRY_AFTER_MS: Millis = 30_000;

/// A request that waits for a slot.
#[derive(Debug)]
pub struct Waiter {
    key: QueueKey,
    reply: oneshot::Sender<Result<Choice, Refusal>>,
}

/// Admission control of all callers' requests.
#[derive(Debug)]
pub struct Admission {
    waiters: mpsc::Sender<Waiter>,
    slot_signal: Arc<SlotSignal>,
}

impl Admission {
    /// Creates the control, and the receiver that [`run_queue`] reads.
    pub fn new(capacity: usize) -> (Self, mpsc::Receiver<Waiter>) {
        let (waiters, receiver) = mpsc::channel(capacity.max(1));
        let admission = Self {
            waiters,
            slot_signal: Arc::default(),
        };
        (admission, receiver)
    }

    /// Signal of freed slots.
    pub fn slot_signal(&self) -> &Arc<SlotSignal> {
        &self.slot_signal
    }

    /// Takes a slot for `call`, and waits for one if the deadline allows it.
    ///
    /// # Errors
    ///
    /// The refusal that the caller gets.
    pub async fn acquire(&self, shared: &Shared, call: &Call) -> Result<Choice, Refusal> {
        let now = shared.now();
        let floor_ms = shared.latency.floor_us(&call.kind) / 1_000;
        let left = call.deadline.since(now);
        if left <= floor_ms {
            let reason = format!("{left} ms are left, an answer takes {floor_ms} ms or more");
            return Err(Refusal::new(Cause::TooLate, reason));
        }
        // A new request must not overtake requests that wait.
        if !self.slot_signal.has_waiters()
            && let Some(choice) = choose(shared, now)
        {
            return Ok(choice);
        }
        if !shared.table.load().has_upstream() {
            let reason = "no upstream is in service";
            return Err(Refusal::new(Cause::NoUpstream, reason));
        }
        let mean_ms = shared.latency.mean_us(&call.kind) / 1_000;
        let key = QueueKey {
            kind: call.kind.clone(),
            worth: call.worth,
            latest: Monotonic(call.deadline.0.saturating_sub(mean_ms)),
        };
        self.wait(key).await
    }

    async fn wait(&self, key: QueueKey) -> Result<Choice, Refusal> {
        let (reply, answer) = oneshot::channel();
        self.slot_signal.add_waiter();
        if self.waiters.try_send(Waiter { key, reply }).is_err() {
            self.slot_signal.remove_waiter();
            return Err(overloaded(MAX_RETRY_AFTER_MS));
        }
        let stopped = |_| Err(overloaded(MAX_RETRY_AFTER_MS));
        answer.await.unwrap_or_else(stopped)
    }
}

/// Runs the queue of waiting requests until the senders are dropped.
pub async fn run_queue(shared: Arc<Shared>, mut waiters: mpsc::Receiver<Waiter>) {
    let capacity = shared.settings.gateway.concurrency;
    let mut queue = Queue::new(capacity);
    let mut tick = tokio::time::interval(Duration::from_millis(TICK_MS));
    let slot_signal = Arc::clone(&shared.admission.slot_signal);
    loop {
        tokio::select! {
            waiter = waiters.recv() => {
                let Some(waiter) = waiter else { return };
                let key = waiter.key.clone();
                if let Some(shed) = queue.push(shared.now(), key, waiter) {
                    refuse(&shared, shed);
                }
            }
            () = slot_signal.notified() => {}
            _ = tick.tick(), if !queue.is_empty() => {}
        }
        assign_slots(&shared, &mut queue);
    }
}

fn assign_slots(shared: &Shared, queue: &mut Queue<Waiter>) {
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
                shared.admission.slot_signal.remove_waiter();
                // If the caller has disconnected, the choice is dropped, which frees its slot.
                let _ = waiter.reply.send(Ok(choice));
            }
            Some(Err(shed)) => refuse(shared, shed),
            None => return,
        }
    }
    queue.reset_interval();
}

fn refuse(shared: &Shared, shed: Shed<Waiter>) {
    shared.admission.slot_signal.remove_waiter();
    let (waiter, refusal) = match shed {
        Shed::Late(waiter, wait) => {
            let reason = "no slot comes free in time for the deadline";
            let refusal = Refusal::new(Cause::TooLate, reason).with_retry_after(wait);
            (waiter, refusal)
        }
        Shed::LowestWorth(waiter, wait) => (waiter, overloaded(wait)),
    };
    let _ = waiter.reply.send(Err(refusal));
}

fn choose(shared: &Shared, now: Monotonic) -> Option<Choice> {
    let random = rand::rng().next_u64();
    shared.table.load().choose(now, random, &[])
}

fn overloaded(wait_ms: Millis) -> Refusal {
    let reason = "all upstreams are busy";
    Refusal::new(Cause::Overloaded, reason).with_retry_after(wait_ms.min(MAX_RETRY_AFTER_MS))
}
