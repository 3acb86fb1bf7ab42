use std::time::Duration;

use coordinator::Incarnation;
use tokio::sync::mpsc;

use super::*;
use crate::{
    fake::{catalog, node},
    peers::{Event, Position},
    ports::Revision,
    state::{Access, Evacuation, TargetEntry, TargetState},
};

fn target(name: &str, number: u64) -> Event {
    let entry = TargetEntry {
        service: "archive".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        place: "catania".into(),
        slots: 2,
        state: TargetState::Ready,
        cold_ms: 0,
        started_ms: 1,
        heartbeats: 1,
    };
    let rev = Revision {
        generation: 0,
        number,
    };
    Event::Target(name.into(), rev, Some(entry))
}

/// Applies the reply of one host to another; returns the number of events in it.
fn sync(from: &Node, to: &Node) -> usize {
    let known = to.feed().position();
    let reply = from.reply_to(known);
    let events = reply.events.len();
    to.apply_reply(reply, to.clock.now());
    events
}

/// Returns a coordinator and a follower with the same state.
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

/// Guards against a host that skips events of the coordinator because it has read these or other
/// changes from the store itself.
#[test]
fn own_reads_of_the_store_hide_no_events() {
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

/// Guards against a host that goes on using a target which left while there was no coordinator,
/// because the next one has just started and never knew it.
#[test]
fn a_new_coordinator_tells_which_targets_are_left() {
    let restarted = node("h1", 7_000);
    restarted.feed().restart(Position { term: 4, number: 0 });
    let (inbox, _) = mpsc::unbounded_channel();
    restarted.set_inbox(Some(inbox));
    restarted.set_coordinator(Some(restarted.settings.peer));
    let rev = Revision {
        generation: 0,
        number: 9,
    };
    restarted.announce(vec![target("b", 2), Event::Listed(vec!["b".into()], rev)]);
    let follower = node("h2", 7_100);
    follower.announce(vec![target("a", 1), target("b", 2)]);
    // The store may have been away just before the first contact.
    sync(&restarted, &follower);
    assert!(follower.targets().get("a").is_some());
    assert!(follower.targets().removals_left_out());
    std::thread::sleep(Duration::from_millis(follower.targets_complete_at()));
    assert!(follower.must_list_targets());
    restarted.announce(vec![Event::Listed(vec!["b".into()], rev)]);
    sync(&restarted, &follower);
    assert!(!follower.must_list_targets());
    assert!(follower.targets().get("a").is_none());
    assert!(follower.targets().get("b").is_some());
}

/// Guards against a data centre that stays evacuated for ever on a host, because it was taken back
/// while there was no coordinator, and the next one has just started and never knew it; and against
/// older news of the evacuation from a host that was cut off.
#[test]
fn a_new_coordinator_tells_which_places_are_evacuated() {
    let rev = |number| Revision {
        generation: 0,
        number,
    };
    let evacuation = |place: &str, number| {
        Event::Evacuation(Evacuation {
            place: place.into(),
            rev: rev(number),
            active: true,
            age_ms: 9_000,
        })
    };
    let restarted = node("h1", 7_000);
    restarted.feed().restart(Position { term: 4, number: 0 });
    let (inbox, _) = mpsc::unbounded_channel();
    restarted.set_inbox(Some(inbox));
    restarted.set_coordinator(Some(restarted.settings.peer));
    let listed = Event::Evacuated(vec!["palermo".into()], rev(9));
    restarted.announce(vec![evacuation("palermo", 5), listed]);
    let follower = node("h2", 7_100);
    let late = node("h3", 7_200);
    let known = || vec![evacuation("catania", 3), evacuation("palermo", 5)];
    follower.announce(known());
    for host in [&follower, &late] {
        sync(&restarted, host);
        host.announce(known());
        let now = host.clock.now();
        let name = &host.info.name;
        assert_eq!(host.access("catania", now), Access::Open, "{name}");
        assert_eq!(host.access("palermo", now), Access::Closed, "{name}");
    }
}

/// Guards against a host that does not pass on what it has read from the store itself.
#[test]
fn hosts_pass_on_what_they_read_themselves() {
    let (coordinator, follower) = pair();
    let other = node("h3", 7_200);
    sync(&coordinator, &other);
    follower.announce(vec![target("c", 3)]);
    sync(&follower, &other);
    assert!(other.targets().get("c").is_some());
}

fn host(name: &str) -> HostInfo {
    HostInfo {
        name: name.into(),
        ..node(name, 7_400).info
    }
}

/// Guards against losing the arrival or departure of a host, and against keeping a departed host
/// after the full state was received.
#[test]
fn hosts_come_and_leave() {
    let (coordinator, follower) = pair();
    let names = |it: &Node| {
        let hosts = it.hosts.load();
        hosts
            .iter()
            .map(|it| it.name.to_string())
            .collect::<Vec<_>>()
    };
    coordinator.announce(vec![
        Event::HostCame(host("h7")),
        Event::HostCame(host("h8")),
    ]);
    coordinator.announce(vec![Event::HostLeft("h7".into())]);
    assert_eq!(sync(&coordinator, &follower), 3);
    assert_eq!(names(&coordinator), ["h1", "h8"]);
    assert!(names(&follower).contains(&"h8".to_owned()));
    assert!(!names(&follower).contains(&"h7".to_owned()));
    let late = node("h9", 7_500);
    late.announce(vec![Event::HostCame(host("h7"))]);
    sync(&coordinator, &late);
    assert_eq!(names(&late), names(&coordinator));
}

/// Guards against a version of the configuration that waits with other events until a coordinator
/// of many hosts answers, and against answers that are sent too often because another version came
/// before.
#[test]
fn only_versions_of_the_configuration_are_urgent() {
    struct Case {
        name: &'static str,
        known: Position,
        catalog: Option<u64>,
        news: News,
    }
    let (coordinator, _) = pair();
    coordinator.adopt_catalog(catalog(4), NewsSource::Store);
    coordinator.announce(vec![target("b", 2), target("c", 3)]);
    let now = coordinator.feed().position();
    let earlier = Position { number: 1, ..now };
    let other = Position { term: 0, number: 9 };
    let case = |name, known, catalog, news| Case {
        name,
        known,
        catalog,
        news,
    };
    let cases = [
        case("nothing new", now, Some(4), News::None),
        case("a later version", now, Some(5), News::None),
        case("events", earlier, Some(4), News::Usual),
        case("the version", now, Some(3), News::Urgent),
        case("the version and events", earlier, Some(3), News::Urgent),
        case("any version", now, None, News::Urgent),
        case("an earlier term", other, Some(4), News::Usual),
    ];
    for case in cases {
        let news = coordinator.news_after(case.known, case.catalog);
        assert_eq!(news, case.news, "{}", case.name);
    }
}

/// Guards against a reply that tells of a version of the configuration by sending it whole.
#[test]
fn replies_name_the_version_of_the_configuration() {
    let (coordinator, follower) = pair();
    coordinator.adopt_catalog(catalog(4), NewsSource::Store);
    assert_eq!(sync(&coordinator, &follower), 0);
    assert_eq!(follower.catalog.announced(), Some(4));
    assert_eq!(follower.catalog.version(), None);
}

/// Guards against hosts that do not hear that a target leaves, because they have heard of nothing
/// before, or only of what has changed since.
#[test]
fn departures_reach_all_hosts() {
    let (coordinator, follower) = pair();
    let late = node("h3", 7_200);
    let incarnation = Incarnation {
        target: "a".into(),
        started_ms: 1,
    };
    coordinator.on_leaving(&incarnation, 0, LeavingSource::Host);
    for host in [&follower, &late] {
        sync(&coordinator, host);
        let state = host.targets().get("a").map(|it| it.state);
        assert_eq!(state, Some(TargetState::Leaving), "{}", host.info.name);
    }
}

/// Guards against hosts that count the time for which a leaving target serves from the moment at
/// which they hear of it, instead of from the target's answer.
#[test]
fn a_departure_counts_from_the_answer_on_all_hosts() {
    const DRAIN_MS: Millis = 2_000;
    let (coordinator, follower) = pair();
    let late = node("h3", 7_200);
    let incarnation = Incarnation {
        target: "a".into(),
        started_ms: 1,
    };
    std::thread::sleep(Duration::from_millis(150));
    let since = coordinator.clock.now() - 100;
    coordinator.on_leaving(&incarnation, since, LeavingSource::Host);
    std::thread::sleep(Duration::from_millis(50));
    for host in [&follower, &late] {
        sync(&coordinator, host);
        let closed_from = host.targets().closed_from(&incarnation, DRAIN_MS);
        let left_ms = closed_from.map(|it| it.saturating_sub(host.clock.now()));
        let name = &host.info.name;
        assert!(left_ms <= Some(DRAIN_MS - 150), "{name}: {left_ms:?}");
        assert!(left_ms >= Some(DRAIN_MS - 300), "{name}: {left_ms:?}");
    }
}

/// Guards against requests to targets that have left, because a host has heard of them from one that
/// does not know how old its own list is.
#[test]
fn a_list_of_unknown_age_is_no_sign_that_targets_serve() {
    let follower = node("h2", 7_100);
    std::thread::sleep(Duration::from_millis(20));
    let started = node("h1", 7_000);
    started.announce(vec![target("a", 1)]);
    let unknown_position = Position { term: 9, number: 0 };
    let reply = started.reply_to(unknown_position);
    follower.apply_reply(reply, follower.clock.now());
    assert!(follower.targets().get("a").is_some());
    assert_eq!(follower.targets_synced_at(), None);
    let before_its_start = follower.clock.now() + 1_000;
    started.set_targets_synced_at(1);
    let mut reply = started.reply_to(unknown_position);
    reply.targets_age_ms = Some(before_its_start);
    follower.apply_reply(reply, follower.clock.now());
    assert_eq!(follower.targets_synced_at(), None);
}

/// Guards against a host that keeps sending requests to an evacuated data centre, because it missed
/// the event, got it late or was sent the full state instead.
#[test]
fn evacuations_reach_other_hosts_with_their_age() {
    let evacuation = |number, active, age_ms| {
        Event::Evacuation(Evacuation {
            place: "palermo".into(),
            rev: Revision {
                generation: 0,
                number,
            },
            active,
            age_ms,
        })
    };
    let (coordinator, follower) = pair();
    coordinator.announce(vec![evacuation(5, true, 4_900)]);
    let late = node("h3", 7_200);
    for host in [&follower, &late] {
        sync(&coordinator, host);
        let now = host.clock.now();
        assert_eq!(host.access("palermo", now), Access::Closed);
        assert_eq!(host.access("catania", now), Access::Open);
    }
    coordinator.announce(vec![evacuation(9, false, 0)]);
    sync(&coordinator, &follower);
    assert_eq!(
        follower.access("palermo", follower.clock.now()),
        Access::Open
    );
}
