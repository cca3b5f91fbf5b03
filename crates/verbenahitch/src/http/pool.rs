//! Connections of one listener, and the memory that they hold.
//!
//! Load pattern: up to a thousand connections, of which most are idle or wait for the store; at
//! times a crowd of clients of which each holds as much as a single one may. A limit on time
//! alone lets such a crowd exhaust the memory, a limit on size alone lets it keep the others out.
//! Therefore a connection that needs room takes it from the one that has waited for its client
//! for the longest time. A client that sends without a pause is hardly ever that one.
//!
//! Each connection costs a fixed amount for its buffers and its task, and what it holds of a
//! request or an answer. Bytes are read only within the limit, so that the rest stays in the
//! receive buffer of the socket, whose size is bounded.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use metrics::{counter, gauge};
use slotmap::{SlotMap, new_key_type};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use super::limits::Limits;
use crate::event::{Entry, Kind};

/// Cost of a connection besides its read buffer, in bytes: its task and its socket.
const CONNECTION_COST: usize = 16 << 10;

/// Size of a segment of the buffer of a body in bytes, by which it may be larger than the body.
pub(super) const SEGMENT: usize = 16 << 10;

/// Part of the memory that requests above [`SMALL_REQUEST`] leave to the others.
const SMALL_SHARE: usize = 8;

/// Largest request that may use all of the memory, in bytes.
const SMALL_REQUEST: usize = 16 << 10;

/// Time without an end of its request or answer after which a connection is closed before an idle
/// one.
const STALL_TIME: Duration = Duration::from_secs(1);

/// Longest time from the first byte of a head, or from the opening of a connection that never
/// sent any, to the end of the head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(15);

/// Longest time from the first byte of a request to its end, and from the first byte of an answer
/// to its end.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(60);

/// Interval of the checks of the time limits.
pub(super) const CHECK_INTERVAL: Duration = Duration::from_secs(1);

new_key_type! {
    struct SlotKey;
}

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Has not sent anything yet.
    Fresh,
    /// Sends the head of a request.
    Head,
    /// Sends the body of a request.
    Body,
    /// Its request is being served.
    Served,
    /// Receives an answer.
    Answer,
    /// Is between two requests.
    Idle,
    /// Is being closed.
    Closing,
}

impl Phase {
    /// Whether the client has to act next, in the middle of a request or an answer.
    const fn waits_for_client(self) -> bool {
        match self {
            Self::Fresh | Self::Head | Self::Body | Self::Answer | Self::Closing => true,
            Self::Served | Self::Idle => false,
        }
    }
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    /// Others need its place.
    Connections,
    /// Others need its memory.
    Memory,
    /// It took too long.
    Timeout,
    /// The listener stops.
    Stop,
}

impl Cause {
    const ALL: [Self; 4] = [Self::Connections, Self::Memory, Self::Timeout, Self::Stop];

    const fn name(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::Memory => "memory",
            Self::Timeout => "timeout",
            Self::Stop => "stop",
        }
    }
}

#[derive(Debug)]
struct Connection {
    phase: Phase,
    /// Start of the request or answer in progress, else of the phase.
    since: Instant,
    /// Bytes of the request or answer that it holds.
    held: usize,
    /// Task that waits for memory to read into.
    reader: Option<Waker>,
    eviction: CancellationToken,
}

#[derive(Debug, Default)]
struct State {
    connections: SlotMap<SlotKey, Connection>,
    /// Cost of all connections in bytes.
    memory: usize,
    /// Cost of those that are evicted and not gone yet.
    leaving: usize,
    /// Connections whose tasks wait for memory.
    blocked: Vec<SlotKey>,
    /// Whether a new connection waits for a place.
    is_full: bool,
    /// Evictions since the last report.
    evicted: [u64; Cause::ALL.len()],
}

/// Connections of a listener.
#[derive(Debug)]
pub(super) struct Pool {
    name: &'static str,
    limits: Limits,
    state: Mutex<State>,
    /// Notified when a connection is gone.
    released: Notify,
}

