//! The way of a request: intake, checks, attempts at upstreams, answer.

mod answer;
mod body;
mod callers;
mod forward;
mod handler;
mod head;
mod header;
pub(super) mod report;
mod serve;
mod shared;

pub use answer::{Cause, Refusal};
pub use callers::{Callers, Deps, Stats};
pub use serve::Call;
pub use shared::Shared;
