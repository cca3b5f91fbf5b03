//! `verbenahitch trace`: follows one job or task through the logs of several processes.

use std::io::Read;
use std::path::PathBuf;

use bpaf::Bpaf;
use verbenahitch::event::trace;

use super::Exit;

/// Arguments.
#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    /// ID of a job, or name of a task
    #[bpaf(positional("ID"))]
    id: String,
    /// Log files of processes (default: standard input)
    #[bpaf(positional("LOG"), many)]
    logs: Vec<PathBuf>,
}

impl Args {
    /// Runs the subcommand.
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
        if trace.unparsed > 0 {
            eprintln!("skipped {} lines that are not log entries", trace.unparsed);
        }
        if trace.lines.is_empty() {
            eprintln!("error: no log line mentions {}", self.id);
            return Exit::Failed;
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