/// Place of one connection; released on drop.
#[derive(Debug)]
pub(super) struct Slot {
    pool: Arc<Pool>,
    key: SlotKey,
    eviction: CancellationToken,
}

impl Pool {
    /// A pool without connections. Idle connections may take half of the memory, so that there is
    /// always some for requests.
    pub fn new(name: &'static str, limits: Limits) -> Arc<Self> {
        let most = limits.memory / 2 / (CONNECTION_COST + limits.head);
        let connections = limits.connections.min(most).max(1);
        Arc::new(Self {
            name,
            limits: Limits {
                connections,
                ..limits
            },
            state: Mutex::default(),
            released: Notify::new(),
        })
    }

    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Waits for a place, which an evicted connection may have to leave first.
    pub async fn open(self: &Arc<Self>) -> Slot {
        loop {
            let released = self.released.notified();
            if let Some(slot) = self.try_open() {
                return slot;
            }
            released.await;
        }
    }

    fn try_open(self: &Arc<Self>) -> Option<Slot> {
        let mut state = self.lock();
        state.is_full = state.connections.len() >= self.limits.connections;
        if state.is_full {
            self.make_place(&mut state);
            return None;
        }
        let eviction = CancellationToken::new();
        let key = state.connections.insert(Connection {
            phase: Phase::Fresh,
            since: Instant::now(),
            held: 0,
            reader: None,
            eviction: eviction.clone(),
        });
        state.memory += self.fixed_cost();
        Some(Slot {
            pool: Arc::clone(self),
            key,
            eviction,
        })
    }

    /// Evicts a connection unless one is leaving already.
    fn make_place(&self, state: &mut State) {
        if state.leaving == 0 {
            state.evict_for_place(self.fixed_cost());
        }
    }

    /// Closes connections that exceed a time limit, and reports what happened since the last call.
    pub fn check(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        let is_late = |connection: &Connection| {
            let limit = match connection.phase {
                Phase::Fresh | Phase::Head => HEAD_TIMEOUT,
                Phase::Body | Phase::Answer => TRANSFER_TIMEOUT,
                Phase::Served | Phase::Idle | Phase::Closing => return false,
            };
            now.duration_since(connection.since) > limit
        };
        state.evict_all(Cause::Timeout, self.fixed_cost(), is_late);
        self.report(&mut state);
    }

    /// Closes connections that wait for their client, when the listener stops.
    pub fn evict_waiting(&self) {
        let is_waiting = |connection: &Connection| connection.phase != Phase::Served;
        let mut state = self.lock();
        state.evict_all(Cause::Stop, self.fixed_cost(), is_waiting);
        self.report(&mut state);
    }

    /// Waits until all connections are gone.
    pub async fn drained(&self) {
        loop {
            let released = self.released.notified();
            if self.lock().connections.is_empty() {
                return;
            }
            released.await;
        }
    }

    fn report(&self, state: &mut State) {
        let (connections, memory) = (state.connections.len(), state.memory);
        let evicted = std::mem::take(&mut state.evicted);
        #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
        {
            gauge!("verbenahitch_connections", "listener" => self.name).set(connections as f64);
            gauge!("verbenahitch_connection_bytes", "listener" => self.name).set(memory as f64);
        }
        for (cause, count) in Cause::ALL.into_iter().zip(evicted) {
            if count == 0 {
                continue;
            }
            let labels = [("listener", self.name), ("cause", cause.name())];
            counter!("verbenahitch_connections_evicted_total", &labels).increment(count);
            Entry::new(Kind::ConnectionsEvicted)
                .with("listener", self.name)
                .with("cause", cause.name())
                .with("count", count)
                .with("connections", connections)
                .with("bytes", memory)
                .emit();
        }
    }

