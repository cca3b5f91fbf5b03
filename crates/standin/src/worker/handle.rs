//! Handle of a running worker.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use verbenahitch::domain::{Millis, Monotonic};
use verbenahitch::port::{
    Clock, HostRecord, HostState, LatencyReport, SyncReply, SyncRequest, SystemClock, TaskUsage,
    Usage,
};

use super::engine::{Engine, SyncRefusal};
use super::latency::Window;
use super::settings::{Behaviour, ServiceTime, Settings};
use super::upstream::{Head, Slots, from_micros};
use super::{control, upstream};
use crate::fault::Faults;
use crate::history::{RequestRecord, WorkerHistory};
use crate::server::{Endpoints, StartError};

/// Interval between simulation steps of the runs, in milliseconds.
const TICK_MS: Millis = 20;

/// A running worker; stops when dropped.
pub struct Worker {
    inner: Arc<Inner>,
    control: Endpoints,
    upstream: Endpoints,
    control_faults: Faults,
    upstream_faults: Faults,
}

/// State shared with the routes.
pub(super) struct Inner {
    pub(super) settings: Settings,
    pub(super) slots: Slots,
    clock: Arc<dyn Clock>,
    data: Mutex<Data>,
}

struct Data {
    engine: Engine,
    behaviour: Behaviour,
    rng: ChaCha8Rng,
    requests: Vec<RequestRecord>,
    window: Window,
    measured: Measurement,
}

/// Newest measurement of usage and latency.
#[derive(Default)]
struct Measurement {
    at: Monotonic,
    tasks: Vec<TaskUsage>,
    latency: Vec<LatencyReport>,
}

/// A request in progress.
pub(super) struct ActiveRequest {
    /// Index of the request in the history.
    record_index: usize,
    kind: String,
    started: Instant,
}

impl Worker {
    /// Starts a worker on two free ports of the loopback address.
    ///
    /// # Errors
    ///
    /// When no port is available.
    pub async fn start(settings: Settings) -> Result<Self, StartError> {
        let free = SocketAddr::from(([127, 0, 0, 1], 0));
        let clock = Arc::new(SystemClock::default());
        Self::with_clock(free, free, &[], settings, clock).await
    }

    /// Starts a worker whose runs and leases are timed by `clock`, with
    /// separate addresses for each of `zones`.
    ///
    /// # Errors
    ///
    /// When an address cannot be bound.
    pub async fn with_clock(
        control: SocketAddr,
        upstream: SocketAddr,
        zones: &[String],
        settings: Settings,
        clock: Arc<dyn Clock>,
    ) -> Result<Self, StartError> {
        let inner = Arc::new(Inner::new(settings, clock));
        let control_faults = Faults::default();
        let mounted = Arc::clone(&inner);
        let mount =
            Arc::new(move |rocket, _: Option<&str>| control::mount(rocket, Arc::clone(&mounted)));
        let control = Endpoints::start(control, zones, &control_faults, mount).await?;
        let upstream_faults = Faults::default();
        let mounted = Arc::clone(&inner);
        let mount =
            Arc::new(move |rocket, _: Option<&str>| upstream::mount(rocket, Arc::clone(&mounted)));
        let upstream = Endpoints::start(upstream, zones, &upstream_faults, mount).await?;
        tokio::spawn(tick(Arc::downgrade(&inner)));
        Ok(Self {
            inner,
            control,
            upstream,
            control_faults,
            upstream_faults,
        })
    }

    /// Name of the worker.
    pub fn name(&self) -> &str {
        &self.inner.settings.name
    }

    /// Availability zone of the worker.
    pub fn zone(&self) -> &str {
        &self.inner.settings.zone
    }

    /// Entry of the worker list with the addresses that all callers share.
    pub fn record(&self) -> HostRecord {
        self.record_for(None)
    }

    /// Entry of the worker list as callers of `zone` see it.
    pub fn record_for(&self, zone: Option<&str>) -> HostRecord {
        let settings = &self.inner.settings;
        HostRecord {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            rack: settings.rack.clone(),
            control: self.control.address(zone).to_string(),
            upstream: self.upstream.address(zone).to_string(),
            slots: settings.slots,
            capacity: settings.capacity,
            state: HostState::Live,
        }
    }

    /// Fault controls of the task interface.
    pub fn control_faults(&self) -> &Faults {
        &self.control_faults
    }

    /// Fault controls of the upstream.
    pub fn upstream_faults(&self) -> &Faults {
        &self.upstream_faults
    }

    /// Changes the behaviour of the running worker.
    pub fn behave(&self, change: impl FnOnce(&mut Behaviour)) {
        change(&mut self.inner.data().behaviour);
    }

