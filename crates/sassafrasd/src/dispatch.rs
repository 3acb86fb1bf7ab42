//! Dispatch of a request from the gateway to its target.

mod attempt;

use std::{sync::Arc, time::Duration};

use admission::{RetryVerdict, Ticket};
use http::{Response, header};
use http_body_util::BodyExt;
use pool::Freshness;
use refusal::{Ran, Reason, Refusal};

pub use self::attempt::DRAINING;
use self::attempt::{Answer, Place, Stage, send};
use crate::{
    body::{Body, full},
    budgets::Lost,
    channel::channel,
    claims::{ClaimGuard, Taken},
    coalesce::{self, Part},
    crash,
    exchange::Exchange,
    gate::{Entered, Gate, Standing, Turn},
    host::Host,
    inbound::{Inbound, Runs},
    prefetch::Fetched,
    pump::Pump,
};

/// Runs the request on the gate's target.
pub async fn run(
    host: &Arc<Host>,
    gate: &Arc<Gate>,
    inbound: &Inbound,
) -> Result<Response<Body>, Refusal> {
    let now = host.clock.now();
    crash::check_quarantine(host, gate, inbound)?;
    gate.lock().permit(now, inbound.hash)?;
    let mut claim = match &inbound.runs {
        Runs::Any => None,
        Runs::Once(key) => match ClaimGuard::take(host, inbound, key).await? {
            Taken::Claimed(claim) => Some(*claim),
            Taken::Replay(response) => return Ok(response),
        },
    };
    let leader = match coalesce::join(host, gate, inbound).await {
        Part::Answered(response) => {
            host.metrics.shared(&inbound.service().name);
            return Ok(response);
        }
        Part::Lead(leader) => Some(leader),
        Part::Alone => None,
    };
    match queued(host, gate, inbound, &mut claim).await {
        Ok((turn, answer)) => {
            match (leader, &answer.body) {
                (Some(leader), Fetched::Whole(bytes)) => leader.share(&answer.parts, bytes),
                (Some(leader), Fetched::Stream(_)) => leader.decline(),
                (None, _) => {}
            }
            Ok(relay(host, gate, inbound, turn, answer, claim))
        }
        Err(refusal) => {
            if let Some(claim) = claim {
                claim.refused(refusal.ran).await;
            }
            Err(refusal)
        }
    }
}

/// Waits for a slot, then sends the request; an idempotent one is sent a second time on a new
/// connection if the first made no progress.
async fn queued(
    host: &Arc<Host>,
    gate: &Arc<Gate>,
    inbound: &Inbound,
    claim: &mut Option<ClaimGuard>,
) -> Result<(Turn, Answer), Refusal> {
    let mut turn = enter(host, gate, inbound).await?;
    // The request may have crashed another target while this copy of it waited.
    crash::check_quarantine(host, gate, inbound)?;
    let remaining = host.clock.until(inbound.deadline);
    if remaining.is_zero() {
        return Err(Reason::DeadlineBeforeStart.into());
    }
    let share = if inbound.runs == Runs::Any {
        remaining / 2
    } else {
        remaining
    };
    let mut place = Place {
        turn: &mut turn,
        claim,
    };
    let failure = match send(host, gate, inbound, &mut place, Freshness::Any, share).await {
        Ok(answer) => return Ok((turn, answer)),
        Err(failure) => failure,
    };
    let again = match failure.stage {
        Stage::Unsent => true,
        Stage::Silent => inbound.runs == Runs::Any && may_retry(host, inbound),
        Stage::Final => false,
    };
    if !again {
        turn.end(failure.end);
        return Err(failure.refusal);
    }
    host.metrics.retry(match failure.stage {
        Stage::Silent => "silent_connection",
        Stage::Unsent | Stage::Final => "stale_connection",
    });
    let remaining = host.clock.until(inbound.deadline);
    match send(host, gate, inbound, &mut place, Freshness::New, remaining).await {
        Ok(answer) => Ok((turn, answer)),
        Err(second) => {
            turn.end(second.end);
            let mut refusal = second.refusal;
            if failure.refusal.ran == Ran::Unknown {
                // The first attempt may have run, whatever became of the second.
                refusal.ran = Ran::Unknown;
            }
            Err(refusal)
        }
    }
}

/// Whether the retry budget of the service allows one more attempt.
fn may_retry(host: &Host, inbound: &Inbound) -> bool {
    host.may_retry(&inbound.service().name, Lost::Target) == RetryVerdict::Allowed
}

async fn enter(host: &Arc<Host>, gate: &Arc<Gate>, inbound: &Inbound) -> Result<Turn, Refusal> {
    let now = host.clock.now();
    let ticket = Ticket {
        id: 0,
        key: inbound.hash,
        caller: inbound.caller,
        priority: inbound.service().priority,
        deadline: inbound.deadline,
    };
    let suspect = host.with_quarantine(&gate.id.service, |it| {
        it.is_suspect(now, inbound.fingerprint)
    });
    let standing = if suspect {
        Standing::Suspect
    } else {
        Standing::Good
    };
    let (id, entered) = gate.lock().offer(now, ticket, standing);
    let (started, refused) = match entered {
        Entered::Refused(reason) => return Err(reason.into()),
        Entered::Started => return Ok(turn_of(host, gate, inbound, id)),
        Entered::Waiting { started, refused } => (started, refused),
    };
    let turn = turn_of(host, gate, inbound, id);
    tokio::select! {
        biased;
        Ok(()) = started => Ok(turn),
        Ok(reason) = refused => Err(reason.into()),
        () = tokio::time::sleep(host.clock.until(inbound.deadline)) => {
            Err(Reason::DeadlineBeforeStart.into())
        }
        else => Err(Reason::DeadlineBeforeStart.into()),
    }
}

fn turn_of(host: &Arc<Host>, gate: &Arc<Gate>, inbound: &Inbound, id: u64) -> Turn {
    let turn = Turn::new(Arc::clone(host), Arc::clone(gate), id);
    if inbound.service().checks_grants {
        return turn;
    }
    turn.with_linger(inbound.deadline)
}

/// Passes the answer on to the caller.
fn relay(
    host: &Arc<Host>,
    gate: &Arc<Gate>,
    inbound: &Inbound,
    turn: Turn,
    answer: Answer,
    claim: Option<ClaimGuard>,
) -> Response<Body> {
    let parts = answer.parts;
    let exchange = Exchange {
        host: Arc::clone(host),
        gate: Arc::clone(gate),
        turn,
        claim,
        sender: answer.sender,
        status: parts.status,
        kind: parts.headers.get(header::CONTENT_TYPE).cloned(),
        sent: inbound.body.len() as u64,
        fingerprint: inbound.fingerprint,
    };
    let body = match answer.body {
        Fetched::Whole(bytes) => {
            exchange.complete(&bytes, bytes.len() as u64);
            full(bytes)
        }
        Fetched::Stream(body) => {
            let (pieces, reader) = channel();
            let progress = Duration::from_millis(inbound.service().deadline_ms);
            let pump = Pump {
                exchange,
                progress,
                pieces,
            };
            tokio::spawn(pump.run(body));
            reader.boxed()
        }
    };
    Response::from_parts(parts, body)
}
