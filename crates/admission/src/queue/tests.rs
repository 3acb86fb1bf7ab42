mod model;

use refusal::Reason;

use super::*;

const LIMITS: QueueLimits = QueueLimits {
    slots: 2,
    depth: 4,
    caller_share: 50,
};

fn ticket(id: u64) -> Ticket {
    Ticket {
        id,
        key: id,
        caller: id,
        priority: 1,
        route: 0,
        objective: 1_000,
        deadline: 1_000,
    }
}

/// A queue whose two slots are taken by the requests 1 and 2, with `service_ms` as the estimated
/// service time.
fn busy(service_ms: u64) -> Queue {
    let mut queue = Queue::new(LIMITS);
    for id in 101..=120 {
        assert_eq!(queue.offer(0, ticket(id)), OfferResult::Start);
        queue.finish(0, id, service_ms, RequestEnd::Answered);
    }
    for id in 1..=2 {
        assert_eq!(queue.offer(0, ticket(id)), OfferResult::Start);
    }
    queue
}

struct OfferCase {
    name: &'static str,
    service_ms: u64,
    waiting: Vec<Ticket>,
    offered: Ticket,
    expected: OfferResult,
    evicted: Option<Decision>,
}

impl OfferCase {
    fn check(self) {
        let mut queue = busy(self.service_ms);
        for waiting in self.waiting {
            assert_eq!(queue.offer(0, waiting), OfferResult::Wait, "{}", self.name);
        }
        let offer = queue.offer(0, self.offered);
        assert_eq!(offer, self.expected, "{}", self.name);
        let evicted = queue.expire(0).into_iter().collect::<Vec<_>>();
        let expected = self.evicted.into_iter().collect::<Vec<_>>();
        assert_eq!(evicted, expected, "{}", self.name);
    }
}

/// Guards against a queue that grows beyond its limits, can be filled by one caller or key, or
/// accepts requests that can only time out.
#[test]
fn offers_to_a_busy_queue() {
    let from = |id, caller| Ticket {
        caller,
        ..ticket(id)
    };
    let of_key = |id, key| Ticket { key, ..ticket(id) };
    let urgent = Ticket {
        priority: 0,
        ..ticket(9)
    };
    let due = |id, deadline| Ticket {
        deadline,
        ..ticket(id)
    };
    let two = || vec![ticket(3), ticket(4)];
    let same_priority = || (3..=6).map(ticket).collect::<Vec<_>>();
    let heavy = vec![of_key(3, 7), of_key(4, 7), of_key(5, 7), ticket(6)];
    let greedy = vec![from(3, 70), from(4, 70), ticket(5), ticket(6)];
    let late = OfferResult::Refuse(Reason::DeadlineBeforeStart);
    let full = OfferResult::Refuse(Reason::QueueFull);
    let share = OfferResult::Refuse(Reason::CallerShare);
    let case = |name, service_ms, waiting, offered, expected, evicted: Option<u64>| OfferCase {
        name,
        service_ms,
        waiting,
        offered,
        expected,
        evicted: evicted.map(|it| Decision::Refuse(it, Reason::QueueFull)),
    };
    let cases = [
        case(
            "the queue has room",
            10,
            vec![],
            ticket(9),
            OfferResult::Wait,
            None,
        ),
        case(
            "full of requests with the same priority",
            10,
            same_priority(),
            ticket(9),
            full,
            None,
        ),
        case(
            "a request of a lower priority is evicted",
            10,
            same_priority(),
            urgent,
            OfferResult::Wait,
            Some(6),
        ),
        case(
            "a request of a heavy caller is evicted",
            10,
            greedy,
            ticket(9),
            OfferResult::Wait,
            Some(4),
        ),
        case(
            "a request for a heavy key is evicted",
            10,
            heavy,
            ticket(9),
            OfferResult::Wait,
            Some(5),
        ),
        case(
            "the caller's share is used up",
            10,
            vec![from(3, 70), from(4, 70)],
            from(9, 70),
            share,
            None,
        ),
        case("the deadline has passed", 10, vec![], due(9, 0), late, None),
        case(
            "the estimated wait is too long",
            100,
            two(),
            due(9, 200),
            late,
            None,
        ),
        case(
            "the same deadline with a faster target",
            10,
            two(),
            due(9, 200),
            OfferResult::Wait,
            None,
        ),
    ];
    cases.into_iter().for_each(OfferCase::check);
}

