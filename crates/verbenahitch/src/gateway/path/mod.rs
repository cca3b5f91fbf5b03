//! Request path: receives a request, checks it, sends it upstream, and answers.

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
pub use callers::{CallerListener, Deps, Stats};
pub use serve::Call;
pub use shared::Shared;
