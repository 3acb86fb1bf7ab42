//! Holds the coordinator's lease, if this host can get it, and carries out the keeper's orders.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use coordinator::{
    Bounds, GrantEnd, Keeper, KeyRange, LeaseRow, Life, Millis, Order, OrderId, OrderKind,
    ReleaseEnd, SliceRow, StoreClock,
};
use routing::Ownership;
use tokio::sync::mpsc;

use crate::{
    node::Node,
    ports::{Commit, OwnRows, Transaction},
    state::TargetState,
};

/// Length of the lease.
const LEASE_MS: u64 = 1_500;
/// Interval of renewals of the lease.
const RENEW_MS: u64 = 500;
/// Interval at which a host that does not hold the lease looks at it.
const LOOK: Duration = Duration::from_millis(700);
/// Interval at which the keepers are asked for orders.
const TICK: Duration = Duration::from_millis(50);
/// Rows that one transaction changes, the lease included; the store allows 100 entries.
const ROWS: usize = 80;

/// Keys that nobody ever held are given out when no target has appeared for this long, because all
/// targets of a new deployment appear at about the same time. It is longer than the interval at
/// which targets report.
const GATHER_MS: u64 = 2_000;

/// Contends for the lease for ever.
pub async fn lead(node: Arc<Node>) {
    loop {
        let sent = node.clock.now();
        match node.store.own_rows().await {
            Err(err) => log::debug!("the lease cannot be read: {err}"),
            Ok(own) => {
                learn(&node, &own);
                let clock = StoreClock {
                    sent,
                    received: node.clock.now(),
                    value: own.store_ms,
                };
                if let Some(tenure) = take(&node, &own, clock).await {
                    log::info!(term = tenure.row.term; "this host coordinates");
                    tenure.run().await;
                    log::info!("this host does not coordinate any more");
                }
            }
        }
        tokio::time::sleep(LOOK).await;
    }
}

/// Takes the owners of keys from the store's rows.
fn learn(node: &Node, own: &OwnRows) {
    let mut tables = node.tables_mut();
    let mut changed = false;
    for row in slice_rows(own) {
        let table = tables.entry(Arc::clone(&row.service)).or_default();
        changed |= table.merge(&row.slice());
    }
    drop(tables);
    node.set_synced();
    if changed {
        node.changed.notify_waiters();
    }
}

fn slice_rows(own: &OwnRows) -> Vec<SliceRow> {
    let mut rows = Vec::new();
    for row in &own.rows {
        if !row.name.starts_with(SliceRow::PREFIX) {
            continue;
        }
        match SliceRow::parse(&row.name, &row.value) {
            Ok(row) => rows.push(row),
            Err(err) => log::error!("a row is left out: {err}"),
        }
    }
    rows
}

/// Takes the lease if it has ended.
async fn take(node: &Arc<Node>, own: &OwnRows, clock: StoreClock) -> Option<Tenure> {
    let known = own.rows.iter().find(|it| it.name == LeaseRow::NAME);
    let old: Option<LeaseRow> = known.and_then(|it| serde_json::from_slice(&it.value).ok());
    if old.as_ref().is_some_and(|it| clock.value < it.until) {
        return None;
    }
    let row = LeaseRow {
        host: Arc::clone(&node.settings.host),
        peer: node.settings.peer,
        term: old.map_or(1, |it| it.term + 1),
        until: clock.earliest(node.clock.now()) + LEASE_MS,
        nonce: rand::random(),
    };
    let transaction = Transaction {
        expected: vec![(LeaseRow::NAME.to_owned(), known.map_or(0, |it| it.rev))],
        puts: vec![(LeaseRow::NAME.to_owned(), encode(&row))],
        removes: Vec::new(),
    };
    let rev = match node.store.commit(&transaction).await {
        Commit::Applied { rev, .. } => rev,
        _ => return None,
    };
    let until = clock.before(row.until);
    Some(Tenure::new(
        Arc::clone(node),
        row,
        rev,
        clock,
        until,
        slice_rows(own),
    ))
}

fn encode(row: &LeaseRow) -> Vec<u8> {
    serde_json::to_vec(row).expect("a lease has string keys only")
}

