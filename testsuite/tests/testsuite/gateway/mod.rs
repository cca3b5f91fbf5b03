//! Admission, routing, retries and idempotency keys of the gateway.

mod admission;
mod fake;
mod fixture;
mod forwarding;
mod idempotency;
mod intake;
mod outcomes;
mod repeats;
mod routing;
mod silence;
mod stopping;
mod zones;