    /// Simulates a power loss: closes all ports, ends all runs, and forgets the leases
    /// and the unacknowledged ends.
    pub fn crash(&self) {
        self.control.stop();
        self.upstream.stop();
        let now = self.inner.clock.now();
        self.inner.data().engine.crash(now);
    }

    /// Opens all ports again after [`Worker::crash`]; the worker starts without runs.
    ///
    /// # Errors
    ///
    /// When an address cannot be bound.
    pub async fn resume(&self) -> Result<(), StartError> {
        self.control.resume().await?;
        self.upstream.resume().await
    }

    /// Runs and requests of the worker so far.
    pub fn history(&self) -> WorkerHistory {
        let now = self.inner.clock.now();
        let mut data = self.inner.data();
        data.engine.advance(now);
        let settings = &self.inner.settings;
        WorkerHistory {
            worker: settings.name.clone(),
            zone: settings.zone.clone(),
            capacity: settings.capacity,
            runs: data.engine.history().to_vec(),
            requests: data.requests.clone(),
        }
    }
}

impl Inner {
    fn new(settings: Settings, clock: Arc<dyn Clock>) -> Self {
        let origin_ms = clock.wall_ms().saturating_sub(clock.now().0);
        let data = Data {
            engine: Engine::new(settings.clone(), origin_ms),
            behaviour: Behaviour::default(),
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            requests: Vec::new(),
            window: Window::default(),
            measured: Measurement::default(),
        };
        Self {
            slots: Slots::new(settings.slots, settings.queue),
            settings,
            clock,
            data: Mutex::new(data),
        }
    }

    pub(super) fn sync(&self, request: &SyncRequest) -> Result<SyncReply, SyncRefusal> {
        let now = self.clock.now();
        let mut data = self.data();
        data.measure(now, self.settings.usage_ms);
        let Data {
            engine, behaviour, ..
        } = &mut *data;
        let mut reply = engine.sync(now, request, behaviour)?;
        reply.usage = data.measured.usage(now, &reply);
        Ok(reply)
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.data().behaviour.leaving
    }

    pub(super) fn begin_request(&self, head: Head) -> ActiveRequest {
        let mut data = self.data();
        data.requests.push(RequestRecord {
            kind: head.kind.clone(),
            request_id: head.request_id,
            call_id: head.call_id,
            key: head.key,
            start: self.clock.wall_ms(),
            end: None,
        });
        ActiveRequest {
            record_index: data.requests.len() - 1,
            kind: head.kind,
            started: Instant::now(),
        }
    }

    pub(super) fn finish_request(&self, request: ActiveRequest) {
        let profile = self.settings.profiles.get(&request.kind);
        let profile = profile.unwrap_or(&request.kind);
        let wall_ms = self.clock.wall_ms();
        let mut data = self.data();
        data.window.record(profile, request.started.elapsed());
        if let Some(record) = data.requests.get_mut(request.record_index) {
            record.end = Some(wall_ms);
        }
    }

    /// Draws the service time of one request, given the current interference.
    pub(super) fn service_time(&self, kind: &str) -> Duration {
        let service = self.settings.service.get(kind).copied().unwrap_or_default();
        let mut data = self.data();
        let slowdown = data.engine.slowdown(kind);
        draw_service_time(&mut data.rng, service, slowdown)
    }

    fn data(&self) -> MutexGuard<'_, Data> {
        self.data.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Data {
    fn measure(&mut self, now: Monotonic, interval_ms: Millis) {
        self.engine.advance(now);
        if now.since(self.measured.at) < interval_ms {
            return;
        }
        self.measured = Measurement {
            at: now,
            tasks: self.engine.usage(),
            latency: self.window.close(),
        };
    }
}

impl Measurement {
    fn usage(&self, now: Monotonic, reply: &SyncReply) -> Usage {
        let is_own = |task: &&TaskUsage| reply.running.iter().any(|run| run.run == task.run);
        Usage {
            age_ms: now.since(self.at),
            tasks: self.tasks.iter().filter(is_own).copied().collect(),
            latency: self.latency.clone(),
        }
    }
}

fn draw_service_time(rng: &mut ChaCha8Rng, service: ServiceTime, slowdown: f64) -> Duration {
    // Box-Muller transform; the argument of the logarithm is never zero.
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * rng.random::<f64>()).cos();
    let median = f64::from(u32::try_from(service.median_us).unwrap_or(u32::MAX));
    from_micros(median * (service.sigma * normal).exp() * slowdown)
}

async fn tick(inner: Weak<Inner>) {
    let mut interval = tokio::time::interval(Duration::from_millis(TICK_MS));
    loop {
        interval.tick().await;
        let Some(inner) = inner.upgrade() else {
            return;
        };
        let now = inner.clock.now();
        let interval_ms = inner.settings.usage_ms;
        inner.data().measure(now, interval_ms);
    }
}
