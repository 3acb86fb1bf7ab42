//! The way of a request from the border of a host to the gateway of its key's owner.

use std::{sync::Arc, time::Duration};

use admission::{Attempt, Backoff, Idempotency, RetryDecision, RetryVerdict};
use http::Response;
use ownership::TargetId;
use refusal::{Ran, Reason, Refusal};

use crate::{
    body::Body,
    budgets::Lost,
    dispatch,
    forward::Route,
    host::Host,
    inbound::{Hop, Inbound, Runs},
    link::Crossing,
};

/// Shortest and longest pause before a request looks for its owner again.
const OWNER_PAUSE_MS: (u64, u64) = (10, 80);

/// Longest wait for tenure or a slice at the gateway's host for a request from another region.
const REMOTE_WAIT_MS: u64 = 1_000;

/// Base and cap of the pause before a retry.
const RETRY_PAUSE_MS: (u64, u64) = (10, 250);

/// Longest wait for a newer table after a host in another region has refused a request because the
/// key has moved: two polls of the store.
const STALE_TABLE_MS: u64 = 1_000;

/// Expected bytes of an exchange, for the decision whether it may cross the link.
const EXCHANGE_BYTES: u64 = 4 * 1024;

/// Answers a request, or says why it is refused.
pub async fn run(host: &Arc<Host>, inbound: &Inbound) -> Result<Response<Body>, Refusal> {
    let service = Arc::clone(&inbound.service().name);
    host.earn_retries(&service);
    if inbound.hop == Hop::Second {
        return second_hop(host, inbound).await;
    }
    let mut tries: u32 = 0;
    let mut pause_ms = OWNER_PAUSE_MS.0;
    let mut ran = Ran::NotRun;
    let mut link = Link::Unused;
    let mut waited = None;
    let mut until = inbound.deadline;
    loop {
        let failure = match attempt(host, inbound, link).await {
            Ok(response) => return Ok(response),
            Err(failure) => failure,
        };
        let last = failure.refusal;
        if last.ran == Ran::Unknown {
            ran = Ran::Unknown;
        }
        // What the caller is told holds for all attempts. The end of the deadline says less than
        // what the request waited for until then.
        let told = match last.reason {
            Reason::DeadlineBeforeStart => waited.unwrap_or(last),
            _ => last,
        };
        let refusal = Refusal { ran, ..told };
        if failure.route == Route::BetweenRegions {
            if ran != Ran::NotRun || !has_moved(last.reason) {
                return Err(refusal);
            }
            link = Link::Used;
            until = until.min(host.clock.now() + STALE_TABLE_MS);
        }
        let remaining_ms = host.clock.until(until).as_millis();
        let remaining_ms = u64::try_from(remaining_ms).unwrap_or(u64::MAX);
        if remaining_ms <= pause_ms {
            return Err(refusal);
        }
        if waits_for_owner(last.reason) {
            // Such an attempt ended without a target's work, so this spends no retry budget.
            host.metrics.retry(last.reason.label());
            waited = Some(last);
            pause(host, pause_ms).await;
            pause_ms = (pause_ms * 2).min(OWNER_PAUSE_MS.1);
            continue;
        }
        waited = None;
        let idempotency = match inbound.runs {
            Runs::Any => Idempotency::Idempotent,
            Runs::Once(_) => Idempotency::NonIdempotent,
        };
        let decision = admission::retry_decision(Attempt {
            reason: last.reason,
            ran: last.ran,
            idempotency,
            attempt: tries,
            remaining_ms,
            scope: admission::RetryScope::SameRegion,
        });
        if decision == RetryDecision::GiveUp {
            return Err(refusal);
        }
        let stage = match last.reason {
            Reason::GatewayLost => Lost::Hop,
            _ => Lost::Target,
        };
        if host.may_retry(&service, stage) == RetryVerdict::Exhausted {
            return Err(refusal);
        }
        host.metrics.retry(last.reason.label());
        let backoff = Backoff::new(RETRY_PAUSE_MS.0, RETRY_PAUSE_MS.1);
        let delay_ms = backoff.delay_ms(tries, rand::random());
        tokio::time::sleep(Duration::from_millis(delay_ms.min(remaining_ms))).await;
        tries += 1;
    }
}

