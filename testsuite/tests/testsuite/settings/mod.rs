//! Settings and declarations, and the manual pages that list them.

mod declared;
mod faults;
mod manual;
mod metrics;
