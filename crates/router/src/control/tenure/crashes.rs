//! Detects requests that crash targets.
//!
//! The crashes are kept in a row of the store as well, because a request may go on crashing targets
//! while the coordinator changes, or while all hosts are restarted.

use std::collections::{BTreeMap, HashMap};

use coordinator::{Incarnation, Millis, StoreClock};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{
    peers::Crash,
    ports::{OwnRow, OwnRows},
};

/// Number of target incarnations that must have crashed on a request before it is quarantined.
/// Fewer would quarantine requests that only happened to be in flight; the platform tolerates no
/// more.
const MIN_CRASHES: usize = 3;

/// Time within which these crashes must occur, in milliseconds.
const WINDOW_MS: Millis = 60_000;

/// How long the crashes of a quarantined request are kept after the last one, in milliseconds: as
/// long as hosts keep it in quarantine.
const QUARANTINE_MS: Millis = 120_000;

/// Maximum number of requests for which crashes are recorded.
const MAX_REQUESTS: usize = 4_096;

/// Maximum number of requests in the row, which must not exceed 64 KB.
const MAX_STORED: usize = 512;

/// A crashed incarnation with the time of the crash.
type CrashTime = (Incarnation, Millis);

/// Crashes by the fingerprint of the request that was in flight.
#[derive(Debug, Default)]
pub struct Crashes {
    seen: HashMap<u64, SmallVec<[CrashTime; MIN_CRASHES]>>,
    /// Number of changes.
    version: u64,
    /// Number of the last change that the store has.
    stored: u64,
}

/// The value of the row.
#[derive(Debug, Default, Deserialize, Serialize)]
struct CrashRow {
    crashes: Vec<StoredCrash>,
}

/// A crash of one incarnation.
#[derive(Debug, Deserialize, Serialize)]
struct StoredCrash {
    target: Incarnation,
    /// Time of the store's clock in milliseconds.
    at: Millis,
    /// Fingerprints of the requests that were in flight.
    requests: Vec<u64>,
}

impl Crashes {
    /// Name of the row.
    pub const ROW: &'static str = "crashes";

    /// Reads the crashes that earlier coordinators have recorded. A malformed row counts as empty.
    pub fn restore(rows: &OwnRows, clock: &StoreClock, now: Millis) -> Self {
        let row = rows.rows.iter().find(|it| it.name == Self::ROW);
        let mut crashes = Self::default();
        for it in row.map(decode).unwrap_or_default().crashes {
            let age = clock.earliest_time(now).saturating_sub(it.at);
            for fingerprint in it.requests {
                let seen = crashes.seen.entry(fingerprint).or_default();
                seen.push((it.target.clone(), now.saturating_sub(age)));
            }
        }
        for it in crashes.seen.values_mut() {
            it.sort_by_key(|it| it.1);
        }
        crashes.drop_outdated(now);
        crashes
    }

    /// Serialises the crashes of the requests with the most and the latest ones.
    pub fn encode(&self, clock: &StoreClock, now: Millis) -> Vec<u8> {
        let store_now = clock.earliest_time(now);
        let mut requests: Vec<_> = self.seen.iter().collect();
        requests.sort_by_key(|(_, it)| (it.len(), it.last().map(|it| it.1)));
        let mut by_target = BTreeMap::<(&str, u64, Millis), Vec<u64>>::new();
        for (fingerprint, crashed) in requests.into_iter().rev().take(MAX_STORED) {
            for (incarnation, at) in crashed {
                let key = (&*incarnation.target, incarnation.started_ms, *at);
                by_target.entry(key).or_default().push(*fingerprint);
            }
        }
        let mut row = CrashRow::default();
        for ((target, started_ms, at), requests) in by_target {
            row.crashes.push(StoredCrash {
                target: Incarnation {
                    target: target.into(),
                    started_ms,
                },
                at: store_now.saturating_sub(now.saturating_sub(at)),
                requests,
            });
        }
        serde_json::to_vec(&row).expect("the row has string keys only")
    }

    /// Records a crash; returns whether its request is to be quarantined.
    pub fn record(&mut self, crash: Crash, now: Millis) -> bool {
        self.drop_outdated(now);
        if self.seen.len() >= MAX_REQUESTS && !self.seen.contains_key(&crash.fingerprint) {
            log::warn!("the crash table is full ({MAX_REQUESTS} requests); a crash is not counted");
            return false;
        }
        let crashed = self.seen.entry(crash.fingerprint).or_default();
        crashed.retain(|(_, at)| now < *at + WINDOW_MS);
        if crashed
            .iter()
            .any(|(incarnation, _)| *incarnation == crash.incarnation)
        {
            return false;
        }
        crashed.push((crash.incarnation, now));
        self.version += 1;
        crashed.len() >= MIN_CRASHES
    }

    /// The requests whose crashes have led to a quarantine that has not ended.
    pub fn quarantined(&self, now: Millis) -> impl Iterator<Item = u64> {
        let held = self.seen.iter().filter(move |(_, it)| {
            let last = it.last().map_or(0, |it| it.1);
            it.len() >= MIN_CRASHES && now < last + QUARANTINE_MS
        });
        held.map(|(fingerprint, _)| *fingerprint)
    }

    /// Whether the store does not have the latest change.
    pub fn needs_commit(&self) -> bool {
        self.stored < self.version
    }

    /// The number of changes.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Records that the store has the change of number `version`.
    pub fn on_commit(&mut self, version: u64) {
        self.stored = self.stored.max(version);
    }

    /// Drops crashes that are no longer counted, unless they have led to a quarantine.
    fn drop_outdated(&mut self, now: Millis) {
        self.seen.retain(|_, crashed| {
            let last = crashed.last().map_or(0, |it| it.1);
            if crashed.len() < MIN_CRASHES || now >= last + QUARANTINE_MS {
                crashed.retain(|(_, at)| now < *at + WINDOW_MS);
            }
            !crashed.is_empty()
        });
    }
}

fn decode(row: &OwnRow) -> CrashRow {
    serde_json::from_slice(&row.value).unwrap_or_else(|err| {
        log::error!("the row of crashes is malformed and counts as empty: {err}");
        CrashRow::default()
    })
}

#[cfg(test)]
mod tests;
