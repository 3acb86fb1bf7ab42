//! A store with conditional commits.

use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
};

use ownership::{
    CommitOutcome, Intent, Millis, Slice, Table, TableRow, TargetId, next_generation_step,
};
use serde_json::{Value, json};

#[derive(Clone, Debug, Hash)]
pub struct Store {
    pub rev: u64,
    pub rows: Rows,
    pub down_until: Millis,
}

/// Rows by name.
pub type Rows = Arc<BTreeMap<Arc<str>, Arc<Row>>>;

/// A row whose hash is computed once, because a search hashes it in every state.
#[derive(Debug)]
pub struct Row {
    pub row: TableRow,
    digest: u64,
}

impl Row {
    fn new(row: TableRow) -> Self {
        let mut hasher = DefaultHasher::new();
        row.hash(&mut hasher);
        Self {
            row,
            digest: hasher.finish(),
        }
    }
}

impl Hash for Row {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.digest.hash(state);
    }
}

/// The conditions and writes of one commit.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Transaction {
    conditions: Vec<(Arc<str>, u64)>,
    writes: Vec<(Arc<str>, Arc<str>)>,
}

impl Transaction {
    /// Builds the commit for `intent` as a driver does; reassigned slices go to `other`.
    pub fn new(table: &Table, id: &TargetId, other: &str, intent: &Intent) -> Self {
        let mut it = Self {
            conditions: Vec::new(),
            writes: Vec::new(),
        };
        let rev = table.target(id).map_or(0, |it| it.0);
        it.conditions.push((format!("target/{id}").into(), rev));
        match intent {
            Intent::Record { row } => {
                let value = serde_json::to_string(row).expect("a row serialises");
                it.writes
                    .push((format!("target/{id}").into(), value.into()));
            }
            Intent::Regrant { slices } => {
                for regrant in slices {
                    it.put(table, id, &regrant.slice, &id.target, regrant.generation);
                }
            }
            Intent::Reassign { slices, .. } => {
                for slice in slices {
                    it.put(
                        table,
                        id,
                        slice,
                        other,
                        next_generation_step(slice.generation),
                    );
                }
            }
        }
        it
    }

    fn put(&mut self, table: &Table, id: &TargetId, slice: &Slice, target: &str, generation: u64) {
        let name: Arc<str> = format!("slice/{}/{:016x}", id.service, slice.low).into();
        let known = table.lookup(&id.service, slice.low);
        let known = known.filter(|it| it.slice == slice);
        // A slice that the table lists differently has changed; revision 0 makes the commit fail.
        self.conditions
            .push((Arc::clone(&name), known.map_or(0, |it| it.rev)));
        let value = json!({"high": slice.high, "target": target, "generation": generation});
        self.writes.push((name, value.to_string().into()));
    }
}

impl Store {
    pub fn write(&mut self, name: &str, value: &Value) {
        self.rev += 1;
        self.set(name.into(), value.to_string().into());
    }

    fn set(&mut self, name: Arc<str>, value: Arc<str>) {
        let row = TableRow {
            name: Arc::clone(&name),
            rev: self.rev,
            value: Some(value),
        };
        Arc::make_mut(&mut self.rows).insert(name, Arc::new(Row::new(row)));
    }

    /// Applies the commit if its conditions hold. Fails if a generation does not increase.
    pub fn commit(&mut self, it: &Transaction) -> Result<CommitOutcome, String> {
        for (name, rev) in &it.conditions {
            if self.rows.get(name).map_or(0, |it| it.row.rev) != *rev {
                return Ok(CommitOutcome::NotApplied);
            }
        }
        for (name, value) in &it.writes {
            let old = self
                .rows
                .get(name)
                .and_then(|it| generation(it.row.value.as_deref()?));
            let new = generation(value);
            if new < old || old.is_some() && new == old {
                return Err(format!("generation of {name} goes from {old:?} to {new:?}"));
            }
        }
        self.rev += 1;
        for (name, value) in &it.writes {
            self.set(Arc::clone(name), Arc::clone(value));
        }
        Ok(CommitOutcome::Applied { rev: self.rev })
    }
}

fn generation(value: &str) -> Option<u64> {
    let value: Value = serde_json::from_str(value).expect("the store holds JSON");
    value["generation"].as_u64()
}
