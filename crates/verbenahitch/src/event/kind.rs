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
    Stopping = 2, "stopping", Info, "A process received a request to stop and finishes the work in progress.";
    Stopped = 3, "stopped", Info, "A process has finished all work in progress.";
    Routed = 100, "routed", Info, "An upstream was chosen for a request.";
    Answered = 101, "answered", Info, "A request got its final answer.";
    Refused = 102, "refused", Info, "A request was refused and has not run.";
    Retried = 103, "retried", Info, "An upstream was chosen for another attempt of a request.";
    OutcomeUnknown = 104, "outcome-unknown", Warn, "A request may or may not have run.";
    UpstreamEjected = 110, "upstream-ejected", Warn, "An upstream was ejected and gets no requests for a while.";
    UpstreamReturned = 111, "upstream-returned", Info, "An upstream gets requests again.";
    UpstreamLeaving = 112, "upstream-leaving", Info, "An upstream or a worker is leaving and gets no new work.";
    ConnectionRetired = 113, "connection-retired", Warn, "The connections to an upstream were replaced after a failure or a lack of progress.";
    ConnectionsEvicted = 114, "connections-evicted", Warn, "Connections were closed because others needed their place or their memory, or because their clients took too long; at most once a second for each cause.";
    JobAccepted = 200, "job-accepted", Info, "A job was accepted and stored.";
    JobRefused = 201, "job-refused", Info, "A job was refused and not stored.";
    JobFinished = 202, "job-finished", Info, "All tasks of a job have ended.";
    JobCancelled = 203, "job-cancelled", Info, "A job was cancelled.";
    JobMoved = 204, "job-moved", Info, "A job was handed over to another shard.";
    JobAdopted = 205, "job-adopted", Info, "A job was taken over from another shard.";
    CancelDecided = 206, "cancel-decided", Info, "A cancel was decided; the cause says whether it is stored, or why not.";
    Placed = 210, "placed", Info, "A task was assigned to a worker.";
    Waiting = 211, "waiting", Info, "A task waits because it cannot be placed yet.";
    TaskEnded = 212, "task-ended", Info, "A task has ended.";
    TaskRequeued = 213, "task-requeued", Info, "A task was requeued and will resume from its newest checkpoint.";
    TaskUnknown = 214, "task-unknown", Error, "A task that is not idempotent may have run; it will not run again.";
    OrderFailed = 215, "order-failed", Info, "A worker refused an order or a first poll, or did not answer it.";
    StartRenewed = 216, "start-renewed", Info, "The worker of a start that was not sent yet has restarted; the start is recorded again for it.";
    StepsSkipped = 217, "steps-skipped", Info, "An assignment did not try all waiting steps; at most once a second, with the step that was tried longest ago.";
    OwedStarted = 218, "owed-started", Info, "A filler starts throttled although standing tasks may need what it takes: nothing of its job has run for long, and most of the CPU is free.";
    LapseJudged = 219, "lapse-judged", Info, "It is known of a worker whose leases had lapsed whether it crashed under its runs.";
    Evicted = 220, "evicted", Info, "A task was ordered to stop, or a copy of a slow task was requested on another worker.";
    Throttled = 221, "throttled", Info, "The CPU share of a task was changed, or the task is to restart on another worker.";
    Pressure = 222, "pressure", Info, "The estimated interference between two profiles or images has changed.";
    CapReached = 223, "cap-reached", Info, "A client account has no room under its cap for a waiting task.";
    AccountWaiting = 224, "account-waiting", Info, "The work of a client account waits, with the reason.";
    Overload = 225, "overload", Info, "Standing tasks wait, or jobs that cannot all be in time; at most once a second.";
    LeaseAwaited = 226, "lease-awaited", Info, "Runs of a worker that does not answer may go on until its leases have lapsed.";
    CrashSuspected = 227, "crash-suspected", Warn, "A worker crashed soon after the start of a task, which may be at fault.";
    TaskGivenUp = 228, "task-given-up", Warn, "A task has failed as often as its queue allows, or workers crashed under it once too often; its job has failed.";
    RoomChanged = 229, "room-changed", Info, "A worker says of itself that it has more or less room.";
    WorkerQuarantined = 230, "worker-quarantined", Warn, "A worker whose tasks keep failing is quarantined: it gets no tasks, or only probes.";
    WorkerRestored = 231, "worker-restored", Info, "A quarantined worker passed its probe.";
    WorkerUnreachable = 232, "worker-unreachable", Warn, "A worker does not answer, is no longer listed, or has an entry that cannot be read.";
    WorkerAnswering = 233, "worker-answering", Info, "A worker answers for the first time, again or after a restart.";
    ShardAcquired = 300, "shard-acquired", Info, "This process acquired a shard.";
    ShardRecovered = 301, "shard-recovered", Info, "The recovery of a shard or of the dispatcher after a change of owner is complete.";
    ShardLost = 302, "shard-lost", Warn, "This process no longer owns a shard.";
    ShardReleased = 303, "shard-released", Info, "This process released a shard.";
    OwnerElected = 304, "owner-elected", Info, "This process was elected owner and runs the dispatcher.";
    OwnerLost = 305, "owner-lost", Warn, "This process is no longer the owner.";
    OwnerChanged = 306, "owner-changed", Info, "There is a new owner, or no owner.";
    OwnershipRequested = 307, "ownership-requested", Info, "Another host asks this owner for the ownership.";
    OwnerLag = 308, "owner-lag", Warn, "The owner's event loop began, or ceased, to run late.";
    OwnerRetired = 309, "owner-retired", Info, "This owner ends its term as planned and records how long leases may last.";
    StoreDown = 310, "store-down", Warn, "The platform's store does not answer.";
    StoreUp = 311, "store-up", Info, "The platform's store answers, for the first time or again.";
    PermitLapsed = 312, "permit-lapsed", Warn, "No task may start until the zone is confirmed to be in service.";
    PermitRenewed = 313, "permit-renewed", Info, "Tasks may start again.";
    StateUnread = 314, "state-unread", Warn, "A new owner could not read a part of the stored state.";
    CommitFailed = 315, "commit-failed", Warn, "The store did not take a commit of the owner, or did not answer it.";
    WriteHeld = 316, "write-held", Error, "The store does not take a part of what the owner writes; it is left out for a while, the rest goes on.";
    Declared = 400, "declared", Info, "A newer revision of the declarations is in force.";
    DeclarationsChanged = 401, "declarations-changed", Info, "An operator's change was accepted.";
    DeclarationsRefused = 402, "declarations-refused", Info, "An operator's change was refused.";
    OperatorRejected = 403, "operator-rejected", Warn, "A call to the operators' interface had no valid token.";
    PeerRejected = 404, "peer-rejected", Warn, "A call from another process had no valid token.";
    PeerLost = 405, "peer-lost", Warn, "Another process is no longer live.";
    PeerHeard = 406, "peer-heard", Info, "Another process is live, for the first time or again.";
    DeclarationUnreadable = 407, "declaration-unreadable", Warn, "An entry of the store, or a row of a worker's list, cannot be read and is ignored; once for a key or worker, again after a minute at the earliest, of the operators' document once for each revision.";
    KeyRefused = 408, "key-refused", Info, "A call was refused: its key is missing, unknown or withdrawn, or what this host knows of keys is too old.";
    DeclarationsOutdated = 409, "declarations-outdated", Warn, "The store has not confirmed the declarations in time; calls with keys are refused.";
    DeclarationsConfirmed = 410, "declarations-confirmed", Info, "The store has confirmed the declarations, for the first time or again; calls with keys are served.";
}