/// How an order ended.
enum End {
    Grant(GrantEnd),
    Release(ReleaseEnd),
}

/// The time for which this host holds the lease.
struct Tenure {
    node: Arc<Node>,
    row: LeaseRow,
    rev: u64,
    clock: StoreClock,
    until: Millis,
    renew_at: Millis,
    rows: Vec<SliceRow>,
    keepers: BTreeMap<Arc<str>, Keeper>,
    /// Number of usable targets of a service, and when it last grew.
    gathered: BTreeMap<Arc<str>, (usize, Millis)>,
    ends: mpsc::UnboundedSender<(Arc<str>, OrderId, End)>,
    ended: mpsc::UnboundedReceiver<(Arc<str>, OrderId, End)>,
}

impl Tenure {
    fn new(
        node: Arc<Node>,
        row: LeaseRow,
        rev: u64,
        clock: StoreClock,
        until: Millis,
        rows: Vec<SliceRow>,
    ) -> Self {
        let (ends, ended) = mpsc::unbounded_channel();
        let renew_at = node.clock.now() + RENEW_MS;
        Self {
            node,
            row,
            rev,
            clock,
            until,
            renew_at,
            rows,
            keepers: BTreeMap::new(),
            gathered: BTreeMap::new(),
            ends,
            ended,
        }
    }

    async fn run(mut self) {
        loop {
            let now = self.node.clock.now();
            if now >= self.until || *self.node.stopping.borrow() {
                return;
            }
            self.plan(now);
            self.order(now);
            let urgent = self.keepers.values().any(Keeper::needs_commit);
            if (urgent || now >= self.renew_at) && !self.commit().await {
                return;
            }
            self.publish();
            if let Ok(Some(end)) = tokio::time::timeout(TICK, self.ended.recv()).await {
                self.note(end);
                while let Ok(end) = self.ended.try_recv() {
                    self.note(end);
                }
            }
        }
    }

    fn note(&mut self, (service, id, end): (Arc<str>, OrderId, End)) {
        let now = self.node.clock.now();
        let Some(keeper) = self.keepers.get_mut(&service) else {
            return;
        };
        match end {
            End::Grant(end) => keeper.on_grant(id, end, now),
            End::Release(end) => keeper.on_release(id, end, now),
        }
    }

    /// Gives keys without a usable owner to the targets.
    fn plan(&mut self, now: Millis) {
        let Some(catalog) = self.node.catalog.load_full() else {
            return;
        };
        let targets = self.node.targets();
        for service in catalog.services() {
            if service.ownership == Ownership::Shared {
                continue;
            }
            let mut usable: Vec<Life> = Vec::new();
            let mut lives: Vec<Life> = Vec::new();
            for (name, entry) in targets.all() {
                if entry.service != service.name {
                    continue;
                }
                lives.push(entry.life(name));
                let registered = targets.get(name).is_some();
                if registered && entry.state == TargetState::Ready {
                    usable.push(entry.life(name));
                }
            }
            if usable.is_empty() {
                continue;
            }
            let rows = &self.rows;
            let term = self.row.term;
            let hold = self.node.settings.bounds.hold;
            let keeper = self
                .keepers
                .entry(Arc::clone(&service.name))
                .or_insert_with(|| {
                    let own = rows.iter().filter(|it| it.service == service.name);
                    let rows = own.cloned().collect();
                    Keeper::new(Arc::clone(&service.name), term, bounds(hold), rows, now)
                });
            keeper.set_lives(lives, now);
            let gathered = self
                .gathered
                .entry(Arc::clone(&service.name))
                .or_insert((0, now));
            if usable.len() > gathered.0 {
                *gathered = (usable.len(), now);
            }
            let empty = keeper.slices().next().is_none();
            if empty && now < gathered.1 + GATHER_MS {
                continue;
            }
            for gap in keeper.unassigned() {
                spread(keeper, gap, &usable, now);
            }
            for slice in keeper.orphans(|it| usable.contains(it)) {
                spread(keeper, slice.range, &usable, now);
            }
        }
    }

