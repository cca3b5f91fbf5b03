//! Faults that a test or an operator of the demo brings about.
//!
//! The controls act on whole HTTP calls, by a fairing in front of every
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

pub use fairing::Door;

/// Controls of one stand-in; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    gate: watch::Sender<Gate>,
    delay_ms: AtomicU64,
    lost: AtomicU64,
    connections: Mutex<Connections>,
}

/// What holds calls back.
#[derive(Clone, Debug, Default)]
struct Gate {
    frozen: bool,
    cut: HashSet<String>,
    cut_all: bool,
}

#[derive(Debug, Default)]
struct Connections {
    seen: HashSet<SocketAddr>,
    silent: HashSet<SocketAddr>,
}

/// One change of the controls, as the control port takes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(
    rename_all = "kebab-case",
    rename_all_fields = "kebab-case",
    tag = "fault"
)]
pub enum Fault {
    /// Accepts connections and answers nothing until thawed.
    Freeze,
    /// Goes on after a freeze; calls that wait are carried out.
    Thaw,
    /// Hears nothing from an availability zone, or from nobody.
    Cut {
        /// Availability zone; all if absent.
        zone: Option<String>,
    },
    /// Hears everybody again.
    Mend,
    /// Answers later.
    Slow {
        /// Extra time before a call is carried out, in milliseconds; zero ends the fault.
        delay_ms: Millis,
    },
    /// Carries out writes and loses their answers.
    Lose {
        /// Number of answers; zero ends the fault.
        answers: u64,
    },
    /// Never answers again on the connections that are open now.
    Silence,
    /// Ends every fault but silent connections.
    Clear,
}

impl Default for Shared {
    fn default() -> Self {
        Self {
            gate: watch::channel(Gate::default()).0,
            delay_ms: AtomicU64::new(0),
            lost: AtomicU64::new(0),
            connections: Mutex::default(),
        }
    }
}

impl Faults {
    /// Brings about or ends one fault.
    pub fn apply(&self, fault: Fault) {
        match fault {
            Fault::Freeze => self.set(|gate| gate.frozen = true),
            Fault::Thaw => self.set(|gate| gate.frozen = false),
            Fault::Cut { zone: None } => self.set(|gate| gate.cut_all = true),
            Fault::Cut { zone: Some(zone) } => self.set(|gate| {
                gate.cut.insert(zone);
            }),
            Fault::Mend => self.set(|gate| {
                gate.cut_all = false;
                gate.cut.clear();
            }),
            Fault::Slow { delay_ms } => self.shared.delay_ms.store(delay_ms, Ordering::Relaxed),
            Fault::Lose { answers } => self.shared.lost.store(answers, Ordering::Relaxed),
            Fault::Silence => self.silence(),
            Fault::Clear => self.clear(),
        }
    }

    /// Fairing for the address that callers of `zone` use; `None` for an address that all use.
    pub fn door(&self, zone: Option<&str>) -> Door {
        Door::new(self.clone(), zone.map(str::to_owned))
    }

    fn set(&self, change: impl FnOnce(&mut Gate)) {
        self.shared.gate.send_modify(change);
    }

    fn silence(&self) {
        let mut connections = self.connections();
        let seen = std::mem::take(&mut connections.seen);
        connections.silent.extend(seen);
    }

    fn clear(&self) {
        self.set(|gate| *gate = Gate::default());
        self.shared.delay_ms.store(0, Ordering::Relaxed);
        self.shared.lost.store(0, Ordering::Relaxed);
    }

    fn connections(&self) -> MutexGuard<'_, Connections> {
        let connections = self.shared.connections.lock();
        connections.unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes the connection of a call; says whether it is silent.
    fn note(&self, remote: Option<SocketAddr>) -> bool {
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
        let lost = &self.shared.lost;
        let less = |left: u64| left.checked_sub(1);
        lost.fetch_update(Ordering::Relaxed, Ordering::Relaxed, less)
            .is_ok()
    }

    async fn pass(&self, zone: Option<&str>) {
        let mut gate = self.shared.gate.subscribe();
        let open = gate.wait_for(|gate| gate.lets(zone)).await.is_ok();
        debug_assert!(open, "the gate lives as long as its faults");
    }
}

impl Gate {
    fn lets(&self, zone: Option<&str>) -> bool {
        let cut = zone.is_some_and(|zone| self.cut.contains(zone));
        !self.frozen && !self.cut_all && !cut
    }
}
