//! Empty: the test suite consists of the tests in `tests/`.
