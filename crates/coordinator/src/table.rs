//! Lookup table of the owners of keys.

use std::collections::BTreeMap;

use crate::{Key, KeyRange, Slice};

/// The slices of one service.
///
/// Slices may be merged in any order and any number of times: for each key, the one with the
/// highest fencing token, and of those the highest phase, remains.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SliceTable {
    slices: BTreeMap<Key, Slice>,
}

impl SliceTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Merges a slice; returns whether it changed the table.
    pub fn merge(&mut self, new: &Slice) -> bool {
        let mut remaining = vec![new.range];
        let old: Vec<Slice> = self.overlapping(new.range).cloned().collect();
        let rank = |it: &Slice| (it.token, it.phase);
        for slice in &old {
            if rank(slice) >= rank(new) {
                remaining = remaining
                    .into_iter()
                    .flat_map(|it| [it.below(slice.range.first), it.above(slice.range.last)])
                    .flatten()
                    .collect();
            }
        }
        for slice in old {
            if rank(&slice) >= rank(new) {
                continue;
            }
            self.slices.remove(&slice.range.first);
            let sides = [
                slice.range.below(new.range.first),
                slice.range.above(new.range.last),
            ];
            for range in sides.into_iter().flatten() {
                self.insert(Slice {
                    range,
                    ..slice.clone()
                });
            }
        }
        let changed = !remaining.is_empty();
        for range in remaining {
            self.insert(Slice {
                range,
                ..new.clone()
            });
        }
        changed
    }

    /// Returns the slice that contains `key`.
    #[must_use]
    pub fn find(&self, key: Key) -> Option<&Slice> {
        let (_, slice) = self.slices.range(..=key).next_back()?;
        slice.range.contains(key).then_some(slice)
    }

    /// Returns all slices in key order.
    pub fn iter(&self) -> impl Iterator<Item = &Slice> {
        self.slices.values()
    }

    /// Returns the slices that share keys with `range`, in key order.
    pub fn overlapping(&self, range: KeyRange) -> impl Iterator<Item = &Slice> {
        let start = self
            .find(range.first)
            .map_or(range.first, |it| it.range.first);
        self.slices.range(start..=range.last).map(|(_, it)| it)
    }

    fn insert(&mut self, slice: Slice) {
        self.slices.insert(slice.range.first, slice);
    }
}
