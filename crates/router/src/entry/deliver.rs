//! Sends a request to the gateway of its target and retries it where that is safe.

use std::{sync::Arc, time::Duration};

use admission::RetryVerdict;
use coordinator::{Key, Millis};
use http::Response;
use http_body::Body as _;
use refusal::{Ran, Reason, Refusal};
use routing::{Repeat, Volume};
use smallvec::SmallVec;

use super::{
    places::{distance, usable_for},
    request::RoutedRequest,
    server::Body,
    waits::detour_ms,
};
use crate::{
    gateway::{
        self, AttemptOutcome, GatewayRequest, LeavingTarget, QueueId, WaitLimit, gateway_of,
    },
    node::{LeavingSource, Node},
    observe::RequestTrace,
    peers::HostInfo,
    state::Access,
};

/// Longest pause before the owner of a request's key is looked up again.
const OWNER_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Longest time for which a request waits until its key has an owner that can be reached.
const MAX_OWNER_WAIT_MS: Millis = 700;

/// Pause before a request that a target has shed is offered again.
const SHED_PAUSE_MS: Millis = 20;

/// Hosts of a data centre that cannot be reached before a request of a restricted route is sent to the
/// target without them, and targets that cannot be reached then before the data centre counts as cut
/// off. One can be lost by itself; each takes up to 300 ms to notice.
const MAX_LOST: u32 = 2;

/// Answers a request, or returns why it is refused.
pub async fn run(node: &Arc<Node>, request: &RoutedRequest) -> Result<Response<Body>, Refusal> {
    let mut trace = RequestTrace::new(node, request);
    let result = tokio::select! {
        biased;
        result = deliver(node, request, &mut trace) => result,
        () = node.answers_end() => Err(outlasted_grace_period()),
    };
    trace.end(&result);
    result
}

/// The refusal of a request that a target may be working on when the host ends.
fn outlasted_grace_period() -> Refusal {
    Refusal {
        reason: Reason::Stopping,
        ran: Ran::Unknown,
        retry_ms: None,
    }
}

async fn deliver(
    node: &Arc<Node>,
    request: &RoutedRequest,
    trace: &mut RequestTrace<'_>,
) -> Result<Response<Body>, Refusal> {
    let mut gateway_request = request.gateway_request.clone();
    let mut delivery = Delivery {
        node,
        request,
        possible_runs: 0,
        ran: Ran::NotRun,
        excluded: Vec::new(),
        paused: Vec::new(),
        mixed: node
            .catalog
            .load()
            .as_ref()
            .is_some_and(|it| it.has_mixed_load()),
        lost_hosts: 0,
        lost_targets: 0,
    };
    let route = &request.route;
    let is_download = route.volume == Volume::Large && route.repeat == Repeat::Allowed;
    if is_download && !node.answer_limits.has_room() {
        return Err(Reason::QueueFull.into());
    }
    if node
        .poison_requests
        .is_quarantined(&gateway_request, request.arrived)
    {
        return Err(Reason::Quarantined.into());
    }
    if let Some(period) = node.grace_period.get() {
        if !period.admits(node.clock.now(), &gateway_request) {
            return Err(Reason::Stopping.into());
        }
        gateway_request.end = gateway_request.end.min(period.answers_end());
    }
    node.retry_budgets
        .on_request(&gateway_request.service, node.clock.now());
    loop {
        let now = node.clock.now();
        if now >= gateway_request.end {
            let reason = match delivery.ran {
                Ran::NotRun => Reason::DeadlineBeforeStart,
                Ran::Unknown => Reason::DeadlineAfterStart,
            };
            return Err(delivery.refusal(reason));
        }
        let outcome = delivery.attempt(&mut gateway_request, trace).await;
        match outcome {
            AttemptOutcome::Answered(response) => return Ok(response),
            AttemptOutcome::NotRun {
                reason,
                offered,
                retry_ms,
            } => {
                let result = delivery.on_not_run(&gateway_request, reason, offered);
                result.await.map_err(|it| Refusal {
                    retry_ms: retry_ms.or(it.retry_ms),
                    ..it
                })?;
                node.metrics.retry(reason);
            }
            AttemptOutcome::Unknown(reason) => {
                delivery.on_unknown(reason)?;
                node.metrics.retry(reason);
            }
        }
    }
}

