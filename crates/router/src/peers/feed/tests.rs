use super::{Event, Feed, Position};

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
