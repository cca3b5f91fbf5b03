//! Routing, limits, retries and at-most-once of the gateway.

mod fake;
mod fixture;
mod forwarding;
mod intake;
mod once;
mod silence;
mod stopping;
mod truth;
mod zones;
