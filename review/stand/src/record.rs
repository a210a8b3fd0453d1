//! The record of a run: what was sent, answered and run, with times.

use std::{
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Writes lines with the seconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<BufWriter<File>>>,
    began: Instant,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("the record can be written");
        Record { file: Arc::new(Mutex::new(BufWriter::new(file))), began: Instant::now() }
    }

    pub fn seconds(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().expect("the lock");
        let _ = writeln!(file, "{:8.3} {}", self.seconds(), text.as_ref());
        let _ = file.flush();
    }
}
