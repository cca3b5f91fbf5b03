//! State shared by all requests of a gateway.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

use arc_swap::ArcSwap;
use tokio::sync::Notify;

use crate::domain::Monotonic;
use crate::port::Clock;
use crate::settings::Settings;

use crate::gateway::admission::{Admission, Latency, RetryBudget};
use crate::gateway::idempotency::Idempotency;
use crate::gateway::route::{RoutingConfig, Table};

/// Retries after refusals per hundred answers.
const REFUSAL_RETRY_PERCENT: u32 = 100;

/// State shared by all requests of a gateway; a request takes no lock on it.
pub struct Shared {
    /// Settings.
    pub settings: Arc<Settings>,
    /// Clock.
    pub clock: Arc<dyn Clock>,
    /// Claims of idempotency keys.
    pub idempotency: Idempotency,
    /// Admission control.
    pub admission: Admission,
    /// Observed latency of each kind.
    pub latency: Latency,
    /// Routing table.
    pub table: ArcSwap<Table>,
    /// Budget of retries after failures and of hedged attempts; first attempts earn it.
    pub failure_budget: RetryBudget,
    /// Budget of retries after refusals; answers earn it.
    pub refusal_budget: RetryBudget,
    stopping: AtomicBool,
    in_flight: AtomicUsize,
    drained: Notify,
    ids: AtomicU64,
}

/// A caller's request in progress; counted until dropped.
pub struct ActiveRequest {
    shared: Arc<Shared>,
}

impl Shared {
    /// Creates the state with an empty routing table.
    pub fn new(
        settings: Arc<Settings>,
        clock: Arc<dyn Clock>,
        idempotency: Idempotency,
        admission: Admission,
    ) -> Self {
        Self {
            failure_budget: RetryBudget::new(settings.gateway.retry_percent),
            refusal_budget: RetryBudget::new(REFUSAL_RETRY_PERCENT),
            // A restarted process must not reuse the request IDs of the one before.
            ids: AtomicU64::new(clock.wall_ms() << 20),
            table: ArcSwap::default(),
            stopping: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
            drained: Notify::new(),
            latency: Latency::default(),
            settings,
            clock,
            idempotency,
            admission,
        }
    }

    /// Current time of the gateway's clock.
    pub fn now(&self) -> Monotonic {
        self.clock.now()
    }

    /// Settings of the routing table.
    pub fn routing_config(&self) -> RoutingConfig {
        RoutingConfig {
            name: self.settings.name.clone(),
            zone: self.settings.zone.clone(),
            subset: self.settings.gateway.subset,
            silence_ms: self.settings.gateway.silence_ms,
            slot_signal: Arc::clone(self.admission.slot_signal()),
        }
    }

    /// Request ID that is unique among all gateways.
    pub fn new_id(&self) -> String {
        let number = self.ids.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number:x}", self.settings.name)
    }

    /// Whether the gateway refuses new requests because it is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Refuses new requests from now on.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Callers' requests in progress.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Counts a caller's request as in progress until the result is dropped.
    pub fn begin_request(self: &Arc<Self>) -> ActiveRequest {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        ActiveRequest {
            shared: Arc::clone(self),
        }
    }

    /// Waits until no caller's request is in progress.
    pub async fn wait_drained(&self) {
        loop {
            let notified = self.drained.notified();
            if self.in_flight() == 0 {
                return;
            }
            notified.await;
        }
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        if self.shared.in_flight.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.shared.drained.notify_waiters();
        }
    }
}
