//! The tenure of this host as coordinator.

mod commit;
mod crashes;
mod host_registry;
mod lost_rows;
mod plan;

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use coordinator::{
    Demand, FormerHold, GrantOutcome, HoldEnd, Millis, Order, OrderId, OrderKind, ReleaseOutcome,
    SliceManager, SliceRow,
};
use tokio::{sync::mpsc, task::JoinSet};

pub use self::crashes::Crashes;
use self::{
    commit::{FinishedWrite, LeaseWrite},
    host_registry::HostRegistry,
    lost_rows::LostRows,
};
use super::{
    follow::ANSWER_ALLOWANCE,
    lease::Lease,
    loads,
    watch::{SyncTimes, watch},
};
use crate::{
    node::{LeavingSource, Node},
    observe::LineKind,
    peers::{Crash, Event, Position, Report},
    ports::Topic,
};

/// Interval at which the lease is renewed.
const RENEW_INTERVAL_MS: u64 = 500;

/// Longest pause before the slice managers are asked for orders.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which owners are planned. Planning looks at all targets and slices, while reports and
/// outcomes of orders arrive hundreds of times a second.
const PLAN_INTERVAL_MS: u64 = 50;

/// Interval at which loads are balanced.
const BALANCE_INTERVAL_MS: u64 = 200;

/// Time without an answer to a write after which the store is treated as slow.
const SLOW_WRITE_MS: u64 = 300;

/// The result of an order.
enum OrderResult {
    Grant(GrantOutcome),
    Release(ReleaseOutcome),
}

impl OrderResult {
    fn is_done(&self) -> bool {
        matches!(
            self,
            Self::Grant(GrantOutcome::Accepted) | Self::Release(ReleaseOutcome::Done { .. })
        )
    }

    /// Returns the metric labels of the kind of the order and of its outcome.
    fn labels(&self) -> (&'static str, &'static str) {
        match self {
            Self::Grant(outcome) => (
                "grant",
                match outcome {
                    GrantOutcome::Accepted => "done",
                    GrantOutcome::Superseded => "superseded",
                    GrantOutcome::Refused => "refused",
                    GrantOutcome::Gone => "ended",
                    GrantOutcome::NotSent => "not_sent",
                    GrantOutcome::NoAnswer => "no_answer",
                },
            ),
            Self::Release(outcome) => (
                "release",
                match outcome {
                    ReleaseOutcome::Done { .. } => "done",
                    ReleaseOutcome::Gone => "ended",
                    ReleaseOutcome::NoAnswer => "no_answer",
                },
            ),
        }
    }
}

/// An asynchronous operation that has completed.
enum Completion {
    /// An order of a service.
    Order {
        service: Arc<str>,
        id: OrderId,
        result: OrderResult,
    },
    /// A write of the lease and of rows.
    Write(FinishedWrite),
}

/// The coordinator's state for one service with keys.
struct KeyedService {
    manager: SliceManager,
    demand: Demand,
    /// Highest number of usable targets so far, and when it was reached.
    target_peak: (usize, Millis),
}

/// State of the coordinator while this host holds the lease.
pub struct Tenure {
    node: Arc<Node>,
    lease: Lease,
    /// When the lease is to be renewed.
    renew_at: Millis,
    /// Earliest time of the next write; set after a failure.
    write_at: Millis,
    /// When the write in flight was started.
    write_started: Option<Millis>,
    /// Consecutive failed writes.
    failures: u32,
    /// Whether another host has reported that it can reach the store while this one cannot.
    has_successor: bool,
    /// Whether this host has lost the lease: another host holds it, or its row is missing or
    /// malformed.
    superseded: bool,
    /// When owners are planned next.
    plan_at: Millis,
    /// When loads are balanced next.
    balance_at: Millis,
    /// The slices that the store held when the tenure began.
    rows: Vec<SliceRow>,
    /// Set if the store had lost rows when the tenure began.
    lost_rows: Option<LostRows>,
    services: BTreeMap<Arc<str>, KeyedService>,
    registry: HostRegistry,
    crashes: Crashes,
    /// Writes whose answers were lost. All expect the same revision of the lease, so at most one of
    /// them can be applied.
    unconfirmed: Vec<LeaseWrite>,
    completion_sender: mpsc::UnboundedSender<Completion>,
    completion_receiver: mpsc::UnboundedReceiver<Completion>,
}

