//! Dispatch of a request from the gateway to its target.

mod attempt;

use std::{sync::Arc, time::Duration};

use admission::{RetryVerdict, Ticket};
use http::{Response, header};
use http_body_util::BodyExt;
use pool::Freshness;
use refusal::{Ran, Reason, Refusal};

pub use self::attempt::DRAINING;
use self::attempt::{Answer, HeldGuards, Stage, send};
use crate::{
    answer_buffer::AnswerBody,
    body::{Body, full},
    budgets::FailurePoint,
    channel::channel,
    claims::{ClaimGuard, TakeOutcome},
    coalesce::{self, Role},
    crash,
    exchange::Exchange,
    gateway_target::{Admission, GatewayTarget, Isolation, SlotGuard},
    host::Host,
    inbound::{Execution, Inbound},
    pump::Pump,
};

/// Runs the request on the target.
pub async fn run(
    host: &Arc<Host>,
    target: &Arc<GatewayTarget>,
    inbound: &Inbound,
) -> Result<Response<Body>, Refusal> {
    let now = host.clock.now();
    crash::check_quarantine(host, target, inbound)?;
    target.lock().permit(now, inbound.hash)?;
    let mut claim = match &inbound.execution {
        Execution::Idempotent => None,
        Execution::AtMostOnce(key) => match ClaimGuard::take(host, inbound, key).await? {
            TakeOutcome::Claimed(claim) => Some(*claim),
            TakeOutcome::Replay(response) => return Ok(response),
        },
    };
    let leader = match coalesce::join(host, target, inbound).await {
        Role::Answered(response) => {
            host.metrics.shared(&inbound.service().name);
            return Ok(response);
        }
        Role::Lead(leader) => Some(leader),
        Role::Alone => None,
    };
    match run_queued(host, target, inbound, &mut claim).await {
        Ok((slot, answer)) => {
            match (leader, &answer.body) {
                (Some(leader), AnswerBody::Buffered(bytes)) => leader.share(&answer.parts, bytes),
                (Some(leader), AnswerBody::Stream(_)) => leader.decline(),
                (None, _) => {}
            }
            Ok(relay(host, target, inbound, slot, answer, claim))
        }
        Err(refusal) => {
            if let Some(claim) = claim {
                claim.refused(refusal.ran).await;
            }
            Err(refusal)
        }
    }
}

/// Waits for a slot, then sends the request. A second attempt on a new connection follows if the
/// first one sent nothing, or if it made no progress, the request is idempotent and the retry
/// budget allows it.
async fn run_queued(
    host: &Arc<Host>,
    target: &Arc<GatewayTarget>,
    inbound: &Inbound,
    claim: &mut Option<ClaimGuard>,
) -> Result<(SlotGuard, Answer), Refusal> {
    let mut slot = acquire_slot(host, target, inbound).await?;
    // An equal request may have crashed another target while this one waited.
    crash::check_quarantine(host, target, inbound)?;
    let remaining = host.clock.until(inbound.deadline);
    if remaining.is_zero() {
        return Err(Reason::DeadlineBeforeStart.into());
    }
    let timeout = if inbound.execution == Execution::Idempotent {
        remaining / 2
    } else {
        remaining
    };
    let mut guards = HeldGuards {
        slot: &mut slot,
        claim,
    };
    let first = match send(host, target, inbound, &mut guards, Freshness::Any, timeout).await {
        Ok(answer) => return Ok((slot, answer)),
        Err(first) => first,
    };
    let retry = match first.stage {
        Stage::Unsent => true,
        Stage::Silent => inbound.execution == Execution::Idempotent && may_retry(host, inbound),
        Stage::Final => false,
    };
    if !retry {
        slot.end(first.end);
        return Err(first.refusal);
    }
    host.metrics.retry(match first.stage {
        Stage::Silent => "silent_connection",
        Stage::Unsent | Stage::Final => "stale_connection",
    });
    let remaining = host.clock.until(inbound.deadline);
    match send(
        host,
        target,
        inbound,
        &mut guards,
        Freshness::New,
        remaining,
    )
    .await
    {
        Ok(answer) => Ok((slot, answer)),
        Err(second) => {
            slot.end(second.end);
            let mut refusal = second.refusal;
            if first.refusal.ran == Ran::Unknown {
                // The first attempt may have run, whatever the outcome of the second.
                refusal.ran = Ran::Unknown;
            }
            Err(refusal)
        }
    }
}

