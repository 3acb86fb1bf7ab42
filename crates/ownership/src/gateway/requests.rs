//! Decisions about single requests.

use super::{
    Checks, Draining, Gateway, GatewayState, GatewayStatus, OwnedSlice, OwnedState, Permit,
    PermitError, Stopping, tenure::TenureState,
};
use crate::{Millis, RequestFence};

impl Gateway {
    /// Decides whether a request for `hash` may be started at `now`.
    ///
    /// # Errors
    ///
    /// Returns why the request may not be started.
    pub fn may_start(&self, now: Millis, hash: u64) -> Result<Permit, PermitError> {
        let tenure = self.tenure.as_ref().filter(|it| now < it.until);
        let (Some(tenure), Stopping::No) = (tenure, self.stopping) else {
            return Err(PermitError::NoTenure);
        };
        if self.draining != Draining::No {
            return Err(PermitError::Draining);
        }
        let owned = self.slices.range(..=hash).next_back().map(|it| it.1);
        let owned = owned.filter(|it| hash <= it.slice.high);
        if let Some(owned) = owned
            && (owned.state != OwnedState::Free || self.move_reason(owned.slice.low).is_some())
        {
            return Err(PermitError::Moving);
        }
        if tenure.unreachable_since.is_some() {
            return Err(PermitError::Unreachable);
        }
        let (Some(epoch), confirmed) = (tenure.epoch, tenure.is_confirmed(self.last_read)) else {
            return Err(PermitError::NotHeld);
        };
        match self.policy.checks {
            Checks::Grants => permit_under_grant(now, tenure, epoch, hash),
            Checks::Nothing => match owned {
                Some(owned) if confirmed => Ok(permit_without_grant(epoch, owned)),
                _ => Err(PermitError::NotHeld),
            },
        }
    }

    /// Repeats the decision immediately before the request is written.
    ///
    /// # Errors
    ///
    /// Returns why the request may not be written.
    pub fn recheck(&self, now: Millis, permit: &Permit) -> Result<(), PermitError> {
        let current = self.may_start(now, permit.low)?;
        if current.fence == permit.fence {
            Ok(())
        } else {
            Err(PermitError::NotHeld)
        }
    }

    /// Records that the request is being written.
    pub fn started(&mut self, now: Millis, permit: &Permit) {
        self.in_flight.started(now, permit);
    }

    /// Records that the request has ended: its answer is complete, or it was cancelled.
    pub fn finished(&mut self, _now: Millis, permit: &Permit) {
        self.in_flight.finished(permit);
    }

    /// Summarises the gateway's state at `now`.
    #[must_use]
    pub fn status(&self, now: Millis) -> GatewayStatus {
        let tenure = self.tenure.as_ref().filter(|it| now < it.until);
        let voters = self.row.as_ref().map(|it| &it.1.voters);
        let state = match tenure {
            _ if self.stopping == Stopping::Yes => GatewayState::Stopping,
            None if voters.is_some_and(|it| it.contains(&self.host)) => GatewayState::Candidate,
            None => GatewayState::Idle,
            Some(tenure) if tenure.unreachable_since.is_some() || tenure.exchange.unanswered => {
                GatewayState::Unreachable
            }
            Some(tenure) if tenure.epoch.is_none() => GatewayState::Claiming,
            Some(_) => GatewayState::Serving,
        };
        let held = match (tenure, self.policy.checks) {
            (Some(tenure), Checks::Grants) if now < tenure.exchange.expires => {
                tenure.exchange.granted.len()
            }
            (Some(tenure), Checks::Nothing) if tenure.is_confirmed(self.last_read) => {
                self.slices.len()
            }
            _ => 0,
        };
        GatewayStatus {
            target: self.target.clone(),
            state,
            tenure: tenure.is_some(),
            epoch: tenure.and_then(|it| it.epoch),
            held,
            draining: self.draining != Draining::No,
        }
    }
}

fn permit_under_grant(
    now: Millis,
    tenure: &TenureState,
    epoch: u64,
    hash: u64,
) -> Result<Permit, PermitError> {
    let held = tenure
        .exchange
        .find_granted(hash)
        .ok_or(PermitError::NotHeld)?;
    let answer = tenure.exchange.answer.ok_or(PermitError::NotHeld)?;
    if tenure.exchange.expires <= now {
        return Err(PermitError::Unreachable);
    }
    Ok(Permit {
        fence: RequestFence {
            epoch,
            generation: held.generation,
            incarnation: answer.incarnation,
        },
        low: held.low,
        high: held.high,
    })
}

fn permit_without_grant(epoch: u64, owned: &OwnedSlice) -> Permit {
    Permit {
        fence: RequestFence {
            epoch,
            generation: owned.slice.generation,
            incarnation: 0,
        },
        low: owned.slice.low,
        high: owned.slice.high,
    }
}
