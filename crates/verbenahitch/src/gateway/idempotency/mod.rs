//! Runs a request at most once per idempotency key, across all entry hosts.
//!
//! A key is *claimed* in the store before its request is sent. The claim is one
//! entry in the bucket of the current time; it is created only if the
//! neighbouring buckets do not hold the key either, so that the clocks of two
//! gateways may differ by up to a bucket, and a key is remembered for at least
//! one bucket's length.
//!
//! Every claim carries a unique write ID. If an answer of the store is lost, the
//! write ID that the key holds shows whether the claim was written. A claim
//! whose request provably did not run is *released*: its entry is marked as
//! released by compare-and-swap on its index, and never deleted, so that a
//! delayed release cannot remove another request's claim.

mod claim;
mod committer;
mod record;

pub use committer::{Claim, ClaimResult, Idempotency};
