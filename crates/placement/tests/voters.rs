//! The choice of voters.

use std::{collections::BTreeMap, sync::Arc};

use placement::{HostInput, HostState, choose_voters, rank_voters};
use proptest::prelude::*;

fn host(name: &str, data_centre: &str, region: &str, state: HostState) -> HostInput {
    HostInput {
        name: name.into(),
        data_centre: data_centre.into(),
        region: region.into(),
        state,
    }
}

struct Case {
    name: &'static str,
    /// Names start with the region, then the data centre; a leaving host ends in `-`.
    hosts: &'static [&'static str],
    expected: &'static [&'static str],
}

fn check(cases: &[Case]) {
    for case in cases {
        let host = |it: &&str| {
            let state = if it.ends_with('-') {
                HostState::Leaving
            } else {
                HostState::Live
            };
            host(it, &it[..2], &it[..1], state)
        };
        let hosts: Vec<HostInput> = case.hosts.iter().map(host).collect();
        let mut found: Vec<Arc<str>> = choose_voters("t", "a1", "a", &hosts).into_vec();
        found.sort();
        let found: Vec<&str> = found.iter().map(|it| &**it).collect();
        assert_eq!(found, case.expected, "{}", case.name);
    }
}

// Guards against voters that are distant or about to leave although better hosts are available.
#[test]
fn near_and_live_hosts_come_first() {
    check(&[
        Case {
            name: "no host",
            hosts: &[],
            expected: &[],
        },
        Case {
            name: "fewer than three",
            hosts: &["b1x", "a1x"],
            expected: &["a1x", "b1x"],
        },
        Case {
            name: "own data centre",
            hosts: &["a1x", "a2x", "a1y", "b1x", "a1z"],
            expected: &["a1x", "a1y", "a1z"],
        },
        Case {
            name: "supplemented from the region",
            hosts: &["a1x", "b1x", "b1y", "a2x", "a3x"],
            expected: &["a1x", "a2x", "a3x"],
        },
        Case {
            name: "supplemented from anywhere",
            hosts: &["a1x", "b1x", "a2x"],
            expected: &["a1x", "a2x", "b1x"],
        },
        Case {
            name: "leaving hosts come last",
            hosts: &["a1x-", "a1y", "a2x", "b1x"],
            expected: &["a1y", "a2x", "b1x"],
        },
        Case {
            name: "leaving hosts are better than none",
            hosts: &["a1x-", "a1y", "b1x-"],
            expected: &["a1x-", "a1y", "b1x-"],
        },
        Case {
            name: "a host listed twice counts once",
            hosts: &["a1x", "a1x", "a1y", "a2x"],
            expected: &["a1x", "a1y", "a2x"],
        },
        Case {
            name: "no host in the data centre",
            hosts: &["b1x", "a2x", "b1y", "a2y", "a3x"],
            expected: &["a2x", "a2y", "a3x"],
        },
    ]);
}

proptest! {
    // Guards against lists of voters that change although the lost host was not in them.
    #[test]
    fn loss_of_a_host_changes_only_its_lists(
        places in prop::collection::vec((0..4_usize, any::<bool>()), 1..12),
        lost in any::<prop::sample::Index>(),
        target in "[a-z]{1,8}",
    ) {
        let mut hosts = Vec::new();
        for (nth, (place, leaving)) in places.iter().enumerate() {
            let (data_centre, region) = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b")][*place];
            let state = if *leaving { HostState::Leaving } else { HostState::Live };
            hosts.push(host(&format!("h{nth}"), data_centre, region, state));
        }
        let before = choose_voters(&target, "a1", "a", &hosts);
        let lost = hosts.remove(lost.index(hosts.len()));
        let after = choose_voters(&target, "a1", "a", &hosts);
        if !before.contains(&lost.name) {
            prop_assert_eq!(&before, &after);
        }
        // The holder of the tenure replaces a lost voter by the next host of its own ranking.
        let mut filled: Vec<_> = before.iter().filter(|it| **it != lost.name).cloned().collect();
        let Some(holder) = filled.first().cloned() else {
            return Ok(());
        };
        let spares = rank_voters(&holder, "a1", "a", &hosts);
        let spare = spares.into_iter().find(|it| !filled.contains(it));
        filled.extend(spare.filter(|_| before.contains(&lost.name)));
        prop_assert_eq!(filled.len(), hosts.len().min(3));
        if before[0] != lost.name {
            let mut listed = after.to_vec();
            listed.sort_unstable();
            filled.sort_unstable();
            prop_assert_eq!(listed, filled);
        }
        hosts.reverse();
        prop_assert_eq!(after, choose_voters(&target, "a1", "a", &hosts));
    }
}

// Guards against targets of one gateway whose votes are spread over many hosts, and against a lost
// gateway whose targets all fall to one host.
#[test]
fn targets_of_a_gateway_share_voters() {
    let hosts: Vec<HostInput> = (0..17)
        .map(|it| host(&format!("h{it}"), "a1", "a", HostState::Live))
        .collect();
    let mut lists = BTreeMap::<Arc<str>, Vec<[Arc<str>; 2]>>::new();
    for target in 0..340 {
        let [gateway, others @ ..] = choose_voters(&format!("t{target}"), "a1", "a", &hosts)
            .into_inner()
            .unwrap();
        lists.entry(gateway).or_default().push(others);
    }
    assert_eq!(lists.len(), hosts.len());
    for (gateway, others) in lists {
        let [first, second] = others[0].clone();
        let reversed = [Arc::clone(&second), Arc::clone(&first)];
        let same = others.iter().filter(|it| **it == others[0]).count();
        assert!(
            others.iter().all(|it| *it == others[0] || *it == reversed),
            "{gateway}"
        );
        assert!(
            same * 4 > others.len() && same * 4 < others.len() * 3,
            "{gateway}"
        );
    }
}
