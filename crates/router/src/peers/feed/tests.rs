use std::{collections::BTreeMap, sync::Arc};

use routing::{Catalog, CatalogParts, Limits};

use super::{Event, Feed, News, Position};

fn at(number: u64) -> Position {
    Position { term: 1, number }
}

fn events(numbers: std::ops::RangeInclusive<u64>) -> Vec<Event> {
    numbers.map(Event::Poison).collect()
}

fn numbers(events: Option<Vec<Event>>) -> Option<Vec<u64>> {
    let number = |event| match event {
        Event::Poison(it) => it,
        other => panic!("unexpected {other:?}"),
    };
    Some(events?.into_iter().map(number).collect())
}

fn feed_with(count: u64) -> Feed {
    let mut feed = Feed::default();
    feed.restart(at(0));
    for event in events(1..=count) {
        feed.push(event);
    }
    feed
}

/// Guards against a host that counts an event twice because two replies overlap: its position would
/// be ahead of its state, and it would never ask for the events that it missed.
#[test]
fn overlapping_replies_count_once() {
    struct Case {
        name: &'static str,
        from: u64,
        to: u64,
        position: u64,
    }
    let cases = [
        Case {
            name: "next",
            from: 3,
            to: 5,
            position: 5,
        },
        Case {
            name: "overlap",
            from: 1,
            to: 5,
            position: 5,
        },
        Case {
            name: "old",
            from: 0,
            to: 2,
            position: 3,
        },
        Case {
            name: "same",
            from: 0,
            to: 3,
            position: 3,
        },
        Case {
            name: "gap",
            from: 4,
            to: 5,
            position: 3,
        },
    ];
    for case in cases {
        let mut feed = feed_with(3);
        feed.extend(at(case.from), at(case.to), events(case.from + 1..=case.to));
        assert_eq!(feed.position(), at(case.position), "{}", case.name);
        let known = numbers(feed.after(at(0)));
        let expected: Vec<u64> = (1..=case.position).collect();
        assert_eq!(known, Some(expected), "{}", case.name);
    }
}

/// Guards against sending a lagging host only a part of the events that it lacks.
#[test]
fn a_host_that_lags_too_far_is_sent_everything() {
    let feed = feed_with(600);
    assert_eq!(numbers(feed.after(at(10))), None);
    assert_eq!(numbers(feed.after(at(598))), Some(vec![599, 600]));
    assert_eq!(numbers(feed.after(at(600))), Some(Vec::new()));
    assert_eq!(numbers(feed.after(at(601))), None);
    let other = Position {
        term: 2,
        number: 600,
    };
    assert_eq!(numbers(feed.after(other)), None);
}

/// Guards against a version of the configuration that waits with other events until a coordinator
/// of many hosts answers, and against answers that are sent too often because another version came
/// before.
#[test]
fn only_versions_of_the_configuration_are_urgent() {
    struct Case {
        name: &'static str,
        known: Position,
        news: News,
    }
    let cases = [
        Case {
            name: "nothing new",
            known: at(7),
            news: News::None,
        },
        Case {
            name: "events after the version",
            known: at(5),
            news: News::Usual,
        },
        Case {
            name: "the version and events",
            known: at(4),
            news: News::Urgent,
        },
        Case {
            name: "an earlier term",
            known: Position { term: 0, number: 9 },
            news: News::Usual,
        },
    ];
    let mut feed = feed_with(4);
    let catalog = Catalog::new(CatalogParts {
        version: 1,
        hosts: BTreeMap::new(),
        services: Vec::new(),
        limits: Limits {
            head_bytes: 1,
            body_bytes: 1,
            head_ms: 1,
            idle_ms: 1,
        },
    });
    let catalog = Arc::new(catalog.expect("the configuration is valid"));
    feed.push(Event::Catalog(catalog));
    for event in events(6..=7) {
        feed.push(event);
    }
    for case in cases {
        assert_eq!(feed.news_after(case.known), case.news, "{}", case.name);
    }
    feed.restart(at(7));
    assert_eq!(feed.news_after(at(1)), News::Usual, "after a restart");
}
