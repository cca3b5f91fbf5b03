//! Catalogue of events.

use log::Level;

macro_rules! catalogue {
    ($($variant:ident = $number:literal, $name:literal, $level:ident, $summary:literal;)*) => {
        /// Kind of an event; the meaning of a number never changes.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[repr(u16)]
        pub enum Kind {
            $(#[doc = $summary] $variant = $number,)*
        }

        impl Kind {
            /// All kinds in the order of their numbers.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Number in the catalogue.
            pub const fn number(self) -> u16 {
                match self { $(Self::$variant => $number,)* }
            }

            /// Name in the catalogue.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$variant => $name,)* }
            }

            /// Level that the event is logged at.
            pub const fn level(self) -> Level {
                match self { $(Self::$variant => Level::$level,)* }
            }

            /// Meaning of the event, as in the catalogue.
            pub const fn summary(self) -> &'static str {
                match self { $(Self::$variant => $summary,)* }
            }
        }
    };
}

catalogue! {
    Started = 1, "started", Info, "A process has started and listens.";
    Stopping = 2, "stopping", Info, "A process was told to stop and finishes what is in progress.";
    Stopped = 3, "stopped", Info, "A process has finished all that was in progress.";
    Routed = 100, "routed", Info, "A request was given to an upstream.";
    Answered = 101, "answered", Info, "A request got its final answer.";
    Refused = 102, "refused", Info, "A request was refused and has not run.";
    Retried = 103, "retried", Info, "A request was tried again at another upstream.";
    OutcomeUnknown = 104, "outcome-unknown", Warn, "A request may or may not have run.";
    UpstreamEjected = 110, "upstream-ejected", Warn, "An upstream gets no requests for a while.";
    UpstreamReturned = 111, "upstream-returned", Info, "An upstream gets requests again.";
    UpstreamLeaving = 112, "upstream-leaving", Info, "An upstream is leaving and gets no new requests.";
    ConnectionRetired = 113, "connection-retired", Warn, "A connection without progress was given up.";
    JobAccepted = 200, "job-accepted", Info, "The store holds a job.";
    JobRefused = 201, "job-refused", Info, "A job was refused; nothing of it is kept.";
    JobFinished = 202, "job-finished", Info, "All tasks of a job have ended.";
    JobCancelled = 203, "job-cancelled", Info, "A job was cancelled.";
    JobMoved = 204, "job-moved", Info, "A job was handed over to another shard.";
    JobAdopted = 205, "job-adopted", Info, "A job was taken over from another shard.";
    Placed = 210, "placed", Info, "A task was given to a worker.";
    Waiting = 211, "waiting", Info, "A task found no worker and waits.";
    TaskEnded = 212, "task-ended", Info, "A task has ended.";
    TaskRequeued = 213, "task-requeued", Info, "A task will start again from its newest checkpoint.";
    TaskUnknown = 214, "task-unknown", Error, "A task that is not idempotent may have run; it will not run again.";
    Evicted = 220, "evicted", Info, "A task was told to write a checkpoint and stop.";
    Throttled = 221, "throttled", Info, "The share of processors of a task was changed.";
    Pressure = 222, "pressure", Info, "The work of one profile slowed that of another.";
    WorkerQuarantined = 230, "worker-quarantined", Warn, "A worker that fails what it starts gets only probes.";
    WorkerRestored = 231, "worker-restored", Info, "A quarantined worker passed its probe.";
    WorkerUnreachable = 232, "worker-unreachable", Warn, "A worker does not answer.";
    WorkerAnswering = 233, "worker-answering", Info, "A worker answers, first or again.";
    ShardAcquired = 300, "shard-acquired", Info, "This process owns a shard.";
    ShardRecovered = 301, "shard-recovered", Info, "Every worker of a shard has answered or its leases have lapsed.";
    ShardLost = 302, "shard-lost", Warn, "This process no longer owns a shard.";
    ShardReleased = 303, "shard-released", Info, "This process gave a shard up.";
    OwnerElected = 304, "owner-elected", Info, "This process owns the dispatching.";
    OwnerLost = 305, "owner-lost", Warn, "This process no longer owns the dispatching.";
    OwnerChanged = 306, "owner-changed", Info, "Another process owns the dispatching, or none.";
    StoreDown = 310, "store-down", Warn, "The platform's store does not answer.";
    StoreUp = 311, "store-up", Info, "The platform's store answers again.";
    PermitLapsed = 312, "permit-lapsed", Warn, "No task may start until it is known that the zone is in service.";
    PermitRenewed = 313, "permit-renewed", Info, "Tasks may start again.";
    Declared = 400, "declared", Info, "A newer revision of the declarations is in force.";
    DeclarationsChanged = 401, "declarations-changed", Info, "An operator's change was accepted.";
    DeclarationsRefused = 402, "declarations-refused", Info, "An operator's change was refused.";
    OperatorRejected = 403, "operator-rejected", Warn, "A call to the operators' interface had no valid token.";
    PeerRejected = 404, "peer-rejected", Warn, "A call from another process had no valid token.";
    PeerLost = 405, "peer-lost", Warn, "Another process is no longer heard.";
    PeerHeard = 406, "peer-heard", Info, "Another process is heard, first or again.";
    DeclarationUnreadable = 407, "declaration-unreadable", Warn, "What operators or workers wrote cannot be read; the last good one stays.";
}
