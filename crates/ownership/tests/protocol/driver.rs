//! The drivers of the hosts: what each host does in a step.

use std::sync::Arc;

use ownership::{
    Action, Checks, CommitOutcome, GrantOrder, GrantOutcome, Millis, Permit, Renewal, Verdict,
};

use crate::{
    cluster::{Cluster, Message, STEP_MS, clock},
    event::Event,
    host::target_id,
    store::{Row, Transaction},
};

/// Duration of a store read, in milliseconds. A read returns the rows of its start, so that a table
/// is older than the end of its read.
const READ_MS: Millis = 2 * STEP_MS;

impl Cluster {
    /// Performs the actions that a host had prepared when it was paused.
    pub fn send_prepared(&mut self, host: usize) -> Result<(), String> {
        if self.is_paused(host) {
            return Ok(());
        }
        for (target, sent, action) in std::mem::take(&mut self.hosts[host].prepared) {
            self.perform(host, target, sent, action)?;
        }
        Ok(())
    }

    fn is_paused(&self, host: usize) -> bool {
        self.now < self.hosts[host].paused_until
    }

    /// Ends the store read in progress and begins the next one.
    pub fn sync(&mut self, host: usize) -> Result<(), String> {
        if self.is_paused(host) {
            return Ok(());
        }
        let now = self.now;
        let has_store = self.can_reach_store(host);
        let it = &mut self.hosts[host];
        if let Some((began, rows)) = it.reading.take_if(|it| it.0 + READ_MS <= now) {
            it.read(now, began, &rows)?;
        }
        if has_store && it.reading.is_none() {
            let rev = it.table.rev();
            let rows: Vec<Arc<Row>> = self
                .store
                .rows
                .values()
                .filter(|it| it.row.rev > rev)
                .cloned()
                .collect();
            it.reading = Some((now, rows));
        }
        Ok(())
    }

    fn can_reach_store(&self, host: usize) -> bool {
        self.store.down_until <= self.now && self.hosts[host].cut_until <= self.now
    }

    pub fn run(&mut self, host: usize, event: Option<Event>) -> Result<(), String> {
        if self.is_paused(host) {
            return Ok(());
        }
        for target in 0..2 {
            if self.hosts[host].roles[target].gateway.is_some() {
                self.update_inputs(host, target);
                self.run_requests(host, target)?;
            }
        }
        let pause = match event {
            Some(Event::Pause(it, ms)) if it == host => Some(ms),
            _ => None,
        };
        // Several rounds per step, because answers within a data centre take far less than a step.
        for _ in 0..4 {
            let now = self.now;
            let mut idle = true;
            for target in 0..2 {
                let Some(gateway) = &mut self.hosts[host].roles[target].gateway else {
                    continue;
                };
                for action in gateway.tick(now) {
                    idle = false;
                    if pause.is_some() {
                        self.hosts[host].prepared.push((target, now, action));
                    } else {
                        self.perform(host, target, now, action)?;
                    }
                }
            }
            if let Some(ms) = pause {
                self.hosts[host].paused_until = now + ms;
                return Ok(());
            }
            if idle {
                break;
            }
        }
        Ok(())
    }

    /// Passes the members and the reachability of the target to a gateway.
    fn update_inputs(&mut self, host: usize, target: usize) {
        let now = self.now;
        let members: Vec<Arc<str>> = (0..self.hosts.len())
            .filter(|it| Some(*it) != self.left)
            .map(|it| Arc::clone(&self.hosts[it].name))
            .collect();
        let up = self.can_reach(host, target);
        if let Some(gateway) = &mut self.hosts[host].roles[target].gateway {
            gateway.on_members(now, &members);
            if up {
                gateway.target_recovered(now);
            } else if self.policy.checks == Checks::Nothing {
                gateway.target_lost(now);
            }
        }
    }

    /// Ends the request in flight if it is due, then starts the waiting one and admits the next.
    fn run_requests(&mut self, host: usize, target: usize) -> Result<(), String> {
        let now = self.now;
        let role = &mut self.hosts[host].roles[target];
        let Some(gateway) = &mut role.gateway else {
            return Ok(());
        };
        if let Some((permit, _)) = role.in_flight.take_if(|it| it.1 <= now) {
            gateway.finished(now, &permit);
        }
        let waiting = role.waiting.take();
        role.waiting = gateway.may_start(now, 7).ok();
        let Some(permit) = waiting else {
            return Ok(());
        };
        if gateway.recheck(now, &permit).is_err() || role.in_flight.is_some() {
            return Ok(());
        }
        gateway.started(now, &permit);
        role.in_flight = Some((permit, now + self.policy.deadline_ms));
        self.send_request(host, target, &permit)
    }

    fn send_request(&mut self, host: usize, target: usize, permit: &Permit) -> Result<(), String> {
        let now = self.now;
        let clock = clock(target, now);
        if !self.can_reach(host, target) {
            return Ok(());
        }
        let it = &mut self.targets[target];
        if self.policy.checks == Checks::Grants
            && !it.fence.admits(clock, &permit.fence, "archive", 7)
        {
            return Ok(());
        }
        it.accepted += 1;
        it.busy_until = now + self.policy.deadline_ms;
        if now < self.targets[1 - target].busy_until {
            return Err(format!(
                "a{target} accepts a request while the other target runs one"
            ));
        }
        Ok(())
    }

    pub fn is_up(&self, target: usize) -> bool {
        let it = &self.targets[target];
        it.crashed_until <= self.now && it.frozen_until <= self.now
    }

