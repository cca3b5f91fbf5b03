//! Experiments that measure what a role costs, and how the cost grows.
//!
//! The daemons run as processes of their own, so that the system tells each
//! one's processor time and memory; the stand-ins run in this process. An
//! experiment runs one size after the other and fits a line through what it
//! saw: the slope is the cost of one more worker, start or request a second.
//!
//! Bytes are those of the loopback interface, less what it carried in the same
//! time before the daemons started; nothing else should use it meanwhile.

mod experiment;
mod fit;
mod report;
mod site;
mod takeover;
mod usage;

pub use experiment::{Experiment, MeasureError, Options, run};
pub use fit::{Line, fit};
pub use report::{Report, Row};
pub use takeover::{Takeover, Takeovers, take_over};
