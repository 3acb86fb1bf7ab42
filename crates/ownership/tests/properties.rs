//! Properties of the small state machines under random inputs.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use ownership::{
    Fence, GRANT_MS, GrantOrder, GrantState, HeldSlice, Merge, Millis, Renewal, Table, TableRow,
    TargetId, VOTE_MS, Verdict, VoteRenewal, VoteRequest, Voter, lengthen_for_drift, renew_votes,
};
use proptest::{
    prelude::*,
    test_runner::{RngSeed, TestRunner},
};

/// Checks a property with random inputs and prints the seed; set `SEED` to repeat a run.
fn check<S: Strategy>(strategy: &S, property: impl Fn(S::Value) -> Result<(), TestCaseError>) {
    let time = std::time::UNIX_EPOCH.elapsed().map_or(0, |it| it.as_secs());
    let seed = std::env::var("SEED").map_or(time, |it| it.parse().expect("SEED is a number"));
    println!("SEED={seed}");
    let config = ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..ProptestConfig::default()
    };
    let run = TestRunner::new(config).run(strategy, property);
    run.unwrap_or_else(|it| panic!("SEED={seed}: {it}"));
}

fn row() -> impl Strategy<Value = TableRow> {
    let slice = (0..4_u64, 0..3_u64).prop_map(|(low, target)| {
        let value = format!(
            r#"{{"high":{},"target":"a{target}","generation":1}}"#,
            low + 1
        );
        (format!("slice/archive/{low:016x}"), value)
    });
    let target = (0..2_u64, 0..9_u64).prop_map(|(target, epoch)| {
        let value = format!(
            r#"{{"gateway":"h0","epoch":{epoch},"sponsors":["h0","h1"],"change":{{"joint":{{"previous":["h2"]}}}}}}"#
        );
        (format!("target/archive/a{target}"), value)
    });
    let document = (0..9_u64).prop_map(|version| {
        let value = format!(r#"{{"version":{version},"change":"c","text":"t"}}"#);
        (String::from("document/current"), value)
    });
    let named = prop_oneof![slice, target, document];
    (
        named,
        any::<prop::sample::Index>(),
        prop::bool::weighted(0.8),
    )
        .prop_map(|((name, value), rev, live)| TableRow {
            name: name.into(),
            rev: rev.index(30) as u64 + 1,
            value: live.then(|| value.into()),
        })
}

/// Guards against a table that depends on the order of its rows, restores a deleted or older row,
/// or returns rows that differ from those that were merged.
#[test]
fn table_keeps_the_newest_rows() {
    check(&prop::collection::vec(row(), 0..40), |rows| {
        let (mut forward, mut newest) = (Table::new(), BTreeMap::new());
        for row in &rows {
            let known: Option<&TableRow> = newest.get(&row.name);
            let newer = known.is_none_or(|it| it.rev < row.rev);
            let merge = forward.merge(row).expect("the row is well-formed");
            prop_assert_eq!(merge == Merge::Changed, newer);
            if newer {
                newest.insert(Arc::clone(&row.name), row.clone());
            }
        }
        let returned = forward.rows_after(0);
        let mut copy = Table::new();
        for row in returned.iter().rev().chain(&returned) {
            copy.merge(row).expect("the row is well-formed");
        }
        prop_assert_eq!(copy.rows_after(0), returned.clone());
        let by_name: BTreeMap<_, _> = returned
            .into_iter()
            .map(|it| (Arc::clone(&it.name), it))
            .collect();
        prop_assert_eq!(by_name, newest);
        for target in ["a0", "a1", "a2"] {
            let id = TargetId::new("archive", target);
            let by_target: Vec<_> = forward.slices_of(&id).map(|it| it.slice.low).collect();
            let all = forward
                .slices("archive")
                .filter(|it| *it.slice.target == *target);
            prop_assert_eq!(by_target, all.map(|it| it.slice.low).collect::<Vec<_>>());
        }
        Ok(())
    });
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Wait(Millis),
    /// A vote request: attempt, delay of the message in milliseconds, revision.
    Request(usize, Millis, u64),
    Resign(usize),
    Restart,
    ObserveRev(u64),
}

/// Guards against a voter that grants its vote to two attempts at once or under an old row.
#[test]
fn voter_votes_for_one_attempt() {
    let step = prop_oneof![
        (1..300_u64).prop_map(Step::Wait),
        (0..3_usize, 0..500_u64, 0..4_u64).prop_map(|it| Step::Request(it.0, it.1, it.2)),
        (0..3_usize).prop_map(Step::Resign),
        Just(Step::Restart),
        (0..4_u64).prop_map(Step::ObserveRev),
    ];
    check(&prop::collection::vec(step, 0..60), |steps| {
        let (mut now, mut known) = (10_000, 0);
        let mut voter = Voter::new(0);
        let mut granted: HashMap<usize, Millis> = HashMap::new();
        for step in steps {
            match step {
                Step::Wait(ms) => now += ms,
                Step::Request(attempt, delay, rev) => {
                    let request = VoteRequest {
                        target: TargetId::new("archive", "a0"),
                        rev,
                        host: format!("h{}", attempt / 2).into(),
                        incarnation: attempt as u64,
                    };
                    let verdict = voter.vote(now, &request).verdict;
                    prop_assert_eq!(verdict == Verdict::Stale { rev: known }, rev < known);
                    known = known.max(rev);
                    if verdict == Verdict::Granted {
                        granted.insert(attempt, now - delay + VOTE_MS);
                    }
                    let held = granted.values().filter(|it| now < **it);
                    prop_assert!(held.count() <= 1, "two votes at {}: {:?}", now, granted);
                }
                Step::Resign(attempt) => {
                    voter.resign(now, &format!("h{}", attempt / 2), attempt as u64);
                    granted.remove(&attempt);
                }
                Step::Restart => {
                    voter = Voter::new(now);
                    voter.observe_rev(known);
                }
                Step::ObserveRev(rev) => {
                    voter.observe_rev(rev);
                    known = known.max(rev);
                }
            }
        }
        Ok(())
    });
}

/// Guards against a renewal that grants a vote which the full requests would not get, that revives
/// an expired or released vote, or that leaves out one of its votes.
#[test]
fn renewal_equals_full_requests() {
    let event = (0..3_usize, 0..4_u64, 0..3_u64, 0..90_u64);
    let renewed = prop::collection::vec((0..3_u64, any::<bool>(), 0..10_usize), 3);
    let input = (prop::collection::vec(event, 1..12), renewed);
    check(&input, |(events, renewed)| {
        let mut now = 10_000;
        let ids = ["a0", "a1", "a2"].map(|it| TargetId::new("archive", it));
        let request = |target: usize, rev, incarnation: u64| VoteRequest {
            target: ids[target].clone(),
            rev,
            host: if incarnation < 2 { "h0" } else { "h1" }.into(),
            incarnation,
        };
        let mut voters: BTreeMap<_, _> = ids.iter().map(|it| (it.clone(), Voter::new(0))).collect();
        let mut known = [0; 3];
        let mut granted: [Option<(VoteRequest, Millis)>; 3] = [None, None, None];
        // `wait` also selects the operation: a resignation, a new revision or a vote request.
        for (target, incarnation, rev, wait) in events {
            now += wait;
            let voter = voters.get_mut(&ids[target]).unwrap();
            if wait % 7 > 0 {
                known[target] = known[target].max(rev);
            }
            let requested = request(target, rev, incarnation);
            if wait % 7 == 0 {
                voter.resign(now, &requested.host, incarnation);
                granted[target].take_if(|it| it.0.incarnation == incarnation);
            } else if wait % 7 == 1 {
                voter.observe_rev(rev);
            } else if voter.vote(now, &requested).verdict == Verdict::Granted {
                granted[target] = Some((requested, now + lengthen_for_drift(VOTE_MS)));
            }
        }
        let mut requests = Vec::new();
        for (target, (rev, adds_other, keep)) in renewed.into_iter().enumerate() {
            match &granted[target] {
                Some((it, _)) if *it.host == *"h0" && keep > 0 => requests.push(it.clone()),
                _ if adds_other => requests.push(request(target, rev, rev % 2)),
                _ => {}
            }
        }
        // A renewal covers the unexpired votes under the newest revision that the voter knows.
        let held = granted.iter().zip(known).filter_map(|(it, rev)| {
            let (vote, until) = it.clone()?;
            (*vote.host == *"h0" && now < until).then_some(VoteRequest { rev, ..vote })
        });
        let expected = requests.iter().cloned().eq(held);
        let renewal = VoteRenewal::new("h0".into(), &requests);
        let mut full = voters.clone();
        for request in requests.iter().filter(|_| expected) {
            let reply = full.get_mut(&request.target).unwrap().vote(now, request);
            prop_assert_eq!(reply.verdict, Verdict::Granted);
        }
        prop_assert_eq!(renew_votes(&mut voters, now, &renewal), expected);
        prop_assert_eq!(voters, full);
        Ok(())
    });
}

/// Guards against a target that returns to a lower epoch, holds a slice twice under one generation,
/// holds it longer than the last accepted orders allow, or admits an outdated fencing token; and
/// against a renewal that differs from the order it replaces, or that names an outdated state.
#[test]
fn fence_refuses_outdated_orders() {
    let slices = prop::collection::vec((0..4_u64, 1..6_u64), 0..3);
    let slices = prop::option::of(slices);
    let order = (
        1..5_u64,
        0..2_usize,
        0..1_500_u64,
        slices,
        0..400_u64,
        1..20_u64,
    );
    check(&prop::collection::vec(order, 0..40), |orders| {
        let mut fence = Fence::new(1);
        let (mut now, mut expiry, mut last) = (10_000, 0, (0, 0));
        let mut highest = [0; 4];
        let mut states = vec![fence.state(now), Fence::new(2).state(now)];
        for (epoch, gateway, age, slices, wait, incarnation) in orders {
            now += wait;
            let before = fence.state(now);
            // A renewal under the tag of each state so far.
            for named in &states {
                let (mut renewed, mut ordered) = (fence.clone(), fence.clone());
                let until = now - age + GRANT_MS;
                let renewal = Renewal {
                    tag: named.tag(),
                    until,
                };
                let order = GrantOrder {
                    incarnation: named.incarnation,
                    epoch: named.epoch,
                    gateway: Arc::clone(&named.gateway),
                    until,
                    slices: None,
                };
                let clock = before.clock;
                let current = before
                    == GrantState {
                        clock,
                        ..named.clone()
                    };
                let accepts = current && ordered.order(now, &order).is_ok();
                prop_assert_eq!(renewed.renew(now, &renewal).is_ok(), accepts);
                prop_assert_eq!(&renewed, if accepts { &ordered } else { &fence });
            }
            let slices = slices.map(|it| {
                let held = it.iter().map(|it| HeldSlice {
                    service: "archive".into(),
                    low: it.0 * 10,
                    high: it.0 * 10 + 9,
                    generation: it.1,
                });
                held.collect()
            });
            let order = GrantOrder {
                incarnation: incarnation.min(2) / 2 + 1,
                epoch,
                gateway: ["h0", "h1"][gateway].into(),
                until: now - age + GRANT_MS,
                slices,
            };
            let Ok(state) = fence.order(now, &order) else {
                prop_assert_eq!(fence.state(now), before);
                continue;
            };
            prop_assert_eq!(order.incarnation, 1);
            let gateway = "h2".into();
            states.extend([
                state.clone(),
                GrantState {
                    gateway,
                    ..state.clone()
                },
            ]);
            let newer = epoch > last.0 || epoch == last.0 && order.until > last.1;
            prop_assert!(newer, "{:?} after {:?}", order, last);
            prop_assert!(epoch > before.epoch || *order.gateway == *before.gateway);
            last = (epoch, order.until);
            expiry = expiry.max(order.until);
            for held in &state.held {
                let highest =
                    &mut highest[usize::try_from(held.low / 10).expect("the index is small")];
                let kept = before.held.iter().any(|it| it.low == held.low);
                prop_assert!(kept && held.generation >= *highest || held.generation > *highest);
                *highest = held.generation;
            }
            prop_assert_eq!(fence.state(expiry).held, Vec::new());
        }
        Ok(())
    });
}