    fn can_reach(&self, host: usize, target: usize) -> bool {
        let cut = self
            .target_cuts
            .iter()
            .any(|it| (it.0, it.1) == (host, target));
        !cut && self.is_up(target)
    }

    pub fn order(&mut self, target: usize, order: &GrantOrder) -> GrantOutcome {
        if !self.is_up(target) {
            return GrantOutcome::Lost;
        }
        match self.targets[target]
            .fence
            .order(clock(target, self.now), order)
        {
            Ok(state) => GrantOutcome::Accepted(state),
            Err(state) => GrantOutcome::Fenced(state),
        }
    }

    pub fn renew(&mut self, target: usize, renewal: &Renewal) -> GrantOutcome {
        if !self.is_up(target) {
            return GrantOutcome::Lost;
        }
        let clock = clock(target, self.now);
        match self.targets[target].fence.renew(clock, renewal) {
            Ok(renewed) => GrantOutcome::Renewed(renewed),
            Err(state) => GrantOutcome::Fenced(state),
        }
    }

    fn perform(
        &mut self,
        host: usize,
        target: usize,
        sent: Millis,
        action: Action,
    ) -> Result<(), String> {
        let now = self.now;
        match action {
            Action::Vote(request) => {
                let others = (0..self.hosts.len()).filter(|it| *it != host);
                let hosts: Vec<usize> = std::iter::once(host).chain(others).collect();
                for voter in hosts {
                    if !self.is_connected(host, voter) {
                        continue;
                    }
                    let it = &mut self.hosts[voter];
                    let Some(votes) = &mut it.roles[target].voter else {
                        continue;
                    };
                    let mut reply = votes.vote(now, &request);
                    reply.contact = it.contact.map(|it| now - it);
                    let granted = reply.verdict == Verdict::Granted;
                    let name = Arc::clone(&it.name);
                    if let Some(gateway) = &mut self.hosts[host].roles[target].gateway {
                        gateway.on_vote(now, &name, sent, &reply);
                    }
                    if voter == host && !granted {
                        break;
                    }
                }
                return Ok(());
            }
            Action::Resign { incarnation } => {
                let name = Arc::clone(&self.hosts[host].name);
                for voter in 0..self.hosts.len() {
                    if !self.is_connected(host, voter) {
                        continue;
                    }
                    if let Some(votes) = &mut self.hosts[voter].roles[target].voter {
                        votes.resign(now, &name, incarnation);
                    }
                }
                return Ok(());
            }
            Action::Announce { .. } => return Ok(()),
            Action::ReadGrant => {
                let state = self.targets[target].fence.state(clock(target, now));
                let outcome = if self.can_reach(host, target) {
                    GrantOutcome::Accepted(state)
                } else {
                    GrantOutcome::Lost
                };
                self.deliver_outcome(host, target, sent, outcome);
            }
            Action::Grant(order) => {
                let outcome = match self.hosts[host].faults.delay_grant.take() {
                    Some(ms) => {
                        self.delayed.push((now + ms, Message::Grant(target, order)));
                        GrantOutcome::Lost
                    }
                    None if !self.can_reach(host, target) => GrantOutcome::Lost,
                    None => self.order(target, &order),
                };
                self.deliver_outcome(host, target, sent, outcome);
            }
            Action::Renew(renewal) => {
                let outcome = match self.hosts[host].faults.delay_grant.take() {
                    Some(ms) => {
                        let message = Message::Renew(target, renewal);
                        self.delayed.push((now + ms, message));
                        GrantOutcome::Lost
                    }
                    None if !self.can_reach(host, target) => GrantOutcome::Lost,
                    None => self.renew(target, &renewal),
                };
                self.deliver_outcome(host, target, sent, outcome);
            }
            Action::Commit(intent) => {
                let it = &mut self.hosts[host];
                let role = &mut it.roles[target];
                let transaction = match role.unresolved.take() {
                    Some((unresolved, transaction)) if unresolved == intent => transaction,
                    _ => Transaction::new(
                        &it.table,
                        &target_id(target),
                        ["a1", "a0"][target],
                        &intent,
                    ),
                };
                role.unresolved = Some((intent, transaction.clone()));
                let outcome = self.commit(host, transaction)?;
                let role = &mut self.hosts[host].roles[target];
                if outcome != CommitOutcome::Unknown {
                    role.unresolved = None;
                }
                if let Some(gateway) = &mut role.gateway {
                    gateway.on_commit(now, outcome);
                }
            }
        }
        self.check()
    }

    fn deliver_outcome(&mut self, host: usize, target: usize, sent: Millis, outcome: GrantOutcome) {
        let now = self.now;
        if let Some(gateway) = &mut self.hosts[host].roles[target].gateway {
            gateway.on_grant(now, sent, outcome);
        }
    }

    fn commit(&mut self, host: usize, transaction: Transaction) -> Result<CommitOutcome, String> {
        if let Some(ms) = self.hosts[host].faults.delay_commit.take() {
            self.delayed
                .push((self.now + ms, Message::Commit(transaction)));
            return Ok(CommitOutcome::Unknown);
        }
        if !self.can_reach_store(host) || self.now < self.hosts[host].faults.drop_until {
            return Ok(CommitOutcome::Unknown);
        }
        let outcome = self.store.commit(&transaction)?;
        if std::mem::take(&mut self.hosts[host].faults.lose_answer) {
            return Ok(CommitOutcome::Unknown);
        }
        Ok(outcome)
    }

    fn is_connected(&self, a: usize, b: usize) -> bool {
        let cut = self
            .cuts
            .iter()
            .any(|it| (it.0, it.1) == (a, b) || (it.0, it.1) == (b, a));
        !cut && !self.is_paused(b)
    }
}
