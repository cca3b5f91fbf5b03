//! The `verbenahitch` command: parses the arguments and runs a subcommand.

mod cmd;

use std::process::ExitCode;

use bpaf::{Args, ParseFailure};

/// Maximum length of a line of help, in characters.
const HELP_WIDTH: usize = 100;

fn main() -> ExitCode {
    match cmd::command().run_inner(Args::current_args()) {
        Ok(command) => command.execute().into(),
        Err(ParseFailure::Stderr(message)) => {
            eprintln!("error: {}", message.monochrome(true));
            cmd::Exit::Usage.into()
        }
        Err(failure) => {
            failure.print_message(HELP_WIDTH);
            ExitCode::SUCCESS
        }
    }
}
