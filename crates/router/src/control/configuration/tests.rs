use std::cell::Cell;

use super::*;
use crate::{
    control::catch_up,
    fake::{EmptyPlatform, catalog, node, node_at},
    peers::{self, Hosts},
    ports::Revision,
    state::CatalogMark,
};

/// Guards against a version that crosses the link between regions for each host, and against hosts
/// of one data centre that wait for each other.
#[test]
fn one_host_of_a_data_centre_is_the_relay_of_the_others() {
    let own = node("h1", 7_600);
    let host = |name: &str, place: &str, peer: u16, power: u32| HostInfo {
        name: name.into(),
        place: place.into(),
        peer: SocketAddr::from(([127, 0, 0, 1], peer)),
        power,
        link_mbps: 1_000,
        ..own.info.clone()
    };
    let near = [
        own.info.clone(),
        host("h2", "catania", 7_601, own.info.power + 1),
        host("h3", "palermo", 7_602, 500),
    ];
    own.hosts.store(Arc::new(Hosts::new(near)));
    let relay_name = || relay(&own).map(|it| it.name.to_string());
    assert_eq!(relay_name().as_deref(), Some("h2"));
    own.set_coordinator(Some(SocketAddr::from(([127, 0, 0, 1], 7_602))));
    assert_eq!(relay_name().as_deref(), Some("h2"));
    own.set_coordinator(Some(SocketAddr::from(([127, 0, 0, 1], 7_601))));
    assert_eq!(relay_name(), None, "the coordinator is near");
    own.set_coordinator(None);
    own.suspects.suspect(&"h2".into(), own.clock.now());
    assert_eq!(relay_name(), None, "the next one is this host");
}

/// Guards against hosts that confirm to each other that they have the newest version of the
/// configuration although none of them has asked the store.
#[tokio::test]
async fn only_the_store_tells_that_a_version_is_the_newest() {
    let (own, other) = (node("h1", 7_610), node("h2", 7_620));
    for it in [&own, &other] {
        it.adopt_catalog(catalog(4), NewsSource::Store);
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    let confirmed = other.clock.now();
    let mark = CatalogMark {
        version: 4,
        rev: None,
    };
    other.catalog.confirm(mark, confirmed);
    tokio::time::sleep(Duration::from_millis(50)).await;
    other.set_synced_at(other.clock.now());
    let known = own.feed().position();
    own.apply_reply(other.reply_to(known), own.clock.now());
    assert!(own.catalog_age_ms() >= 50, "{} ms", own.catalog_age_ms());
    assert!(own.age_ms() < 50, "{} ms", own.age_ms());
}

/// Guards against a wait for a slow or silent relay while the coordinator could answer, and against
/// hosts that ask the coordinator although the relay answers.
#[tokio::test]
async fn a_second_source_is_asked_after_a_delay() {
    struct Case {
        /// Milliseconds until the answer, and whether it is the version.
        first: (u64, bool),
        second: (u64, bool),
        result: bool,
        /// Whether the second source is asked.
        both: bool,
    }
    let case = |first, second, result, both| Case {
        first,
        second,
        result,
        both,
    };
    let cases = [
        case((1, true), (1, true), true, false),
        case((1, false), (1, true), true, true),
        case((1, false), (1, false), false, true),
        case((60_000, true), (1, true), true, true),
        case((200, true), (1, false), true, true),
        case((150, false), (100, true), true, true),
    ];
    for case in cases {
        let asked = Cell::new(false);
        let source = async |(ms, result): (u64, bool)| {
            tokio::time::sleep(Duration::from_millis(ms)).await;
            result
        };
        let second = async {
            asked.set(true);
            source(case.second).await
        };
        let delay = Duration::from_millis(100);
        let both = first_true(source(case.first), second, delay);
        let result = tokio::time::timeout(Duration::from_secs(30), both).await;
        assert_eq!(result, Ok(case.result), "{:?}", case.first);
        assert_eq!(asked.get(), case.both, "{:?}", case.first);
    }
}

/// Guards against a version that takes effect late while no host coordinates: the age that the relay
/// accepts and the pause of the hosts that ask it add up.
#[tokio::test]
async fn without_a_coordinator_the_relay_asks_the_store_again() {
    let store = Arc::new(EmptyPlatform::with_history(true));
    let relay = Arc::new(node_at("h1", 7_630, store));
    relay.adopt_catalog(catalog(4), NewsSource::Store);
    let mark = CatalogMark {
        version: 4,
        rev: Some(Revision::default()),
    };
    relay.catalog.confirm(mark, relay.clock.now());
    relay.set_synced_at(relay.clock.now());
    tokio::time::sleep(Duration::from_millis(800)).await;
    let server = peers::bind(Arc::clone(&relay)).await;
    let tasks = [
        tokio::spawn(server.expect("the address is free")),
        tokio::spawn(catch_up(Arc::clone(&relay))),
    ];
    let client = PeerClient::connect(relay.settings.peer, CONNECT_TIMEOUT).await;
    let query = CatalogQuery {
        known: Some(4),
        wanted: None,
        wait_ms: 500,
        fresh: true,
    };
    let client = client.expect("the relay accepts");
    let answer = client.catalog(query, BEGIN_TIMEOUT).await;
    let age_ms = answer.expect("the relay answers").age_ms;
    assert!(age_ms < 500, "{age_ms} ms");
    for task in tasks {
        task.abort();
    }
}
