//! Stand-ins for the platform, the workers and the upstreams, for tests and the demo.
