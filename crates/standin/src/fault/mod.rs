//! Fault injection for tests and for operators of the demo.
//!
//! The controls act on whole HTTP calls, through a fairing in front of every
//! stand-in's routes: a call that is held back has had no effect yet, and a
//! call whose answer is lost has had its effect.

mod fairing;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use verbenahitch::domain::Millis;

pub use fairing::FaultFairing;

/// Fault controls of one stand-in; clones share their state.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    gate: watch::Sender<Gate>,
    delay_ms: AtomicU64,
    answers_to_lose: AtomicU64,
    connections: Mutex<Connections>,
}

/// Conditions that hold calls back.
#[derive(Clone, Debug, Default)]
struct Gate {
    frozen: bool,
    cut_zones: HashSet<String>,
    cut_all: bool,
}

#[derive(Debug, Default)]
struct Connections {
    seen: HashSet<SocketAddr>,
    silent: HashSet<SocketAddr>,
}

/// One change of the fault controls, in the format of the control port.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(
    rename_all = "kebab-case",
    rename_all_fields = "kebab-case",
    tag = "fault"
)]
pub enum Fault {
    /// Accepts connections, but holds back every call and answer until thawed.
    Freeze,
    /// Ends a freeze; calls that were held back are carried out.
    Thaw,
    /// Holds back the calls from one availability zone, or from all.
    Cut {
        /// Availability zone of the callers; all if absent.
        zone: Option<String>,
    },
    /// Ends all cuts.
    Mend,
    /// Delays every call.
    Slow {
        /// Delay before a call is carried out, in milliseconds; zero ends the fault.
        delay_ms: Millis,
    },
    /// Carries out writes, but sends no answer to them.
    Lose {
        /// Number of answers to lose; zero ends the fault.
        answers: u64,
    },
    /// Stops answering for good on the connections that have carried a call so far.
    Silence,
    /// Ends every fault except for silent connections.
    Clear,
}

impl Default for Shared {
    fn default() -> Self {
        Self {
            gate: watch::channel(Gate::default()).0,
            delay_ms: AtomicU64::new(0),
            answers_to_lose: AtomicU64::new(0),
            connections: Mutex::default(),
        }
    }
}

impl Faults {
    /// Injects or ends one fault.
    pub fn apply(&self, fault: Fault) {
        match fault {
            Fault::Freeze => self.change_gate(|gate| gate.frozen = true),
            Fault::Thaw => self.change_gate(|gate| gate.frozen = false),
            Fault::Cut { zone: None } => self.change_gate(|gate| gate.cut_all = true),
            Fault::Cut { zone: Some(zone) } => self.change_gate(|gate| {
                gate.cut_zones.insert(zone);
            }),
            Fault::Mend => self.change_gate(|gate| {
                gate.cut_all = false;
                gate.cut_zones.clear();
            }),
            Fault::Slow { delay_ms } => self.shared.delay_ms.store(delay_ms, Ordering::Relaxed),
            Fault::Lose { answers } => self
                .shared
                .answers_to_lose
                .store(answers, Ordering::Relaxed),
            Fault::Silence => self.silence(),
            Fault::Clear => self.clear(),
        }
    }

    /// Fairing for the address of the callers of `zone`; `None` for the shared address.
    pub fn fairing(&self, zone: Option<&str>) -> FaultFairing {
        FaultFairing::new(self.clone(), zone.map(str::to_owned))
    }

    fn change_gate(&self, change: impl FnOnce(&mut Gate)) {
        self.shared.gate.send_modify(change);
    }

    fn silence(&self) {
        let mut connections = self.connections();
        let seen = std::mem::take(&mut connections.seen);
        connections.silent.extend(seen);
    }

    fn clear(&self) {
        self.change_gate(|gate| *gate = Gate::default());
        self.shared.delay_ms.store(0, Ordering::Relaxed);
        self.shared.answers_to_lose.store(0, Ordering::Relaxed);
    }

    fn connections(&self) -> MutexGuard<'_, Connections> {
        let connections = self.shared.connections.lock();
        connections.unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the connection of a call; returns whether it is silent.
    fn record_connection(&self, remote: Option<SocketAddr>) -> bool {
        let Some(remote) = remote else {
            return false;
        };
        let mut connections = self.connections();
        if connections.silent.contains(&remote) {
            return true;
        }
        connections.seen.insert(remote);
        false
    }

    fn is_silent(&self, remote: Option<SocketAddr>) -> bool {
        remote.is_some_and(|remote| self.connections().silent.contains(&remote))
    }

    fn take_loss(&self) -> bool {
        let answers_to_lose = &self.shared.answers_to_lose;
        let decrement = |left: u64| left.checked_sub(1);
        answers_to_lose
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement)
            .is_ok()
    }

    async fn wait_until_open(&self, zone: Option<&str>) {
        let mut gate = self.shared.gate.subscribe();
        let open = gate.wait_for(|gate| gate.admits(zone)).await.is_ok();
        debug_assert!(open, "the sender of the gate lives as long as `self`");
    }
}

impl Gate {
    fn admits(&self, zone: Option<&str>) -> bool {
        let cut = zone.is_some_and(|zone| self.cut_zones.contains(zone));
        !self.frozen && !self.cut_all && !cut
    }
}
