//! Finds a target for a request and repeats the request where that is safe.

use std::{sync::Arc, time::Duration};

use http::Response;
use refusal::{Ran, Reason, Refusal};
use routing::Repeat;

use super::{request::Call, server::Body};
use crate::{
    gateway::{self, Outcome},
    node::Node,
    state::{TargetEntry, TargetState},
};

/// Pause before a request looks for an owner again.
const OWNER_PAUSE: Duration = Duration::from_millis(20);

/// Answers a request, or says why it is refused.
pub async fn run(node: &Arc<Node>, call: &Call) -> Result<Response<Body>, Refusal> {
    let mut sent = 0;
    let mut ran = Ran::NotRun;
    let mut last = Reason::NoOwner;
    loop {
        let now = node.clock.now();
        if now >= call.end() {
            let reason = match ran {
                Ran::NotRun => last,
                Ran::Unknown => Reason::DeadlineAfterStart,
            };
            return Err(refusal(reason, ran));
        }
        let outcome = match find(node, call) {
            None => Outcome::NotRun(Reason::NoOwner),
            Some((name, entry)) => gateway::run(node, &name, &entry, call).await,
        };
        match outcome {
            Outcome::Answered(response) => return Ok(response),
            Outcome::NotRun(reason) => {
                last = reason;
                match reason {
                    Reason::NoOwner | Reason::NotGateway | Reason::TargetUnreachable => {
                        tokio::time::sleep(OWNER_PAUSE).await;
                    }
                    _ => return Err(refusal(reason, ran)),
                }
            }
            Outcome::Unknown(reason) => {
                ran = Ran::Unknown;
                last = reason;
                sent += 1;
                if call.route.repeat == Repeat::Forbidden || sent >= call.route.attempts {
                    return Err(refusal(reason, ran));
                }
            }
        }
    }
}

fn refusal(reason: Reason, ran: Ran) -> Refusal {
    let mut refusal = Refusal::new(reason);
    refusal.ran = ran;
    refusal
}

/// The target that may run the request.
fn find(node: &Node, call: &Call) -> Option<(Arc<str>, Arc<TargetEntry>)> {
    let targets = node.targets();
    let Some(key) = call.key else {
        let region = node.settings.region(&node.settings.place);
        let mut best = None;
        for (name, entry) in targets.registered() {
            if entry.service != call.service.name || entry.state != TargetState::Ready {
                continue;
            }
            let gates = node.gates();
            let running = gates.get(name).map_or(0, |it| it.running());
            let distance = if entry.place == node.settings.place {
                0
            } else if node.settings.region(&entry.place) == region {
                1
            } else {
                2
            };
            let rank = (running / entry.slots.max(1) as usize, distance, running);
            if best.as_ref().is_none_or(|(it, _, _)| rank < *it) {
                best = Some((rank, Arc::clone(name), Arc::clone(entry)));
            }
        }
        return best.map(|(_, name, entry)| (name, entry));
    };
    let tables = node.tables();
    let slice = tables.get(&call.service.name)?.find(key)?;
    let entry = targets.get(&slice.owner.target)?;
    (entry.state == TargetState::Ready)
        .then(|| (Arc::clone(&slice.owner.target), Arc::clone(entry)))
}
