//! What all requests of a gateway share.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

use arc_swap::ArcSwap;
use tokio::sync::Notify;

use crate::domain::Monotonic;
use crate::port::Clock;
use crate::settings::Settings;

use crate::gateway::admission::{Admission, Budget, Latency};
use crate::gateway::once::Once;
use crate::gateway::route::{Place, Table};

/// Retries after refusals per hundred answers.
const REFUSAL_PERCENT: u32 = 100;

/// State that all requests of a gateway share; the path of a request takes no lock on it.
pub struct Shared {
    /// Settings.
    pub settings: Arc<Settings>,
    /// Clock.
    pub clock: Arc<dyn Clock>,
    /// Claims of idempotency keys.
    pub once: Once,
    /// Gate that every request passes.
    pub admission: Admission,
    /// Observed latency of each kind.
    pub latency: Latency,
    /// Routing table.
    pub table: ArcSwap<Table>,
    /// Budget of retries after failures, earned by first attempts.
    pub failures: Budget,
    /// Budget of retries after refusals, earned by answers.
    pub refusals: Budget,
    stopping: AtomicBool,
    in_flight: AtomicUsize,
    drained: Notify,
    ids: AtomicU64,
}

/// One caller's request in progress; dropping it ends it.
pub struct Active {
    shared: Arc<Shared>,
}

impl Shared {
    /// Creates the state of a gateway that has not routed anything.
    pub fn new(
        settings: Arc<Settings>,
        clock: Arc<dyn Clock>,
        once: Once,
        admission: Admission,
    ) -> Self {
        Self {
            failures: Budget::new(settings.gateway.retry_percent),
            refusals: Budget::new(REFUSAL_PERCENT),
            // A process that starts again must not repeat the identities of the one before.
            ids: AtomicU64::new(clock.wall_ms() << 20),
            table: ArcSwap::default(),
            stopping: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
            drained: Notify::new(),
            latency: Latency::default(),
            settings,
            clock,
            once,
            admission,
        }
    }

    /// Time of the gateway's clock.
    pub fn now(&self) -> Monotonic {
        self.clock.now()
    }

    /// Where this gateway is and how many upstreams it keeps.
    pub fn place(&self) -> Place {
        Place {
            name: self.settings.name.clone(),
            zone: self.settings.zone.clone(),
            subset: self.settings.gateway.subset,
            silence_ms: self.settings.gateway.silence_ms,
            freed: Arc::clone(self.admission.freed()),
        }
    }

    /// Identity that no other request of any gateway has.
    pub fn fresh_id(&self) -> String {
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

    /// Notes a caller's request in progress.
    pub fn enter(self: &Arc<Self>) -> Active {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        Active {
            shared: Arc::clone(self),
        }
    }

    /// Waits until no caller's request is in progress.
    pub async fn drained(&self) {
        loop {
            let notified = self.drained.notified();
            if self.in_flight() == 0 {
                return;
            }
            notified.await;
        }
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        if self.shared.in_flight.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.shared.drained.notify_waiters();
        }
    }
}
