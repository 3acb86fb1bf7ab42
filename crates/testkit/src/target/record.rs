//! The record of the requests that the target stand-in accepted.

use std::{
    collections::BTreeMap,
    fs::{File, OpenOptions},
    io::Write,
    path::Path,
    sync::{Mutex, PoisonError},
    time::{SystemTime, UNIX_EPOCH},
};

use serde::{Deserialize, Serialize};

/// How a request ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request was processed to its end.
    Done,
    /// The connection closed or the deadline passed before that.
    Cancelled,
    /// The grant of the slice expired before that.
    Expired,
}

/// A line of the record file.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// A request took a slot.
    Start(Entry),
    /// The request ended.
    End {
        /// Number of the request within the process.
        number: u64,
        /// The process that wrote the line.
        incarnation: u64,
        /// Microseconds since the Unix epoch.
        at_us: u64,
        /// How the request ended.
        outcome: Outcome,
    },
    /// The process exited, which ended all of its open requests.
    Exit {
        /// Microseconds since the Unix epoch.
        at_us: u64,
    },
}

impl Event {
    /// The event as a line of the record file.
    ///
    /// # Panics
    ///
    /// Panics if the event cannot be written as JSON.
    #[must_use]
    pub fn line(&self) -> String {
        let text = serde_json::to_string(self).expect("event can be serialised as JSON");
        text + "\n"
    }
}

/// An accepted request.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Number of the request within the process.
    pub number: u64,
    /// The target's incarnation.
    pub incarnation: u64,
    /// The service.
    pub service: String,
    /// The request's identifier.
    pub id: String,
    /// The idempotency key, empty if there is none.
    pub idempotency_key: String,
    /// The hash of the key, 16 hex digits.
    pub key_hash: String,
    /// The path.
    pub path: String,
    /// The gateway's epoch.
    pub epoch: u64,
    /// The slice's generation.
    pub generation: u64,
    /// Start of the processing in microseconds since the Unix epoch.
    pub start_us: u64,
    /// End of the processing in microseconds since the Unix epoch; `None` while it runs or if the
    /// process exited before and no exit event was recorded.
    pub end_us: Option<u64>,
    /// How the request ended; `None` while it runs or if the process exited before.
    pub outcome: Option<Outcome>,
}

/// The record, kept in memory and optionally in a file that outlives the process.
#[derive(Debug, Default)]
pub struct Record {
    entries: Mutex<Vec<Entry>>,
    file: Option<Mutex<File>>,
}

impl Record {
    /// Creates a record that is also appended to the file at `path`, if one is given.
    ///
    /// # Panics
    ///
    /// Panics if the file cannot be opened.
    #[must_use]
    pub fn with_file(path: Option<&Path>) -> Self {
        let file = path.map(|it| {
            let file = OpenOptions::new().create(true).append(true).open(it);
            Mutex::new(
                file.unwrap_or_else(|err| panic!("{} cannot be opened: {err}", it.display())),
            )
        });
        Self {
            entries: Mutex::default(),
            file,
        }
    }

    /// Records the start of a request; returns its number.
    pub fn start(&self, mut entry: Entry) -> u64 {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entry.number = entries.len() as u64;
        let number = entry.number;
        self.append(&Event::Start(entry.clone()));
        entries.push(entry);
        number
    }

    /// Records the end of a request.
    pub fn end(&self, number: u64, at_us: u64, outcome: Outcome) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(entry) = usize::try_from(number)
            .ok()
            .and_then(|it| entries.get_mut(it))
        else {
            return;
        };
        entry.end_us = Some(at_us);
        entry.outcome = Some(outcome);
        self.append(&Event::End {
            number,
            incarnation: entry.incarnation,
            at_us,
            outcome,
        });
    }

    /// Records the exit of the process. Nothing is recorded after it: other threads that start or
    /// end requests wait for ever, and the caller must end the process.
    pub fn exit(&self) {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        self.append(&Event::Exit { at_us: now_us() });
        std::mem::forget(entries);
    }

    /// All requests accepted so far.
    #[must_use]
    pub fn entries(&self) -> Vec<Entry> {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.clone()
    }

    fn append(&self, event: &Event) {
        let Some(file) = &self.file else {
            return;
        };
        let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
        file.write_all(event.line().as_bytes())
            .expect("record file is writable");
    }
}

/// Joins the events of a record file into entries, ordered by start time.
///
/// # Errors
///
/// Fails if a line is not an event.
pub fn join_events(text: &str) -> Result<Vec<Entry>, serde_json::Error> {
    let mut entries: BTreeMap<_, Entry> = BTreeMap::new();
    for line in text.lines() {
        match serde_json::from_str(line)? {
            Event::Start(entry) => {
                entries.insert((entry.incarnation, entry.number), entry);
            }
            Event::Exit { at_us } => {
                for entry in entries.values_mut().filter(|it| it.end_us.is_none()) {
                    entry.end_us = Some(at_us);
                }
            }
            Event::End {
                number,
                incarnation,
                at_us,
                outcome,
            } => {
                if let Some(entry) = entries.get_mut(&(incarnation, number)) {
                    entry.end_us = Some(at_us);
                    entry.outcome = Some(outcome);
                }
            }
        }
    }
    let mut entries: Vec<_> = entries.into_values().collect();
    entries.sort_by_key(|it| it.start_us);
    Ok(entries)
}

/// The current time in microseconds since the Unix epoch.
#[must_use]
pub fn now_us() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}

#[cfg(test)]
mod tests;
