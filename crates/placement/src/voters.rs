//! The choice of voters.

use std::{cmp::Reverse, sync::Arc};

use smallvec::SmallVec;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{HostInput, HostState};

/// Number of voters of a target. Two of them are a majority.
const VOTERS: usize = 3;

/// Chooses up to three voters of `target`, which is in `data_centre` of `region`. The first
/// becomes its gateway.
///
/// The gateway is chosen by rendezvous hashing among the best hosts: a live host is preferred to a
/// leaving one, then a host of the same data centre, then one of the same region. The others are
/// the first in the gateway's ranking by [`rank_voters`], so that all targets of a gateway have the
/// same voters and one message to a voter renews its votes for all of them. Their order differs
/// between targets, so that the load of a lost gateway is shared by both. Returns fewer than three
/// names if there are fewer hosts.
#[must_use]
pub fn choose_voters(
    target: &str,
    data_centre: &str,
    region: &str,
    hosts: &[HostInput],
) -> SmallVec<[Arc<str>; 3]> {
    let seed = xxh3_64(target.as_bytes());
    let score = |host: &HostInput| xxh3_64_with_seed(host.name.as_bytes(), seed);
    let best = hosts.iter().min_by_key(|it| {
        let rank = rank(it, data_centre, region);
        (rank, Reverse(score(it)), &it.name)
    });
    let Some(gateway) = best else {
        return SmallVec::new();
    };
    let mut out = SmallVec::from_iter([Arc::clone(&gateway.name)]);
    let others = rank_voters(&gateway.name, data_centre, region, hosts);
    out.extend(others.into_iter().take(VOTERS - 1));
    if seed % 2 == 1 {
        out[1..].reverse();
    }
    out
}

/// Returns all hosts but `gateway`, the preferred voters of its targets in `data_centre` of
/// `region` first.
///
/// Hosts of the same state and distance are ordered by their position on a ring of hashed names
/// that starts at the gateway. The lists of a gateway and of its neighbours on the ring therefore
/// overlap, and a host that replaces a lost one already shares targets with the remaining hosts.
#[must_use]
pub fn rank_voters(
    gateway: &str,
    data_centre: &str,
    region: &str,
    hosts: &[HostInput],
) -> Vec<Arc<str>> {
    let start = xxh3_64(gateway.as_bytes());
    let mut ranked: Vec<_> = hosts
        .iter()
        .filter(|it| &*it.name != gateway)
        .map(|it| {
            let position = xxh3_64(it.name.as_bytes()).wrapping_sub(start);
            (rank(it, data_centre, region), position, &it.name)
        })
        .collect();
    ranked.sort_unstable();
    ranked.dedup_by(|a, b| a.2 == b.2);
    ranked.into_iter().map(|it| Arc::clone(it.2)).collect()
}

/// Sort key of a host; better voters come first.
fn rank(host: &HostInput, data_centre: &str, region: &str) -> (HostState, Distance) {
    let distance = if &*host.data_centre == data_centre {
        Distance::DataCentre
    } else if &*host.region == region {
        Distance::Region
    } else {
        Distance::Other
    };
    (host.state, distance)
}

/// Distance of a host from the target.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Distance {
    DataCentre,
    Region,
    Other,
}