/// The state of a request at its entry host.
struct Delivery<'a> {
    node: &'a Arc<Node>,
    request: &'a RoutedRequest,
    /// Attempts that may have run.
    possible_runs: u32,
    ran: Ran,
    /// Queues that rejected it or could not be reached.
    excluded: Vec<QueueId>,
    /// Queues all of whose targets are in a pause.
    paused: Vec<QueueId>,
    /// Whether the configuration calls for handling of mixed load.
    mixed: bool,
    /// Hosts that could not be reached.
    lost_hosts: u32,
    /// Targets of other data centres that this host itself could not reach.
    lost_targets: u32,
}

impl Delivery<'_> {
    async fn attempt(
        &mut self,
        gateway_request: &mut GatewayRequest,
        trace: &mut RequestTrace<'_>,
    ) -> AttemptOutcome {
        let node = self.node;
        let began = node.clock.now();
        let (queue, wait_limit) = match self.choose_queue() {
            Ok(chosen) => chosen,
            Err(reason) => {
                let outcome = AttemptOutcome::not_sent(reason);
                trace.step(None, &node.info.name, began, &outcome);
                return outcome;
            }
        };
        if let QueueId::Target(target) = &queue
            && let Some(reason) = self.closed_reason(target)
        {
            let outcome = AttemptOutcome::not_sent(reason);
            trace.step(Some(queue), &node.info.name, began, &outcome);
            return outcome;
        }
        gateway_request.queue = queue;
        gateway_request.wait_limit = wait_limit;
        let other = gateway_of(node, &gateway_request.service, &gateway_request.queue)
            .filter(|it| it.name != node.info.name && !self.goes_alone());
        let is_cut = other.is_none() && self.is_unreachable(&gateway_request.queue);
        let (outcome, host) = match &other {
            Some(host) => (self.forward(gateway_request, host).await, &host.name),
            None if is_cut => {
                let outcome = AttemptOutcome::not_sent(Reason::TargetUnreachable);
                (outcome, &node.info.name)
            }
            None => {
                let outcome = gateway::run(node, gateway_request).await;
                let queue = &gateway_request.queue;
                if let Some(wait_ms) = node.queues.pool_wait_ms(queue) {
                    node.waits.learn(queue, wait_ms, node.clock.now());
                }
                (outcome, &node.info.name)
            }
        };
        if let AttemptOutcome::NotRun { reason, .. } = &outcome {
            self.note_unreachable(&gateway_request.queue, *reason, is_cut);
        }
        trace.step(Some(gateway_request.queue.clone()), host, began, &outcome);
        outcome
    }

    async fn forward(&self, gateway_request: &GatewayRequest, host: &HostInfo) -> AttemptOutcome {
        let node = self.node;
        let forwarded = node.clock.now();
        let outcome = node
            .forwarder
            .send(node, host, gateway_request, self.repeat())
            .await;
        match &outcome {
            AttemptOutcome::Answered(answer) => {
                if let Some(LeavingTarget(it)) = answer.extensions().get() {
                    node.on_leaving(it, forwarded, LeavingSource::Gateway);
                }
                let sent = u64::try_from(gateway_request.body.len()).unwrap_or(u64::MAX);
                let received = answer.body().size_hint().lower();
                let distance = distance(node, &host.place);
                node.metrics.hop(distance, sent, received);
            }
            AttemptOutcome::NotRun {
                reason: Reason::OwnerUnreachable,
                ..
            }
            | AttemptOutcome::Unknown(Reason::GatewayLost) => {
                node.suspects.suspect(&host.name, node.clock.now());
            }
            AttemptOutcome::NotRun { .. } | AttemptOutcome::Unknown(_) => {}
        }
        outcome
    }

    /// Whether the next attempt may be abandoned at a gateway that does not answer. The last one is
    /// not, because nothing would follow it.
    fn repeat(&self) -> Repeat {
        let route = &self.request.route;
        if self.possible_runs + 1 < route.attempts {
            route.repeat
        } else {
            Repeat::Forbidden
        }
    }

    /// Decides whether to retry after an attempt that did not run.
    async fn on_not_run(
        &mut self,
        gateway_request: &GatewayRequest,
        reason: Reason,
        offered: bool,
    ) -> Result<(), Refusal> {
        let now = self.node.clock.now();
        if offered
            && self
                .node
                .retry_budgets
                .try_retry(&gateway_request.service, now)
                == RetryVerdict::Exhausted
        {
            return Err(self.refusal(reason));
        }
        match reason {
            // The queue chooses another target, or decides whether the request can wait.
            Reason::TargetPaused if offered => Ok(()),
            Reason::TargetPaused if gateway_request.wait_limit == WaitLimit::Objective => {
                self.excluded.push(gateway_request.queue.clone());
                self.paused.push(gateway_request.queue.clone());
                Ok(())
            }
            // Another target of the pool may take it, or the same one a moment later.
            Reason::TargetShed
                if offered && self.mixed && now + SHED_PAUSE_MS < gateway_request.objective =>
            {
                tokio::time::sleep(Duration::from_millis(SHED_PAUSE_MS)).await;
                Ok(())
            }
            Reason::QueueFull
            | Reason::TargetShed
            | Reason::TargetFailing
            | Reason::TargetDraining
                if gateway_request.wait_limit == WaitLimit::Objective =>
            {
                self.excluded.push(gateway_request.queue.clone());
                Ok(())
            }
            // The targets left, or the data centre was evacuated, while the request waited there.
            Reason::TargetDraining | Reason::PlaceEvacuated
                if gateway_request.key.is_none()
                    && !self.excluded.contains(&gateway_request.queue) =>
            {
                self.excluded.push(gateway_request.queue.clone());
                Ok(())
            }
            Reason::OwnerUnreachable | Reason::TargetUnreachable
                if gateway_request.key.is_none() =>
            {
                self.excluded.push(gateway_request.queue.clone());
                Ok(())
            }
            // Keys that are owned outside the allowed regions are being moved if they can be.
            Reason::RegionUnavailable
                if gateway_request.key.is_none()
                    || usable_for(self.node, self.request).is_err() =>
            {
                Err(self.refusal(reason))
            }
            Reason::NoOwner
            | Reason::RegionUnavailable
            | Reason::NotGateway
            | Reason::Fenced
            | Reason::OwnerUnreachable
            | Reason::TargetUnreachable => {
                if now >= self.request.arrived + MAX_OWNER_WAIT_MS {
                    return Err(self.refusal(reason));
                }
                let changed = self.node.state_changed.notified();
                // The owner is looked up again whether it changed or the timeout passed.
                let _ = tokio::time::timeout(OWNER_POLL_INTERVAL, changed).await;
                Ok(())
            }
            _ => Err(self.refusal(reason)),
        }
    }

    /// Whether the request is sent to a target without a host near it, because those could not be
    /// reached. This host is the only one that may carry its body then.
    fn goes_alone(&self) -> bool {
        !self.request.route.regions.is_empty() && self.lost_hosts >= MAX_LOST
    }

    /// Whether all targets of a pool in another data centre fail as this host sees them, so that a
    /// request of a restricted route would wait in vain.
    fn is_unreachable(&self, queue: &QueueId) -> bool {
        let node = self.node;
        let QueueId::Pool { place, .. } = queue else {
            return false;
        };
        !self.request.route.regions.is_empty()
            && *place != node.info.place
            && node.queues.is_failing(queue)
    }

    /// Counts hosts and targets that could not be reached. A data centre that is cut off is not tried
    /// for a while by requests of restricted routes, which nothing else can serve.
    fn note_unreachable(&mut self, queue: &QueueId, reason: Reason, is_cut: bool) {
        let node = self.node;
        let QueueId::Pool { place, .. } = queue else {
            return;
        };
        match reason {
            Reason::OwnerUnreachable => self.lost_hosts += 1,
            Reason::TargetUnreachable if *place != node.info.place => self.lost_targets += 1,
            _ => return,
        }
        if is_cut || self.lost_targets >= MAX_LOST {
            self.lost_targets = 0;
            node.cut_places.suspect(place, node.clock.now());
        }
    }

    /// Decides whether to retry after an attempt that may have run.
    fn on_unknown(&mut self, reason: Reason) -> Result<(), Refusal> {
        self.ran = Ran::Unknown;
        self.possible_runs += 1;
        let route = &self.request.route;
        if route.repeat != Repeat::Allowed || self.possible_runs >= route.attempts {
            return Err(self.refusal(reason));
        }
        let now = self.node.clock.now();
        let service = &self.request.gateway_request.service;
        if self.node.retry_budgets.try_retry(service, now) == RetryVerdict::Exhausted {
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

    /// Chooses the queue for the next attempt, and how long the request may wait in it; the error is
    /// the reason why there is none.
    ///
    /// Without a key, this is the queue of the nearest data centre that is not excluded, or, where load
    /// is mixed, the one with the shortest expected wait, given the distance. If all are excluded, the
    /// first one that is not in a pause is tried again, and the request waits there until its deadline.
    fn choose_queue(&self) -> Result<(QueueId, WaitLimit), Reason> {
        let node = self.node;
        let gateway_request = &self.request.gateway_request;
        if let Some(key) = gateway_request.key {
            return Ok((self.owner_of(key)?, WaitLimit::Deadline));
        }
        let places = usable_for(node, self.request)?;
        let queues = places.into_iter().map(|place| QueueId::Pool {
            service: Arc::clone(&gateway_request.service),
            place,
        });
        let mut queues: SmallVec<[QueueId; 4]> = queues.collect();
        if self.mixed {
            let now = node.clock.now();
            queues.sort_by_cached_key(|it| self.cost_ms(it, now));
        }
        let untried = queues.iter().find(|it| !self.excluded.contains(it));
        match untried {
            Some(queue) if queues.len() > 1 => Ok((queue.clone(), WaitLimit::Objective)),
            _ => {
                let unpaused = queues.iter().find(|it| !self.paused.contains(it));
                let last = unpaused.or(queues.first()).ok_or(Reason::NoOwner)?;
                Ok((last.clone(), WaitLimit::Deadline))
            }
        }
    }

    /// The expected wait in the queue of a pool, plus what the way to it is worth, in milliseconds.
    fn cost_ms(&self, queue: &QueueId, now: Millis) -> u64 {
        let QueueId::Pool { place, .. } = queue else {
            return 0;
        };
        let objective_ms = self.request.route.objective_ms;
        let detour_ms = detour_ms(distance(self.node, place), objective_ms);
        self.node.waits.expected_ms(queue, now) + detour_ms
    }

    /// The queue of the target that owns a key, if the route may use its region.
    fn owner_of(&self, key: Key) -> Result<QueueId, Reason> {
        let node = self.node;
        let tables = node.tables();
        let table = tables.get(&self.request.gateway_request.service);
        let slice = table.and_then(|it| it.find(key)).ok_or(Reason::NoOwner)?;
        let owner = Arc::clone(&slice.owner.target);
        drop(tables);
        let targets = node.targets();
        let route = &self.request.route;
        let place = targets.get(&owner).map(|it| &it.place);
        // A target that is not known yet may be in any region.
        let allowed = place.map_or(route.regions.is_empty(), |it| {
            route.allows(node.settings.region(it))
        });
        drop(targets);
        if allowed {
            return Ok(QueueId::Target(owner));
        }
        let unusable = usable_for(node, self.request).err();
        Err(unusable.unwrap_or(Reason::RegionUnavailable))
    }

    /// Why a target is sent no requests any more: it is about to stop, or its data centre is
    /// evacuated. `None` if it is sent requests.
    fn closed_reason(&self, target: &Arc<str>) -> Option<Reason> {
        let node = self.node;
        let now = node.clock.now();
        let targets = node.targets();
        let entry = targets.get(target)?;
        if node.access(&entry.place, now) == Access::Closed {
            return Some(Reason::PlaceEvacuated);
        }
        let closed_from = targets.closed_from(&entry.incarnation(target), node.drain_ms())?;
        (now >= closed_from).then_some(Reason::TargetDraining)
    }
}
