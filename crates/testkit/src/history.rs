//! The joined records of all targets.

use std::collections::HashMap;

use crate::target::Entry;

/// A request with the target that ran it.
#[derive(Clone, Debug)]
pub struct Run {
    /// The target.
    pub target: String,
    /// The target's record of it.
    pub entry: Entry,
    /// End of the request in microseconds since the Unix epoch. If none was recorded, the time at
    /// which its process exited or, while that runs, at which the records were read.
    pub end_us: u64,
}

/// All requests that targets accepted, ordered by start time.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// The requests.
    pub runs: Vec<Run>,
}

impl History {
    /// Creates a history from requests in any order.
    #[must_use]
    pub fn new(mut runs: Vec<Run>) -> Self {
        runs.sort_by_key(|it| it.entry.start_us);
        Self { runs }
    }

    /// Violations of exclusive ownership (G1): requests for a key run on two targets at the same
    /// time, or a request starts under an older generation than an earlier request for its key.
    #[must_use]
    pub fn violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        let mut by_key: HashMap<(&str, &str), Vec<&Run>> = HashMap::new();
        for run in &self.runs {
            let key = (run.entry.service.as_str(), run.entry.key_hash.as_str());
            let earlier = by_key.entry(key).or_default();
            for it in earlier.iter() {
                let overlaps = it.target != run.target && run.entry.start_us < it.end_us;
                if overlaps || run.entry.generation < it.entry.generation {
                    violations.push(format!("{it:?} and then {run:?}"));
                }
            }
            earlier.push(run);
        }
        violations
    }

    /// Idempotency keys whose request ran more than once (G5), with the number of runs.
    #[must_use]
    pub fn repeated(&self) -> Vec<(String, usize)> {
        let mut counts: HashMap<&str, usize> = HashMap::new();
        for run in &self.runs {
            if !run.entry.idempotency_key.is_empty() {
                *counts.entry(&run.entry.idempotency_key).or_default() += 1;
            }
        }
        let repeated = counts.into_iter().filter(|(_, count)| *count > 1);
        repeated
            .map(|(key, count)| (key.to_owned(), count))
            .collect()
    }

    /// Runs whose path contains `text`.
    pub fn runs_of<'a>(&'a self, text: &'a str) -> impl Iterator<Item = &'a Run> {
        self.runs
            .iter()
            .filter(move |it| it.entry.path.contains(text))
    }

    /// Runs on `target` that started after `after_us`.
    pub fn started_on<'a>(
        &'a self,
        target: &'a str,
        after_us: u64,
    ) -> impl Iterator<Item = &'a Run> {
        let on_target = self.runs.iter().filter(move |it| it.target == target);
        on_target.filter(move |it| it.entry.start_us > after_us)
    }
}
