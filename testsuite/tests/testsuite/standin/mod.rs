//! The stand-ins follow the published protocols, as the real adapters see them.

mod fault;
mod history;
mod hosts;
mod process;
mod store;
mod worker;
