//! Random sequences of many faults.

use ownership::Millis;
use proptest::{
    prelude::*,
    test_runner::{RngSeed, TestRunner},
};

use crate::{
    cluster::Cluster,
    event::Event,
    scenarios::{GRANTS, NOTHING},
    search::{SHORT_DEADLINE, SHORT_DEADLINE_NOTHING},
};

fn any_event() -> impl Strategy<Value = Event> {
    let ms = (1..20_u64).prop_map(|it| it * 100);
    let host = 0..3_usize;
    let target = 0..2_usize;
    prop_oneof![
        (host.clone(), ms.clone()).prop_map(|it| Event::Pause(it.0, it.1)),
        host.clone().prop_map(Event::Restart),
        (host.clone(), 1..3_usize, ms.clone()).prop_map(|it| Event::Cut(
            it.0,
            (it.0 + it.1) % 3,
            it.2
        )),
        (host.clone(), ms.clone()).prop_map(|it| Event::CutStore(it.0, it.1)),
        ms.clone().prop_map(Event::StoreDown),
        (target.clone(), ms.clone()).prop_map(|it| Event::Freeze(it.0, it.1)),
        (target.clone(), ms.clone()).prop_map(|it| Event::Crash(it.0, it.1)),
        (host.clone(), target.clone(), ms.clone())
            .prop_map(|it| Event::CutTarget(it.0, it.1, it.2)),
        (host.clone(), ms.clone()).prop_map(|it| Event::DelayGrant(it.0, it.1)),
        (host.clone(), ms).prop_map(|it| Event::DelayCommit(it.0, it.1)),
        host.prop_map(Event::LoseAnswer),
        target.prop_map(Event::RequestMove),
        Just(Event::Leave(2)),
    ]
}

/// Guards against two owners of a key after many faults at any time, and against a cluster that no
/// longer serves requests after the faults have ended. `SEED` repeats a run and `WALKS` sets the
/// number of sequences.
#[test]
fn many_faults() {
    let number = |name| {
        std::env::var(name)
            .ok()
            .map(|it| it.parse().expect("the variable is a number"))
    };
    let time = std::time::UNIX_EPOCH.elapsed().map_or(0, |it| it.as_secs());
    let seed = number("SEED").unwrap_or(time);
    println!("SEED={seed}");
    let config = ProptestConfig {
        cases: number("WALKS").map_or(200, |it| u32::try_from(it).expect("WALKS fits in 32 bits")),
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..ProptestConfig::default()
    };
    let policies = proptest::sample::select(vec![
        GRANTS,
        NOTHING,
        SHORT_DEADLINE,
        SHORT_DEADLINE_NOTHING,
    ]);
    let events = proptest::collection::vec((0..6_usize, any_event()), 1..16);
    let run = TestRunner::new(config).run(&(policies, events), |(policy, events)| {
        let mut cluster = Cluster::new(policy, 4);
        let mut step = |event| cluster.step(event).map_err(TestCaseError::fail);
        for _ in 0..20 {
            step(None)?;
        }
        for (idle_steps, event) in events {
            for _ in 0..idle_steps {
                step(None)?;
            }
            step(Some(event))?;
        }
        let accepted = |it: &Cluster| it.targets.iter().map(|it| it.accepted).sum::<u64>();
        for _ in 0..60 {
            step(None)?;
        }
        let before = accepted(&cluster);
        for _ in 0..10 {
            cluster.step(None).map_err(TestCaseError::fail)?;
        }
        let end: Millis = cluster.now;
        prop_assert!(accepted(&cluster) > before, "not served at {end}");
        Ok(())
    });
    run.unwrap_or_else(|it| panic!("SEED={seed}: {it}"));
}

/// Guards against a slice that is granted again while the commit that moved it is unresolved: the
/// answers to the move and to its repetition are lost, then the gateway takes its own row for that
/// of another host.
#[test]
fn moved_slice_is_not_granted_again() {
    let mut cluster = Cluster::new(GRANTS, 4);
    let events = [
        (20, Event::LoseAnswer(0)),
        (22, Event::RequestMove(0)),
        (26, Event::LoseAnswer(0)),
        (28, Event::Leave(2)),
    ];
    for step in 0..60 {
        let event = events.iter().find(|it| it.0 == step);
        let result = cluster.step(event.map(|it| it.1));
        assert_eq!(result, Ok(()), "step {step}");
    }
}
