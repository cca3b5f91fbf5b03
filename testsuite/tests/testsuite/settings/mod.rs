//! Settings, declarations and the command line.
