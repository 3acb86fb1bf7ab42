//! The placements that the planner is compared with. Each returns the owner of every key.

use placement::SLICES_PER_TARGET;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{
    cluster::{Cluster, float},
    planned_slices::noise,
};

/// Number of virtual nodes of a target on the ring.
const VIRTUAL_NODES: usize = 100;

/// Consistent hashing with virtual nodes.
pub fn consistent(cluster: &Cluster) -> Vec<usize> {
    let ring = ring(cluster);
    let owner = |hash| ring[first_node(&ring, hash)].1;
    cluster.keys.iter().map(|key| owner(key.hash)).collect()
}

/// Rendezvous hashing.
pub fn rendezvous(cluster: &Cluster) -> Vec<usize> {
    let usable = cluster.usable();
    let seeds: Vec<u64> = cluster
        .targets
        .iter()
        .map(|it| xxh3_64(it.name.as_bytes()))
        .collect();
    let score = |hash: u64, target: usize| xxh3_64_with_seed(&hash.to_le_bytes(), seeds[target]);
    let best = |hash| usable.iter().copied().max_by_key(|&it| score(hash, it));
    let owner = |hash| best(hash).expect("there is a usable target");
    cluster.keys.iter().map(|key| owner(key.hash)).collect()
}

/// Consistent hashing in which no target takes more than 1.15 times the mean load, the bound that
/// the planner must meet. Keys are assigned in descending order of load.
pub fn bounded(cluster: &Cluster) -> Vec<usize> {
    let ring = ring(cluster);
    let limit = 1.15 * cluster.total / float(cluster.usable().len());
    let mut loads = vec![0.0; cluster.targets.len()];
    let mut owners = vec![0; cluster.keys.len()];
    let mut order: Vec<usize> = (0..cluster.keys.len()).collect();
    order.sort_by(|&a, &b| cluster.keys[b].load.total_cmp(&cluster.keys[a].load));
    for index in order {
        let key = &cluster.keys[index];
        let start = first_node(&ring, key.hash);
        let after = (start..ring.len()).chain(0..start);
        let mut candidates = after.map(|it| ring[it].1);
        let fits = candidates.find(|&it| loads[it] + key.load <= limit);
        // A key above the limit stays where plain consistent hashing puts it.
        owners[index] = fits.unwrap_or(ring[start].1);
        loads[owners[index]] += key.load;
    }
    owners
}

/// Greedy rebalancing without hysteresis: moves slices of equal width from the most to the least
/// loaded target as long as that lowers the peak. Loads are measured with the same error as the
/// planner's.
pub fn greedy(cluster: &Cluster, second: u64, owners: &mut [usize]) {
    let count = cluster.spec.targets * SLICES_PER_TARGET;
    let mut slices = vec![(0.0, 0); count];
    let slice_of = |hash: u64| {
        let nth = (u128::from(hash) * count as u128) >> 64;
        usize::try_from(nth).expect("a slice's index is small")
    };
    let usable = cluster.usable();
    for (index, key) in cluster.keys.iter().enumerate() {
        let slice = &mut slices[slice_of(key.hash)];
        slice.0 += key.load;
        slice.1 = owners[index];
    }
    let mut loads = vec![0.0; cluster.targets.len()];
    for (nth, slice) in slices.iter_mut().enumerate() {
        slice.0 *= noise(nth as u64, second);
        if !usable.contains(&slice.1) {
            slice.1 = least_loaded(&usable, &loads);
        }
        loads[slice.1] += slice.0;
    }
    loop {
        let busiest = *usable
            .iter()
            .max_by(|&&a, &&b| loads[a].total_cmp(&loads[b]))
            .expect("there is a usable target");
        let to = least_loaded(&usable, &loads);
        let gap = loads[busiest] - loads[to];
        let movable = slices
            .iter_mut()
            .filter(|it| it.1 == busiest && it.0 < gap && it.0 > 0.0);
        let closest = |it: &f64| (it - gap / 2.0).abs();
        let best = movable.min_by(|a, b| closest(&a.0).total_cmp(&closest(&b.0)));
        let Some(slice) = best else {
            break;
        };
        slice.1 = to;
        loads[busiest] -= slice.0;
        loads[to] += slice.0;
    }
    for (index, key) in cluster.keys.iter().enumerate() {
        owners[index] = slices[slice_of(key.hash)].1;
    }
}

fn least_loaded(usable: &[usize], loads: &[f64]) -> usize {
    let lowest = usable
        .iter()
        .min_by(|&&a, &&b| loads[a].total_cmp(&loads[b]));
    *lowest.expect("there is a usable target")
}

fn ring(cluster: &Cluster) -> Vec<(u64, usize)> {
    let mut ring = Vec::new();
    for target in cluster.usable() {
        // Small seeds make hashes of small numbers collide, so the name's hash is the seed.
        let seed = xxh3_64(cluster.targets[target].name.as_bytes());
        for nth in 0..VIRTUAL_NODES {
            let hash = xxh3_64_with_seed(&nth.to_le_bytes(), seed);
            ring.push((hash, target));
        }
    }
    ring.sort_unstable();
    ring
}

fn first_node(ring: &[(u64, usize)], hash: u64) -> usize {
    let index = ring.partition_point(|it| it.0 < hash);
    if index == ring.len() { 0 } else { index }
}
