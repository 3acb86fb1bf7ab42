//! Deletes claims that are older than the service's `claim_s`.
//!
//! Only the planner sweeps. Ages come from [`ClaimAges`] and depend on no wall clock. They are
//! lower bounds, so even two planners that sweep at once delete no row too early.

use std::{collections::HashMap, sync::Arc};

use admission::{ClaimAges, Mark};
use platform::{Commit, CommitResult, Condition, Write};
use serde_json::{Value, json};

use crate::{clock::Millis, host::Host, view::View};

/// Name of the row that stores the marks.
const MARKS_ROW: &str = "claims";

/// Minimum time between two writes of the marks. When another host becomes the planner, the ages
/// fall short by up to this time.
const WRITE_INTERVAL_MS: Millis = 900_000;

/// Maximum number of pages of one service that are deleted in one round.
const ROUND_PAGES: usize = 4;

/// Rows in one page.
const PAGE_ROWS: usize = 512;

/// State of the planner's sweep.
#[derive(Default)]
pub struct Sweep {
    /// The ages and the revision of their row; `None` until they are read.
    ages: Option<(ClaimAges, u64)>,
    /// When this planner last wrote the marks.
    last_write: Option<Millis>,
    /// The revision up to which each service is swept.
    swept: HashMap<Arc<str>, u64>,
}

impl Sweep {
    /// Updates the marks and deletes some of the claims that are old enough at `now`. The store
    /// must have reached the revision `reached` before `now`. The caller therefore reads the clock
    /// after the revision, because the process can be paused in between.
    pub async fn round(&mut self, host: &Host, view: &View, reached: u64, now: Millis) {
        let services = &view.document.services;
        let lifetimes_ms = services.iter().map(|it| it.claim_s * 1_000);
        let longest_lifetime_ms = lifetimes_ms.max().unwrap_or(0);
        if self
            .update_marks(host, reached, now, longest_lifetime_ms)
            .await
            .is_none()
        {
            // Another planner may have written the row, so it is read again in the next round.
            self.ages = None;
            return;
        }
        let Some((ages, _)) = &mut self.ages else {
            return;
        };
        for service in services {
            let name = &service.name;
            let Some(limit) = ages.older_than(now, service.claim_s * 1_000) else {
                continue;
            };
            if self.swept.get(name).is_some_and(|it| *it >= limit) {
                continue;
            }
            if delete(host, name, limit).await == Some(0) {
                self.swept.insert(Arc::clone(name), limit);
            }
        }
    }

    /// Reads the marks if needed, adds one, and writes them if [`WRITE_INTERVAL_MS`] has passed.
    /// Returns `None` if a read or write failed.
    async fn update_marks(
        &mut self,
        host: &Host,
        reached: u64,
        now: Millis,
        longest_lifetime_ms: Millis,
    ) -> Option<()> {
        if self.ages.is_none() {
            let row = host.platform.row(MARKS_ROW).await.ok()?;
            let rev = row.as_ref().map_or(0, |it| it.rev);
            let marks = row.map(|it| marks_of(&it.value)).unwrap_or_default();
            // Ages grow from the end of the read on, so that no time is counted twice.
            let read = host.clock.now().max(now);
            self.ages = Some((ClaimAges::new(read, marks), rev));
        }
        let (ages, rev) = self.ages.as_mut()?;
        ages.mark(now, reached, longest_lifetime_ms);
        if self
            .last_write
            .is_some_and(|it| now < it + WRITE_INTERVAL_MS)
        {
            return Some(());
        }
        let marks: Vec<_> = ages.marks(now).map(|it| [it.rev, it.age_ms]).collect();
        let commit = Commit {
            change: format!("marks-{}-{rev}", host.settings.host),
            conditions: vec![Condition {
                row: MARKS_ROW.to_owned(),
                rev: *rev,
            }],
            writes: vec![Write {
                row: MARKS_ROW.to_owned(),
                value: json!({"marks": marks}),
            }],
        };
        match host.platform.commit(&commit).await {
            CommitResult::Applied { rev: written } => *rev = written,
            CommitResult::NotApplied { .. } | CommitResult::Unknown => return None,
        }
        self.last_write = Some(now);
        Some(())
    }
}

/// The marks in a row's value. An invalid value has none, so that all ages start again at zero.
fn marks_of(value: &Value) -> Vec<Mark> {
    let marks: Vec<[u64; 2]> = serde_json::from_value(value["marks"].clone()).unwrap_or_default();
    let marks = marks.into_iter();
    marks.map(|[rev, age_ms]| Mark { rev, age_ms }).collect()
}

/// Deletes claims of a service whose rows were last written at revision `limit` or before. Returns
/// their number, or `None` if a read or commit did not succeed.
async fn delete(host: &Host, service: &str, limit: u64) -> Option<usize> {
    let prefix = format!("claim/{service}/");
    let mut count = 0;
    for _ in 0..ROUND_PAGES {
        let page = host.platform.rows_under(&prefix, PAGE_ROWS).await.ok()?;
        let rows = page.rows.iter().filter(|it| it.rev <= limit);
        let mut commit = Commit {
            change: format!("sweep-{service}-{}", page.rev),
            ..Commit::default()
        };
        for row in rows {
            commit.conditions.push(Condition {
                row: row.row.clone(),
                rev: row.rev,
            });
            commit.writes.push(Write {
                row: row.row.clone(),
                value: Value::Null,
            });
        }
        if commit.writes.is_empty() {
            break;
        }
        count += commit.writes.len();
        match host.platform.commit(&commit).await {
            CommitResult::Applied { .. } => {}
            // A row that was written in the meantime has a newer revision in the next round.
            CommitResult::NotApplied { .. } | CommitResult::Unknown => return None,
        }
    }
    Some(count)
}

#[cfg(test)]
mod tests;
