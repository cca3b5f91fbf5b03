//! The `verbenahitch-standin` command.

use std::process::ExitCode;

fn main() -> ExitCode {
    verbenahitch_standin::command::run()
}
