//! Estimates of interference and measures against it.
