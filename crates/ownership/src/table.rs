//! A host's copy of the store's table.

mod row;
mod service;

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use serde::Serialize;

use self::{
    row::{RowKind, SliceValue},
    service::Service,
};
use crate::{Slice, TargetId, TargetRow};

pub use self::{
    row::{DocumentRow, Merge, RowError, TableRow},
    service::Owner,
};

/// A copy of the rows that every host needs: slices, targets and the current document.
///
/// Merging is idempotent and independent of the order: the copy with the highest revision wins.
/// Deleted rows leave a tombstone with their revision, so that an older copy cannot come back.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rev: u64,
    services: BTreeMap<Arc<str>, Service>,
    targets: BTreeMap<TargetId, (u64, TargetRow)>,
    document: Option<(u64, DocumentRow)>,
    /// Revisions of the deleted rows, by name.
    deleted: HashMap<Arc<str>, u64>,
    /// Announced gateways that are newer than the target row: epoch and host.
    adopted: HashMap<TargetId, (u64, Arc<str>)>,
}

impl Table {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Merges `row` if it is newer than the local copy.
    ///
    /// # Errors
    ///
    /// Returns an error and leaves the table unchanged if the name or the value is malformed.
    pub fn merge(&mut self, row: &TableRow) -> Result<Merge, RowError> {
        let kind = row.kind()?;
        let known = match &kind {
            RowKind::Document => self.document.as_ref().map(|it| it.0),
            RowKind::Slice { service, low } => {
                self.services.get(*service).and_then(|it| it.rev(*low))
            }
            RowKind::Target(id) => self.targets.get(id).map(|it| it.0),
            RowKind::Other => return Ok(Merge::Stale),
        };
        let known = known.max(self.deleted.get(&row.name).copied());
        if known.is_some_and(|it| row.rev <= it) {
            return Ok(Merge::Stale);
        }
        match &row.value {
            Some(text) => self.put(row, kind, text)?,
            None => self.delete(row, kind),
        }
        self.rev = self.rev.max(row.rev);
        Ok(Merge::Changed)
    }

    fn put(&mut self, row: &TableRow, kind: RowKind<'_>, text: &str) -> Result<(), RowError> {
        match kind {
            RowKind::Document => self.document = Some((row.rev, row.parse(text)?)),
            RowKind::Slice { service, low } => {
                let value: SliceValue = row.parse(text)?;
                if value.high < low {
                    return Err(RowError::Value {
                        name: Arc::clone(&row.name),
                        text: String::from("high is below low"),
                    });
                }
                let slice = Slice {
                    low,
                    high: value.high,
                    target: value.target,
                    generation: value.generation,
                };
                if !self.services.contains_key(service) {
                    self.services.insert(service.into(), Service::default());
                }
                if let Some(it) = self.services.get_mut(service) {
                    it.insert(row.rev, slice);
                }
            }
            RowKind::Target(id) => {
                let value: TargetRow = row.parse(text)?;
                if self.adopted.get(&id).is_some_and(|it| it.0 <= value.epoch) {
                    self.adopted.remove(&id);
                }
                self.targets.insert(id, (row.rev, value));
            }
            RowKind::Other => {}
        }
        self.deleted.remove(&row.name);
        Ok(())
    }

    fn delete(&mut self, row: &TableRow, kind: RowKind<'_>) {
        match kind {
            RowKind::Document => self.document = None,
            RowKind::Slice { service, low } => {
                if let Some(it) = self.services.get_mut(service) {
                    it.remove(low);
                }
            }
            RowKind::Target(id) => {
                self.targets.remove(&id);
                self.adopted.remove(&id);
            }
            RowKind::Other => {}
        }
        self.deleted.insert(Arc::clone(&row.name), row.rev);
    }

    /// Returns the highest revision that was merged.
    #[must_use]
    pub fn rev(&self) -> u64 {
        self.rev
    }

