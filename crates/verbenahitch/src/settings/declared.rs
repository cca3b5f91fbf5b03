//! Shape of the declarations: every key with its limits, default and meaning.

use super::shape::{Field, Shape};

/// Bound up to which every JSON parser represents integers exactly, also as doubles.
const MAX_EXACT_INTEGER: u64 = 1 << 53;
const DAY_MS: u64 = 86_400_000;
const MAX_MILLICORES: u64 = 1_000_000;
const MAX_MEMORY_MIB: u64 = 1 << 30;

const fn integer(min: u64, max: u64) -> Shape {
    Shape::Integer { min, max }
}

/// Shape of the declarations.
pub const DECLARATIONS: Shape = Shape::Object(&[
    Field::with_default(
        "revision",
        integer(0, MAX_EXACT_INTEGER),
        "0",
        "number of the accepted change; set by the system",
    ),
    Field::with_default(
        "write-id",
        TEXT,
        "\"\"",
        "ID of the write; set by the system",
    ),
    Field::with_default("profiles", Shape::Map(&PROFILE), "{}", "profiles by name"),
    Field::with_default("kinds", Shape::Map(&KIND), "{}", "request kinds by name"),
    Field::with_default("teams", Shape::Map(&TEAM), "{}", "teams by name"),
    Field::with_default(
        "zones",
        Shape::Map(&ZONE),
        "{}",
        "availability zones by name",
    ),
]);

const TEXT: Shape = Shape::Text;

const PROFILE: Shape = Shape::Object(&[
    Field::required(
        "class",
        Shape::Choice(&["latency-critical", "batch"]),
        "class of the work",
    ),
    Field::required(
        "team",
        Shape::Name,
        "team whose quota the work counts against",
    ),
    Field::required(
        "resources",
        RESOURCES,
        "resources that each task commits on its host",
    ),
    Field::required(
        "worth",
        integer(1, 1_000),
        "value of one finished task or one answered request",
    ),
    Field::required(
        "target-ms",
        integer(1, DAY_MS),
        "latency target of a request, or expected run time of a task",
    ),
    Field::required(
        "deadline-ms",
        integer(1, 30 * DAY_MS),
        "maximum time from acceptance to completion",
    ),
    Field::with_default(
        "max-slowdown",
        Shape::Number {
            min: 1.0,
            max: 100.0,
        },
        "1.5",
        "maximum tolerated ratio of the time taken to the time taken without interference",
    ),
    Field::with_default(
        "min-share",
        Shape::Number {
            min: 0.01,
            max: 1.0,
        },
        "0.25",
        "minimum CPU share of a task under throttling",
    ),
    Field::with_default("eviction", EVICTION, "{}", "rules for evicting a task"),
    Field::required(
        "idempotent",
        Shape::Flag,
        "whether running the work twice has the same effect as running it once",
    ),
    Field::with_default(
        "urgent",
        Shape::Flag,
        "false",
        "whether tasks start before all tasks that are not urgent",
    ),
    Field::with_default(
        "pressure",
        Shape::Number { min: 0.0, max: 1.0 },
        "0.2",
        "prior estimate of the slowdown that one task adds to latency-critical work on the same host",
    ),
]);

const RESOURCES: Shape = Shape::Object(&[
    Field::required(
        "millicores",
        integer(0, MAX_MILLICORES),
        "CPU in thousandths of a core",
    ),
    Field::required(
        "memory-mib",
        integer(0, MAX_MEMORY_MIB),
        "memory in mebibytes",
    ),
    Field::with_default(
        "accelerators",
        integer(0, 1_000),
        "0",
        "number of whole accelerators",
    ),
]);

const QUOTA: Shape = Shape::Object(&[
    Field::required(
        "millicores",
        integer(0, 1_000 * MAX_MILLICORES),
        "CPU in thousandths of a core",
    ),
    Field::required(
        "memory-mib",
        integer(0, 1_000 * MAX_MEMORY_MIB),
        "memory in mebibytes",
    ),
    Field::with_default(
        "accelerators",
        integer(0, 1_000_000),
        "0",
        "number of whole accelerators",
    ),
]);

const EVICTION: Shape = Shape::Object(&[
    Field::with_default(
        "allowed",
        Shape::Flag,
        "true",
        "whether a running task may be evicted at all",
    ),
    Field::with_default(
        "grace-ms",
        integer(0, 600_000),
        "2000",
        "time that a task has to write its checkpoint before it is stopped",
    ),
    Field::with_default(
        "hourly-budget",
        integer(0, 1_000),
        "4",
        "maximum number of evictions of one task per hour",
    ),
]);

const KIND: Shape = Shape::Object(&[
    Field::required("path", Shape::Text, "prefix of the request path"),
    Field::required(
        "profile",
        Shape::Name,
        "profile that requests of the kind run under",
    ),
]);

const TEAM: Shape = Shape::Object(&[
    Field::required(
        "quota",
        QUOTA,
        "resources that the team's running tasks may commit over all availability zones",
    ),
    Field::required(
        "token-digest",
        Shape::Text,
        "hexadecimal SHA-256 digest of the team's bearer token",
    ),
]);

const ZONE: Shape = Shape::Object(&[
    Field::required(
        "state",
        Shape::Choice(&["in", "out"]),
        "whether the zone takes work",
    ),
    Field::with_default(
        "shards",
        integer(1, 64),
        "1",
        "number of shards that its workers are divided into",
    ),
    Field::with_default(
        "ramp-ms",
        integer(0, DAY_MS),
        "30000",
        "time over which the workers of a returning zone start to take tasks again",
    ),
]);
