//! Record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            began: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    /// Milliseconds since the begin.
    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn note(&self, line: impl AsRef<str>) {
        let line = format!("{:>7} ms  {}\n", self.now_ms(), line.as_ref());
        let mut file = self.file.lock().expect("no holder panics");
        let _ = file.write_all(line.as_bytes());
    }
}
