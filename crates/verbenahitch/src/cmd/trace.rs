//! `verbenahitch trace`: the way of one job or task through several logs.

use std::io::Read;
use std::path::PathBuf;

use bpaf::Bpaf;
use verbenahitch::event::trace;

use super::Exit;

/// Arguments.
#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    /// Identifier of a job, or name of a task
    #[bpaf(positional("ID"))]
    id: String,
    /// Logs of processes; standard input without any
    #[bpaf(positional("LOG"), many)]
    logs: Vec<PathBuf>,
}

impl Args {
    /// Carries the subcommand out.
    pub fn execute(self) -> Exit {
        let text = match self.read() {
            Ok(text) => text,
            Err(error) => {
                eprintln!("error: {error}");
                return Exit::Usage;
            }
        };
        let trace = trace(&self.id, text.lines());
        for line in &trace.lines {
            println!("{line}");
        }
        if trace.foreign > 0 {
            eprintln!("{} lines are not lines of a log", trace.foreign);
        }
        if trace.lines.is_empty() {
            eprintln!("error: no line names {}", self.id);
            return Exit::Refused;
        }
        Exit::Success
    }

    fn read(&self) -> Result<String, String> {
        let mut text = String::new();
        if self.logs.is_empty() {
            let read = std::io::stdin().read_to_string(&mut text);
            read.map_err(|error| format!("standard input: {error}"))?;
        }
        for log in &self.logs {
            let part = std::fs::read_to_string(log);
            text += &part.map_err(|error| format!("{}: {error}", log.display()))?;
            text.push('\n');
        }
        Ok(text)
    }
}
