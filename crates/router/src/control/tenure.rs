//! The time for which this host coordinates.

mod commit;
mod crashes;
mod plan;
mod roster;

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use coordinator::{
    Demand, GrantOutcome, Millis, Order, OrderId, OrderKind, ReleaseOutcome, SliceManager, SliceRow,
};
use tokio::{sync::mpsc, task::JoinSet};

use self::{
    commit::{Draft, Written},
    crashes::Crashes,
    roster::Roster,
};
use super::{
    lease::Lease,
    loads,
    watch::{Steps, watch},
};
use crate::{
    node::Node,
    observe::LineKind,
    peers::{Crash, Event, Position, Report},
    ports::Topic,
};

/// Interval of renewals of the lease.
const RENEW_MS: u64 = 500;

/// Interval at which the slice managers are asked for orders.
const TICK: Duration = Duration::from_millis(50);

/// Interval at which loads are balanced.
const BALANCE_MS: u64 = 200;

/// Time without an answer to a write after which the store counts as slow.
const SLOW_MS: u64 = 300;

/// How an order ended.
enum End {
    Grant(GrantOutcome),
    Release(ReleaseOutcome),
}

impl End {
    fn is_done(&self) -> bool {
        matches!(
            self,
            Self::Grant(GrantOutcome::Accepted) | Self::Release(ReleaseOutcome::Done { .. })
        )
    }

    /// The kind of the order and its outcome.
    fn labels(&self) -> (&'static str, &'static str) {
        match self {
            Self::Grant(end) => (
                "grant",
                match end {
                    GrantOutcome::Accepted => "done",
                    GrantOutcome::Superseded => "superseded",
                    GrantOutcome::Refused => "refused",
                    GrantOutcome::Gone => "ended",
                    GrantOutcome::NotSent => "not_sent",
                    GrantOutcome::NoAnswer => "no_answer",
                },
            ),
            Self::Release(end) => (
                "release",
                match end {
                    ReleaseOutcome::Done { .. } => "done",
                    ReleaseOutcome::Gone => "ended",
                    ReleaseOutcome::NoAnswer => "no_answer",
                },
            ),
        }
    }
}

/// Something that was under way and has ended.
enum Ended {
    /// An order of a service.
    Order {
        service: Arc<str>,
        id: OrderId,
        end: End,
    },
    /// A write of the lease and of rows.
    Write(Written),
}

/// The coordinator's view of one service with keys.
struct Charge {
    keeper: SliceManager,
    demand: Demand,
    /// Number of usable targets so far, and when it last grew.
    gathered: (usize, Millis),
}

/// The time for which this host holds the lease.
pub struct Tenure {
    node: Arc<Node>,
    lease: Lease,
    renew_at: Millis,
    /// Writes are not repeated before this time.
    write_at: Millis,
    /// When the write that is under way was begun.
    writing: Option<Millis>,
    /// Writes in a row that failed.
    failures: u32,
    /// A host that can reach the store while this one cannot.
    heir: bool,
    /// Another host holds the lease.
    deposed: bool,
    balance_at: Millis,
    rows: Vec<SliceRow>,
    charges: BTreeMap<Arc<str>, Charge>,
    roster: Roster,
    crashes: Crashes,
    /// Writes whose answers were lost. All expect the same revision of the lease, so at most one
    /// of them is carried out.
    doubtful: Vec<Draft>,
    ends: mpsc::UnboundedSender<Ended>,
    ended: mpsc::UnboundedReceiver<Ended>,
}

impl Tenure {
    /// Begins to coordinate with the slices in `rows`.
    pub fn new(node: Arc<Node>, lease: Lease, rows: Vec<SliceRow>) -> Self {
        let (ends, ended) = mpsc::unbounded_channel();
        let now = node.clock.now();
        Self {
            roster: Roster::new(&node.hosts.load(), node.info.clone(), now),
            node,
            lease,
            renew_at: now + RENEW_MS,
            write_at: now,
            writing: None,
            failures: 0,
            heir: false,
            deposed: false,
            balance_at: now,
            rows,
            charges: BTreeMap::new(),
            crashes: Crashes::default(),
            doubtful: Vec::new(),
            ends,
            ended,
        }
    }

