//! The record of a run: what was sent, answered and run.

use std::{
    fs::File,
    io::{self, Write},
    path::Path,
    sync::Mutex,
    time::Instant,
};

pub struct Record {
    started: Instant,
    file: Mutex<File>,
    crashes: Mutex<Vec<f64>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            started: Instant::now(),
            file: Mutex::new(File::create(path)?),
            crashes: Mutex::default(),
        })
    }

    /// Seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Records that a backend began to run a request and crashed.
    pub fn crash(&self, text: &str) {
        self.crashes.lock().unwrap().push(self.now());
        self.line(text);
    }

    /// When backends crashed, in seconds since the start of the run.
    pub fn crashes(&self) -> Vec<f64> {
        self.crashes.lock().unwrap().clone()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.now());
        let mut file = self.file.lock().unwrap();
        file.write_all(line.as_bytes())
            .expect("the record can be written");
    }
}
