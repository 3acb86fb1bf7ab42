//! The rows of the store that tell the next coordinator which targets may hold which keys.

use std::{cmp::Reverse, collections::BTreeMap};

use super::SliceManager;
use crate::SliceRow;

impl SliceManager {
    /// Whether a slice has an owner that the store does not name yet.
    #[must_use]
    pub fn needs_commit(&self) -> bool {
        self.entries.values().any(|it| !it.recorded)
    }

    /// Returns the rows to write so that the store matches this state, and the names of rows to
    /// remove: at most `limit` together.
    ///
    /// The order ensures that the store always names all targets that may hold a key, even if only
    /// the first rows are written: new rows come first, then changed ones that cover no fewer keys
    /// than before, then changed ones that cover fewer, then removals. If several rows cover a key,
    /// the one with the highest fencing token applies. An entry whose owner is not recorded yet is
    /// written even if the row says the same, so that its commit records the owner.
    #[must_use]
    pub fn rows_to_write(&self, limit: usize) -> (Vec<SliceRow>, Vec<String>) {
        let mut wanted = BTreeMap::new();
        for entry in self.entries.values() {
            let row = entry.row(&self.service);
            wanted.insert(row.name(), (entry.recorded, row));
        }
        let mut puts = Vec::new();
        for (name, (recorded, row)) in &wanted {
            let stage = match self.stored.get(name) {
                None => WriteStage::New,
                Some(old) if *recorded && is_equivalent(old, row) => continue,
                Some(old) if old.range.last > row.range.last => WriteStage::Shrunk,
                Some(_) => WriteStage::Changed,
            };
            puts.push((stage, row.clone()));
        }
        puts.sort_by_key(|(stage, row)| (*stage, Reverse(row.token), Reverse(row.range.first)));
        let fits_all = puts.len() <= limit;
        puts.truncate(limit);
        let puts: Vec<SliceRow> = puts.into_iter().map(|it| it.1).collect();
        let mut removes = Vec::new();
        // A row is removed only after the rows that replace it are written.
        if fits_all {
            let room = limit - puts.len();
            let obsolete = self.stored.keys().filter(|it| !wanted.contains_key(*it));
            removes = obsolete.take(room).cloned().collect();
        }
        (puts, removes)
    }

    /// Applies a write that the store has carried out.
    pub fn on_commit(&mut self, puts: Vec<SliceRow>, removes: &[String]) {
        for name in removes {
            self.stored.remove(name);
        }
        for row in puts {
            for entry in self.entries.values_mut() {
                let is_covered = entry.range.intersection(row.range) == Some(entry.range);
                if is_covered
                    && !entry.recorded
                    && entry.owner == row.owner
                    && entry.token == row.token
                {
                    entry.on_recorded();
                    self.changed.insert(entry.range.first);
                }
            }
            self.stored.insert(row.name(), row);
        }
    }
}

/// The order in which rows are written.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum WriteStage {
    /// The store has no row of this name.
    New,
    /// The row replaces one that covers no more keys.
    Changed,
    /// The row replaces one that covers more keys.
    Shrunk,
}

/// Whether two rows differ at most in the fencing token, so that they tell the next coordinator the
/// same.
pub(super) fn is_equivalent(a: &SliceRow, b: &SliceRow) -> bool {
    a.range == b.range && a.owner == b.owner && a.previous_owners == b.previous_owners
}
