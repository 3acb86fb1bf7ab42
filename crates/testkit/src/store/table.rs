//! The transactional table of the platform stand-in.

use std::collections::BTreeMap;

use platform::{Commit, Committed, Conflicts, Row, RowPage};
use serde_json::Value;

/// Prefixes of rows that pages of all rows leave out: there are many claims, and each document
/// version contains the whole text.
const UNLISTED_PREFIXES: [&str; 2] = ["claim/", "document/v/"];

/// Rows with their revisions. A deleted row remains as a tombstone with a null value, unless its
/// prefix is unlisted.
#[derive(Debug, Default)]
pub struct Table {
    rev: u64,
    rows: BTreeMap<String, (u64, Value)>,
    /// Names of the listed rows by the revision of their last write.
    listed: BTreeMap<u64, Vec<String>>,
}

impl Table {
    /// Applies the transaction if all its conditions hold.
    ///
    /// # Errors
    ///
    /// Returns the current rows that do not meet their conditions.
    pub fn commit(&mut self, commit: Commit) -> Result<Committed, Conflicts> {
        let mut conflicts = Vec::new();
        for it in &commit.conditions {
            let current = self.row(&it.row);
            if current.as_ref().map_or(0, |row| row.rev) == it.rev {
                continue;
            }
            conflicts.push(current.unwrap_or_else(|| Row {
                row: it.row.clone(),
                rev: 0,
                value: Value::Null,
            }));
        }
        if !conflicts.is_empty() {
            return Err(Conflicts { conflicts });
        }
        self.rev += 1;
        for it in commit.writes {
            self.write(it.row, it.value);
        }
        Ok(Committed { rev: self.rev })
    }

    /// The current row, or `None` if it is absent or deleted.
    #[must_use]
    pub fn row(&self, name: &str) -> Option<Row> {
        let (rev, value) = self.rows.get(name)?;
        if value.is_null() {
            return None;
        }
        Some(Row {
            row: name.to_owned(),
            rev: *rev,
            value: value.clone(),
        })
    }

    /// The listed rows written after revision `after`, at most `limit` of them. A page never splits
    /// a transaction, so a first transaction with more rows is returned whole.
    #[must_use]
    pub fn rows_after(&self, after: u64, limit: usize) -> RowPage {
        let mut rows = Vec::new();
        let mut more = false;
        for (rev, names) in self.listed.range(after.saturating_add(1)..) {
            if !rows.is_empty() && rows.len() + names.len() > limit {
                more = true;
                break;
            }
            rows.extend(names.iter().map(|name| Row {
                row: name.clone(),
                rev: *rev,
                value: self.rows[name].1.clone(),
            }));
        }
        RowPage {
            rev: self.rev,
            rows,
            more,
        }
    }

    /// The rows whose names start with `prefix`: the `limit` rows with the lowest revisions, in the
    /// order of their revisions.
    #[must_use]
    pub fn rows_under(&self, prefix: &str, limit: usize) -> RowPage {
        let from_prefix = self.rows.range(prefix.to_owned()..);
        let mut rows: Vec<_> = from_prefix
            .take_while(|it| it.0.starts_with(prefix))
            .filter(|it| !it.1.1.is_null())
            .map(|(name, (rev, value))| Row {
                row: name.clone(),
                rev: *rev,
                value: value.clone(),
            })
            .collect();
        rows.sort_by_key(|it| it.rev);
        let more = rows.len() > limit;
        rows.truncate(limit);
        RowPage {
            rev: self.rev,
            rows,
            more,
        }
    }

    fn write(&mut self, name: String, value: Value) {
        if UNLISTED_PREFIXES.iter().any(|it| name.starts_with(it)) {
            if value.is_null() {
                self.rows.remove(&name);
            } else {
                self.rows.insert(name, (self.rev, value));
            }
            return;
        }
        if let Some((old_rev, _)) = self.rows.insert(name.clone(), (self.rev, value))
            && let Some(names) = self.listed.get_mut(&old_rev)
        {
            names.retain(|it| *it != name);
            if names.is_empty() {
                self.listed.remove(&old_rev);
            }
        }
        self.listed.entry(self.rev).or_default().push(name);
    }
}
