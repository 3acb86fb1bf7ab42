use std::collections::BTreeMap;

use proptest::prelude::*;

use super::super::*;
use super::LIMITS;

#[derive(Clone, Debug)]
enum Op {
    Offer {
        mode: RunMode,
        caller: u64,
        key: u64,
        priority: u8,
        budget_ms: u64,
    },
    Finish {
        nth: usize,
        end: RequestEnd,
    },
    Cancel {
        id: u64,
    },
    Expire,
    Limits {
        slots: usize,
        depth: usize,
    },
}

fn op() -> impl Strategy<Value = Op> {
    let mode = prop_oneof![4 => Just(RunMode::Shared), 1 => Just(RunMode::Exclusive)];
    let offer = (mode, 0..4_u64, 0..4_u64, 0..3_u8, 0..200_u64).prop_map(
        |(mode, caller, key, priority, budget_ms)| Op::Offer {
            mode,
            caller,
            key,
            priority,
            budget_ms,
        },
    );
    let end = prop_oneof![
        4 => Just(RequestEnd::Answered),
        1 => Just(RequestEnd::Shed),
        1 => Just(RequestEnd::Failed),
        1 => Just(RequestEnd::Cancelled),
    ];
    prop_oneof![
        6 => offer,
        4 => (0..4_usize, end).prop_map(|(nth, end)| Op::Finish { nth, end }),
        1 => (0..60_u64).prop_map(|id| Op::Cancel { id }),
        2 => Just(Op::Expire),
        1 => (0..4_usize, 0..6_usize).prop_map(|(slots, depth)| Op::Limits { slots, depth }),
    ]
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    Waiting,
    Running(RunMode, Millis),
    Ended,
}

struct Model {
    queue: Queue,
    slots: usize,
    stages: BTreeMap<u64, (Stage, RunMode)>,
}

impl Model {
    fn apply(&mut self, now: Millis, op: &Op) {
        let decisions = match *op {
            Op::Offer {
                mode,
                caller,
                key,
                priority,
                budget_ms,
            } => {
                let id = self.stages.len() as u64;
                let ticket = Ticket {
                    id,
                    key,
                    caller,
                    priority,
                    route: key,
                    objective: now + budget_ms / 2,
                    deadline: now + budget_ms,
                };
                let offer = match mode {
                    RunMode::Shared => self.queue.offer(now, ticket),
                    RunMode::Exclusive => self.queue.offer_suspect(now, ticket),
                };
                let stage = match offer {
                    OfferResult::Start => Stage::Running(mode, now),
                    OfferResult::Wait => Stage::Waiting,
                    OfferResult::Refuse(_) => Stage::Ended,
                };
                self.stages.insert(id, (stage, mode));
                self.verify();
                self.queue.expire(now)
            }
            Op::Finish { nth, end } => {
                let mut running = self
                    .stages
                    .iter()
                    .filter_map(|(&id, &(stage, _))| match stage {
                        Stage::Running(_, started) => Some((id, started)),
                        _ => None,
                    });
                let Some((id, started)) = running.nth(nth) else {
                    return;
                };
                self.end(id);
                self.queue.finish(now, id, now - started, end)
            }
            Op::Cancel { id } => {
                if self.stages.contains_key(&id) {
                    self.end(id);
                }
                self.queue.cancel(now, id)
            }
            Op::Expire => self.queue.expire(now),
            Op::Limits { slots, depth } => {
                self.slots = slots;
                self.queue.set_limits(QueueLimits {
                    slots,
                    depth,
                    caller_share: 50,
                });
                self.queue.expire(now)
            }
        };
        let running = self.running().count();
        for decision in &decisions {
            let (id, refused) = match *decision {
                Decision::Start(id) => (id, false),
                Decision::Refuse(id, _) => (id, true),
            };
            let (stage, mode) = self.stages[&id];
            assert_eq!(
                stage,
                Stage::Waiting,
                "{id} is decided once, while it waits"
            );
            let stage = if refused {
                Stage::Ended
            } else {
                Stage::Running(mode, now)
            };
            self.stages.insert(id, (stage, mode));
        }
        if self.running().count() > running {
            assert!(
                self.running().count() <= self.slots,
                "more requests run than there are slots"
            );
        }
        self.verify();
    }

    fn end(&mut self, id: u64) {
        self.stages.entry(id).and_modify(|it| it.0 = Stage::Ended);
    }

    fn running(&self) -> impl Iterator<Item = RunMode> {
        self.stages.values().filter_map(|it| match it.0 {
            Stage::Running(mode, _) => Some(mode),
            _ => None,
        })
    }

    fn verify(&self) {
        let waiting = self.stages.values().filter(|it| it.0 == Stage::Waiting);
        let pending = self.queue.pending.len();
        assert_eq!(
            self.queue.waiting() + pending,
            waiting.count(),
            "no request is lost"
        );
        assert_eq!(self.queue.running(), self.running().count());
        let exclusive = self.running().any(|it| it == RunMode::Exclusive);
        assert!(
            !exclusive || self.running().count() == 1,
            "a suspect runs at the same time as others"
        );
    }
}

proptest! {
    /// Guards against more running requests than slots, requests that are lost, started or
    /// answered twice, and refusals of requests that were started.
    #[test]
    fn every_request_has_one_outcome(ops in prop::collection::vec((0..30_u64, op()), 1..120)) {
        for order in [QueueOrder::Adaptive, QueueOrder::Objective] {
            let mut model = Model {
                queue: Queue::new(LIMITS).with_order(order),
                slots: LIMITS.slots,
                stages: BTreeMap::new(),
            };
            let mut now = 0;
            for (step, op) in &ops {
                now += step;
                model.apply(now, op);
            }
            // With enough time and slots, no request waits forever.
            model.apply(now, &Op::Limits { slots: 2, depth: 6 });
            for _ in 0..200 {
                now += 1_000;
                model.apply(now, &Op::Expire);
                model.apply(now, &Op::Finish { nth: 0, end: RequestEnd::Answered });
            }
            prop_assert_eq!(model.queue.waiting() + model.queue.running(), 0);
            prop_assert_eq!(model.queue.callers.active(0), 0);
        }
    }
}
