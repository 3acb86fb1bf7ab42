//! Tracking of hot keys, and detection of keys that flap between hot and cool.

use std::collections::BTreeMap;

use crate::Input;

/// Load of a key, relative to the mean load of a target, from which it counts as hot and gets a
/// slice of its own: two thirds of the headroom between the mean and the required peak of 1.15.
pub(crate) const HOT_SHARE: f64 = 0.1;
/// Time after which a key that is no longer hot is not tracked any more. A key that becomes hot
/// again before that counts as flapping; while it flaps, its highest load is reserved at its owner.
const FORGET_AFTER_MS: u64 = 120_000;

/// A hot or recently hot key with a slice of its own.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct TrackedKey {
    /// Highest load since the key was first tracked, in requests per second.
    peak: f64,
    /// When the key stopped being hot; `None` while it is hot.
    cooled_ms: Option<u64>,
    /// Whether the key became hot again after it had cooled.
    flaps: bool,
}

/// Returns the tracked keys by hash, updated with the loads of this round.
pub(crate) fn update(input: &Input) -> BTreeMap<u64, TrackedKey> {
    let load: f64 = input.slices.iter().map(|it| finite_or_zero(it.load)).sum();
    let usable = input.targets.iter().filter(|it| it.state.is_usable());
    let hot_load = HOT_SHARE * load / crate::fleet::as_f64(usable.count().max(1));

    let mut tracked = BTreeMap::new();
    for slice in &input.slices {
        if slice.low != slice.high {
            continue;
        }
        let load = finite_or_zero(slice.load);
        let before = input.state.tracked.get(&slice.low).copied();
        if load > 0.0 && load >= hot_load {
            let it = before.unwrap_or(TrackedKey {
                peak: load,
                cooled_ms: None,
                flaps: false,
            });
            let after = TrackedKey {
                peak: it.peak.max(load),
                cooled_ms: None,
                flaps: it.flaps || it.cooled_ms.is_some(),
            };
            tracked.insert(slice.low, after);
            continue;
        }
        let Some(it) = before else {
            continue;
        };
        let cooled_ms = it.cooled_ms.unwrap_or(input.now_ms);
        if input.now_ms.saturating_sub(cooled_ms) < FORGET_AFTER_MS {
            let cooled_ms = Some(cooled_ms);
            tracked.insert(slice.low, TrackedKey { cooled_ms, ..it });
        }
    }
    tracked
}

/// The load that is planned for the slice with lowest hash `low`: the measured load, or the highest
/// load of a flapping key.
pub(crate) fn effective_load(tracked: &BTreeMap<u64, TrackedKey>, low: u64, measured: f64) -> f64 {
    match tracked.get(&low) {
        Some(it) if it.flaps => it.peak.max(finite_or_zero(measured)),
        _ => finite_or_zero(measured),
    }
}

/// Returns 0 for a load that is NaN, infinite or negative.
fn finite_or_zero(load: f64) -> f64 {
    if load.is_finite() { load.max(0.0) } else { 0.0 }
}