    fn order(&mut self, now: Millis) {
        for (service, keeper) in &mut self.keepers {
            for order in keeper.step(now) {
                let targets = self.node.targets();
                let address = targets
                    .all()
                    .find(|(name, _)| **name == order.life.target)
                    .map(|(_, it)| it.address);
                drop(targets);
                let Some(address) = address else { continue };
                let node = Arc::clone(&self.node);
                let ends = self.ends.clone();
                let service = Arc::clone(service);
                tokio::spawn(async move {
                    let end = send(&node, address, &order).await;
                    // The tenure may have ended meanwhile.
                    let _ = ends.send((service, order.id, end));
                });
            }
        }
    }

    /// Writes the rows that changed and renews the lease; returns whether the lease is held.
    async fn commit(&mut self) -> bool {
        let mut puts = Vec::new();
        let mut removes = Vec::new();
        let mut batches = Vec::new();
        let mut room = ROWS;
        for (service, keeper) in &self.keepers {
            let (rows, names) = keeper.rows_to_write(room);
            room -= rows.len() + names.len();
            puts.extend(rows.iter().map(|it| (it.name(), it.value())));
            removes.extend(names.iter().cloned());
            batches.push((Arc::clone(service), rows, names));
        }
        let sent = self.node.clock.now();
        let row = LeaseRow {
            until: self.clock.earliest(sent) + LEASE_MS,
            nonce: rand::random(),
            ..self.row.clone()
        };
        puts.push((LeaseRow::NAME.to_owned(), encode(&row)));
        let transaction = Transaction {
            expected: vec![(LeaseRow::NAME.to_owned(), self.rev)],
            puts,
            removes,
        };
        match self.node.store.commit(&transaction).await {
            Commit::Applied { rev, store_ms } => {
                self.rev = rev;
                self.until = self.clock.before(row.until);
                self.row = row;
                self.clock = StoreClock {
                    sent,
                    received: self.node.clock.now(),
                    value: store_ms,
                };
                self.renew_at = sent + RENEW_MS;
                for (service, rows, names) in batches {
                    if let Some(keeper) = self.keepers.get_mut(&service) {
                        keeper.on_commit(rows, &names);
                    }
                }
                true
            }
            Commit::Conflict(_) => false,
            Commit::NotApplied(err) => {
                log::warn!("the lease is not renewed: {err}");
                self.renew_at = sent + RENEW_MS / 2;
                true
            }
            Commit::Unknown => {
                log::warn!("it is not known whether the lease is renewed");
                self.renew_at = sent + RENEW_MS / 2;
                true
            }
        }
    }

    fn publish(&mut self) {
        let mut changed = false;
        let mut tables = self.node.tables_mut();
        for (service, keeper) in &mut self.keepers {
            let table = tables.entry(Arc::clone(service)).or_default();
            for slice in keeper.take_changed() {
                changed |= table.merge(&slice);
            }
        }
        drop(tables);
        if changed {
            self.node.changed.notify_waiters();
        }
    }
}

async fn send(node: &Node, address: std::net::SocketAddr, order: &Order) -> End {
    match order.kind {
        OrderKind::Grant { .. } => End::Grant(node.target_api.grant(address, order).await),
        OrderKind::Release => End::Release(node.target_api.release(address, order).await),
    }
}

/// Divides `range` evenly among `targets`.
fn spread(keeper: &mut Keeper, range: KeyRange, targets: &[Life], now: Millis) {
    let width = range.width();
    let count = u32::try_from(targets.len()).unwrap_or(u32::MAX).min(width);
    for (idx, life) in (0..count).zip(targets) {
        let first = u32::from(range.first) + width * idx / count;
        let last = u32::from(range.first) + width * (idx + 1) / count - 1;
        let to_key = |it: u32| u16::try_from(it).expect("parts of a range are keys");
        keeper.assign(KeyRange::new(to_key(first), to_key(last)), life, now);
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the settings bound the hold to 3600 s"
)]
fn bounds(max_hold: f64) -> Bounds {
    let max_hold_ms = (max_hold * 1_000.0) as u64;
    Bounds {
        hold_ms: 4_000.min(max_hold_ms),
        max_hold_ms,
        renew_ms: 1_200,
        retry_ms: 300,
        drift_percent: 2,
    }
}
