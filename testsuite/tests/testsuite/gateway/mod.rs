//! Routing, limits, retries and at-most-once of the gateway.

mod admission;
mod fake;
mod fixture;
mod forwarding;
mod intake;
mod once;
mod routing;
mod silence;
mod stopping;
mod truth;
mod zones;
