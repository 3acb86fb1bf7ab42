//! Statistics of a run.

use admission::{RequestEnd, Ticket};

use super::{Policy, RouteFigures, Scenario};

/// Statistics of one run.
#[derive(Clone, Debug)]
pub struct Figures {
    deadline_us: u64,
    capacity_us: u64,
    length_us: u64,
    offered: u64,
    useful_us: u64,
    refused: u64,
    shed: u64,
    /// Answers within the deadline, by caller.
    callers: Vec<u64>,
    hot: Counts,
    others: Counts,
    thirds: [Third; 3],
    refusal_waits_us: Vec<u64>,
    /// Figures of each route of a burst scenario.
    pub routes: Vec<RouteFigures>,
}

/// Started requests that ended in one third of the run.
#[derive(Clone, Debug, Default)]
struct Third {
    late: u64,
    latencies_us: Vec<u64>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    offered: u64,
    answered: u64,
}

impl Figures {
    /// The run's row of the table, in Markdown.
    pub fn row(&self, scenario: &Scenario, policy: Policy) -> String {
        format!(
            "| {} | {}% | {} | {:.1}% | {:.2}% | {:.0}% | {:.0} | {:.1}% | {:.0} | {:.1}% | {:.2} | {:.1}% |",
            scenario.name,
            scenario.load_percent,
            policy.name(),
            self.goodput_percent(),
            self.late_percent(),
            self.p99_percent(),
            self.p50_ms(),
            self.refused_percent(),
            self.p99_refusal_ms(),
            self.shed_percent(),
            self.unfairness(),
            self.other_keys_percent(),
        )
    }

    pub(super) fn new(scenario: &Scenario) -> Self {
        Self {
            deadline_us: scenario.deadline_ms * 1_000,
            capacity_us: scenario.capacity_us(),
            length_us: scenario.length_us(),
            offered: 0,
            useful_us: 0,
            refused: 0,
            shed: 0,
            callers: vec![0; scenario.callers.len()],
            hot: Counts::default(),
            others: Counts::default(),
            thirds: Default::default(),
            refusal_waits_us: Vec::new(),
            routes: match scenario.burst {
                Some(burst) => vec![RouteFigures::default(); burst.routes.len()],
                None => Vec::new(),
            },
        }
    }

    pub(super) fn on_offer(&mut self, ticket: &Ticket) {
        self.offered += 1;
        self.key_counts(ticket).offered += 1;
        if let Some(route) = self.route(ticket) {
            route.offered += 1;
        }
    }

    /// Records a refusal; `is_last` if its caller does not return.
    pub(super) fn on_refusal(&mut self, ticket: &Ticket, waited_us: u64, is_last: bool) {
        self.refused += 1;
        self.refusal_waits_us.push(waited_us);
        if let Some(route) = self.route(ticket) {
            route.on_refusal(waited_us, is_last);
        }
    }

    /// Records the end of a started request of a route, with its latency from its arrival and from
    /// when its caller sent it first.
    pub(super) fn on_route_end(
        &mut self,
        ticket: &Ticket,
        end: RequestEnd,
        latencies_us: [u64; 2],
        objective_us: u64,
    ) {
        if let Some(route) = self.route(ticket) {
            route.on_end(end, latencies_us, objective_us);
        }
    }

    fn route(&mut self, ticket: &Ticket) -> Option<&mut RouteFigures> {
        let route = usize::try_from(ticket.route).ok()?;
        self.routes.get_mut(route)
    }

    pub(super) fn on_end(
        &mut self,
        at: u64,
        ticket: &Ticket,
        end: RequestEnd,
        took_us: u64,
        latency_us: u64,
    ) {
        if end == RequestEnd::Shed {
            self.shed += 1;
            return;
        }
        let third = at * 3 / self.length_us;
        let third = usize::try_from(third.min(2)).expect("the index of a third fits into usize");
        self.thirds[third].latencies_us.push(latency_us);
        if end != RequestEnd::Answered || latency_us > self.deadline_us {
            self.thirds[third].late += 1;
            return;
        }
        self.useful_us += took_us;
        let caller = usize::try_from(ticket.caller).expect("caller numbers fit into usize");
        self.callers[caller] += 1;
        self.key_counts(ticket).answered += 1;
    }

    fn key_counts(&mut self, ticket: &Ticket) -> &mut Counts {
        match ticket.key {
            0 => &mut self.hot,
            _ => &mut self.others,
        }
    }

    /// Slot time spent on answers within the deadline, in percent of the target's slot time.
    pub fn goodput_percent(&self) -> f64 {
        percent(self.useful_us, self.capacity_us)
    }

    /// Started requests that were not answered within their deadline, in percent, in the worst
    /// third of the run.
    pub fn late_percent(&self) -> f64 {
        let late = |it: &Third| percent(it.late, it.latencies_us.len() as u64);
        self.thirds.iter().map(late).fold(0.0, f64::max)
    }

    /// 99th percentile of the latency of started requests from their arrival, in percent of the
    /// deadline, in the worst third. A request that is cancelled ends at its deadline.
    fn p99_percent(&self) -> f64 {
        let worst = self.thirds.iter().map(|it| quantile(&it.latencies_us, 99));
        percent(worst.max().unwrap_or(0), self.deadline_us)
    }

    /// Median latency of started requests in the last third, in milliseconds.
    fn p50_ms(&self) -> f64 {
        // A percentage of 100,000 µs has the value of the time in milliseconds.
        percent(quantile(&self.thirds[2].latencies_us, 50), 100_000)
    }

    /// 99th percentile of the time from arrival to refusal, in milliseconds.
    fn p99_refusal_ms(&self) -> f64 {
        percent(quantile(&self.refusal_waits_us, 99), 100_000)
    }

    /// Requests refused by the policy, in percent of those offered.
    fn refused_percent(&self) -> f64 {
        percent(self.refused, self.offered)
    }

    /// Requests shed by the target, in percent of those offered.
    fn shed_percent(&self) -> f64 {
        percent(self.shed, self.offered)
    }

    /// Answers within the deadline to the caller with the most of them, divided by those to the
    /// caller with the fewest.
    pub fn unfairness(&self) -> f64 {
        let most = self.callers.iter().max().copied().unwrap_or(0);
        let least = self.callers.iter().min().copied().unwrap_or(0);
        percent(most, least.max(1)) / 100.0
    }

    /// Requests for keys other than the hot one that were answered within the deadline, in percent.
    pub fn other_keys_percent(&self) -> f64 {
        percent(self.others.answered, self.others.offered)
    }
}

fn quantile(values: &[u64], rank: usize) -> u64 {
    let mut values = values.to_vec();
    if values.is_empty() {
        return 0;
    }
    let idx = (values.len() * rank / 100).min(values.len() - 1);
    *values.select_nth_unstable(idx).1
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts and times of a run are exact in f64"
)]
pub(super) fn percent(part: u64, whole: u64) -> f64 {
    part as f64 * 100.0 / whole.max(1) as f64
}
