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
    Field::required("platform", PLATFORM, "access to the platform's services"),
    Field::required("peers", PEERS, "communication with the other processes"),
    Field::required("gateway", GATEWAY, "settings of the gateway daemon"),
    Field::required("scheduler", SCHEDULER, "settings of the scheduler daemon"),
    Field::with_default(
        "operators",
        Shape::List(&OPERATOR),
        "[]",
        "operators that may use the operators' interface",
    ),
    Field::with_default("log", LOG, "{}", "settings of the log"),
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
    Field::with_default("timeout-ms", millis(MINUTE_MS), "1000", "timeout of a call"),
    Field::with_default(
        "hosts-interval-ms",
        millis(MINUTE_MS),
        "1000",
        "interval between two reads of the list",
    ),
]);

const PEERS: Shape = Shape::Object(&[
    Field::required(
        "token-file",
        Shape::Text,
        "file that holds the token by which processes authenticate to each other",
    ),
    Field::required(
        "seeds",
        Shape::List(&SEED),
        "processes to contact at startup",
    ),
    Field::with_default(
        "heartbeat-ms",
        integer(50, MINUTE_MS),
        "500",
        "interval between two heartbeats",
    ),
    Field::with_default(
        "timeout-ms",
        integer(200, MINUTE_MS),
        "3000",
        "time without a heartbeat after which a process is considered lost",
    ),
]);

const SEED: Shape = Shape::Object(&[Field::required(
    "address",
    Shape::Address,
    "address of the process's peer interface",
)]);

const GATEWAY: Shape = Shape::Object(&[
    Field::required("callers", LISTEN_ADDRESS, "address that callers use"),
    Field::required(
        "operators",
        LISTEN_ADDRESS,
        "address that operators and submitters of jobs use",
    ),
    Field::required("metrics", LISTEN_ADDRESS, "address of the metrics exporter"),
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
        "maximum size of a request body, in bytes",
    ),
    Field::with_default(
        "answer-limit",
        integer(1, 64 * MIB),
        "4194304",
        "maximum size of the body of an upstream's answer, in bytes",
    ),
    Field::with_default(
        "head-limit",
        integer(1_024, MIB),
        "16384",
        "maximum size of a request head (request line and headers), in bytes",
    ),
    Field::with_default(
        "key-limit",
        integer(16, 1_024),
        "128",
        "maximum length of an idempotency key, in bytes",
    ),
    Field::with_default(
        "concurrency",
        integer(1, 65_536),
        "2048",
        "maximum number of requests in progress",
    ),
    Field::with_default(
        "connections",
        integer(1, 65_536),
        "2048",
        "maximum number of connections of each listener; beyond it the one that has waited for its client for the longest time is closed",
    ),
    Field::with_default(
        "memory-limit",
        integer(8 * MIB, 65_536 * MIB),
        "134217728",
        "memory for the connections, requests and answers of each listener, in bytes; beyond it likewise",
    ),
    Field::with_default(
        "subset",
        integer(1, 10_000),
        "60",
        "maximum number of upstreams that this gateway keeps connections to",
    ),
    Field::with_default(
        "retry-percent",
        integer(0, 100),
        "10",
        "retries after failed attempts, per hundred requests",
    ),
    Field::with_default(
        "silence-ms",
        millis(MINUTE_MS),
        "2000",
        "maximum time without progress on an upstream's connection",
    ),
    Field::with_default(
        "grace-ms",
        millis(DAY_MS),
        "30000",
        "maximum time that a planned stop waits for requests in progress",
    ),
    Field::with_default(
        "once-ms",
        integer(MINUTE_MS, DAY_MS),
        "3600000",
        "minimum time for which an idempotency key is kept",
    ),
]);

const SCHEDULER: Shape = Shape::Object(&[
    Field::required("metrics", LISTEN_ADDRESS, "address of the metrics exporter"),
    Field::required(
        "peers",
        LISTEN_ADDRESS,
        "address that the other processes use",
    ),
    Field::with_default(
        "threads",
        integer(1, 256),
        "2",
        "threads that carry out calls to other processes",
    ),
    Field::with_default(
        "sync-ms",
        integer(50, MINUTE_MS),
        "2000",
        "interval between two syncs with a worker when there is nothing new to send",
    ),
    Field::with_default(
        "sync-timeout-ms",
        integer(50, MINUTE_MS),
        "1000",
        "timeout of a sync",
    ),
    Field::with_default(
        "task-lease-ms",
        integer(500, DAY_MS),
        "10000",
        "length of the lease of a task on its worker",
    ),
    Field::with_default(
        "shard-lease-ms",
        integer(500, DAY_MS),
        "10000",
        "length of the lease of a shard in the store",
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
        "time for which tasks continue while the store cannot be reached",
    ),
    Field::with_default(
        "commit-ms",
        integer(1, 10_000),
        "50",
        "minimum interval between two commits of a shard",
    ),
    Field::with_default(
        "mark-ahead",
        integer(0, 10_000),
        "64",
        "number of queued tasks per profile and shard that are marked as startable in advance",
    ),
    Field::with_default(
        "retention-ms",
        integer(1_000, 7 * DAY_MS),
        "600000",
        "time for which the state of a finished job can be queried",
    ),
]);

const OPERATOR: Shape = Shape::Object(&[
    Field::required("name", Shape::Name, "name of the operator in the log"),
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
        "minimum level that is written",
    ),
    Field::optional(
        "file",
        Shape::Text,
        "file that the log is appended to; standard error if absent",
    ),
]);
