//! A small simulated cluster in discrete time: hosts h0 to h2 (and h3 as a spare voter), targets a0
//! and a1, one slice, one store. Hosts h0 and h1 can be gateway of a0, and h2, h0 and h3 of a1, so
//! that the gateways of both targets are different hosts with different tables.

use std::{
    hash::{Hash, Hasher},
    sync::Arc,
};

use ownership::{Fence, GrantOrder, Millis, Policy, Renewal, TargetRow};
use serde_json::json;

use crate::{
    event::Event,
    host::{Host, target_id},
    store::{Rows, Store, Transaction},
};

/// Duration of a step, in milliseconds.
pub const STEP_MS: Millis = 100;

#[derive(Clone, Debug)]
pub struct Cluster {
    pub now: Millis,
    pub policy: Policy,
    pub store: Store,
    pub hosts: Vec<Host>,
    pub targets: Vec<Target>,
    /// Delayed messages with the time of their arrival.
    pub delayed: Vec<(Millis, Message)>,
    /// Links between two hosts that lose everything until a time.
    pub cuts: Vec<(usize, usize, Millis)>,
    /// Links between a host and a target that lose everything until a time.
    pub target_cuts: Vec<(usize, usize, Millis)>,
    /// A host that has left the membership list.
    pub left: Option<usize>,
    /// Whether a voter list has been forced, so that two hosts can have tenure.
    forced: Forced,
    restarts: u64,
}

#[derive(Clone, Debug, Hash)]
pub struct Target {
    pub fence: Fence,
    pub crashed_until: Millis,
    pub frozen_until: Millis,
    /// End of the last request that was accepted.
    pub busy_until: Millis,
    /// Number of accepted requests.
    pub accepted: u64,
}

#[derive(Clone, Debug, Hash)]
pub enum Message {
    Grant(usize, GrantOrder),
    Renew(usize, Renewal),
    Commit(Transaction),
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Forced {
    No,
    Yes,
}

impl Cluster {
    /// Creates a cluster of `hosts` hosts that started five seconds ago.
    pub fn new(policy: Policy, hosts: usize) -> Self {
        let now = 100_000;
        let mut store = Store {
            rev: 0,
            rows: Rows::default(),
            down_until: 0,
        };
        for (target, voters) in [["h0", "h1", "h2"], ["h2", "h0", "h1"]].iter().enumerate() {
            let row =
                json!({"gateway": voters[0], "epoch": 0, "sponsors": voters, "change": "settled"});
            store.write(&format!("target/{}", target_id(target)), &row);
        }
        let slice = json!({"high": u64::MAX, "target": "a0", "generation": 65_536});
        store.write("slice/archive/0000000000000000", &slice);
        let targets = [1, 2].map(Target::new);
        Self {
            now,
            policy,
            store,
            hosts: (0..hosts)
                .map(|it| Host::new(it, now - 5_000, it as u64 * 1_000, policy))
                .collect(),
            targets: targets.into(),
            delayed: Vec::new(),
            cuts: Vec::new(),
            target_cuts: Vec::new(),
            left: None,
            forced: Forced::No,
            restarts: 0,
        }
    }

    /// Applies `event`, then advances by one step. Fails if an invariant is violated.
    pub fn step(&mut self, event: Option<Event>) -> Result<(), String> {
        self.now += STEP_MS;
        if let Some(event) = event {
            self.apply(event);
        }
        self.deliver_delayed()?;
        for host in 0..self.hosts.len() {
            self.send_prepared(host)?;
            self.sync(host)?;
        }
        for host in 0..self.hosts.len() {
            self.run(host, event)?;
        }
        self.check()
    }

    fn apply(&mut self, event: Event) {
        let now = self.now;
        match event {
            // A pause begins after the tick of this step, so that its actions are sent late.
            Event::Pause(..) => {}
            Event::Restart(host) => {
                self.restarts += 1;
                let incarnation = 100_000 + self.restarts * 1_000;
                self.hosts[host] = Host::new(host, now, incarnation, self.policy);
            }
            Event::Cut(a, b, ms) => self.cuts.push((a, b, now + ms)),
            Event::CutStore(host, ms) => self.hosts[host].cut_until = now + ms,
            Event::StoreDown(ms) => self.store.down_until = now + ms,
            Event::Freeze(target, ms) => self.targets[target].frozen_until = now + ms,
            Event::Crash(target, ms) => {
                self.restarts += 1;
                self.targets[target] = Target::new(10 + self.restarts);
                self.targets[target].crashed_until = now + ms;
            }
            Event::DelayGrant(host, ms) => self.hosts[host].faults.delay_grant = Some(ms),
            Event::DelayCommit(host, ms) => self.hosts[host].faults.delay_commit = Some(ms),
            Event::DropCommits(host, ms) => self.hosts[host].faults.drop_until = now + ms,
            Event::LoseAnswer(host) => self.hosts[host].faults.lose_answer = true,
            // The planner asks the gateway only, not other hosts.
            Event::RequestMove(target) => {
                let gateways = self
                    .hosts
                    .iter_mut()
                    .filter_map(|it| it.roles[target].gateway.as_mut());
                for gateway in gateways.filter(|it| it.status(now).tenure) {
                    gateway.request_move(now, &[0]);
                }
            }
            Event::Drain(target) => {
                for host in &mut self.hosts {
                    if let Some(gateway) = &mut host.roles[target].gateway {
                        gateway.drain(now);
                    }
                }
            }
            Event::Stop(host) => {
                let roles = self.hosts[host].roles.iter_mut();
                roles
                    .flat_map(|it| &mut it.gateway)
                    .for_each(|it| it.stop(now));
            }
            Event::Leave(host) => self.left = Some(host),
            Event::CutTarget(host, target, ms) => self.target_cuts.push((host, target, now + ms)),
            Event::Force => {
                for (target, voters) in [(0, [1, 3]), (1, [3, 1])] {
                    let name = format!("target/{}", target_id(target));
                    let text = self.store.rows[name.as_str()].row.value.clone();
                    let old: TargetRow = serde_json::from_str(&text.expect("the row exists"))
                        .expect("the row is well-formed");
                    let names = voters.map(|it| Arc::clone(&self.hosts[it].name));
                    let new = old.force(Arc::clone(&names[0]), names.into_iter().collect());
                    self.store
                        .write(&name, &serde_json::to_value(new).expect("a row serialises"));
                }
                self.forced = Forced::Yes;
            }
            Event::PartitionH1H3(ms) => self.partition([1, 3], [0, 2], ms),
            Event::PartitionH0H3(ms) => self.partition([0, 3], [1, 2], ms),
        }
    }