impl Tenure {
    /// Creates the coordinator's state from the slices in `rows`.
    pub fn new(node: Arc<Node>, lease: Lease, rows: Vec<SliceRow>) -> Self {
        let (completion_sender, completion_receiver) = mpsc::unbounded_channel();
        let now = node.clock.now();
        Self {
            registry: HostRegistry::new(&node.hosts.load(), node.info.clone(), now),
            lost_rows: LostRows::detect(&node, &lease),
            node,
            lease,
            renew_at: now + RENEW_INTERVAL_MS,
            write_at: now,
            write_started: None,
            failures: 0,
            has_successor: false,
            superseded: false,
            plan_at: now,
            balance_at: now,
            rows,
            services: BTreeMap::new(),
            crashes: Crashes::default(),
            unconfirmed: Vec::new(),
            completion_sender,
            completion_receiver,
        }
    }

    /// Sets the crashes of requests that earlier coordinators have recorded.
    #[must_use]
    pub fn with_crashes(self, crashes: Crashes) -> Self {
        Self { crashes, ..self }
    }

    /// Coordinates until the lease is lost or the host is asked to stop.
    pub async fn run(mut self) {
        let (inbox, mut reports) = mpsc::unbounded_channel();
        self.start(inbox);
        let sync_times = Arc::new(SyncTimes::default());
        let mut watches = JoinSet::new();
        for topic in [Topic::Catalog, Topic::Targets] {
            watches.spawn(watch(
                Arc::clone(&self.node),
                topic,
                Arc::clone(&sync_times),
            ));
        }
        loop {
            let now = self.node.clock.now();
            if now >= self.lease.until {
                log::warn!("the lease has expired");
                break;
            }
            if *self.node.stopping.borrow() {
                self.release().await;
                break;
            }
            if now >= self.plan_at {
                self.plan_at = now + PLAN_INTERVAL_MS;
                self.plan(now);
            }
            self.send_orders(now);
            if self.has_successor {
                log::warn!("another host can reach the store; this one resigns");
                break;
            }
            let urgent = self.services.values().any(|it| it.manager.needs_commit())
                || self.crashes.needs_commit();
            if now >= self.write_at && (urgent || now >= self.renew_at) {
                self.commit();
            }
            self.extend_grants_in_outage(now);
            self.publish();
            tokio::select! {
                completion = self.completion_receiver.recv() => self.on_completed(completion),
                report = reports.recv() => self.on_report(report),
                () = tokio::time::sleep(TICK_INTERVAL) => {}
            }
            while let Ok(completion) = self.completion_receiver.try_recv() {
                self.on_completed(Some(completion));
            }
            while let Ok(report) = reports.try_recv() {
                self.on_report(Some(report));
            }
            if self.superseded {
                break;
            }
        }
        self.node.resign(self.lease.row.term);
        self.node.set_inbox(None);
        self.node.set_needs_successor(false);
        self.node.set_coordinator(None);
        self.node.feed_changed.notify_waiters();
    }

    fn start(&self, inbox: mpsc::UnboundedSender<Report>) {
        self.node.feed().restart(Position {
            term: self.lease.row.term,
            number: 0,
        });
        self.node.set_inbox(Some(inbox));
        self.node.set_coordinator(Some(self.node.info.peer));
        let mut events = Vec::new();
        for row in &self.rows {
            events.push(Event::Slice(Arc::clone(&row.service), row.slice()));
        }
        let now = self.node.clock.now();
        events.extend(self.crashes.quarantined(now).map(Event::Poison));
        self.node.poison_requests.report_again(now);
        self.node.announce(events);
        self.node.feed_changed.notify_waiters();
    }

    fn on_completed(&mut self, completion: Option<Completion>) {
        let (service, id, result) = match completion {
            Some(Completion::Order {
                service,
                id,
                result,
            }) => (service, id, result),
            Some(Completion::Write(finished)) => return self.on_written(finished),
            None => return,
        };
        let now = self.node.clock.now();
        let Some(keyed) = self.services.get_mut(&service) else {
            return;
        };
        match result {
            OrderResult::Grant(outcome) => keyed.manager.on_grant(id, outcome, now),
            OrderResult::Release(outcome) => keyed.manager.on_release(id, &outcome, now),
        }
    }

    /// Extends grants to their longest duration while the store does not answer, so that owners
    /// keep their keys if the lease expires before the store is back.
    fn extend_grants_in_outage(&mut self, now: Millis) {
        let write_slow = self
            .write_started
            .is_some_and(|it| now >= it + SLOW_WRITE_MS);
        let store_slow = write_slow || self.failures > 0;
        for keyed in self.services.values_mut() {
            keyed.manager.set_extended_grants(store_slow, now);
        }
    }

