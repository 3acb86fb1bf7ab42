use proptest::{collection::vec, proptest};
use refusal::Reason;

use crate::{Decision, OfferResult, Queue, QueueLimits, QueueOrder, RequestEnd, Ticket};

const LIMITS: QueueLimits = QueueLimits {
    slots: 2,
    depth: 4,
    caller_share: 100,
};

fn ticket(id: u64, deadline: u64) -> Ticket {
    Ticket {
        id,
        key: id,
        caller: 0,
        priority: 1,
        route: 0,
        objective: deadline,
        deadline,
    }
}

/// An idle queue with an estimated service time of 100 ms.
fn idle() -> Queue {
    let mut queue = Queue::new(LIMITS).with_order(QueueOrder::Adaptive);
    for id in 901..=940 {
        assert_eq!(queue.offer(0, ticket(id, 9_000)), OfferResult::Start);
        queue.finish(0, id, 100, RequestEnd::Answered);
    }
    queue
}

/// Guards against holding requests that cannot be served after a pause, and against the refusal of
/// those that can.
#[test]
fn offers_in_a_pause() {
    struct Case {
        name: &'static str,
        deadline: u64,
        expected: OfferResult,
    }
    let cases = [
        Case {
            name: "enough time",
            deadline: 3_000,
            expected: OfferResult::Wait,
        },
        Case {
            name: "ends in the pause",
            deadline: 900,
            expected: OfferResult::Refuse(Reason::TargetPaused),
        },
        Case {
            name: "too short after the pause",
            deadline: 1_010,
            expected: OfferResult::Refuse(Reason::TargetPaused),
        },
    ];
    for Case {
        name,
        deadline,
        expected,
    } in cases
    {
        let mut queue = idle();
        queue.set_pause(0, 1_000);
        assert_eq!(queue.offer(0, ticket(1, deadline)), expected, "{name}");
    }
}

/// Guards against waiting requests that start in a pause, are held until their deadline, or lose
/// their places.
#[test]
fn waiting_requests_keep_their_places_in_a_pause() {
    let mut queue = idle();
    for id in 1..=2 {
        assert_eq!(queue.offer(0, ticket(id, 9_000)), OfferResult::Start);
    }
    for (id, deadline) in [(3, 9_000), (4, 700), (5, 9_000)] {
        assert_eq!(queue.offer(0, ticket(id, deadline)), OfferResult::Wait);
    }
    queue.set_pause(10, 1_000);
    let refused: Vec<_> = queue.expire(10).into_iter().collect();
    assert_eq!(refused, [Decision::Refuse(4, Reason::TargetPaused)]);
    for id in 1..=2 {
        assert!(queue.finish(20, id, 100, RequestEnd::Answered).is_empty());
    }
    assert_eq!(queue.next_due(20), Some(1_000));
    assert!(queue.expire(999).is_empty());
    let started: Vec<_> = queue.expire(1_000).into_iter().collect();
    assert_eq!(started, [Decision::Start(3), Decision::Start(5)]);
}

/// Guards against requests that are held for one pause after another of a target that answers few
/// between them.
#[test]
fn few_requests_wait_for_a_target_that_pauses_again() {
    struct Case {
        answered: u64,
        waiting: usize,
    }
    let cases = [(0, 1), (1, 1), (2, 2), (50, 4)];
    for (answered, waiting) in cases {
        let case = Case { answered, waiting };
        let mut queue = idle();
        queue.set_pause(0, 500);
        queue.set_pause(500, 0);
        for id in 1..=case.answered {
            assert_eq!(queue.offer(500, ticket(id, 9_000)), OfferResult::Start);
            queue.finish(500, id, 100, RequestEnd::Answered);
        }
        queue.set_pause(600, 1_100);
        for id in 101..=104 {
            let offer = queue.offer(600, ticket(id, 9_000));
            assert_eq!(offer, OfferResult::Wait, "request {id}");
        }
        assert_eq!(queue.waiting(), case.waiting, "{answered} answered");
    }
}

/// Guards against a pause that outlasts the target that asked for it.
#[test]
fn a_pause_can_be_ended() {
    let mut queue = idle();
    queue.set_pause(0, 1_000);
    assert_eq!(queue.offer(0, ticket(1, 9_000)), OfferResult::Wait);
    queue.set_pause(10, 0);
    let started: Vec<_> = queue.expire(10).into_iter().collect();
    assert_eq!(started, [Decision::Start(1)]);
}

proptest! {
    /// Guards against any sequence of calls that starts a request in a pause.
    #[test]
    fn nothing_starts_in_a_pause(
        steps in vec((0_u64..4, 0_u64..200, 0_u64..2_000), 1..60),
    ) {
        let mut queue = idle();
        let (mut now, mut pause_end) = (0, 0);
        let mut running = Vec::new();
        for (id, (action, wait, value)) in (1_u64..).zip(steps) {
            now += wait;
            let mut started = Vec::new();
            match action {
                0 => {
                    pause_end = pause_end.max(now + value);
                    queue.set_pause(now, pause_end);
                }
                1 => {
                    let offer = queue.offer(now, ticket(id, now + value));
                    started.extend((offer == OfferResult::Start).then_some(id));
                }
                2 => {
                    if let Some(ended) = running.pop() {
                        let decisions = queue.finish(now, ended, 10, RequestEnd::Answered);
                        started.extend(decisions.into_iter().filter_map(started_id));
                    }
                }
                _ => {}
            }
            started.extend(queue.expire(now).into_iter().filter_map(started_id));
            assert!(started.is_empty() || now >= pause_end, "{started:?} at {now}");
            running.extend(started);
        }
    }
}

fn started_id(decision: Decision) -> Option<u64> {
    match decision {
        Decision::Start(id) => Some(id),
        Decision::Refuse(..) => None,
    }
}
