use super::super::*;

const LIMITS: QueueLimits = QueueLimits {
    slots: 1,
    depth: 8,
    caller_share: 100,
};

/// Route 0 is urgent and takes 100 ms, route 1 is not and takes 200 ms.
fn ticket(id: u64, route: u64, now: Millis) -> Ticket {
    Ticket {
        id,
        key: id,
        caller: 0,
        priority: u8::try_from(route).expect("routes are few"),
        route,
        objective: now + 500,
        deadline: now + 1_000,
    }
}

/// A queue at 10,000 that knows the work of both routes, and runs request 0 of route 0.
fn busy(depth: usize) -> Queue {
    let limits = QueueLimits { depth, ..LIMITS };
    let mut queue = Queue::new(limits).with_order(QueueOrder::Objective);
    for id in 100..140 {
        let route = id % 2;
        assert_eq!(queue.offer(0, ticket(id, route, 0)), OfferResult::Start);
        queue.finish(0, id, 100 + 100 * route, RequestEnd::Answered);
    }
    assert_eq!(
        queue.offer(10_000, ticket(0, 0, 10_000)),
        OfferResult::Start
    );
    queue
}

/// Guards against requests of a burst that are held until their deadline and then refused, and
/// against a wait that is estimated from the number of requests.
#[test]
fn hopeless_requests_are_refused_at_once() {
    struct Case {
        name: &'static str,
        /// Routes of the offers, in turn.
        routes: &'static [u64],
        /// Offers that are accepted before the first refusal.
        accepted: usize,
    }
    let cases = [
        Case {
            name: "burst of short requests",
            routes: &[0; 20],
            accepted: 3,
        },
        Case {
            name: "burst of long requests: fewer",
            routes: &[1; 20],
            accepted: 1,
        },
    ];
    for Case {
        name,
        routes,
        accepted,
    } in cases
    {
        let mut queue = busy(50);
        let mut waiting = 0;
        for (id, &route) in (1..).zip(routes) {
            match queue.offer(10_000, ticket(id, route, 10_000)) {
                OfferResult::Wait => waiting += 1,
                OfferResult::Refuse(reason) => {
                    assert_eq!(reason, Reason::DeadlineBeforeStart, "{name}");
                    break;
                }
                OfferResult::Start => panic!("{name}: no slot is free"),
            }
        }
        assert_eq!(waiting, accepted, "{name}");
    }
}

/// Guards against a full queue that refuses an urgent request in favour of less urgent ones.
#[test]
fn the_least_urgent_request_is_evicted() {
    let mut queue = busy(2);
    for (id, route) in [(2, 1), (1, 0)] {
        assert_eq!(
            queue.offer(10_000, ticket(id, route, 10_000)),
            OfferResult::Wait
        );
    }
    assert_eq!(queue.offer(10_000, ticket(3, 0, 10_000)), OfferResult::Wait);
    assert_eq!(
        queue.expire(10_000)[..],
        [Decision::Refuse(2, Reason::QueueFull)]
    );
    let next = queue.offer(10_000, ticket(4, 1, 10_000));
    assert!(matches!(next, OfferResult::Refuse(_)), "{next:?}");
}

/// Guards against a less urgent route that gets no slot while a more urgent one takes all of them.
#[test]
fn no_route_starves() {
    let mut queue = busy(50);
    let mut running = 0;
    let mut served = [0; 2];
    let mut id = 1;
    // Route 0 demands twice the capacity; route 1 sends one request in each step.
    for step in 1..=100 {
        let now = 10_000 + step * 100;
        for route in [0, 0, 1] {
            id += 1;
            queue.offer(now, ticket(id * 2 + route, route, now));
        }
        for decision in queue.finish(now, running, 100, RequestEnd::Answered) {
            if let Decision::Start(id) = decision {
                running = id;
                served[usize::from(id % 2 != 0)] += 1;
            }
        }
        queue.expire(now);
    }
    // One slot for each objective of 500 ms, which each request of the route restarts.
    assert!((10..=20).contains(&served[1]), "{served:?}");
    assert!(served[0] >= 75, "{served:?}");
}

/// Guards against returns that are offered by queues of deployments that do not ask for them.
#[test]
fn only_this_order_tells_when_to_return() {
    let mut queue = busy(50);
    let refused = ticket(50, 0, 10_000);
    assert_eq!(queue.return_ms(10_000, &refused, 14_000), Some(100));
    assert!(queue.return_ms(10_000, &refused, 14_000) > Some(100));
    assert_eq!(queue.return_ms(10_000, &refused, 10_090), Some(30));
    queue.set_order(QueueOrder::Adaptive);
    assert_eq!(queue.return_ms(10_000, &refused, 14_000), None);
}