    fn on_report(&mut self, report: Option<Report>) {
        let Some(report) = report else { return };
        let now = self.node.clock.now();
        self.registry.on_report(&report, now);
        self.has_successor |= self.node.needs_successor() && report.store == Some(true);
        // How long the report was on its way is unknown.
        let sent = now.saturating_sub(millis(ANSWER_ALLOWANCE));
        for it in &report.leaving {
            let since = sent.saturating_sub(it.age_ms);
            self.node
                .on_leaving(&it.incarnation, since, LeavingSource::Host);
        }
        self.quarantine_requests(report.crashes, now);
        self.record_loads(&report.loads, now);
    }

    fn send_orders(&mut self, now: Millis) {
        for (service, keyed) in &mut self.services {
            for order in keyed.manager.step(now) {
                let Some(address) = address_of(&self.node, &order.incarnation.target) else {
                    continue;
                };
                let node = Arc::clone(&self.node);
                let completion_sender = self.completion_sender.clone();
                let service = Arc::clone(service);
                tokio::spawn(async move {
                    let id = order.id;
                    let result = send(&node, address, &order).await;
                    // The receiver is gone if the tenure has ended meanwhile.
                    let _ = completion_sender.send(Completion::Order {
                        service,
                        id,
                        result,
                    });
                });
            }
            for former in keyed.manager.take_former_holds() {
                observe_former_hold(&self.node, &former);
            }
        }
    }

    fn publish(&mut self) {
        let mut events = Vec::new();
        for (service, keyed) in &mut self.services {
            for slice in keyed.manager.take_changed() {
                events.push(Event::Slice(Arc::clone(service), slice));
            }
        }
        let now = self.node.clock.now();
        events.extend(self.registry.changes(now));
        if !events.is_empty() {
            self.node.announce(events);
        }
    }

    /// Records the loads and crashes that this host's own admission queues observed.
    fn record_own_loads(&mut self, now: Millis) {
        let (_, loads) = loads::collect(&self.node);
        self.record_loads(&loads, now);
        let crashes = self.node.poison_requests.take_crashes(now);
        self.quarantine_requests(crashes, now);
    }

    /// Quarantines requests that crashed several targets.
    fn quarantine_requests(&mut self, crashes: Vec<Crash>, now: Millis) {
        let mut events = Vec::new();
        for crash in crashes {
            let fingerprint = crash.fingerprint;
            if !self.crashes.record(crash, now) {
                continue;
            }
            log::warn!(
                fingerprint = format!("{fingerprint:016x}");
                "a request is quarantined because targets crash on it"
            );
            events.push(Event::Poison(fingerprint));
        }
        self.node.announce(events);
    }
}

fn millis(duration: Duration) -> Millis {
    Millis::try_from(duration.as_millis()).unwrap_or(Millis::MAX)
}

fn address_of(node: &Node, target: &str) -> Option<SocketAddr> {
    let targets = node.targets();
    let mut all = targets.all();
    let address = all.find(|(name, _)| ***name == *target);
    address.map(|(_, it)| it.address)
}

/// Counts a hold of a previous owner that has ended, and logs it if the target did not release the
/// keys.
fn observe_former_hold(node: &Node, former: &FormerHold) {
    let end = match former.end {
        HoldEnd::Released => "released",
        HoldEnd::Expired => "expired",
        HoldEnd::IncarnationEnded => "incarnation_ended",
    };
    node.metrics.former_hold(end);
    if former.end != HoldEnd::Released
        && let Some(left_out) = node.may_log(LineKind::StateChange)
    {
        log::info!(
            end,
            target_name = &*former.incarnation.target,
            born = former.incarnation.started_ms,
            keys:% = former.range,
            left_out;
            "a previous owner no longer holds keys that it has not released"
        );
    }
}

async fn send(node: &Node, address: SocketAddr, order: &Order) -> OrderResult {
    let sent = node.clock.now();
    let (result, leaving) = match order.kind {
        OrderKind::Grant { .. } => {
            let answer = node.target_api.grant(address, order).await;
            (OrderResult::Grant(answer.outcome), answer.leaving)
        }
        OrderKind::Release => {
            let answer = node.target_api.release(address, order).await;
            (OrderResult::Release(answer.outcome), answer.leaving)
        }
    };
    if leaving {
        node.on_leaving(&order.incarnation, sent, LeavingSource::Target);
    }
    let (kind, outcome) = result.labels();
    node.metrics.order(kind, outcome);
    if !result.is_done()
        && let Some(left_out) = node.may_log(LineKind::Order)
    {
        log::warn!(
            order = kind,
            outcome,
            target_name = &*order.incarnation.target,
            born = order.incarnation.started_ms,
            keys:% = order.range,
            fence = order.token,
            took_ms = node.clock.now().saturating_sub(sent),
            left_out;
            "an order to a target failed or its result is unknown"
        );
    }
    result
}
