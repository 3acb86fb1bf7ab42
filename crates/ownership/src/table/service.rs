//! The slices of one service.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use crate::Slice;

/// The slices of one service, by lowest hash and by target.
#[derive(Clone, Debug, Default)]
pub(super) struct Service {
    slices: BTreeMap<u64, Entry>,
    targets: BTreeMap<Arc<str>, BTreeSet<u64>>,
}

#[derive(Clone, Debug)]
struct Entry {
    rev: u64,
    slice: Slice,
}

/// The owner of a hash.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Owner<'a> {
    /// The slice that contains the hash.
    pub slice: &'a Slice,
    /// Revision of the slice's row.
    pub rev: u64,
}

impl Service {
    pub(super) fn lookup(&self, hash: u64) -> Option<Owner<'_>> {
        let (_, entry) = self.slices.range(..=hash).next_back()?;
        (hash <= entry.slice.high).then_some(Owner {
            slice: &entry.slice,
            rev: entry.rev,
        })
    }

    pub(super) fn rev(&self, low: u64) -> Option<u64> {
        Some(self.slices.get(&low)?.rev)
    }

    pub(super) fn insert(&mut self, rev: u64, mut slice: Slice) {
        let low = slice.low;
        self.remove(low);
        // All slices of a target share one copy of its name.
        match self.targets.get_key_value(&slice.target) {
            Some((name, _)) => slice.target = Arc::clone(name),
            None => {
                self.targets
                    .insert(Arc::clone(&slice.target), BTreeSet::new());
            }
        }
        if let Some(lows) = self.targets.get_mut(&slice.target) {
            lows.insert(low);
        }
        self.slices.insert(low, Entry { rev, slice });
    }

    pub(super) fn remove(&mut self, low: u64) {
        let Some(entry) = self.slices.remove(&low) else {
            return;
        };
        let Some(lows) = self.targets.get_mut(&entry.slice.target) else {
            return;
        };
        lows.remove(&low);
        if lows.is_empty() {
            self.targets.remove(&entry.slice.target);
        }
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = Owner<'_>> {
        self.slices.values().map(|it| Owner {
            slice: &it.slice,
            rev: it.rev,
        })
    }

    pub(super) fn slices_of(&self, target: &str) -> impl Iterator<Item = Owner<'_>> {
        let lows = self.targets.get(target).into_iter().flatten();
        lows.filter_map(|low| {
            let entry = self.slices.get(low)?;
            Some(Owner {
                slice: &entry.slice,
                rev: entry.rev,
            })
        })
    }
}
