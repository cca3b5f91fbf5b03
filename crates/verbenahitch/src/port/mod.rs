//! Interfaces and message types between the decision logic and external systems.
//!
//! The decision logic uses only these types; the modules under [`crate::adapter`]
//! translate them to the published protocols.

mod clock;
mod dispatch;
mod hosts;
mod kv;
mod store;
mod worker;

pub use clock::{Clock, ManualClock, SystemClock, boot_now};
pub use dispatch::{Directive, KeyDigest, KeyedAccount, Platform, QueueRoute, Queues, Unreadable};
pub use hosts::{HostRecord, HostState};
pub use kv::{Change, Item, KeyValue, KvError, Put, Transaction, find, short_cause};
pub use store::{Entry, Op, StoreError, TxnOutcome};
pub use worker::{
    Command, EndKind, Ended, LatencyReport, Refusal, Running, SyncError, SyncReply, SyncRequest,
    TaskUsage, Usage,
};
