//! Experiments that measure the resources a role uses, and how they grow with
//! the number of workers, starts or requests.
//!
//! The daemons run as separate processes, so that the operating system reports
//! the CPU time and memory of each; the stand-ins run in this process. An
//! experiment runs one size after the other and fits a line to the measured
//! values: the slope is the cost of one more worker, start or request per second.
//!
//! Bytes are those of the loopback interface, less its rate before the daemons
//! started; nothing else should use the interface during an experiment.

mod experiment;
mod fit;
mod report;
mod takeover;
mod testbed;
mod usage;

pub use experiment::{Experiment, MeasureError, Options, run};
pub use fit::{Line, fit};
pub use report::{Report, Row};
pub use takeover::{Takeover, Takeovers, run_takeovers};
