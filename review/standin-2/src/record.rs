//! What was sent, answered and run, line by line, with the seconds since the start.

use std::fs::File;
use std::io::{self, Write};
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    begun: Instant,
}

impl Record {
    pub fn create(path: &str) -> io::Result<Record> {
        Ok(Record {
            file: Mutex::new(File::create(path)?),
            begun: Instant::now(),
        })
    }

    /// Seconds since the start.
    pub fn seconds(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:9.3} s  {text}\n", self.seconds());
        print!("{line}");
        if let Ok(mut file) = self.file.lock() {
            let _ = file.write_all(line.as_bytes());
        }
    }
}
