//! Stand-ins follow the published protocols, checked through the real adapters.

mod demo;
mod examples;
mod fault;
mod history;
mod hosts;
mod load;
mod process;
mod silence;
mod store;
mod worker;
mod zones;
