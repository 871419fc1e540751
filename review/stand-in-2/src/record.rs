//! The record of a run: lines with the time since its start.

use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

static RECORD: OnceLock<(Mutex<File>, Instant)> = OnceLock::new();

/// Creates the file of the record.
pub fn open(path: &str) {
    let file = File::create(path).expect("the record cannot be written");
    let _ = RECORD.set((Mutex::new(file), Instant::now()));
}

/// Seconds since the start of the run.
pub fn elapsed_s() -> f64 {
    RECORD.get().map_or(0.0, |(_, start)| start.elapsed().as_secs_f64())
}

/// Adds a line to the record and prints it.
pub fn line(text: &str) {
    let text = format!("{:8.3} s  {text}", elapsed_s());
    println!("{text}");
    if let Some((file, _)) = RECORD.get() {
        let _ = writeln!(file.lock().unwrap(), "{text}");
    }
}
