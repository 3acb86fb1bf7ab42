//! A host with its voters and gateways.

use std::sync::Arc;

use ownership::{
    Action, Gateway, Intent, Merge, Millis, Permit, Policy, Slice, Table, TargetId, Voter,
};

use crate::{
    event::Faults,
    store::{Row, Rows, Transaction},
};

#[derive(Clone, Debug)]
pub struct Host {
    pub name: Arc<str>,
    pub start: Millis,
    pub incarnation: u64,
    pub paused_until: Millis,
    /// The host cannot reach the store before this time.
    pub cut_until: Millis,
    /// Actions that were not yet performed when the host was paused: target, time of the tick,
    /// action.
    pub prepared: Vec<(usize, Millis, Action)>,
    pub rows: Rows,
    pub table: Arc<Table>,
    /// The read in progress: when it began and what it will return.
    pub reading: Option<(Millis, Vec<Arc<Row>>)>,
    /// When the last successful read began.
    pub contact: Option<Millis>,
    pub roles: Vec<Role>,
    pub faults: Faults,
}

/// State of a host for one target.
#[derive(Clone, Debug, Hash)]
pub struct Role {
    pub voter: Option<Voter>,
    pub gateway: Option<Gateway>,
    /// The commit whose outcome is unknown, to be repeated unchanged.
    pub unresolved: Option<(Intent, Transaction)>,
    /// A request that waits between its admission and its write.
    pub waiting: Option<Permit>,
    /// A request in flight and when it ends.
    pub in_flight: Option<(Permit, Millis)>,
}

impl Host {
    pub fn new(index: usize, start: Millis, incarnation: u64, policy: Policy) -> Self {
        let name: Arc<str> = format!("h{index}").into();
        let roles = (0..2).map(|target| Role {
            voter: None,
            gateway: [[0, 1].as_slice(), &[2, 0, 3]][target]
                .contains(&index)
                .then(|| Gateway::new(Arc::clone(&name), incarnation, target_id(target), policy)),
            unresolved: None,
            waiting: None,
            in_flight: None,
        });
        let roles = roles.collect();
        Self {
            name,
            start,
            incarnation,
            paused_until: 0,
            cut_until: 0,
            prepared: Vec::new(),
            rows: Rows::default(),
            table: Arc::default(),
            reading: None,
            contact: None,
            roles,
            faults: Faults::default(),
        }
    }

    /// Processes the result of a store read. Fails if an assignment is replaced by an older one.
    pub fn read(&mut self, now: Millis, began: Millis, rows: &[Arc<Row>]) -> Result<(), String> {
        for shared in rows {
            let row = &shared.row;
            let known = self.rows.get(&row.name).map_or(0, |it| it.row.rev);
            let merge = Arc::make_mut(&mut self.table)
                .merge(row)
                .map_err(|it| it.to_string())?;
            if merge == Merge::Stale {
                continue;
            }
            if row.rev < known {
                return Err(format!("{} goes back to {}", row.name, row.rev));
            }
            Arc::make_mut(&mut self.rows).insert(Arc::clone(&row.name), Arc::clone(shared));
        }
        self.contact = Some(began);
        for (target, role) in self.roles.iter_mut().enumerate() {
            let id = target_id(target);
            let Some((rev, row)) = self.table.target(&id) else {
                continue;
            };
            let voter = role.voter.get_or_insert_with(|| Voter::new(self.start));
            voter.observe_rev(rev);
            let Some(gateway) = &mut role.gateway else {
                continue;
            };
            gateway.on_row(now, rev, row);
            let slices: Vec<(u64, Slice)> = self
                .table
                .slices_of(&id)
                .map(|it| (it.rev, it.slice.clone()))
                .collect();
            gateway.on_slices(now, slices, Some(began));
            gateway.on_contact(began);
        }
        Ok(())
    }
}

pub fn target_id(target: usize) -> TargetId {
    TargetId::new("archive", ["a0", "a1"][target])
}
