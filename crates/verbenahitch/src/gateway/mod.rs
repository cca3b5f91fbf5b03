//! The gateway: admits callers' requests and routes them to upstreams.
