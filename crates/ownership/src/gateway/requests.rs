//! Decisions about single requests.

use super::{
    Checks, Draining, Gateway, GatewayState, GatewayStatus, Owned, OwnedState, Permit, PermitError,
    Stopping, reign::Reign,
};
use crate::{Millis, RequestFence};

impl Gateway {
    /// Decides whether a request for `hash` may be started at `now`.
    ///
    /// # Errors
    ///
    /// Returns why the request may not be started.
    pub fn may_start(&self, now: Millis, hash: u64) -> Result<Permit, PermitError> {
        let reign = self.reign.as_ref().filter(|it| now < it.until);
        let (Some(reign), Stopping::No) = (reign, self.stopping) else {
            return Err(PermitError::NoTenure);
        };
        if self.draining != Draining::No {
            return Err(PermitError::Draining);
        }
        let owned = self.slices.range(..=hash).next_back().map(|it| it.1);
        let owned = owned.filter(|it| hash <= it.slice.high);
        if let Some(owned) = owned
            && (owned.state != OwnedState::Free || self.leaving(owned.slice.low).is_some())
        {
            return Err(PermitError::Moving);
        }
        if reign.lost.is_some() {
            return Err(PermitError::Unreachable);
        }
        let (Some(epoch), confirmed) = (reign.epoch, reign.confirmed(self.read)) else {
            return Err(PermitError::NotHeld);
        };
        match self.policy.checks {
            Checks::Grants => granted(now, reign, epoch, hash),
            Checks::Nothing => match owned {
                Some(owned) if confirmed => Ok(permit(epoch, owned)),
                _ => Err(PermitError::NotHeld),
            },
        }
    }

    /// Decides again, immediately before the request is written.
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

    /// Notes that the request is being written.
    pub fn started(&mut self, now: Millis, permit: &Permit) {
        self.flights.started(now, permit);
    }

    /// Notes that the request has ended: its answer is complete, or it was cancelled.
    pub fn finished(&mut self, _now: Millis, permit: &Permit) {
        self.flights.finished(permit);
    }

    /// Summarises the gateway's state at `now`.
    #[must_use]
    pub fn status(&self, now: Millis) -> GatewayStatus {
        let reign = self.reign.as_ref().filter(|it| now < it.until);
        let voters = self.row.as_ref().map(|it| &it.1.voters);
        let state = match reign {
            _ if self.stopping == Stopping::Yes => GatewayState::Stopping,
            None if voters.is_some_and(|it| it.contains(&self.host)) => GatewayState::Candidate,
            None => GatewayState::Idle,
            Some(reign) if reign.lost.is_some() || reign.link.silent => GatewayState::Unreachable,
            Some(reign) if reign.epoch.is_none() => GatewayState::Claiming,
            Some(_) => GatewayState::Serving,
        };
        let held = match (reign, self.policy.checks) {
            (Some(reign), Checks::Grants) if now < reign.link.expires => reign.link.granted.len(),
            (Some(reign), Checks::Nothing) if reign.confirmed(self.read) => self.slices.len(),
            _ => 0,
        };
        GatewayStatus {
            target: self.target.clone(),
            state,
            tenure: reign.is_some(),
            epoch: reign.and_then(|it| it.epoch),
            held,
            draining: self.draining != Draining::No,
        }
    }
}

fn granted(now: Millis, reign: &Reign, epoch: u64, hash: u64) -> Result<Permit, PermitError> {
    let held = reign.link.holds(hash).ok_or(PermitError::NotHeld)?;
    let answer = reign.link.answer.ok_or(PermitError::NotHeld)?;
    if reign.link.expires <= now {
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

fn permit(epoch: u64, owned: &Owned) -> Permit {
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
