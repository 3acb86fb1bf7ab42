//! The slices of a new service.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::TargetInput;

/// Slices per target in a new service. A slice then carries about 6% of a target's load, so that
/// moving slices can balance loads to well within the required 15%.
pub const SLICES_PER_TARGET: usize = 16;

/// A service without slices.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceInput {
    /// Name of the service.
    pub name: Arc<str>,
    /// The targets of the service.
    pub targets: Vec<TargetInput>,
}

/// A slice of a new service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InitialSlice {
    /// Lowest hash of the slice.
    pub low: u64,
    /// Highest hash of the slice.
    pub high: u64,
    /// Name of the owner.
    pub target: Arc<str>,
}

/// Partitions the hash space into slices of equal width, [`SLICES_PER_TARGET`] for each usable
/// target, and gives each target a number of slices in proportion to its capacity.
///
/// `seed` selects one of many equally good assignments. Returns no slices if no target is usable.
#[must_use]
pub fn partition_hash_space(service: &ServiceInput, seed: u64) -> Vec<InitialSlice> {
    let mut usable: Vec<&TargetInput> = service
        .targets
        .iter()
        .filter(|it| it.state.is_usable())
        .collect();
    usable.sort_by(|a, b| a.name.cmp(&b.name));
    let count = usable.len() * SLICES_PER_TARGET;
    let mut owners = apportion_slices(&usable, count);
    owners.sort_by_cached_key(|&(target, nth)| {
        let target_seed = xxh3_64_with_seed(usable[target].name.as_bytes(), seed);
        (
            xxh3_64_with_seed(&nth.to_le_bytes(), target_seed),
            target,
            nth,
        )
    });

    let mut slices = Vec::with_capacity(count);
    for (index, (target, _)) in owners.into_iter().enumerate() {
        slices.push(InitialSlice {
            low: lowest_hash(index, count),
            high: lowest_hash(index + 1, count).wrapping_sub(1),
            target: Arc::clone(&usable[target].name),
        });
    }
    slices
}

/// Returns `count` pairs of a target's index and the number of the slice among those of the target.
/// The largest remainder method apportions the slices by capacity.
fn apportion_slices(usable: &[&TargetInput], count: usize) -> Vec<(usize, usize)> {
    let capacities = usable.iter().map(|it| it.capacity as usize);
    let total: usize = capacities.clone().sum();
    // If no target has any capacity, all have equal shares.
    let shares: Vec<usize> = if total == 0 {
        vec![1; usable.len()]
    } else {
        capacities.collect()
    };
    let total = shares.iter().sum::<usize>().max(1);

    let mut owners = Vec::with_capacity(count);
    let mut remainders = Vec::with_capacity(usable.len());
    for (target, share) in shares.iter().enumerate() {
        let product = share * count;
        for nth in 0..product / total {
            owners.push((target, nth));
        }
        remainders.push((product % total, target, product / total));
    }
    remainders.sort_by_key(|&(remainder, target, _)| (usize::MAX - remainder, target));
    for &(_, target, nth) in remainders.iter().take(count - owners.len()) {
        owners.push((target, nth));
    }
    owners
}

/// Lowest hash of slice `index` of `count`; 0 if `index` is `count`, as the bound wraps around.
fn lowest_hash(index: usize, count: usize) -> u64 {
    let low = ((index as u128) << 64) / count as u128;
    u64::try_from(low).unwrap_or(0)
}
