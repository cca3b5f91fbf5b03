//! Settings, declarations and the command line.

mod declared;
mod faults;
mod manual;
mod metrics;