    /// Cost of a connection that holds nothing, in bytes.
    fn fixed_cost(&self) -> usize {
        CONNECTION_COST + self.limits.head
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // Nothing panics while it is held.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Cost of what a connection holds, with the slack of its buffer.
fn held_cost(held: usize) -> usize {
    held + held.min(SEGMENT)
}

impl State {
    /// Evicts the connection that others can do without best, if any.
    fn evict_for_place(&mut self, fixed_cost: usize) {
        let waits = |connection: &Connection| connection.phase.waits_for_client();
        let waiting = self.connections.values().filter(|each| waits(each)).count();
        // A request in transit is worth more than an idle connection, unless it stalls or there
        // are so many that they are a crowd.
        let is_crowd = waiting * 2 > self.connections.len();
        let victim = match (
            self.oldest_waiting(),
            self.oldest(|phase| phase == Phase::Idle),
        ) {
            (Some((key, age)), Some(_)) if is_crowd || age >= STALL_TIME => Some(key),
            (_, Some((key, _))) | (Some((key, _)), None) => Some(key),
            (None, None) => None,
        };
        if let Some(key) = victim {
            self.evict(key, Cause::Connections, fixed_cost);
        }
    }

    /// Connection that has waited for its client for the longest time in the middle of a request or
    /// an answer, and that time.
    fn oldest_waiting(&self) -> Option<(SlotKey, Duration)> {
        self.oldest(Phase::waits_for_client)
    }

    fn oldest(&self, is_meant: impl Fn(Phase) -> bool) -> Option<(SlotKey, Duration)> {
        let meant = self.connections.iter().filter(|(_, connection)| {
            is_meant(connection.phase) && !connection.eviction.is_cancelled()
        });
        let oldest = meant.min_by_key(|(_, connection)| connection.since);
        oldest.map(|(key, connection)| (key, connection.since.elapsed()))
    }

    fn evict_all(
        &mut self,
        cause: Cause,
        fixed_cost: usize,
        is_meant: impl Fn(&Connection) -> bool,
    ) {
        let meant: Vec<SlotKey> = (self.connections.iter())
            .filter(|(_, connection)| !connection.eviction.is_cancelled() && is_meant(connection))
            .map(|(key, _)| key)
            .collect();
        for key in meant {
            self.evict(key, cause, fixed_cost);
        }
    }

    fn evict(&mut self, key: SlotKey, cause: Cause, fixed_cost: usize) {
        let connection = &self.connections[key];
        self.leaving += fixed_cost + held_cost(connection.held);
        self.evicted[cause as usize] += 1;
        connection.eviction.cancel();
    }

    /// Sets what a connection holds.
    fn hold(&mut self, key: SlotKey, held: usize) {
        let connection = &mut self.connections[key];
        let (before, after) = (held_cost(connection.held), held_cost(held));
        connection.held = held;
        let is_leaving = connection.eviction.is_cancelled();
        self.memory = self.memory + after - before;
        if is_leaving {
            self.leaving = self.leaving + after - before;
        }
        if after < before {
            self.wake();
        }
    }

    /// Wakes the tasks that wait for memory.
    fn wake(&mut self) {
        for key in self.blocked.drain(..) {
            let connection = self.connections.get_mut(key);
            if let Some(reader) = connection.and_then(|connection| connection.reader.take()) {
                reader.wake();
            }
        }
    }
}

impl Slot {
    /// Largest head of a request in bytes.
    pub fn head_limit(&self) -> usize {
        self.pool.limits.head
    }

    /// Token that is cancelled once the connection has to close.
    pub fn eviction(&self) -> &CancellationToken {
        &self.eviction
    }

    /// Ready while bytes may be read; else makes room, and wakes the task once there is some.
    pub fn poll_room(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut state = self.pool.lock();
        let limit = self.limit(state.connections[self.key].held);
        if state.memory <= limit {
            return Poll::Ready(());
        }
        self.make_room(&mut state, limit, Duration::ZERO);
        let reader = Some(cx.waker().clone());
        if std::mem::replace(&mut state.connections[self.key].reader, reader).is_none() {
            state.blocked.push(self.key);
        }
        Poll::Pending
    }

    /// Counts bytes that were read from the socket.
    pub fn received(&self, count: usize) {
        let mut state = self.pool.lock();
        let connection = &mut state.connections[self.key];
        if matches!(connection.phase, Phase::Fresh | Phase::Idle) {
            connection.phase = Phase::Head;
            connection.since = Instant::now();
        }
        let held = connection.held + count;
        state.hold(self.key, held);
    }

    /// The head of a request is complete.
    pub fn begin_body(&self) {
        let mut state = self.pool.lock();
        let connection = &mut state.connections[self.key];
        // The request may have arrived together with the one before.
        if connection.phase != Phase::Head {
            connection.since = Instant::now();
        }
        connection.phase = Phase::Body;
    }

    /// A request is complete, with a body of `size` bytes. Takes the memory that it needs while it
    /// is served; false if there is not enough.
    pub fn begin_service(&self, size: usize) -> bool {
        let mut state = self.pool.lock();
        // Its own connection must not be the one that makes room.
        state.connections[self.key].phase = Phase::Served;
        let held = state.connections[self.key].held;
        let needed = held.max(size * self.pool.limits.copies);
        let more = held_cost(needed) - held_cost(held);
        if more == 0 {
            return true;
        }
        let limit = self.limit(needed);
        // A body that was read is not worth those that arrive without a pause.
        self.make_room(&mut state, limit.saturating_sub(more), STALL_TIME);
        if state.memory + more > limit + state.leaving {
            return false;
        }
        state.hold(self.key, needed);
        true
    }

    /// An answer of `size` bytes is ready.
    pub fn begin_answer(&self, size: usize) {
        let mut state = self.pool.lock();
        let connection = &mut state.connections[self.key];
        connection.phase = Phase::Answer;
        connection.since = Instant::now();
        state.hold(self.key, size);
        let limit = self.limit(size);
        self.make_room(&mut state, limit, STALL_TIME);
    }

    /// All that was written has been sent.
    pub fn flushed(&self) {
        let mut state = self.pool.lock();
        let connection = &mut state.connections[self.key];
        if connection.phase == Phase::Answer {
            connection.phase = Phase::Idle;
            connection.since = Instant::now();
            state.hold(self.key, 0);
            // Clients that send requests ahead are between two requests for a moment only.
            if state.is_full {
                self.pool.make_place(&mut state);
            }
        }
    }

    /// The connection is being closed.
    pub fn begin_close(&self) {
        let mut state = self.pool.lock();
        let connection = &mut state.connections[self.key];
        connection.phase = Phase::Closing;
        connection.since = Instant::now();
        state.hold(self.key, 0);
    }

    /// Whether the client is sending the body of a request.
    pub fn is_receiving_body(&self) -> bool {
        self.pool.lock().connections[self.key].phase == Phase::Body
    }

    /// Evicts connections that have waited for their client for `least` until the memory is within
    /// `limit` once they are gone.
    fn make_room(&self, state: &mut State, limit: usize, least: Duration) {
        let fixed_cost = self.pool.fixed_cost();
        while state.memory > limit + state.leaving {
            let Some((key, _)) = state.oldest_waiting().filter(|(_, age)| *age >= least) else {
                return;
            };
            state.evict(key, Cause::Memory, fixed_cost);
        }
    }

    /// Memory within which a request that holds so much may grow.
    fn limit(&self, held: usize) -> usize {
        let memory = self.pool.limits.memory;
        if held > SMALL_REQUEST {
            memory - memory / SMALL_SHARE
        } else {
            memory
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut state = self.pool.lock();
        let Some(connection) = state.connections.remove(self.key) else {
            return;
        };
        let cost = self.pool.fixed_cost() + held_cost(connection.held);
        state.memory -= cost;
        if connection.eviction.is_cancelled() {
            state.leaving -= cost;
        }
        state.wake();
        drop(state);
        self.pool.released.notify_waiters();
    }
}
