//! Discrete-event simulation of queues in front of one target, with a fixed seed. The bench and the
//! test of the required bounds use the same code. Times are in microseconds where the name has no
//! unit.

mod figures;
mod policy;
mod route_figures;
mod scenario;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use admission::{Decision, OfferResult, RequestEnd, Ticket};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use refusal::Reason;

pub use self::figures::Figures;
use self::policy::PolicyQueue;
pub use self::policy::{POLICIES, Policy};
pub use self::route_figures::RouteFigures;
use self::scenario::STAGES;
pub use self::scenario::{BURSTS, SCENARIOS, Scenario};

/// Time that the target takes to shed a request.
const SHED_US: u64 = 1_000;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive,
    /// The target ends the request with this id.
    Done(usize),
    /// The queue of the host with this number has something to do.
    Due(usize),
    /// The caller of the refused request with this id returns.
    Return(usize),
}

#[derive(Clone, Copy, Debug)]
struct Request {
    ticket: Ticket,
    host: usize,
    arrived: u64,
    started: u64,
    end: RequestEnd,
    /// When its caller sent it first; later than `arrived` if this is its retry.
    sent: u64,
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
            Event::Return(id) => model.return_caller(now, id),
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
        let gap = self.exponential(self.scenario.gap_us(now));
        self.push(now + gap, Event::Arrive);
        let caller = self.scenario.caller(self.random.random());
        let key = self
            .scenario
            .key(self.random.random(), self.random.random());
        let now_ms = now / 1_000;
        let mut ticket = Ticket {
            id: 0,
            key,
            caller,
            priority: 1,
            route: 0,
            objective: now_ms + self.scenario.deadline_ms,
            deadline: now_ms + self.scenario.deadline_ms,
        };
        if let Some(burst) = self.scenario.burst {
            let route = burst.route(self.random.random());
            ticket.route = route as u64;
            ticket.priority = burst.routes[route].priority;
            ticket.objective = now_ms + burst.routes[route].objective_ms;
        }
        self.figures.on_offer(&ticket);
        self.send(now, now, ticket);
    }

    /// Offers a request that its caller sent first at `sent`.
    fn send(&mut self, now: u64, sent: u64, ticket: Ticket) {
        let id = self.requests.len();
        let ticket = Ticket {
            id: id as u64,
            ..ticket
        };
        let host = self.random.random_range(0..self.queues.len());
        self.requests.push(Request {
            ticket,
            host,
            arrived: now,
            started: now,
            end: RequestEnd::Answered,
            sent,
        });
        match self.queues[host].offer(now / 1_000, ticket) {
            OfferResult::Start => self.dispatch(now, id),
            OfferResult::Wait => {}
            OfferResult::Refuse(reason) => self.refuse(now, id, reason),
        }
        self.expire(now, host);
    }

    /// Records a refusal. In a burst scenario, its caller returns once: after the time that it was
    /// told, but at most a third of the time that it has left.
    fn refuse(&mut self, now: u64, id: usize, reason: Reason) {
        let request = self.requests[id];
        let waited = now - request.arrived;
        let is_last = request.arrived > request.sent || self.scenario.burst.is_none();
        self.figures.on_refusal(&request.ticket, waited, is_last);
        let Some(burst) = self.scenario.burst.filter(|_| !is_last) else {
            return;
        };
        let caller_end = request.sent / 1_000 + burst.caller_ms;
        let queue = &mut self.queues[request.host];
        let told = queue.return_ms(now / 1_000, &request.ticket, caller_end, reason);
        let longest = (caller_end * 1_000).saturating_sub(now) / 3;
        let after = (told.unwrap_or_default() * 1_000).min(longest);
        self.push(now + after.max(1), Event::Return(id));
    }

    fn return_caller(&mut self, now: u64, id: usize) {
        let Request { ticket, sent, .. } = self.requests[id];
        let burst = self.scenario.burst.expect("callers return in bursts only");
        let route = &burst.routes[index(ticket.route)];
        let now_ms = now / 1_000;
        let caller_end = sent / 1_000 + burst.caller_ms;
        let ticket = Ticket {
            objective: now_ms + route.objective_ms,
            deadline: caller_end.min(now_ms + self.scenario.deadline_ms),
            ..ticket
        };
        self.send(now, sent, ticket);
    }

    fn dispatch(&mut self, now: u64, id: usize) {
        let phase = self.scenario.phase(now);
        let mean = phase.service_us;
        let service = match self.scenario.burst {
            None => self.exponential(mean) + phase.extra_us,
            Some(burst) => {
                let route = &burst.routes[index(self.requests[id].ticket.route)];
                // The target is slower than usual by the factor of its phase.
                let work = route.work_ms * 1_000 * mean / self.scenario.usual.service_us;
                (0..STAGES).map(|_| self.exponential(work / STAGES)).sum()
            }
        };
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
        if let Some(burst) = self.scenario.burst {
            let route = &burst.routes[index(request.ticket.route)];
            let objective = route.objective_ms * 1_000;
            self.figures.on_route_end(
                &request.ticket,
                request.end,
                [latency, now - request.sent],
                objective,
            );
        }
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
                Decision::Refuse(id, reason) => self.refuse(now, index(id), reason),
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
