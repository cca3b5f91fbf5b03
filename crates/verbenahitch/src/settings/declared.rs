//! Shape of the declarations: every key with its limits, default and meaning.

use super::shape::{Field, Shape};

/// Largest whole number that JSON readers agree on.
const EXACT_MAX: u64 = 1 << 53;
const DAY_MS: u64 = 86_400_000;
const CORES_MAX: u64 = 1_000_000;
const MEMORY_MAX_MIB: u64 = 1 << 30;

const fn whole(min: u64, max: u64) -> Shape {
    Shape::Integer { min, max }
}

/// Shape of the declarations.
pub const DECLARATIONS: Shape = Shape::Object(&[
    Field::or(
        "revision",
        whole(0, EXACT_MAX),
        "0",
        "number of the accepted change; set by the system",
    ),
    Field::or(
        "write-id",
        TEXT,
        "\"\"",
        "identity of the write; set by the system",
    ),
    Field::or("profiles", Shape::Map(&PROFILE), "{}", "profiles by name"),
    Field::or("kinds", Shape::Map(&KIND), "{}", "request kinds by name"),
    Field::or("teams", Shape::Map(&TEAM), "{}", "teams by name"),
    Field::or(
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
    Field::required("resources", RESOURCES, "what each task commits of its host"),
    Field::required(
        "worth",
        whole(1, 1_000),
        "worth of one finished task or one answered request",
    ),
    Field::required(
        "target-ms",
        whole(1, DAY_MS),
        "latency target of a request, or expected run time of a task",
    ),
    Field::required(
        "deadline-ms",
        whole(1, 30 * DAY_MS),
        "longest time from acceptance to the end",
    ),
    Field::or(
        "max-slowdown",
        Shape::Number {
            min: 1.0,
            max: 100.0,
        },
        "1.5",
        "largest tolerated ratio of the time taken to the time taken alone",
    ),
    Field::or(
        "min-share",
        Shape::Number {
            min: 0.01,
            max: 1.0,
        },
        "0.25",
        "least share of its processors that throttling leaves",
    ),
    Field::or("eviction", EVICTION, "{}", "rules for evicting a task"),
    Field::required(
        "idempotent",
        Shape::Flag,
        "whether running the work twice has the effect of running it once",
    ),
    Field::or(
        "urgent",
        Shape::Flag,
        "false",
        "whether tasks start ahead of all that is not urgent",
    ),
    Field::or(
        "pressure",
        Shape::Number { min: 0.0, max: 1.0 },
        "0.2",
        "prior estimate of the pressure on latency-critical neighbours",
    ),
]);

const RESOURCES: Shape = Shape::Object(&[
    Field::required(
        "millicores",
        whole(0, CORES_MAX),
        "processor time in thousandths of a core",
    ),
    Field::required(
        "memory-mib",
        whole(0, MEMORY_MAX_MIB),
        "memory in mebibytes",
    ),
    Field::or("accelerators", whole(0, 1_000), "0", "whole accelerators"),
]);

const QUOTA: Shape = Shape::Object(&[
    Field::required(
        "millicores",
        whole(0, 1_000 * CORES_MAX),
        "processor time in thousandths of a core",
    ),
    Field::required(
        "memory-mib",
        whole(0, 1_000 * MEMORY_MAX_MIB),
        "memory in mebibytes",
    ),
    Field::or(
        "accelerators",
        whole(0, 1_000_000),
        "0",
        "whole accelerators",
    ),
]);

const EVICTION: Shape = Shape::Object(&[
    Field::or(
        "allowed",
        Shape::Flag,
        "true",
        "whether a running task may be evicted at all",
    ),
    Field::or(
        "grace-ms",
        whole(0, 600_000),
        "2000",
        "time a task gets to write its checkpoint",
    ),
    Field::or(
        "hourly-budget",
        whole(0, 1_000),
        "4",
        "most evictions of one task in an hour",
    ),
]);

const KIND: Shape = Shape::Object(&[
    Field::required("path", Shape::Text, "start of the request path"),
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
        "what the team's running tasks may commit over all availability zones",
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
    Field::or(
        "shards",
        whole(1, 64),
        "1",
        "number of shards that its workers are divided into",
    ),
    Field::or(
        "ramp-ms",
        whole(0, DAY_MS),
        "30000",
        "time over which a returning zone is filled",
    ),
]);