/// Guards against a caller or a key that gets every slot because it has the most requests.
#[test]
fn a_heavy_flow_takes_turns_with_a_light_one() {
    for heavy in ["caller", "key"] {
        let mut queue = Queue::new(QueueLimits {
            slots: 1,
            depth: 40,
            caller_share: 100,
        });
        let flow = |id: u64, flow: u64| match heavy {
            "caller" => Ticket {
                caller: flow,
                ..ticket(id)
            },
            _ => Ticket {
                key: flow,
                ..ticket(id)
            },
        };
        for id in 0..20 {
            queue.offer(0, flow(id, 1_000));
        }
        for id in 20..30 {
            queue.offer(0, flow(id, 2_000));
        }
        let mut light = 0;
        let mut running = 0;
        for now in 1..=20 {
            for decision in queue.finish(now, running, 1, RequestEnd::Answered) {
                let Decision::Start(id) = decision else {
                    panic!("nothing is refused: {decision:?}");
                };
                running = id;
                light += u64::from(id >= 20);
            }
        }
        assert!((9..=10).contains(&light), "{heavy}: {light} of 20");
    }
}

/// Guards against new callers that starve a known one, although each of them sends only one
/// request.
#[test]
fn new_callers_do_not_starve_a_known_one() {
    let mut queue = Queue::new(QueueLimits {
        slots: 1,
        depth: 8,
        caller_share: 50,
    });
    queue.offer(0, ticket(0));
    let mut running = 0;
    let mut known = 0;
    for step in 1..=400 {
        let id = step * 10;
        let own = Ticket {
            caller: 1,
            ..ticket(id)
        };
        queue.offer(step, own);
        for new in 1..=3 {
            queue.offer(step, ticket(id + new));
        }
        let mut next = None;
        for decision in queue.finish(step, running, 1, RequestEnd::Answered) {
            if let Decision::Start(id) = decision {
                next = Some(id);
            }
        }
        running = next.expect("a request waits at all times");
        known += u64::from(running % 10 == 0);
    }
    // Nine callers share the target: eight wait and one runs.
    assert!(known >= 400 / 9, "{known}");
}

/// Guards against a limit that does not decrease after a shed request or does not recover later.
#[test]
fn concurrency_follows_shedding() {
    let mut queue = busy(10);
    for id in 3..=4 {
        queue.offer(0, ticket(id));
    }
    assert!(queue.finish(5, 1, 1, RequestEnd::Shed).is_empty());
    assert_eq!(queue.running(), 1);
    assert_eq!(
        queue.finish(10, 2, 10, RequestEnd::Answered)[..],
        [Decision::Start(3)]
    );
    // The target sheds a single request: nothing starts until the pause has ended.
    assert!(queue.finish(20, 3, 1, RequestEnd::Shed).is_empty());
    let due = queue.next_due(20).expect("a pause has an end");
    assert_eq!(queue.expire(due - 1)[..], []);
    assert_eq!(queue.expire(due)[..], [Decision::Start(4)]);
    for id in 201..=240 {
        queue.offer(100, ticket(id));
        queue.cancel(100, id);
        queue.finish(100, 4, 10, RequestEnd::Answered);
        assert_eq!(queue.offer(100, ticket(4)), OfferResult::Start);
    }
    assert_eq!(queue.offer(100, ticket(301)), OfferResult::Start);
}

/// Guards against an estimate that stays too high because no request is started any more.
#[test]
fn an_idle_queue_starts_whatever_the_estimate() {
    let mut queue = Queue::new(LIMITS);
    queue.offer(0, ticket(1));
    queue.finish(5_000, 1, 5_000, RequestEnd::Answered);
    let short = |id| Ticket {
        deadline: 5_100,
        ..ticket(id)
    };
    assert_eq!(queue.offer(5_000, short(2)), OfferResult::Start);
    assert_eq!(
        queue.offer(5_000, short(3)),
        OfferResult::Refuse(Reason::DeadlineBeforeStart)
    );
}

/// Guards against a suspect that crashes the target while requests of other callers run.
#[test]
fn a_suspect_runs_alone() {
    let mut queue = busy(10);
    assert_eq!(queue.offer_suspect(0, ticket(3)), OfferResult::Wait);
    queue.offer(0, ticket(4));
    assert!(queue.finish(10, 1, 10, RequestEnd::Answered).is_empty());
    assert_eq!(
        queue.finish(12, 2, 10, RequestEnd::Answered)[..],
        [Decision::Start(3)]
    );
    assert_eq!(queue.offer(13, ticket(5)), OfferResult::Wait);
    queue.mark_suspect(5);
    assert_eq!(
        queue.finish(14, 3, 2, RequestEnd::Answered)[..],
        [Decision::Start(4)]
    );
    assert_eq!(
        queue.cancel(15, 4)[..],
        [Decision::Start(5)],
        "marked while it waited"
    );
}

