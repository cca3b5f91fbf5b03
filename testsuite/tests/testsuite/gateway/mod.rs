//! Routing, limits, retries and at-most-once of the gateway.
