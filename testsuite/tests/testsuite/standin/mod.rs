//! The stand-ins follow the published protocols, as the real adapters see them.

mod hosts;
mod process;
mod store;
mod worker;
