//! The stand-ins follow the published protocols.