/// Guards against lower limits that leave too many requests waiting or stop running ones.
#[test]
fn limits_can_be_lowered() {
    let mut queue = busy(10);
    for id in 3..=6 {
        queue.offer(0, ticket(id));
    }
    queue.set_limits(QueueLimits {
        slots: 1,
        depth: 2,
        caller_share: 50,
    });
    assert_eq!(queue.next_due(0), Some(0));
    assert_eq!(queue.expire(0).len(), 2);
    assert_eq!((queue.running(), queue.waiting()), (2, 2));
    assert!(queue.finish(1, 1, 1, RequestEnd::Answered).is_empty());
}

struct OrderCase {
    name: &'static str,
    order: QueueOrder,
    depth: usize,
    offered: Vec<Ticket>,
    expected: &'static [u64],
}

impl OrderCase {
    fn check(self) {
        let mut queue = Queue::new(QueueLimits {
            slots: 1,
            depth: self.depth,
            caller_share: 100,
        })
        .with_order(self.order);
        queue.offer(0, ticket(0));
        for offered in self.offered {
            queue.offer(0, offered);
        }
        let mut started = vec![0];
        while let Some(&last) = started.last() {
            let decisions = queue.finish(1, last, 0, RequestEnd::Answered);
            let next = decisions.iter().filter_map(|it| match it {
                Decision::Start(id) => Some(*id),
                Decision::Refuse(..) => None,
            });
            let before = started.len();
            started.extend(next);
            if started.len() == before {
                break;
            }
        }
        assert_eq!(started[1..], *self.expected, "{}", self.name);
    }
}

/// Guards against requests of low priority that start before those of high priority, and against an
/// overloaded queue that first serves the requests that have waited longest.
#[test]
fn order_of_starts() {
    let of = |id, priority| Ticket {
        caller: 7,
        key: 7,
        priority,
        ..ticket(id)
    };
    let same = || vec![of(1, 1), of(2, 1), of(3, 1)];
    let mixed = vec![of(1, 2), of(2, 1), of(3, 0), of(4, 1)];
    let case = |name, order, depth, offered, expected| OrderCase {
        name,
        order,
        depth,
        offered,
        expected,
    };
    let cases = [
        case("oldest", QueueOrder::Oldest, 3, same(), &[1, 2, 3]),
        case("oldest, full", QueueOrder::Oldest, 2, same(), &[1, 2]),
        case("newest", QueueOrder::Newest, 3, same(), &[3, 2, 1]),
        case("newest, full", QueueOrder::Newest, 2, same(), &[3, 2]),
        case("adaptive", QueueOrder::Adaptive, 3, same(), &[1, 2, 3]),
        case(
            "adaptive, overloaded",
            QueueOrder::Adaptive,
            2,
            same(),
            &[2, 1],
        ),
        case("priorities", QueueOrder::Oldest, 4, mixed, &[3, 2, 4, 1]),
    ];
    cases.into_iter().for_each(OrderCase::check);
}

/// Guards against requests that wait until their deadline although they can no longer be answered,
/// and against waiting requests that are not refused when the target drains.
#[test]
fn waiting_requests_are_refused_in_time() {
    let mut queue = busy(100);
    assert_eq!(queue.estimated_wait_ms(0), 50);
    queue.offer(0, ticket(3));
    queue.offer(0, ticket(4));
    assert_eq!(queue.estimated_wait_ms(0), 150);
    let due = queue.next_due(0).expect("waiting requests have a deadline");
    assert!((1_000 - 300..1_000 - 100).contains(&due), "{due}");
    assert!(queue.expire(due - 1).is_empty());
    let late = |id| Decision::Refuse(id, Reason::DeadlineBeforeStart);
    assert_eq!(queue.expire(due)[..], [late(3), late(4)]);
    assert_eq!(queue.next_due(due), None);

    queue.offer(0, ticket(5));
    let drained = Decision::Refuse(5, Reason::TargetDraining);
    assert_eq!(queue.refuse_waiting(Reason::TargetDraining)[..], [drained]);
    assert_eq!((queue.running(), queue.waiting()), (2, 0));
}