    /// Returns the owner of `hash` in `service`.
    #[must_use]
    pub fn lookup(&self, service: &str, hash: u64) -> Option<Owner<'_>> {
        self.services.get(service)?.lookup(hash)
    }

    /// Returns the row of a target and its revision.
    #[must_use]
    pub fn target(&self, id: &TargetId) -> Option<(u64, &TargetRow)> {
        let (rev, row) = self.targets.get(id)?;
        Some((*rev, row))
    }

    /// Returns all targets in name order.
    pub fn targets(&self) -> impl Iterator<Item = (&TargetId, u64, &TargetRow)> {
        self.targets.iter().map(|(id, (rev, row))| (id, *rev, row))
    }

    /// Returns the slices of `service` in hash order.
    pub fn slices(&self, service: &str) -> impl Iterator<Item = Owner<'_>> {
        self.services
            .get(service)
            .into_iter()
            .flat_map(Service::iter)
    }

    /// Returns the slices of a target in hash order.
    pub fn slices_of(&self, id: &TargetId) -> impl Iterator<Item = Owner<'_>> {
        let service = self.services.get(&id.service);
        service.into_iter().flat_map(|it| it.slices_of(&id.target))
    }

    /// Returns the current document.
    #[must_use]
    pub fn document(&self) -> Option<&DocumentRow> {
        self.document.as_ref().map(|it| &it.1)
    }

    /// Returns the rows with a revision above `rev` in the order of their revisions, deletions
    /// included.
    #[must_use]
    pub fn rows_after(&self, rev: u64) -> Vec<TableRow> {
        let mut rows = Vec::new();
        if self.rev <= rev {
            return rows;
        }
        for (service, slices) in &self.services {
            for owner in slices.iter().filter(|it| it.rev > rev) {
                let slice = owner.slice;
                let name = format!("slice/{service}/{:016x}", slice.low);
                let value = SliceValue {
                    high: slice.high,
                    target: Arc::clone(&slice.target),
                    generation: slice.generation,
                };
                rows.push(row_with_value(&name, owner.rev, &value));
            }
        }
        for (id, (row_rev, value)) in &self.targets {
            if *row_rev > rev {
                rows.push(row_with_value(&format!("target/{id}"), *row_rev, value));
            }
        }
        if let Some((row_rev, value)) = &self.document
            && *row_rev > rev
        {
            rows.push(row_with_value("document/current", *row_rev, value));
        }
        for (name, row_rev) in &self.deleted {
            if *row_rev > rev {
                rows.push(TableRow {
                    name: Arc::clone(name),
                    rev: *row_rev,
                    value: None,
                });
            }
        }
        rows.sort_unstable_by(|a, b| a.rev.cmp(&b.rev).then_with(|| a.name.cmp(&b.name)));
        rows
    }

    /// Returns the gateway of a target and its epoch, from the target row or a newer adoption.
    #[must_use]
    pub fn route(&self, id: &TargetId) -> Option<(&Arc<str>, u64)> {
        let row = self.targets.get(id).map(|it| (&it.1.gateway, it.1.epoch));
        let adopted = self.adopted.get(id).map(|it| (&it.1, it.0));
        match (row, adopted) {
            (Some(row), Some(adopted)) if adopted.1 > row.1 => Some(adopted),
            (Some(row), _) => Some(row),
            (None, adopted) => adopted,
        }
    }

    /// Returns the adoptions that are newer than the target row: target, epoch and gateway host.
    pub fn adoptions(&self) -> impl Iterator<Item = (&TargetId, u64, &Arc<str>)> {
        self.adopted
            .iter()
            .map(|(id, (epoch, host))| (id, *epoch, host))
    }

    /// Records that `host` announced itself as the gateway of a target under `epoch`.
    pub fn adopt(&mut self, id: TargetId, epoch: u64, host: Arc<str>) -> Merge {
        if self.route(&id).is_some_and(|it| epoch <= it.1) {
            return Merge::Stale;
        }
        self.adopted.insert(id, (epoch, host));
        Merge::Changed
    }
}

fn row_with_value<T: Serialize>(name: &str, rev: u64, value: &T) -> TableRow {
    let text = serde_json::to_string(value).expect("row values have string keys only");
    TableRow {
        name: name.into(),
        rev,
        value: Some(text.into()),
    }
}
