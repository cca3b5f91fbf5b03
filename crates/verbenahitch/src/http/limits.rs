//! Limits of a listener, and how they follow from the resources of a host.

use std::time::Duration;

/// Copies of its body that a request holds while it is served: the body, its parsed and its encoded
/// form, and what carries the latter to the store.
const BODY_COPIES: usize = 6;

/// Receive buffer of a connection in bytes; the kernel doubles it. Bytes that wait there count as
/// memory of the process, too.
pub(super) const RECEIVE_BUFFER: u32 = 32 << 10;

/// Connections of a listener that only operators and monitoring use.
const FEW_CONNECTIONS: usize = 32;

/// Memory of such a listener in bytes.
const FEW_MEMORY: usize = 4 << 20;

/// Largest head of a request in bytes, unless a listener has another limit.
const HEAD_LIMIT: usize = 16 << 10;

/// Limits of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Longest time that a stop waits for requests in progress.
    pub grace: Duration,
    /// Largest number of connections.
    pub connections: usize,
    /// Memory of all connections with their requests and answers, in bytes.
    pub memory: usize,
    /// Largest head of a request in bytes.
    pub head: usize,
    /// Copies of its body that a request holds while it is served.
    pub copies: usize,
}

impl Limits {
    /// Limits of the callers' listener of a process with so much memory in bytes and so many
    /// descriptors for sockets. A quarter of the memory is for requests, another for receive
    /// buffers. A quarter of the descriptors is for callers, as each request that is served may
    /// need a connection to the store, and workers need the rest.
    pub fn of_process(memory: usize, descriptors: usize, grace: Duration) -> Self {
        let buffered = memory / 4 / (2 * RECEIVE_BUFFER as usize);
        Self {
            grace,
            connections: buffered.min(descriptors / 4).max(1),
            memory: memory / 4,
            head: HEAD_LIMIT,
            copies: BODY_COPIES,
        }
    }

    /// Limits of a listener that only operators and monitoring use.
    pub const fn few(grace: Duration) -> Self {
        Self {
            grace,
            connections: FEW_CONNECTIONS,
            memory: FEW_MEMORY,
            head: HEAD_LIMIT,
            copies: BODY_COPIES,
        }
    }
}
