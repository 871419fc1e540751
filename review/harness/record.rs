//! Record of what was sent, answered and run, with times since the start.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Shared record; clones write to the same file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes one line.
    pub fn note(&self, text: &str) {
        let ms = self.now().as_secs_f64() * 1000.0;
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{ms:10.1} {text}").expect("the record can be written");
    }
}
