//! Requests of the planner to gateways.

use std::{collections::HashMap, sync::Arc};

use ownership::TargetId;
use peer::{MoveResult, SliceMove};
use placement::Plan;

use crate::{host::Host, moves, peers::call_context};

/// Requests the changes of the plan from the gateways of the slices' owners.
pub(super) async fn execute(host: &Arc<Host>, service: &str, plan: &Plan) {
    let mut moves: HashMap<TargetId, Vec<SliceMove>> = HashMap::new();
    for it in &plan.moves {
        let Some(owner) = owner_of(host, service, it.low) else {
            continue;
        };
        moves.entry(owner).or_default().push(SliceMove {
            low: it.low,
            to: Arc::clone(&it.to),
        });
    }
    for (owner, moves) in moves {
        send(host, &owner, SliceChange::Move(moves)).await;
    }
    for it in &plan.splits {
        let Some(owner) = owner_of(host, service, it.low) else {
            continue;
        };
        let (low, at) = (it.low, it.at.to_vec());
        send(host, &owner, SliceChange::Split { low, at }).await;
    }
    for it in &plan.merges {
        let Some(owner) = owner_of(host, service, it.low) else {
            continue;
        };
        let (low, next) = (it.low, it.next);
        send(host, &owner, SliceChange::Merge { low, next }).await;
    }
}

/// The target that owns the slice with this lowest hash.
fn owner_of(host: &Host, service: &str, low: u64) -> Option<TargetId> {
    let table = host.table();
    let owner = table.lookup(service, low)?;
    Some(TargetId::new(service, &owner.slice.target))
}

/// A change of slices that a gateway performs.
enum SliceChange {
    Move(Vec<SliceMove>),
    Split { low: u64, at: Vec<u64> },
    Merge { low: u64, next: u64 },
}

async fn send(host: &Arc<Host>, id: &TargetId, change: SliceChange) {
    let Some(gateway) = host.table().route(id).map(|(host, _)| Arc::clone(host)) else {
        return;
    };
    let move_result = if gateway == host.settings.host {
        match change {
            SliceChange::Move(moves) => moves::begin(host, id, &moves),
            SliceChange::Split { low, at } => moves::split(host, id, low, &at).await,
            SliceChange::Merge { low, next } => moves::merge(host, id, low, next).await,
        }
    } else {
        let Some(address) = host.member(&gateway).and_then(|it| it.peer) else {
            return;
        };
        let Some(client) = host.peers.client(address).await else {
            return;
        };
        let id = id.clone();
        let result = match change {
            SliceChange::Move(moves) => client.move_slices(call_context(), id, moves).await,
            SliceChange::Split { low, at } => client.split_slice(call_context(), id, low, at).await,
            SliceChange::Merge { low, next } => {
                client.merge_slice(call_context(), id, low, next).await
            }
        };
        match host
            .peers
            .record_result(address, &gateway, host.clock.now(), result)
        {
            Some(move_result) => move_result,
            None => return,
        }
    };
    if move_result == MoveResult::NotGateway {
        log::debug!(target = &*id.target; "the gateway has changed; the next round plans again");
    }
}
