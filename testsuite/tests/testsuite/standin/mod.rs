//! The stand-ins follow the published protocols, as the real adapters see them.

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
