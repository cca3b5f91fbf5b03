//! What was sent, answered and run, for the check and for `record.txt`.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone, Debug)]
pub struct Start {
    pub at_ms: u64,
    pub task: String,
    pub worker: String,
    pub kind: String,
}

#[derive(Clone, Debug)]
pub struct End {
    pub task: String,
    pub how: String,
}

struct Notes {
    file: File,
    noted: Vec<(u64, String, u64)>,
    starts: Vec<Start>,
    ends: Vec<End>,
}

#[derive(Clone)]
pub struct Ledger {
    began: Instant,
    notes: Arc<Mutex<Notes>>,
}

impl Ledger {
    pub fn new(path: &str) -> std::io::Result<Self> {
        Ok(Self {
            began: Instant::now(),
            notes: Arc::new(Mutex::new(Notes {
                file: File::create(path)?,
                noted: Vec::new(),
                starts: Vec::new(),
                ends: Vec::new(),
            })),
        })
    }

    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn write(&self, notes: &mut Notes, text: &str) {
        let _ = writeln!(
            notes.file,
            "{:8.3} s  {text}",
            self.now_ms() as f64 / 1000.0
        );
    }

    pub fn note(&self, text: &str) {
        self.write(&mut self.notes.lock().unwrap(), text);
    }

    pub fn started(&self, task: &str, run: u64, worker: &str, kind: &str) {
        let mut notes = self.notes.lock().unwrap();
        self.write(
            &mut notes,
            &format!("{worker} ({kind}) starts {task} run {run}"),
        );
        notes.starts.push(Start {
            at_ms: self.now_ms(),
            task: task.to_owned(),
            worker: worker.to_owned(),
            kind: kind.to_owned(),
        });
    }

    pub fn ended(&self, task: &str, run: u64, worker: &str, how: &str) {
        let mut notes = self.notes.lock().unwrap();
        self.write(
            &mut notes,
            &format!("{worker} ends {task} run {run}: {how}"),
        );
        notes.ends.push(End {
            task: task.to_owned(),
            how: how.to_owned(),
        });
    }

    /// An end was taken note of: `ackedUntil` has reached it.
    pub fn noted(&self, task: &str, run: u64, how: &str) {
        if how == "done" {
            let noted = (self.now_ms(), task.to_owned(), run);
            self.notes.lock().unwrap().noted.push(noted);
        }
    }

    /// Ends `done` that were taken note of: time, task and run.
    pub fn noted_ends(&self) -> Vec<(u64, String, u64)> {
        self.notes.lock().unwrap().noted.clone()
    }

    pub fn starts(&self) -> Vec<Start> {
        self.notes.lock().unwrap().starts.clone()
    }

    pub fn ends(&self) -> Vec<End> {
        self.notes.lock().unwrap().ends.clone()
    }
}
