//! Planned moves, splits and merges of slices, as requested by the planner.

use std::sync::Arc;

use ownership::{GatewayState, TargetId};
use peer::{MoveResult, SliceMove};
use platform::Commit;

use crate::{changes, clock::Millis, driver, host::Host};

/// Planned moves start only if the last contact with the store is at most this old: two read
/// intervals.
const MAX_CONTACT_AGE_MS: Millis = 1_000;

/// Starts planned moves.
pub fn begin(host: &Host, target: &TargetId, moves: &[SliceMove]) -> MoveResult {
    // If the store is not reachable, a released slice cannot be committed and has no owner until
    // the store is back.
    if host.contact_age().is_none_or(|it| it > MAX_CONTACT_AGE_MS) {
        return MoveResult::StoreUnreachable;
    }
    let Some(gateway_target) = host.gateway_target(target) else {
        return MoveResult::NotGateway;
    };
    let mut inner = gateway_target.lock();
    let status = inner.gateway.status(host.clock.now());
    if !status.tenure {
        return MoveResult::NotGateway;
    }
    // A data centre that is cut off may go on serving the target for `hold_s`. A slice released
    // during that time would move needlessly once the target is reachable again.
    if status.state == GatewayState::Unreachable {
        return MoveResult::TargetUnreachable;
    }
    let mut lows = Vec::with_capacity(moves.len());
    for it in moves {
        inner.planned_moves.insert(it.low, Arc::clone(&it.to));
        lows.push(it.low);
    }
    inner.gateway.request_move(host.clock.now(), &lows);
    drop(inner);
    host.read_soon.notify_one();
    host.wake.notify_one();
    MoveResult::Started
}

/// Splits a slice of the target into pieces that start at `low` and at each of `at`.
pub async fn split(host: &Arc<Host>, target: &TargetId, low: u64, at: &[u64]) -> MoveResult {
    if !has_tenure(host, target) {
        return MoveResult::NotGateway;
    }
    let commit = changes::split(host, target, low, at);
    write_change(host, target, commit).await
}

/// Merges the slice at `low` with the one at `next`, which follows it and has the same owner.
pub async fn merge(host: &Arc<Host>, target: &TargetId, low: u64, next: u64) -> MoveResult {
    if !has_tenure(host, target) {
        return MoveResult::NotGateway;
    }
    let commit = changes::merge(host, target, low, next);
    write_change(host, target, commit).await
}

async fn write_change(host: &Arc<Host>, target: &TargetId, commit: Option<Commit>) -> MoveResult {
    let Some(commit) = commit else {
        return MoveResult::NotGateway;
    };
    let result = driver::write(host, &commit).await;
    log::info!(target = &*target.target; "commit of a split or merge of slices: {result:?}");
    MoveResult::Started
}

fn has_tenure(host: &Host, target: &TargetId) -> bool {
    let now = host.clock.now();
    host.gateway_target(target)
        .is_some_and(|it| it.lock().gateway.status(now).tenure)
}

#[cfg(test)]
mod tests;
