//! Quarantine of requests that crash targets.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use xxhash_rust::xxh3::Xxh3;

use crate::Millis;

/// Maximum number of entries in each table. An entry takes about 32 bytes, so the tables stay below
/// 1 MB.
const MAX_ENTRIES: usize = 8_192;

/// A quarantined fingerprint as it is sent to peers. It has an age instead of a time, because hosts
/// do not share a clock.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuarantineRecord {
    /// The request's [`fingerprint`].
    pub fingerprint: u64,
    /// Milliseconds since it was quarantined.
    pub age_ms: u64,
}

/// Whether a request may be started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineVerdict {
    /// The request is not quarantined and may be started.
    Pass,
    /// The request is quarantined and must be refused.
    Refuse,
}

/// The fingerprint of a request. Equal requests have the same one, since they are assumed to crash
/// targets in the same way.
#[must_use]
pub fn fingerprint(service: &str, key: &str, method: &str, path: &str, body: &[u8]) -> u64 {
    let mut hash = Xxh3::new();
    for part in [
        service.as_bytes(),
        key.as_bytes(),
        method.as_bytes(),
        path.as_bytes(),
        body,
    ] {
        // Without the lengths, ("ab", "c") and ("a", "bc") would have the same hash.
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.digest()
}

/// The quarantine of one service at one host.
///
/// A request that was in flight at a crash is a suspect, and is quarantined at its next crash. This
/// also holds for the only request in flight: a target that is lost for another reason looks the
/// same, and an ordinary retry must not be refused. A suspect runs alone
/// ([`Queue::offer_suspect`](crate::Queue::offer_suspect)), so that its next crash shows that it is
/// the cause and affects no other request. A request that ends without a crash is no longer a
/// suspect.
#[derive(Clone, Debug)]
pub struct Quarantine {
    hold_ms: u64,
    /// Expiry of each quarantined fingerprint.
    entries: HashMap<u64, Millis>,
    /// Expiry of the suspicion of each fingerprint.
    suspects: HashMap<u64, Millis>,
    /// When each pardon came into force.
    pardons: HashMap<u64, Millis>,
}

impl Quarantine {
    /// Creates an empty quarantine. Entries and suspicions expire after `hold_ms`.
    #[must_use]
    pub fn new(hold_ms: u64) -> Self {
        Self {
            hold_ms,
            entries: HashMap::new(),
            suspects: HashMap::new(),
            pardons: HashMap::new(),
        }
    }

    /// Whether a request with this fingerprint may be started.
    #[must_use]
    pub fn check(&self, now: Millis, fp: u64) -> QuarantineVerdict {
        match self.entries.get(&fp) {
            Some(&until) if now < until => QuarantineVerdict::Refuse,
            _ => QuarantineVerdict::Pass,
        }
    }

    /// Whether a request with this fingerprint was in flight at a crash and must run alone.
    #[must_use]
    pub fn is_suspect(&self, now: Millis, fp: u64) -> bool {
        self.suspects.get(&fp).is_some_and(|&until| now < until)
    }

    /// Records a crash of a target with these fingerprints in flight, and returns the new entries,
    /// which must be sent to peers. Several requests with the same fingerprint count once.
    pub fn on_crash(&mut self, now: Millis, in_flight: &[u64]) -> SmallVec<[QuarantineRecord; 4]> {
        let mut distinct: SmallVec<[u64; 8]> = SmallVec::from_slice(in_flight);
        distinct.sort_unstable();
        distinct.dedup();
        let until = now + self.hold_ms;
        let mut new = SmallVec::new();
        for fp in distinct {
            if !self.is_suspect(now, fp) {
                insert(&mut self.suspects, now, fp, until);
                continue;
            }
            self.suspects.remove(&fp);
            insert(&mut self.entries, now, fp, until);
            new.push(QuarantineRecord {
                fingerprint: fp,
                age_ms: 0,
            });
        }
        new
    }

    /// Changes the time after which new entries and suspicions expire.
    pub fn set_hold(&mut self, hold_ms: u64) {
        self.hold_ms = hold_ms;
    }

    /// Adds a suspect that a peer has reported, so that the second crash counts on whichever host
    /// it is observed.
    pub fn add_suspect(&mut self, now: Millis, fp: u64) {
        insert(&mut self.suspects, now, fp, now + self.hold_ms);
    }

    /// Clears the suspicion of a request that ended without a crash.
    pub fn on_answer(&mut self, fp: u64) {
        self.suspects.remove(&fp);
    }

    /// Adds the entries of a peer. An entry that is older than the pardon of its fingerprint is
    /// ignored.
    pub fn merge(&mut self, now: Millis, entries: &[QuarantineRecord]) {
        for entry in entries {
            let remaining_ms = self.hold_ms.saturating_sub(entry.age_ms);
            if remaining_ms == 0 {
                continue;
            }
            let pardon = self.pardons.get(&entry.fingerprint);
            if pardon.is_some_and(|&at| now.saturating_sub(at) <= entry.age_ms) {
                continue;
            }
            let until = now + remaining_ms;
            match self.entries.get_mut(&entry.fingerprint) {
                Some(known) => *known = until.max(*known),
                None => insert(&mut self.entries, now, entry.fingerprint, until),
            }
        }
    }

    /// Applies the document's list of pardons. A fingerprint that is new to the list is removed
    /// from the quarantine and the suspects. If it crashes targets later, it is quarantined again.
    pub fn pardon(&mut self, now: Millis, pardons: &[u64]) {
        self.pardons.retain(|fp, _| pardons.contains(fp));
        for &fp in pardons {
            if self.pardons.contains_key(&fp) {
                continue;
            }
            self.pardons.insert(fp, now);
            self.entries.remove(&fp);
            self.suspects.remove(&fp);
        }
    }

    /// The entries that have not expired, sorted by fingerprint.
    #[must_use]
    pub fn entries(&self, now: Millis) -> Vec<QuarantineRecord> {
        let mut entries = Vec::new();
        for (&fingerprint, &until) in &self.entries {
            if until <= now {
                continue;
            }
            let age_ms = self.hold_ms.saturating_sub(until - now);
            entries.push(QuarantineRecord {
                fingerprint,
                age_ms,
            });
        }
        entries.sort_unstable_by_key(|it| it.fingerprint);
        entries
    }
}

/// Inserts into a bounded table. A full table first drops the expired entries. If these are no more
/// than an eighth of it, it also drops the eighth that would expire next, so that the cost of a
/// scan is spread over many insertions.
fn insert(table: &mut HashMap<u64, Millis>, now: Millis, fp: u64, until: Millis) {
    if table.len() >= MAX_ENTRIES && !table.contains_key(&fp) {
        table.retain(|_, it| *it > now);
        let mut by_expiry: Vec<(Millis, u64)> = table.iter().map(|(&fp, &it)| (it, fp)).collect();
        if by_expiry.len() >= MAX_ENTRIES * 7 / 8 {
            let (expiring_next, _, _) = by_expiry.select_nth_unstable(MAX_ENTRIES / 8);
            for (_, fp) in expiring_next {
                table.remove(fp);
            }
        }
    }
    table.insert(fp, until);
}

#[cfg(test)]
mod tests;
