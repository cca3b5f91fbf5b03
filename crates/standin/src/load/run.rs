//! Sends a load at its scheduled instants.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use rand::distr::weighted::WeightedIndex;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use reqwest::Client;
use tokio::sync::{Semaphore, mpsc};
use tokio::task::JoinSet;

use super::call::Call;
use super::plan::Plan;
use super::report::{Collector, Report};
use crate::history::CallOutcome;

/// Sends a load and waits until all its calls have completed.
///
/// # Panics
///
/// When the plan has no kind with a positive weight, or no address.
pub async fn run(plan: &Plan) -> Report {
    let sender = Arc::new(Sender {
        client: Client::builder()
            .no_proxy()
            .tcp_nodelay(true)
            .build()
            .expect("a client without TLS and proxies always builds"),
        timeout: Duration::from_millis(plan.timeout_ms),
        permits: Semaphore::new(plan.concurrency.max(1)),
        collector: Mutex::default(),
    });
    let mut calls = JoinSet::new();
    let mut due_calls = emit_calls(plan.clone());
    while let Some((call, due)) = due_calls.recv().await {
        let sender = Arc::clone(&sender);
        let other = plan
            .callers
            .iter()
            .find(|address| **address != call.address);
        let repeat = Call {
            address: *other.unwrap_or(&call.address),
            call_id: format!("{}-again", call.call_id),
            ..call.clone()
        };
        calls.spawn(async move { sender.send_with_repeat(call, repeat, due).await });
        while calls.try_join_next().is_some() {}
    }
    while calls.join_next().await.is_some() {}
    let collector = std::mem::take(&mut *sender.collector());
    collector.report()
}

/// Emits each call when it is due.
///
/// Runs on its own thread, because the runtime's timers have a resolution of a
/// millisecond, which is longer than a fast answer takes.
fn emit_calls(plan: Plan) -> mpsc::UnboundedReceiver<(Call, Instant)> {
    let (sender, receiver) = mpsc::unbounded_channel();
    tokio::task::spawn_blocking(move || {
        let started = Instant::now();
        for (call, offset) in Schedule::new(&plan) {
            let due = started + offset;
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            if sender.send((call, due)).is_err() {
                return;
            }
        }
    });
    receiver
}

struct Sender {
    client: Client,
    timeout: Duration,
    permits: Semaphore,
    collector: Mutex<Collector>,
}

impl Sender {
    /// Sends a call, and repeats a keyed one once, at another address, if its outcome is unknown.
    async fn send_with_repeat(&self, call: Call, repeat: Call, due: Instant) {
        let outcome = self.send(&call, due).await;
        let unknown = matches!(outcome, CallOutcome::Unknown | CallOutcome::Broken);
        if call.key.is_some() && unknown {
            self.send(&repeat, Instant::now()).await;
        }
    }

    async fn send(&self, call: &Call, due: Instant) -> CallOutcome {
        let _permit = self.permits.acquire().await;
        let record = call.send(&self.client, self.timeout).await;
        let outcome = record.outcome.clone();
        self.collector().add(&call.kind.name, record, due.elapsed());
        outcome
    }

    fn collector(&self) -> std::sync::MutexGuard<'_, Collector> {
        let collector = self.collector.lock();
        collector.unwrap_or_else(PoisonError::into_inner)
    }
}

/// Calls, each with the time after the start at which it is due.
struct Schedule<'a> {
    plan: &'a Plan,
    kinds: WeightedIndex<f64>,
    rng: ChaCha8Rng,
    number: u64,
    offset: Duration,
}

impl<'a> Schedule<'a> {
    fn new(plan: &'a Plan) -> Self {
        let weights = plan.kinds.iter().map(|kind| kind.weight);
        Self {
            plan,
            kinds: WeightedIndex::new(weights).expect("a load has a kind with a positive weight"),
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            number: 0,
            offset: Duration::ZERO,
        }
    }
}

impl Schedule<'_> {
    /// Calls per second at the current offset of the schedule.
    fn rate(&self) -> f64 {
        let duration = Duration::from_millis(self.plan.duration_ms.max(1));
        let phase = self.offset.div_duration_f64(duration) * std::f64::consts::TAU;
        (self.plan.rate * (1.0 + self.plan.swing * phase.sin())).max(1e-3)
    }
}

impl Iterator for Schedule<'_> {
    type Item = (Call, Duration);

    fn next(&mut self) -> Option<Self::Item> {
        // Arrivals of independent callers are a Poisson process: the gaps are exponential.
        let gap_s = -(1.0 - self.rng.random::<f64>()).ln() / self.rate();
        self.offset += Duration::from_secs_f64(gap_s);
        let duration = Duration::from_millis(self.plan.duration_ms);
        if self.number >= self.plan.count || self.offset > duration {
            return None;
        }
        let kind = self.plan.kinds[self.rng.sample(&self.kinds)].clone();
        let call_id = format!("{}-{}", self.plan.label, self.number);
        let callers = &self.plan.callers;
        let position = usize::try_from(self.number).unwrap_or(0) % callers.len();
        let call = Call {
            key: kind.keyed.then(|| format!("key-{call_id}")),
            address: callers[position],
            call_id,
            kind,
        };
        self.number += 1;
        Some((call, self.offset))
    }
}
