use std::{net::SocketAddr, time::Duration};

use coordinator::{GrantEnd, Order, ReleaseEnd};
use futures::future::{BoxFuture, ready};
use http::{HeaderName, StatusCode};
use tokio::sync::mpsc;

use super::*;
use crate::{
    ports::{Commit, OwnRows, Read, StoreError, Topic, Transaction},
    state::{TargetEntry, TargetState},
};

/// A platform that does nothing.
struct Nowhere;

impl Store for Nowhere {
    fn read(&self, _: Topic) -> BoxFuture<'_, Result<Read, StoreError>> {
        Box::pin(ready(Err(StoreError::NoAnswer)))
    }

    fn watch(&self, _: Topic, _: u64, _: Duration) -> BoxFuture<'_, Result<Read, StoreError>> {
        Box::pin(ready(Err(StoreError::NoAnswer)))
    }

    fn own_rows(&self) -> BoxFuture<'_, Result<OwnRows, StoreError>> {
        Box::pin(ready(Err(StoreError::NoAnswer)))
    }

    fn own_row<'a>(&'a self, _: &'a str) -> BoxFuture<'a, Result<OwnRows, StoreError>> {
        Box::pin(ready(Err(StoreError::NoAnswer)))
    }

    fn commit<'a>(&'a self, _: &'a Transaction) -> BoxFuture<'a, Commit> {
        Box::pin(ready(Commit::Unknown))
    }
}

impl TargetApi for Nowhere {
    fn grant<'a>(&'a self, _: SocketAddr, _: &'a Order) -> BoxFuture<'a, GrantEnd> {
        Box::pin(ready(GrantEnd::NoAnswer))
    }

    fn release<'a>(&'a self, _: SocketAddr, _: &'a Order) -> BoxFuture<'a, ReleaseEnd> {
        Box::pin(ready(ReleaseEnd::NoAnswer))
    }
}

fn node(name: &str, port: u16) -> Node {
    let text = format!(
        "{{host: {name}, place: catania, regions: {{catania: sicilia-est}}, \
         callers: 127.0.0.1:{}, operators: 127.0.0.1:{}, metrics: 127.0.0.1:{}, \
         peer: 127.0.0.1:{port}, forward: 127.0.0.1:{}, cores: 1.0, \
         store: {{address: 127.0.0.1:1}}, bounds: {{max_hold_s: 10, drain_s: 2, grace_s: 6, \
         retry_ratio: 0.2, retry_slack: 60, retry_window_s: 10}}}}",
        port + 1,
        port + 2,
        port + 3,
        port + 4,
    );
    let header = HeaderName::from_static;
    let ports = Ports {
        store: Arc::new(Nowhere),
        target_api: Arc::new(Nowhere),
        dialect: Dialect {
            attempt: header("attempt"),
            deadline: header("deadline"),
            target: header("target"),
            key: header("key"),
            not_run: header("not-run"),
            seal: header("seal"),
            status: |_| StatusCode::SERVICE_UNAVAILABLE,
        },
    };
    Node::new(
        Settings::parse("f", &text).expect("the settings are good"),
        ports,
    )
}

fn target(name: &str, rev: u64) -> Event {
    let entry = TargetEntry {
        service: "archive".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        place: "catania".into(),
        slots: 2,
        state: TargetState::Ready,
        cold_ms: 0,
        born: 1,
    };
    Event::Target(name.into(), rev, Some(entry))
}

/// Lets a host report to another and learn from it.
fn sync(from: &Node, to: &Node) -> usize {
    let known = to.feed().position();
    let news = from.news(known);
    let events = news.events.len();
    to.follow(news);
    events
}

/// A coordinator and a host that knows everything that the coordinator does.
fn pair() -> (Node, Node) {
    let (coordinator, follower) = (node("h1", 7_000), node("h2", 7_100));
    coordinator.feed().restart(Position { term: 3, number: 0 });
    let (inbox, _) = mpsc::unbounded_channel();
    coordinator.set_inbox(Some(inbox));
    coordinator.set_coordinator(Some(coordinator.settings.peer));
    coordinator.announce(vec![target("a", 1)]);
    sync(&coordinator, &follower);
    assert!(follower.targets().get("a").is_some());
    (coordinator, follower)
}

/// Guards against news of the coordinator that a host takes for known because it has read some of
/// them, or others, from the store itself.
#[test]
fn own_reads_of_the_store_hide_no_news() {
    let (coordinator, follower) = pair();
    follower.announce(vec![target("c", 3)]);
    coordinator.announce(vec![target("b", 2)]);
    coordinator.announce(vec![target("c", 3)]);
    sync(&coordinator, &follower);
    for name in ["a", "b", "c"] {
        assert!(follower.targets().get(name).is_some(), "{name} is missing");
    }
    coordinator.announce(vec![target("d", 4)]);
    assert_eq!(sync(&coordinator, &follower), 1, "only what is new is sent");
    assert!(follower.targets().get("d").is_some());
}

/// Guards against a host that learned from the store and tells its neighbours less than it knows.
#[test]
fn neighbours_learn_what_a_host_read_itself() {
    let (coordinator, follower) = pair();
    let neighbour = node("h3", 7_200);
    sync(&coordinator, &neighbour);
    follower.announce(vec![target("c", 3)]);
    sync(&follower, &neighbour);
    assert!(neighbour.targets().get("c").is_some());
}
