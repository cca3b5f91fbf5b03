//! The testsuite has no library code; see `tests/`.