    /// Separates two pairs of hosts; the second pair is also cut off from the store.
    fn partition(&mut self, connected: [usize; 2], others: [usize; 2], ms: Millis) {
        let until = self.now + ms;
        for other in others {
            self.hosts[other].cut_until = until;
            self.cuts.extend(connected.map(|it| (it, other, until)));
        }
    }

    fn deliver_delayed(&mut self) -> Result<(), String> {
        let now = self.now;
        self.cuts.retain(|it| now < it.2);
        self.target_cuts.retain(|it| now < it.2);
        let (due, later) = std::mem::take(&mut self.delayed)
            .into_iter()
            .partition(|it| it.0 <= now);
        self.delayed = later;
        let due: Vec<(Millis, Message)> = due;
        for (_, message) in due {
            match message {
                Message::Grant(target, order) => {
                    self.order(target, &order);
                }
                Message::Renew(target, renewal) => {
                    self.renew(target, &renewal);
                }
                Message::Commit(transaction) => {
                    self.store.commit(&transaction)?;
                }
            }
        }
        Ok(())
    }

    /// Fails if two hosts have tenure for one target, if two targets hold the slice, or if a target
    /// holds it that the store has assigned to the other one.
    pub fn check(&self) -> Result<(), String> {
        for target in 0..2 {
            let holders = self.hosts.iter().filter(|it| {
                let gateway = it.roles[target].gateway.as_ref();
                gateway.is_some_and(|it| it.status(self.now).tenure)
            });
            if holders.count() > 1 && self.forced == Forced::No {
                return Err(format!("two hosts have tenure for a{target}"));
            }
        }
        let holds = |it: usize| {
            let fence = &self.targets[it].fence;
            !fence.state(clock(it, self.now)).held.is_empty()
        };
        if holds(0) && holds(1) {
            return Err(String::from("two targets hold the slice"));
        }
        let row = &self.store.rows["slice/archive/0000000000000000"].row;
        let value = row.value.as_deref().unwrap_or_default();
        for target in 0..2 {
            if holds(target) && value.contains(["\"a1\"", "\"a0\""][target]) {
                return Err(format!("a{target} holds a slice that has moved"));
            }
        }
        Ok(())
    }

    pub fn fingerprint(&self) -> u64 {
        let mut hasher = FingerprintHasher(0);
        self.now.hash(&mut hasher);
        self.store.hash(&mut hasher);
        self.targets.hash(&mut hasher);
        self.delayed.hash(&mut hasher);
        self.cuts.hash(&mut hasher);
        self.target_cuts.hash(&mut hasher);
        self.left.hash(&mut hasher);
        for host in &self.hosts {
            host.start.hash(&mut hasher);
            host.incarnation.hash(&mut hasher);
            (host.paused_until, host.cut_until).hash(&mut hasher);
            host.prepared.hash(&mut hasher);
            host.rows.hash(&mut hasher);
            (&host.reading, host.contact).hash(&mut hasher);
            host.roles.hash(&mut hasher);
            host.faults.hash(&mut hasher);
        }
        hasher.finish()
    }

    /// Returns the target that the store assigns the slice to.
    pub fn owner(&self) -> Arc<str> {
        let table = &mut ownership::Table::new();
        for row in self.store.rows.values() {
            table
                .merge(&row.row)
                .expect("the store's rows are well-formed");
        }
        let owner = table.lookup("archive", 7).expect("the slice exists");
        Arc::clone(&owner.slice.target)
    }
}

impl Target {
    fn new(incarnation: u64) -> Self {
        Self {
            fence: Fence::new(incarnation),
            crashed_until: 0,
            frozen_until: 0,
            busy_until: 0,
            accepted: 0,
        }
    }
}

/// Returns the clock of a target; clocks of different processes have different origins.
pub fn clock(target: usize, now: Millis) -> Millis {
    now + [50_000, 3_000_000][target]
}

/// A hasher for fingerprints that is fast without optimisation.
struct FingerprintHasher(u64);

impl Hasher for FingerprintHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for chunk in bytes.chunks(8) {
            let mut word = [0; 8];
            word[..chunk.len()].copy_from_slice(chunk);
            self.write_u64(u64::from_le_bytes(word));
        }
    }

    fn write_u8(&mut self, value: u8) {
        self.write_u64(u64::from(value));
    }

    fn write_u64(&mut self, value: u64) {
        let mixed = (self.0.rotate_left(23) ^ value).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        self.0 = mixed ^ (mixed >> 32);
    }

    fn write_usize(&mut self, value: usize) {
        self.write_u64(value as u64);
    }
}
