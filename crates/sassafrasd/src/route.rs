//! Routing of a request to the gateway of its key's owner, with retries.

use std::{sync::Arc, time::Duration};

use admission::{Attempt, Backoff, Idempotency, RetryDecision, RetryVerdict};
use http::Response;
use ownership::TargetId;
use refusal::{Ran, Reason, Refusal};

use crate::{
    body::Body,
    budgets::FailurePoint,
    dispatch,
    forward::Route,
    host::Host,
    inbound::{Execution, Hop, Inbound},
    link::Crossing,
};

/// Shortest and longest pause before the owner of the key is looked up again.
const OWNER_PAUSE_MS: (u64, u64) = (10, 80);

/// Longest time for which a request from another region waits at the gateway's host for the host's
/// tenure or for a slice that is being moved.
const REMOTE_WAIT_MS: u64 = 1_000;

/// Base and cap of the pause before a retry.
const RETRY_PAUSE_MS: (u64, u64) = (10, 250);

/// Longest wait for a newer table after a host in another region has refused a request because the
/// key has moved: two polls of the store.
const STALE_TABLE_MS: u64 = 1_000;

/// Expected bytes of an exchange of a service with priority 0, for the decision whether it may
/// cross the link. Each level of priority up to 2 multiplies them by 16.
const EXCHANGE_BYTES: u64 = 4 * 1024;

/// Answers a request. An error is the refusal for the caller, which covers all attempts.
pub async fn run(host: &Arc<Host>, inbound: &Inbound) -> Result<Response<Body>, Refusal> {
    let service = Arc::clone(&inbound.service().name);
    host.earn_retries(&service);
    if inbound.hop == Hop::Second {
        return run_second_hop(host, inbound).await;
    }
    let mut retries: u32 = 0;
    let mut pause_ms = OWNER_PAUSE_MS.0;
    let mut ran = Ran::NotRun;
    let mut link = Link::Unused;
    let mut wait_refusal = None;
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
        // The refusal covers all attempts. If the deadline expires during a wait for the owner, the
        // refusal keeps the reason for the wait, which is more precise.
        let reported = match last.reason {
            Reason::DeadlineBeforeStart => wait_refusal.unwrap_or(last),
            _ => last,
        };
        let refusal = Refusal { ran, ..reported };
        if failure.route == Route::BetweenRegions {
            if ran != Ran::NotRun || !may_have_moved(last.reason) {
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
            // No target worked on such an attempt, so the next one spends no retry budget.
            host.metrics.retry(last.reason.label());
            wait_refusal = Some(last);
            wait_for_table_change(host, pause_ms).await;
            pause_ms = (pause_ms * 2).min(OWNER_PAUSE_MS.1);
            continue;
        }
        wait_refusal = None;
        let idempotency = match inbound.execution {
            Execution::Idempotent => Idempotency::Idempotent,
            Execution::AtMostOnce(_) => Idempotency::NonIdempotent,
        };
        let decision = admission::retry_decision(Attempt {
            reason: last.reason,
            ran: last.ran,
            idempotency,
            attempt: retries,
            remaining_ms,
            scope: admission::RetryScope::SameRegion,
        });
        if decision == RetryDecision::GiveUp {
            return Err(refusal);
        }
        let failed_at = match last.reason {
            Reason::GatewayLost => FailurePoint::Hop,
            _ => FailurePoint::Target,
        };
        if host.try_retry(&service, failed_at) == RetryVerdict::Exhausted {
            return Err(refusal);
        }
        host.metrics.retry(last.reason.label());
        let backoff = Backoff::new(RETRY_PAUSE_MS.0, RETRY_PAUSE_MS.1);
        let delay_ms = backoff.delay_ms(retries, rand::random());
        tokio::time::sleep(Duration::from_millis(delay_ms.min(remaining_ms))).await;
        retries += 1;
    }
}

/// Serves a request that another host forwarded. A request from another region must not cross the
/// link again, so it waits here while this host regains its tenure or a slice is being moved.
async fn run_second_hop(host: &Arc<Host>, inbound: &Inbound) -> Result<Response<Body>, Refusal> {
    let own = inbound.view.region_name(&host.settings.data_centre);
    let remote = inbound.region.as_ref().is_some_and(|it| *it != own);
    let wait_ms = if remote { REMOTE_WAIT_MS } else { 0 };
    let until = inbound.deadline.min(host.clock.now() + wait_ms);
    loop {
        let refusal = match attempt(host, inbound, Link::Unused).await {
            Ok(response) => return Ok(response),
            Err(failure) => failure.refusal,
        };
        let is_gateway_here = owner_of(host, inbound).is_ok_and(|(_, it)| it == host.settings.host);
        let may_wait = refusal.ran == Ran::NotRun && waits_for_owner(refusal.reason);
        if !is_gateway_here || !may_wait || host.clock.now() >= until {
            return Err(refusal);
        }
        wait_for_table_change(host, OWNER_PAUSE_MS.0).await;
    }
}

struct AttemptFailure {
    refusal: Refusal,
    route: Route,
}

impl From<Reason> for AttemptFailure {
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
) -> Result<Response<Body>, AttemptFailure> {
    let service = inbound.service();
    if host.clock.until(inbound.deadline).is_zero() {
        return Err(Reason::DeadlineBeforeStart.into());
    }
    let (target, gateway) = owner_of(host, inbound)?;
    let local_failure = |refusal| AttemptFailure {
        refusal,
        route: Route::SameRegion,
    };
    if gateway == host.settings.host {
        let target = host.gateway_target(&target).ok_or(Reason::NoOwner)?;
        let answer = dispatch::run(host, &target, inbound).await;
        return answer.map_err(|it| local_failure(as_no_owner(it)));
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
        if host.request_crossing(&inbound.view, expected) == Crossing::Refused {
            return Err(Reason::LinkBudget.into());
        }
    }
    let answer = host.forwarder.send(host, address, inbound, route).await;
    answer.map_err(|refusal| {
        // Nothing was sent to a host that could not be reached, so another attempt does not use the
        // link twice.
        let unsent = refusal.reason == Reason::OwnerUnreachable;
        AttemptFailure {
            refusal,
            route: if unsent { Route::SameRegion } else { route },
        }
    })
}

/// Turns `not_gateway` into `no_owner` for a key whose gateway is this host according to the
/// table. During a take-over this host has no tenure yet: the table is up to date, but no host can
/// serve the key.
fn as_no_owner(refusal: Refusal) -> Refusal {
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
async fn wait_for_table_change(host: &Host, limit_ms: u64) {
    let limit = Duration::from_millis(limit_ms);
    // The owner is looked up again, whether the table has changed or the limit has passed.
    let _ = tokio::time::timeout(limit, host.changed.notified()).await;
}

/// Whether the request only has to wait until its key has a reachable owner. An attempt that ran
/// never has these reasons, except the second attempt of an idempotent request on a new connection.
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

/// Whether a gateway's refusal shows that this host's table may be outdated. The key's new owner
/// can be in this region.
fn may_have_moved(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::NoOwner | Reason::NotGateway | Reason::TargetDraining
    )
}

#[cfg(test)]
mod tests;
