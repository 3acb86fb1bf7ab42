//! Finds the gateway of a request's target and repeats the request where that is safe.

use std::{sync::Arc, time::Duration};

use admission::RetryVerdict;
use coordinator::Millis;
use http::Response;
use http_body::Body as _;
use refusal::{Ran, Reason, Refusal};
use routing::Repeat;

use super::{request::Call, server::Body};
use crate::{
    gateway::{self, GateId, Outcome, Patience, Task},
    node::Node,
    observe::{Journey, Link},
    peers::HostInfo,
    state::TargetState,
};

/// Longest pause before a request looks for its owner again.
const OWNER_PAUSE: Duration = Duration::from_millis(25);

/// Longest time for which a request waits for its key to have an owner.
const OWNER_WAIT_MS: Millis = 700;

/// Answers a request, or says why it is refused.
pub async fn run(node: &Arc<Node>, call: &Call) -> Result<Response<Body>, Refusal> {
    let mut journey = Journey::new(node, call);
    let end = deliver(node, call, &mut journey).await;
    journey.end(&end);
    end
}

async fn deliver(
    node: &Arc<Node>,
    call: &Call,
    journey: &mut Journey<'_>,
) -> Result<Response<Body>, Refusal> {
    let mut task = call.task.clone();
    let mut delivery = Delivery {
        node,
        call,
        sent: 0,
        ran: Ran::NotRun,
        refused: Vec::new(),
    };
    if node.poison.refuses(&task, call.arrived) {
        return Err(Reason::Quarantined.into());
    }
    node.budgets.on_request(&task.service, node.clock.now());
    loop {
        let now = node.clock.now();
        if now >= task.end {
            let reason = match delivery.ran {
                Ran::NotRun => Reason::DeadlineBeforeStart,
                Ran::Unknown => Reason::DeadlineAfterStart,
            };
            return Err(delivery.refusal(reason));
        }
        let outcome = delivery.attempt(&mut task, journey).await;
        match outcome {
            Outcome::Answered(response) => return Ok(response),
            Outcome::NotRun { reason, offered } => {
                delivery.not_run(&task, reason, offered).await?;
                node.metrics.retry(reason);
            }
            Outcome::Unknown(reason) => {
                delivery.unknown(reason)?;
                node.metrics.retry(reason);
            }
        }
    }
}

/// The state of a request at its entry.
struct Delivery<'a> {
    node: &'a Arc<Node>,
    call: &'a Call,
    /// Times that it may have run.
    sent: u32,
    ran: Ran,
    /// Gates that had no room for it.
    refused: Vec<GateId>,
}