/// Serves a request that another host forwarded. One from another region cannot be sent over the
/// link again, so it waits here while this host regains its tenure or a slice is being moved.
async fn second_hop(host: &Arc<Host>, inbound: &Inbound) -> Result<Response<Body>, Refusal> {
    let own = inbound.view.region_name(&host.settings.data_centre);
    let remote = inbound.region.as_ref().is_some_and(|it| *it != own);
    let wait_ms = if remote { REMOTE_WAIT_MS } else { 0 };
    let until = inbound.deadline.min(host.clock.now() + wait_ms);
    loop {
        let refusal = match attempt(host, inbound, Link::Unused).await {
            Ok(response) => return Ok(response),
            Err(failure) => failure.refusal,
        };
        let here = owner_of(host, inbound).is_ok_and(|(_, it)| it == host.settings.host);
        let waits = refusal.ran == Ran::NotRun && waits_for_owner(refusal.reason);
        if !here || !waits || host.clock.now() >= until {
            return Err(refusal);
        }
        pause(host, OWNER_PAUSE_MS.0).await;
    }
}

struct Failure {
    refusal: Refusal,
    route: Route,
}

impl From<Reason> for Failure {
    fn from(reason: Reason) -> Self {
        Self {
            refusal: reason.into(),
            route: Route::SameRegion,
        }
    }
}

/// Whether the request has crossed the link between regions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Link {
    /// It has not.
    Unused,
    /// It has; it must not cross again.
    Used,
}

async fn attempt(
    host: &Arc<Host>,
    inbound: &Inbound,
    link: Link,
) -> Result<Response<Body>, Failure> {
    let service = inbound.service();
    if host.clock.until(inbound.deadline).is_zero() {
        return Err(Reason::DeadlineBeforeStart.into());
    }
    let (target, gateway) = owner_of(host, inbound)?;
    let local = |refusal| Failure {
        refusal,
        route: Route::SameRegion,
    };
    if gateway == host.settings.host {
        let gate = host.gate(&target).ok_or(Reason::NoOwner)?;
        let answer = dispatch::run(host, &gate, inbound).await;
        return answer.map_err(|it| local(in_take_over(it)));
    }
    if inbound.hop == Hop::Second {
        return Err(Reason::NotGateway.into());
    }
    let Some(member) = host.member(&gateway) else {
        return Err(Reason::OwnerUnreachable.into());
    };
    let address = member.data.ok_or(Reason::OwnerUnreachable)?;
    let own = inbound.view.region_name(&host.settings.data_centre);
    let route = if inbound.view.region_name(&member.place) == own {
        Route::SameRegion
    } else {
        Route::BetweenRegions
    };
    if route == Route::BetweenRegions {
        if link == Link::Used {
            return Err(Reason::NotGateway.into());
        }
        let expected = EXCHANGE_BYTES << (4 * u64::from(service.priority.min(2)));
        if host.may_cross(&inbound.view, expected) == Crossing::Refused {
            return Err(Reason::LinkBudget.into());
        }
    }
    let answer = host.forwarder.send(host, address, inbound, route).await;
    answer.map_err(|refusal| {
        // A host that could not be reached got nothing, so looking for the owner again costs the
        // link nothing.
        let unsent = refusal.reason == Reason::OwnerUnreachable;
        Failure {
            refusal,
            route: if unsent { Route::SameRegion } else { route },
        }
    })
}

/// A host that the table names as the gateway has no tenure during a take-over: the table is not
/// old, but nobody can serve the key.
fn in_take_over(refusal: Refusal) -> Refusal {
    if refusal.reason != Reason::NotGateway {
        return refusal;
    }
    Refusal {
        ran: refusal.ran,
        ..Reason::NoOwner.into()
    }
}

fn owner_of(host: &Host, inbound: &Inbound) -> Result<(TargetId, Arc<str>), Reason> {
    let table = host.table();
    let service = &inbound.service().name;
    let owner = table.lookup(service, inbound.hash).ok_or(Reason::NoOwner)?;
    let target = TargetId {
        service: Arc::clone(service),
        target: Arc::clone(&owner.slice.target),
    };
    let (gateway, _) = table.route(&target).ok_or(Reason::NoOwner)?;
    Ok((target.clone(), Arc::clone(gateway)))
}

/// Waits for a change of the table, `limit_ms` milliseconds at most.
async fn pause(host: &Host, limit_ms: u64) {
    let limit = Duration::from_millis(limit_ms);
    // Whether the table changed or the time is over, the owner is looked up again.
    let _ = tokio::time::timeout(limit, host.changed.notified()).await;
}

/// Whether the request only waits for its key to have a reachable owner. These reasons are never
/// given for an attempt that ran, except to an idempotent request for its second connection.
fn waits_for_owner(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::NoOwner
            | Reason::NotGateway
            | Reason::OwnerUnreachable
            | Reason::Fenced
            | Reason::TargetDraining
            | Reason::TargetUnreachable
            | Reason::Stopping
    )
}

/// Whether a gateway's refusal shows that this host's table may be behind. The key's new owner can
/// be in this region.
fn has_moved(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::NoOwner | Reason::NotGateway | Reason::TargetDraining
    )
}

#[cfg(test)]
mod tests;