/// Whether the retry budget of the service allows one more attempt.
fn may_retry(host: &Host, inbound: &Inbound) -> bool {
    host.try_retry(&inbound.service().name, FailurePoint::Target) == RetryVerdict::Allowed
}

/// Waits in the queue of the target until the request may start.
async fn acquire_slot(
    host: &Arc<Host>,
    target: &Arc<GatewayTarget>,
    inbound: &Inbound,
) -> Result<SlotGuard, Refusal> {
    let now = host.clock.now();
    let ticket = Ticket {
        id: 0,
        key: inbound.hash,
        caller: inbound.caller,
        priority: inbound.service().priority,
        route: 0,
        objective: inbound.deadline,
        deadline: inbound.deadline,
    };
    let suspect = host.with_quarantine(&target.id.service, |it| {
        it.is_suspect(now, inbound.fingerprint)
    });
    let isolation = if suspect {
        Isolation::Alone
    } else {
        Isolation::Shared
    };
    let (id, admission) = target.lock().offer(now, ticket, isolation);
    let (started, refused) = match admission {
        Admission::Refused(reason) => return Err(reason.into()),
        Admission::Started => return Ok(slot_guard(host, target, inbound, id)),
        Admission::Waiting { started, refused } => (started, refused),
    };
    let slot = slot_guard(host, target, inbound, id);
    tokio::select! {
        biased;
        Ok(()) = started => Ok(slot),
        Ok(reason) = refused => Err(reason.into()),
        () = tokio::time::sleep(host.clock.until(inbound.deadline)) => {
            Err(Reason::DeadlineBeforeStart.into())
        }
        else => Err(Reason::DeadlineBeforeStart.into()),
    }
}

fn slot_guard(
    host: &Arc<Host>,
    target: &Arc<GatewayTarget>,
    inbound: &Inbound,
    id: u64,
) -> SlotGuard {
    let slot = SlotGuard::new(Arc::clone(host), Arc::clone(target), id);
    if inbound.service().checks_grants {
        return slot;
    }
    slot.with_in_flight_until(inbound.deadline)
}

/// Passes the answer on to the caller; a long one is streamed by a [`Pump`].
fn relay(
    host: &Arc<Host>,
    target: &Arc<GatewayTarget>,
    inbound: &Inbound,
    slot: SlotGuard,
    answer: Answer,
    claim: Option<ClaimGuard>,
) -> Response<Body> {
    let parts = answer.parts;
    let exchange = Exchange {
        host: Arc::clone(host),
        target: Arc::clone(target),
        slot,
        claim,
        sender: answer.sender,
        status: parts.status,
        content_type: parts.headers.get(header::CONTENT_TYPE).cloned(),
        request_bytes: inbound.body.len() as u64,
        fingerprint: inbound.fingerprint,
    };
    let body = match answer.body {
        AnswerBody::Buffered(bytes) => {
            exchange.complete(&bytes, bytes.len() as u64);
            full(bytes)
        }
        AnswerBody::Stream(body) => {
            let (messages, reader) = channel();
            let frame_timeout = Duration::from_millis(inbound.service().deadline_ms);
            let pump = Pump {
                exchange,
                frame_timeout,
                messages,
            };
            tokio::spawn(pump.run(body));
            reader.boxed()
        }
    };
    Response::from_parts(parts, body)
}
