//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Writes lines with the time since the start of the script.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    /// Creates the file, in place of one of an earlier run.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { file: Mutex::new(File::create(path)?), started: Instant::now() })
    }

    /// Time since the start of the script.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes one line.
    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.now().as_secs_f64());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes one line, and prints it too.
    pub fn say(&self, text: &str) {
        println!("{:8.3} s  {text}", self.now().as_secs_f64());
        self.note(text);
    }
}
