//! At most one run per idempotency key, over all entry hosts.
//!
//! A key is *claimed* in the store before its request is sent. The claim is one
//! entry under the bucket of the current time; it is created only if the
//! neighbouring buckets do not hold the key either, so that the clocks of two
//! gateways may differ by up to a bucket, and a key is remembered for at least
//! one bucket's length.
//!
//! Every claim carries a write identity. An answer of the store that was lost
//! is resolved by reading back whose identity the key holds. A claim whose
//! request provably did not run is *released*: its entry is changed to a
//! released one by compare-and-swap on its index, and never deleted, so that a
//! release that arrives late cannot remove the claim of somebody else.

mod claim;
mod committer;
mod record;

pub use committer::{Claim, Once, Ticket};