impl Delivery<'_> {
    async fn attempt(&self, task: &mut Task, journey: &mut Journey<'_>) -> Outcome {
        let node = self.node;
        let began = node.clock.now();
        let Some((gate, patience)) = self.choose() else {
            let outcome = Outcome::not_sent(Reason::NoOwner);
            journey.step(None, &node.info.name, began, &outcome);
            return outcome;
        };
        task.gate = gate;
        task.patience = patience;
        let other = gateway_of(node, &task.gate).filter(|it| it.name != node.info.name);
        let (outcome, host) = match &other {
            Some(host) => (self.forward(task, host).await, &host.name),
            None => (gateway::run(node, task).await, &node.info.name),
        };
        journey.step(Some(task.gate.clone()), host, began, &outcome);
        outcome
    }

    async fn forward(&self, task: &Task, host: &HostInfo) -> Outcome {
        let node = self.node;
        let outcome = node.forwarder.send(node, host.forward, task).await;
        match &outcome {
            Outcome::Answered(answer) => {
                let sent = u64::try_from(task.body.len()).unwrap_or(u64::MAX);
                let received = answer.body().size_hint().lower();
                let link = distance(node, &host.place);
                node.metrics.hop(link, sent, received);
            }
            Outcome::NotRun {
                reason: Reason::OwnerUnreachable,
                ..
            }
            | Outcome::Unknown(Reason::GatewayLost) => {
                node.suspects.note(&host.name, node.clock.now());
            }
            Outcome::NotRun { .. } | Outcome::Unknown(_) => {}
        }
        outcome
    }

    /// Decides what follows an attempt that did not run.
    async fn not_run(&mut self, task: &Task, reason: Reason, offered: bool) -> Result<(), Refusal> {
        let now = self.node.clock.now();
        if offered && self.node.budgets.try_retry(&task.service, now) == RetryVerdict::Exhausted {
            return Err(self.refusal(reason));
        }
        match reason {
            Reason::QueueFull | Reason::TargetShed | Reason::TargetFailing
                if task.patience == Patience::Objective =>
            {
                self.refused.push(task.gate.clone());
                Ok(())
            }
            Reason::OwnerUnreachable | Reason::TargetUnreachable if task.key.is_none() => {
                self.refused.push(task.gate.clone());
                Ok(())
            }
            Reason::NoOwner
            | Reason::NotGateway
            | Reason::Fenced
            | Reason::TargetDraining
            | Reason::OwnerUnreachable
            | Reason::TargetUnreachable => {
                if now >= self.call.arrived + OWNER_WAIT_MS {
                    return Err(self.refusal(reason));
                }
                let changed = self.node.changed.notified();
                // Whether the owners changed or the time is over, the owner is looked up again.
                let _ = tokio::time::timeout(OWNER_PAUSE, changed).await;
                Ok(())
            }
            _ => Err(self.refusal(reason)),
        }
    }

    /// Decides what follows an attempt that may have run.
    fn unknown(&mut self, reason: Reason) -> Result<(), Refusal> {
        self.ran = Ran::Unknown;
        self.sent += 1;
        let route = &self.call.route;
        if route.repeat == Repeat::Forbidden || self.sent >= route.attempts {
            return Err(self.refusal(reason));
        }
        let now = self.node.clock.now();
        let service = &self.call.task.service;
        if self.node.budgets.try_retry(service, now) == RetryVerdict::Exhausted {
            return Err(self.refusal(reason));
        }
        Ok(())
    }

    fn refusal(&self, reason: Reason) -> Refusal {
        let mut refusal = Refusal::new(reason);
        refusal.ran = self.ran;
        if reason.ran() == Ran::Unknown {
            refusal.ran = Ran::Unknown;
        }
        refusal
    }

    /// The gate for the next attempt.
    fn choose(&self) -> Option<(GateId, Patience)> {
        let node = self.node;
        let task = &self.call.task;
        if let Some(key) = task.key {
            let tables = node.tables();
            let slice = tables.get(&task.service)?.find(key)?;
            let target = Arc::clone(&slice.owner.target);
            return Some((GateId::Target(target), Patience::Deadline));
        }
        let mut places: Vec<(Link, Arc<str>)> = Vec::new();
        for (_, entry) in node.targets().registered() {
            if entry.service != task.service || entry.state != TargetState::Ready {
                continue;
            }
            if places.iter().any(|it| it.1 == entry.place) {
                continue;
            }
            places.push((distance(node, &entry.place), Arc::clone(&entry.place)));
        }
        places.sort();
        let gates = places.into_iter().map(|(_, place)| GateId::Pool {
            service: Arc::clone(&task.service),
            place,
        });
        let gates: Vec<GateId> = gates.collect();
        let fresh = gates.iter().find(|it| !self.refused.contains(it));
        match fresh {
            Some(gate) if gates.len() > 1 => Some((gate.clone(), Patience::Objective)),
            _ => Some((gates.first()?.clone(), Patience::Deadline)),
        }
    }
}

/// How far a data centre is from this host.
fn distance(node: &Node, place: &Arc<str>) -> Link {
    let own = &node.settings.place;
    if place == own {
        Link::Place
    } else if node.settings.region(place) == node.settings.region(own) {
        Link::Region
    } else {
        Link::Regions
    }
}

/// The host that is the gateway of a gate; this host if there is no better one.
fn gateway_of(node: &Node, gate: &GateId) -> Option<HostInfo> {
    let place = match gate {
        GateId::Pool { place, .. } => Arc::clone(place),
        GateId::Target(target) => Arc::clone(&node.targets().get(target)?.place),
    };
    let hosts = node.hosts.load();
    let now = node.clock.now();
    let mut ranked = hosts.ranked(&place, &gate.to_string()).into_iter();
    ranked
        .find(|it| !node.suspects.is_suspect(&it.name, now))
        .cloned()
}
