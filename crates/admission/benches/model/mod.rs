//! Discrete-event simulation of queues in front of one target, with a fixed seed. The bench and the
//! test of the required bounds use the same code. Times are in microseconds where the name has no
//! unit.

mod figures;
mod policy;
mod scenario;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use admission::{Decision, OfferResult, RequestEnd, Ticket};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

pub use self::figures::Figures;
use self::policy::PolicyQueue;
pub use self::policy::{POLICIES, Policy};
pub use self::scenario::{SCENARIOS, Scenario};

/// Time that the target takes to shed a request.
const SHED_US: u64 = 1_000;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive,
    /// The target ends the request with this id.
    Done(usize),
    /// The queue of the host with this number has something to do.
    Due(usize),
}

#[derive(Clone, Copy, Debug)]
struct Request {
    ticket: Ticket,
    host: usize,
    arrived: u64,
    started: u64,
    end: RequestEnd,
}

struct Model<'a> {
    scenario: &'a Scenario,
    queues: Vec<PolicyQueue>,
    /// Time of the next `Due` event of each queue.
    due: Vec<Option<u64>>,
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<(u64, usize, Event)>>,
    /// Orders events of the same time.
    pushed_events: usize,
    target_running: usize,
    random: StdRng,
    figures: Figures,
}

/// Runs a scenario under a policy; `seed` determines arrivals and service times.
pub fn run(scenario: &Scenario, policy: Policy, seed: u64) -> Figures {
    let queues = policy.queues(scenario);
    let mut model = Model {
        scenario,
        due: vec![None; queues.len()],
        queues,
        requests: Vec::new(),
        events: BinaryHeap::new(),
        pushed_events: 0,
        target_running: 0,
        random: StdRng::seed_from_u64(seed),
        figures: Figures::new(scenario),
    };
    model.push(0, Event::Arrive);
    while let Some(Reverse((now, _, event))) = model.events.pop() {
        if now >= scenario.length_us() {
            break;
        }
        match event {
            Event::Arrive => model.arrive(now),
            Event::Done(id) => model.done(now, id),
            Event::Due(host) => {
                if model.due[host] == Some(now) {
                    model.due[host] = None;
                    model.expire(now, host);
                }
            }
        }
    }
    model.figures
}

impl Model<'_> {
    fn push(&mut self, at: u64, event: Event) {
        self.pushed_events += 1;
        self.events.push(Reverse((at, self.pushed_events, event)));
    }

    fn arrive(&mut self, now: u64) {
        let gap = self.exponential(self.scenario.gap_us());
        self.push(now + gap, Event::Arrive);
        let id = self.requests.len();
        let caller = self.scenario.caller(self.random.random());
        let key = self
            .scenario
            .key(self.random.random(), self.random.random());
        let ticket = Ticket {
            id: id as u64,
            key,
            caller,
            priority: 1,
            deadline: now / 1_000 + self.scenario.deadline_ms,
        };
        let host = self.random.random_range(0..self.queues.len());
        self.requests.push(Request {
            ticket,
            host,
            arrived: now,
            started: now,
            end: RequestEnd::Answered,
        });
        self.figures.on_offer(&ticket);
        match self.queues[host].offer(now / 1_000, ticket) {
            OfferResult::Start => self.dispatch(now, id),
            OfferResult::Wait => {}
            OfferResult::Refuse(_) => self.figures.on_refusal(0),
        }
        self.expire(now, host);
    }

    fn dispatch(&mut self, now: u64, id: usize) {
        let phase = self.scenario.phase(now);
        let mean = phase.service_us;
        let service = self.exponential(mean) + phase.extra_us;
        let deadline = self.requests[id].ticket.deadline * 1_000;
        let cancels = self.queues[self.requests[id].host].cancels();
        let (took, end) = if self.target_running >= phase.slots {
            (SHED_US, RequestEnd::Shed)
        } else if cancels && now + service > deadline {
            (deadline.saturating_sub(now), RequestEnd::Cancelled)
        } else {
            (service, RequestEnd::Answered)
        };
        if end != RequestEnd::Shed {
            self.target_running += 1;
        }
        self.requests[id].started = now;
        self.requests[id].end = end;
        self.push(now + took, Event::Done(id));
    }

    fn done(&mut self, now: u64, id: usize) {
        let request = self.requests[id];
        if request.end != RequestEnd::Shed {
            self.target_running -= 1;
        }
        let took = now - request.started;
        let latency = now - request.arrived;
        self.figures
            .on_end(now, &request.ticket, request.end, took, latency);
        let took_ms = (took + 500) / 1_000;
        let queue = &mut self.queues[request.host];
        let decisions = queue.finish(now / 1_000, request.ticket.id, took_ms, request.end);
        self.apply(now, request.host, &decisions);
    }

    fn expire(&mut self, now: u64, host: usize) {
        let decisions = self.queues[host].expire(now / 1_000);
        self.apply(now, host, &decisions);
    }

    fn apply(&mut self, now: u64, host: usize, decisions: &[Decision]) {
        for decision in decisions {
            match *decision {
                Decision::Start(id) => self.dispatch(now, index(id)),
                Decision::Refuse(id, _) => {
                    let waited = now - self.requests[index(id)].arrived;
                    self.figures.on_refusal(waited);
                }
            }
        }
        let due = self.queues[host].next_due(now / 1_000);
        let due = due.map(|it| (it * 1_000).max(now));
        if let Some(at) = due.filter(|_| due != self.due[host]) {
            self.due[host] = due;
            self.push(at, Event::Due(host));
        }
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "times of a few minutes in microseconds are exact in both types"
    )]
    fn exponential(&mut self, mean_us: u64) -> u64 {
        let uniform: f64 = self.random.random();
        (-(1.0 - uniform).ln() * mean_us as f64) as u64
    }
}

fn index(id: u64) -> usize {
    usize::try_from(id).expect("request ids fit into usize")
}
