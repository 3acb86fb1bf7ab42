use super::*;
use crate::{
    fake::{EmptyPlatform, node_at},
    peers::Event,
    ports::Revision,
};

/// Guards against a configuration that takes effect late: without a coordinator, a recent read of
/// the targets and owners must not suppress reads of the configuration.
#[tokio::test]
async fn without_a_coordinator_the_configuration_is_read_often() {
    let store = Arc::new(EmptyPlatform::default());
    let node = Arc::new(node_at("h1", 7_300, Arc::clone(&store)));
    node.set_synced_at(node.clock.now());
    let task = tokio::spawn(catch_up(Arc::clone(&node)));
    tokio::time::sleep(Duration::from_millis(1_300)).await;
    assert!(
        store.reads() >= 2,
        "{} reads without a coordinator",
        store.reads()
    );
    node.set_coordinator(Some(node.settings.peer));
    let before = store.reads();
    tokio::time::sleep(Duration::from_millis(600)).await;
    task.abort();
    // One read may already have been in flight.
    assert!(store.reads() <= before + 1, "a coordinator reads for all");
}

/// Guards against hundreds of hosts that read the whole list of targets again and again while there
/// is no coordinator, and against a host that misses changes because the store lost its history.
#[tokio::test]
async fn a_stale_host_reads_the_changes_of_targets() {
    struct Case {
        port: u16,
        knows_targets: bool,
        has_history: bool,
        reads: u32,
    }
    let case = |port, knows_targets, has_history, reads| Case {
        port,
        knows_targets,
        has_history,
        reads,
    };
    let cases = [
        case(7_340, true, true, 0),
        case(7_350, true, false, 1),
        case(7_360, false, true, 1),
    ];
    for case in cases {
        let store = Arc::new(EmptyPlatform::with_history(case.has_history));
        let node = Arc::new(node_at("h1", case.port, Arc::clone(&store)));
        if case.knows_targets {
            let rev = Revision {
                generation: 0,
                number: 5,
            };
            node.announce(vec![Event::Target("a".into(), rev, None)]);
        }
        let tasks = [
            tokio::spawn(catch_up(Arc::clone(&node))),
            tokio::spawn(catch_up_targets(Arc::clone(&node))),
        ];
        let stale = Duration::from_millis(STALE_MS);
        tokio::time::sleep(stale + READ_INTERVAL + READ_INTERVAL / 2).await;
        for task in tasks {
            task.abort();
        }
        assert!(node.age_ms() < STALE_MS, "{}", case.port);
        assert_eq!(store.target_reads(), case.reads, "{}", case.port);
    }
}

/// Guards against a host that sends requests to targets that have left, because it reads the list of
/// targets only after a configuration that is too long for its link.
#[tokio::test]
async fn the_targets_do_not_wait_for_the_configuration() {
    let store = Arc::new(EmptyPlatform::with_silent_catalog());
    let node = Arc::new(node_at("h1", 7_370, store));
    let tasks = [
        tokio::spawn(catch_up(Arc::clone(&node))),
        tokio::spawn(catch_up_targets(Arc::clone(&node))),
    ];
    let stale = Duration::from_millis(STALE_MS);
    tokio::time::sleep(stale + READ_INTERVAL + READ_INTERVAL / 2).await;
    for task in tasks {
        task.abort();
    }
    let targets_age = node.targets_age_ms();
    assert!(targets_age < STALE_MS, "{targets_age} ms");
    assert!(node.age_ms() >= STALE_MS, "the configuration is unknown");
}

/// Guards against hosts that all read the store while the coordinator still serves them, and against
/// a list that is read too late to spare the health checks.
#[test]
fn the_targets_are_read_before_they_are_asked() {
    struct Case {
        drain_ms: Millis,
        stale_ms: Millis,
    }
    let cases = [
        Case {
            drain_ms: 1_000,
            stale_ms: 1_500,
        },
        Case {
            drain_ms: 2_000,
            stale_ms: 1_500,
        },
        Case {
            drain_ms: 3_000,
            stale_ms: 2_200,
        },
    ];
    for case in cases {
        let stale_ms = targets_stale_ms(case.drain_ms);
        assert_eq!(stale_ms, case.stale_ms, "drain_s {}", case.drain_ms);
    }
}
