//! The rows by which a later coordinator knows who may hold which keys.

use std::{cmp::Reverse, collections::BTreeMap};

use super::SliceManager;
use crate::SliceRow;

impl SliceManager {
    /// Whether a target waits for the store to name it as an owner.
    #[must_use]
    pub fn needs_commit(&self) -> bool {
        self.entries.values().any(|it| !it.recorded)
    }

    /// The rows to write so that the store matches this state, and the names of rows to remove: at
    /// most `limit` together.
    ///
    /// They are taken in an order in which the store always names everyone who may hold a key, even
    /// if only the first of them are written: new rows, then changed ones, those that cover fewer
    /// keys than before last, then removals. Of rows that cover the same key, the newest counts.
    #[must_use]
    pub fn rows_to_write(&self, limit: usize) -> (Vec<SliceRow>, Vec<String>) {
        let mut wanted = BTreeMap::new();
        for entry in self.entries.values() {
            let row = entry.row(&self.service);
            wanted.insert(row.name(), row);
        }
        let mut puts = Vec::new();
        for (name, row) in &wanted {
            let turn = match self.stored.get(name) {
                None => Turn::New,
                Some(old) if same(old, row) => continue,
                Some(old) if old.range.last > row.range.last => Turn::Shrinks,
                Some(_) => Turn::Changes,
            };
            puts.push((turn, row.clone()));
        }
        puts.sort_by_key(|(turn, row)| (*turn, Reverse(row.token), Reverse(row.range.first)));
        let all = puts.len() <= limit;
        puts.truncate(limit);
        let puts: Vec<SliceRow> = puts.into_iter().map(|it| it.1).collect();
        let mut removes = Vec::new();
        // A row goes only after those that replace it.
        if all {
            let room = limit - puts.len();
            let gone = self.stored.keys().filter(|it| !wanted.contains_key(*it));
            removes = gone.take(room).cloned().collect();
        }
        (puts, removes)
    }

    /// Notes that the store has taken these rows.
    pub fn on_commit(&mut self, puts: Vec<SliceRow>, removes: &[String]) {
        for name in removes {
            self.stored.remove(name);
        }
        for row in puts {
            for entry in self.entries.values_mut() {
                let inside = entry.range.intersection(row.range) == Some(entry.range);
                if inside && !entry.recorded && entry.owner == row.owner && entry.token == row.token
                {
                    entry.record();
                    self.changed.insert(entry.range.first);
                }
            }
            self.stored.insert(row.name(), row);
        }
    }
}

/// When a row is written.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Turn {
    /// The store has no row of this name.
    New,
    /// The row replaces one that covers no more keys.
    Changes,
    /// The row replaces one that covers more keys.
    Shrinks,
}

/// Whether two rows tell a later coordinator the same.
fn same(a: &SliceRow, b: &SliceRow) -> bool {
    a.range == b.range && a.owner == b.owner && a.earlier == b.earlier
}
