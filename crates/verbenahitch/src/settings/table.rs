//! Shape of the settings: every key with its limits, default and meaning.

use super::shape::{Field, Shape};

const LISTEN_ADDRESS: Shape = Shape::Address;
const DAY_MS: u64 = 86_400_000;
const MINUTE_MS: u64 = 60_000;
const MIB: u64 = 1 << 20;

const fn integer(min: u64, max: u64) -> Shape {
    Shape::Integer { min, max }
}

const fn millis(max: u64) -> Shape {
    integer(1, max)
}

/// Shape of the settings of one entry host.
pub const SETTINGS: Shape = Shape::Object(&[
    Field::required(
        "name",
        Shape::Name,
        "name of the entry host, unique in the deployment",
    ),
    Field::required("zone", Shape::Name, "availability zone of the entry host"),
    Field::required("platform", PLATFORM, "the platform's services"),
    Field::required("peers", PEERS, "the other processes of the system"),
    Field::required("gateway", GATEWAY, "the gateway daemon"),
    Field::required("scheduler", SCHEDULER, "the scheduler daemon"),
    Field::with_default(
        "operators",
        Shape::List(&OPERATOR),
        "[]",
        "operators that may use the operators' interface",
    ),
    Field::with_default("log", LOG, "{}", "logs"),
]);

const PLATFORM: Shape = Shape::Object(&[
    Field::required("store", Shape::Address, "address of the key-value service"),
    Field::required("hosts", Shape::Address, "address of the list of workers"),
    Field::with_default(
        "service",
        Shape::Name,
        "\"worker\"",
        "name of the workers' service in the list",
    ),
    Field::with_default(
        "timeout-ms",
        millis(MINUTE_MS),
        "1000",
        "time limit of a call",
    ),
    Field::with_default(
        "hosts-interval-ms",
        millis(MINUTE_MS),
        "1000",
        "time between two readings of the list",
    ),
]);

const PEERS: Shape = Shape::Object(&[
    Field::required(
        "token-file",
        Shape::Text,
        "file that holds the token which processes show each other",
    ),
    Field::required(
        "seeds",
        Shape::List(&SEED),
        "processes to greet at the start",
    ),
    Field::with_default(
        "heartbeat-ms",
        integer(50, MINUTE_MS),
        "500",
        "time between two heartbeats",
    ),
    Field::with_default(
        "timeout-ms",
        integer(200, MINUTE_MS),
        "3000",
        "time without a heartbeat after which a process is presumed gone",
    ),
]);

const SEED: Shape = Shape::Object(&[Field::required(
    "address",
    Shape::Address,
    "address of its peer interface",
)]);

const GATEWAY: Shape = Shape::Object(&[
    Field::required("callers", LISTEN_ADDRESS, "address that callers use"),
    Field::required(
        "operators",
        LISTEN_ADDRESS,
        "address that operators and submitters of jobs use",
    ),
    Field::required("metrics", LISTEN_ADDRESS, "address of the metrics"),
    Field::required(
        "peers",
        LISTEN_ADDRESS,
        "address that the other processes use",
    ),
    Field::with_default(
        "threads",
        integer(1, 256),
        "2",
        "threads that serve requests",
    ),
    Field::with_default(
        "body-limit",
        integer(1, 64 * MIB),
        "1048576",
        "largest body of a request, in bytes",
    ),
    Field::with_default(
        "answer-limit",
        integer(1, 64 * MIB),
        "4194304",
        "largest body of an upstream's answer, in bytes",
    ),
    Field::with_default(
        "head-limit",
        integer(1_024, MIB),
        "16384",
        "largest head of a request, in bytes",
    ),
    Field::with_default(
        "key-limit",
        integer(16, 1_024),
        "128",
        "longest idempotency key, in bytes",
    ),
    Field::with_default(
        "concurrency",
        integer(1, 65_536),
        "2048",
        "most requests in progress",
    ),
    Field::with_default(
        "subset",
        integer(1, 10_000),
        "60",
        "most upstreams that this gateway keeps connections to",
    ),
    Field::with_default(
        "retry-percent",
        integer(0, 100),
        "10",
        "retries per hundred first attempts",
    ),
    Field::with_default(
        "silence-ms",
        millis(MINUTE_MS),
        "2000",
        "longest time without progress on an upstream's connection",
    ),
    Field::with_default(
        "grace-ms",
        millis(DAY_MS),
        "30000",
        "longest time that a planned stop waits for requests in progress",
    ),
    Field::with_default(
        "once-ms",
        integer(MINUTE_MS, DAY_MS),
        "3600000",
        "time for which an idempotency key is remembered at least",
    ),
]);

const SCHEDULER: Shape = Shape::Object(&[
    Field::required("metrics", LISTEN_ADDRESS, "address of the metrics"),
    Field::required(
        "peers",
        LISTEN_ADDRESS,
        "address that the other processes use",
    ),
    Field::with_default(
        "threads",
        integer(1, 256),
        "2",
        "threads that carry out calls",
    ),
    Field::with_default(
        "sync-ms",
        integer(50, MINUTE_MS),
        "2000",
        "time between two syncs with a worker that has nothing new",
    ),
    Field::with_default(
        "sync-timeout-ms",
        integer(50, MINUTE_MS),
        "1000",
        "time limit of a sync",
    ),
    Field::with_default(
        "task-lease-ms",
        integer(500, DAY_MS),
        "10000",
        "lease of a task on its worker",
    ),
    Field::with_default(
        "shard-lease-ms",
        integer(500, DAY_MS),
        "10000",
        "lease of a shard in the store",
    ),
    Field::with_default(
        "permit-ms",
        integer(1_500, 5_000),
        "3000",
        "time after which a start permit lapses",
    ),
    Field::with_default(
        "outage-ms",
        integer(0, 7 * DAY_MS),
        "7200000",
        "time for which tasks go on while the store cannot be reached",
    ),
    Field::with_default(
        "commit-ms",
        integer(1, 10_000),
        "50",
        "least time between two commits of a shard",
    ),
    Field::with_default(
        "mark-ahead",
        integer(0, 10_000),
        "64",
        "tasks of a shard that are marked as startable ahead of their turn",
    ),
    Field::with_default(
        "retention-ms",
        integer(1_000, 7 * DAY_MS),
        "600000",
        "time for which a finished job can be asked about",
    ),
]);

const OPERATOR: Shape = Shape::Object(&[
    Field::required("name", Shape::Name, "name that appears in the log"),
    Field::required(
        "token-file",
        Shape::Text,
        "file that holds the operator's bearer token",
    ),
]);

const LOG: Shape = Shape::Object(&[
    Field::with_default(
        "level",
        Shape::Choice(&["off", "error", "warn", "info", "debug"]),
        "\"info\"",
        "least level that is written",
    ),
    Field::optional(
        "file",
        Shape::Text,
        "file to append to; standard error if absent",
    ),
]);
