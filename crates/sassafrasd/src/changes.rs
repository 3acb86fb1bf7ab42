//! Transactions that change target rows and slices.

use ownership::{Intent, MoveReason, Slice, TargetId, next_generation_step};
use platform::{Commit, Condition, Write};
use serde::Serialize;

use crate::{gateway_target::GatewayTarget, host::Host, inputs};

/// The transaction for a gateway's intent; `None` if the table has changed since.
pub fn prepare(host: &Host, gateway_target: &GatewayTarget, intent: &Intent) -> Option<Commit> {
    let mut draft = Draft::new(host, &gateway_target.id)?;
    match intent {
        Intent::Record { row } => draft.write(&target_name(&gateway_target.id), row),
        Intent::Regrant { slices } => {
            for it in slices {
                let slice = Slice {
                    generation: it.generation,
                    ..it.slice.clone()
                };
                draft.replace(host, &gateway_target.id, &it.slice, &slice)?;
            }
        }
        Intent::Reassign { slices, reason } => {
            let planned = gateway_target.lock().planned_moves.clone();
            let spread = inputs::spread(host, &gateway_target.id);
            for old in slices {
                let to = match reason {
                    MoveReason::Planned => planned.get(&old.low).cloned(),
                    MoveReason::Lost | MoveReason::Draining => None,
                };
                let to = to.or_else(|| spread.get(&old.low).cloned())?;
                let generation = next_generation_step(old.generation);
                let slice = Slice {
                    target: to,
                    generation,
                    ..old.clone()
                };
                draft.replace(host, &gateway_target.id, old, &slice)?;
            }
        }
    }
    Some(draft.commit)
}

/// The transaction that splits the slice at `low` into pieces that start at `low` and at each of
/// `at`; `None` if the target owns no such slice or a start lies outside it.
pub fn split(host: &Host, target: &TargetId, low: u64, at: &[u64]) -> Option<Commit> {
    let mut draft = Draft::new(host, target)?;
    let old = slice_at(host, target, low)?;
    let mut starts = vec![low];
    for start in at {
        if *start <= low || *start > old.high {
            return None;
        }
        starts.push(*start);
    }
    starts.sort_unstable();
    starts.dedup();
    let generation = next_generation_step(old.generation);
    for (idx, start) in starts.iter().enumerate() {
        let high = starts.get(idx + 1).map_or(old.high, |it| it - 1);
        let piece = Slice {
            low: *start,
            high,
            generation,
            ..old.clone()
        };
        if *start == low {
            draft.replace(host, target, &old, &piece)?;
        } else {
            draft.create(target, &piece);
        }
    }
    Some(draft.commit)
}

/// The transaction that merges the slice at `low` with the one at `next`; `None` unless the target
/// owns both and the second directly follows the first.
pub fn merge(host: &Host, target: &TargetId, low: u64, next: u64) -> Option<Commit> {
    let mut draft = Draft::new(host, target)?;
    let first = slice_at(host, target, low)?;
    let second = slice_at(host, target, next)?;
    if first.high.checked_add(1) != Some(next) || second.target != first.target {
        return None;
    }
    let generation = next_generation_step(first.generation.max(second.generation));
    let merged = Slice {
        high: second.high,
        generation,
        ..first.clone()
    };
    draft.replace(host, target, &first, &merged)?;
    draft.delete(host, target, &second)?;
    Some(draft.commit)
}

/// The name of a target's row.
pub fn target_name(id: &TargetId) -> String {
    format!("target/{}/{}", id.service, id.target)
}

/// The name of a slice's row.
pub fn slice_name(service: &str, low: u64) -> String {
    format!("slice/{service}/{low:016x}")
}

/// The value of a slice's row.
pub fn slice_value(slice: &Slice) -> serde_json::Value {
    serde_json::json!({
        "high": slice.high,
        "target": slice.target,
        "generation": slice.generation,
    })
}

fn slice_at(host: &Host, target: &TargetId, low: u64) -> Option<Slice> {
    let table = host.table();
    let owner = table.lookup(&target.service, low)?;
    let matches = owner.slice.low == low && owner.slice.target == target.target;
    matches.then(|| owner.slice.clone())
}

/// A transaction under construction. The condition on the target's row makes it fail if another
/// host has recorded itself as the gateway.
struct Draft {
    commit: Commit,
}

impl Draft {
    fn new(host: &Host, target: &TargetId) -> Option<Self> {
        let rev = host.table().target(target).map(|(rev, _)| rev)?;
        let change = format!("{}-{:016x}", host.settings.host, rand::random::<u64>());
        let conditions = vec![Condition {
            row: target_name(target),
            rev,
        }];
        Some(Self {
            commit: Commit {
                change,
                conditions,
                writes: Vec::new(),
            },
        })
    }

    fn write<T: Serialize>(&mut self, name: &str, value: &T) {
        let value =
            serde_json::to_value(value).expect("rows have string keys and are serialisable");
        self.commit.writes.push(Write {
            row: name.to_owned(),
            value,
        });
    }

    fn replace(&mut self, host: &Host, target: &TargetId, old: &Slice, new: &Slice) -> Option<()> {
        self.require_unchanged(host, target, old)?;
        self.write(&slice_name(&target.service, new.low), &slice_value(new));
        Some(())
    }

    fn delete(&mut self, host: &Host, target: &TargetId, old: &Slice) -> Option<()> {
        self.require_unchanged(host, target, old)?;
        self.write(
            &slice_name(&target.service, old.low),
            &serde_json::Value::Null,
        );
        Some(())
    }

    fn create(&mut self, target: &TargetId, new: &Slice) {
        let name = slice_name(&target.service, new.low);
        self.commit.conditions.push(Condition {
            row: name.clone(),
            rev: 0,
        });
        self.write(&name, &slice_value(new));
    }

    fn require_unchanged(&mut self, host: &Host, target: &TargetId, old: &Slice) -> Option<()> {
        let table = host.table();
        let owner = table.lookup(&target.service, old.low)?;
        if owner.slice != old {
            return None;
        }
        let row = slice_name(&target.service, old.low);
        self.commit.conditions.push(Condition {
            row,
            rev: owner.rev,
        });
        Some(())
    }
}