    /// Coordinates until the lease is lost or the host is asked to stop.
    pub async fn run(mut self) {
        let (inbox, mut reports) = mpsc::unbounded_channel();
        self.begin(inbox);
        let steps = Arc::new(Steps::default());
        let mut watches = JoinSet::new();
        for topic in [Topic::Catalog, Topic::Targets] {
            watches.spawn(watch(Arc::clone(&self.node), topic, Arc::clone(&steps)));
        }
        loop {
            let now = self.node.clock.now();
            if now >= self.lease.until {
                log::warn!("the lease has ended");
                break;
            }
            if *self.node.stopping.borrow() {
                self.release().await;
                break;
            }
            self.plan(now);
            self.order(now);
            if self.heir {
                log::warn!("another host can reach the store; this one resigns");
                break;
            }
            let urgent = self.charges.values().any(|it| it.keeper.needs_commit());
            if now >= self.write_at && (urgent || now >= self.renew_at) {
                self.commit();
            }
            self.bridge(now);
            self.publish();
            tokio::select! {
                ended = self.ended.recv() => self.note(ended),
                report = reports.recv() => self.hear(report),
                () = tokio::time::sleep(TICK) => {}
            }
            while let Ok(ended) = self.ended.try_recv() {
                self.note(Some(ended));
            }
            while let Ok(report) = reports.try_recv() {
                self.hear(Some(report));
            }
            if self.deposed {
                break;
            }
        }
        self.node.resign(self.lease.row.term);
        self.node.set_inbox(None);
        self.node.set_needs_heir(false);
        self.node.set_coordinator(None);
        self.node.fed.notify_waiters();
    }

    fn begin(&self, inbox: mpsc::UnboundedSender<Report>) {
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
        self.node.announce(events);
        self.node.fed.notify_waiters();
    }

    fn note(&mut self, ended: Option<Ended>) {
        let (service, id, end) = match ended {
            Some(Ended::Order { service, id, end }) => (service, id, end),
            Some(Ended::Write(written)) => return self.on_written(written),
            None => return,
        };
        let now = self.node.clock.now();
        let Some(charge) = self.charges.get_mut(&service) else {
            return;
        };
        match end {
            End::Grant(end) => charge.keeper.on_grant(id, end, now),
            End::Release(end) => charge.keeper.on_release(id, &end, now),
        }
    }

    /// Lets grants last as long as they may while the store does not answer, so that owners keep
    /// their keys when the lease ends before the store is back.
    fn bridge(&mut self, now: Millis) {
        let waits = self.writing.is_some_and(|it| now >= it + SLOW_MS);
        let bridges = waits || self.failures > 0;
        for charge in self.charges.values_mut() {
            charge.keeper.set_extended_grants(bridges, now);
        }
    }

    fn hear(&mut self, report: Option<Report>) {
        let Some(report) = report else { return };
        let now = self.node.clock.now();
        self.roster.hear(&report, now);
        self.heir |= self.node.needs_heir() && report.store == Some(true);
        self.judge(report.crashes, now);
        self.count(&report.loads, now);
    }

    fn order(&mut self, now: Millis) {
        for (service, charge) in &mut self.charges {
            for order in charge.keeper.step(now) {
                let Some(address) = address_of(&self.node, &order.incarnation.target) else {
                    continue;
                };
                let node = Arc::clone(&self.node);
                let ends = self.ends.clone();
                let service = Arc::clone(service);
                tokio::spawn(async move {
                    let id = order.id;
                    let end = send(&node, address, &order).await;
                    // The tenure may have ended meanwhile.
                    let _ = ends.send(Ended::Order { service, id, end });
                });
            }
        }
    }

    fn publish(&mut self) {
        let mut events = Vec::new();
        for (service, charge) in &mut self.charges {
            for slice in charge.keeper.take_changed() {
                events.push(Event::Slice(Arc::clone(service), slice));
            }
        }
        let now = self.node.clock.now();
        events.extend(self.roster.changes(now));
        if !events.is_empty() {
            self.node.announce(events);
        }
    }

    /// Counts what this host's own gates saw.
    fn count_own(&mut self, now: Millis) {
        let (_, loads) = loads::collect(&self.node);
        self.count(&loads, now);
        let crashes = self.node.poison.take_seen();
        self.judge(crashes, now);
    }

    /// Quarantines requests that crashed several targets.
    fn judge(&mut self, crashes: Vec<Crash>, now: Millis) {
        let mut events = Vec::new();
        for crash in crashes {
            let fingerprint = crash.fingerprint;
            if !self.crashes.note(crash, now) {
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

fn address_of(node: &Node, target: &str) -> Option<SocketAddr> {
    let targets = node.targets();
    let mut all = targets.all();
    let address = all.find(|(name, _)| ***name == *target);
    address.map(|(_, it)| it.address)
}

async fn send(node: &Node, address: SocketAddr, order: &Order) -> End {
    let sent = node.clock.now();
    let end = match order.kind {
        OrderKind::Grant { .. } => End::Grant(node.target_api.grant(address, order).await),
        OrderKind::Release => End::Release(node.target_api.release(address, order).await),
    };
    let (kind, outcome) = end.labels();
    node.metrics.order(kind, outcome);
    if !end.is_done()
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
            "an order was not carried out as asked"
        );
    }
    end
}
