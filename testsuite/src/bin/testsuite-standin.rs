//! The `verbenahitch-standin` command, built together with the tests that start it.

use std::process::ExitCode;

fn main() -> ExitCode {
    verbenahitch_standin::command::run()
}
