//! Shape of the settings: every key with its limits, default and meaning.

use super::shape::{Field, Shape};

const PORTS: Shape = Shape::Address;
const DAY_MS: u64 = 86_400_000;
const MINUTE_MS: u64 = 60_000;
const MIB: u64 = 1 << 20;

const fn whole(min: u64, max: u64) -> Shape {
    Shape::Integer { min, max }
}

const fn millis(max: u64) -> Shape {
    whole(1, max)
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
    Field::or(
        "operators",
        Shape::List(&OPERATOR),
        "[]",
        "operators that may use the operators' interface",
    ),
    Field::or("log", LOG, "{}", "logs"),
]);

const PLATFORM: Shape = Shape::Object(&[
    Field::required("store", Shape::Address, "address of the key-value service"),
    Field::required("hosts", Shape::Address, "address of the list of workers"),
    Field::or(
        "service",
        Shape::Name,
        "\"worker\"",
        "name of the workers' service in the list",
    ),
    Field::or(
        "timeout-ms",
        millis(MINUTE_MS),
        "1000",
        "time limit of a call",
    ),
    Field::or(
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
    Field::or(
        "heartbeat-ms",
        whole(50, MINUTE_MS),
        "500",
        "time between two heartbeats",
    ),
    Field::or(
        "timeout-ms",
        whole(200, MINUTE_MS),
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
    Field::required("callers", PORTS, "address that callers use"),
    Field::required(
        "operators",
        PORTS,
        "address that operators and submitters of jobs use",
    ),
    Field::required("metrics", PORTS, "address of the metrics"),
    Field::required("peers", PORTS, "address that the other processes use"),
    Field::or("threads", whole(1, 256), "2", "threads that serve requests"),
    Field::or(
        "body-limit",
        whole(1, 64 * MIB),
        "1048576",
        "largest body of a request, in bytes",
    ),
    Field::or(
        "answer-limit",
        whole(1, 64 * MIB),
        "4194304",
        "largest body of an upstream's answer, in bytes",
    ),
    Field::or(
        "head-limit",
        whole(1_024, MIB),
        "16384",
        "largest head of a request, in bytes",
    ),
    Field::or(
        "key-limit",
        whole(16, 1_024),
        "128",
        "longest idempotency key, in bytes",
    ),
    Field::or(
        "concurrency",
        whole(1, 65_536),
        "2048",
        "most requests in progress",
    ),
    Field::or(
        "subset",
        whole(1, 10_000),
        "60",
        "most upstreams that this gateway keeps connections to",
    ),
    Field::or(
        "retry-percent",
        whole(0, 100),
        "10",
        "retries per hundred first attempts",
    ),
    Field::or(
        "silence-ms",
        millis(MINUTE_MS),
        "2000",
        "longest time without progress on an upstream's connection",
    ),
    Field::or(
        "grace-ms",
        millis(DAY_MS),
        "30000",
        "longest time that a planned stop waits for requests in progress",
    ),
    Field::or(
        "once-ms",
        whole(MINUTE_MS, DAY_MS),
        "3600000",
        "time for which an idempotency key is remembered at least",
    ),
]);

const SCHEDULER: Shape = Shape::Object(&[
    Field::required("metrics", PORTS, "address of the metrics"),
    Field::required("peers", PORTS, "address that the other processes use"),
    Field::or(
        "threads",
        whole(1, 256),
        "2",
        "threads that carry out calls",
    ),
    Field::or(
        "sync-ms",
        whole(50, MINUTE_MS),
        "2000",
        "time between two syncs with a worker that has nothing new",
    ),
    Field::or(
        "sync-timeout-ms",
        whole(50, MINUTE_MS),
        "1000",
        "time limit of a sync",
    ),
    Field::or(
        "task-lease-ms",
        whole(500, DAY_MS),
        "10000",
        "lease of a task on its worker",
    ),
    Field::or(
        "shard-lease-ms",
        whole(500, DAY_MS),
        "10000",
        "lease of a shard in the store",
    ),
    Field::or(
        "permit-ms",
        whole(1_500, 5_000),
        "3000",
        "time after which a start permit lapses",
    ),
    Field::or(
        "outage-ms",
        whole(0, 7 * DAY_MS),
        "7200000",
        "time for which tasks go on while the store cannot be reached",
    ),
    Field::or(
        "commit-ms",
        whole(1, 10_000),
        "50",
        "least time between two commits of a shard",
    ),
    Field::or(
        "mark-ahead",
        whole(0, 10_000),
        "64",
        "tasks of a shard that are marked as startable ahead of their turn",
    ),
    Field::or(
        "retention-ms",
        whole(1_000, 7 * DAY_MS),
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
    Field::or(
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
