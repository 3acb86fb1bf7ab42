//! Answers from the operators' ports of hosts, and their summary.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The answer to `GET /status`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct HostStatus {
    /// The host's name.
    pub(crate) host: String,
    /// Its data centre.
    pub(crate) data_centre: String,
    /// Version of the document in force; 0 if there is none.
    pub(crate) version: u64,
    /// The newest revision in the host's table.
    pub(crate) rev: u64,
    /// Whether it accepts requests.
    pub(crate) ready: bool,
    /// Whether its table is confirmed by the store or a ready peer.
    pub(crate) confirmed: bool,
    /// The targets for which it is the gateway.
    #[serde(default)]
    pub(crate) targets: Vec<GatewayStatus>,
    /// The quarantined requests that it refuses.
    #[serde(default)]
    pub(crate) quarantine: Vec<Quarantined>,
    /// Number of refusals since its start, by reason.
    #[serde(default)]
    pub(crate) refusals: BTreeMap<String, u64>,
    /// Number of retries since its start, by reason.
    #[serde(default)]
    pub(crate) retries: BTreeMap<String, u64>,
}

/// The state of a target, as reported by its gateway.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub(crate) struct GatewayStatus {
    /// The service.
    pub(crate) service: String,
    /// The target.
    pub(crate) target: String,
    /// The gateway host.
    pub(crate) gateway: String,
    /// The gateway's epoch; `None` before it has claimed the target.
    pub(crate) epoch: Option<u64>,
    /// State of the gateway's state machine.
    pub(crate) state: String,
    /// Number of slices that the target holds.
    pub(crate) held: u64,
    /// Whether the target is draining.
    pub(crate) draining: bool,
}

/// A quarantined request.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub(crate) struct Quarantined {
    /// The service.
    pub(crate) service: String,
    /// The fingerprint in 16 hex digits, as in the document's `pardons`.
    pub(crate) fingerprint: String,
    /// Seconds since the request was quarantined.
    pub(crate) age_s: u64,
}

/// The answer to `GET /owner`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Owner {
    /// The service.
    pub(crate) service: String,
    /// The key.
    pub(crate) key: String,
    /// Hash of the key in 16 hex digits.
    pub(crate) hash: String,
    /// The target that owns the key.
    pub(crate) target: Option<String>,
    /// Generation of the key's slice.
    pub(crate) generation: Option<u64>,
    /// The gateway of the target.
    pub(crate) gateway: Option<String>,
}

/// Combined state of all hosts.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Summary {
    /// The hosts that answered, then those that did not, both by name or in the order in which they
    /// were given on the command line.
    pub(crate) hosts: Vec<HostRow>,
    /// The targets with their gateways, by service and target.
    pub(crate) gateways: Vec<GatewayStatus>,
    /// The quarantined requests, by service and fingerprint, each with its maximum age.
    pub(crate) quarantine: Vec<Quarantined>,
    /// Number of refusals of all hosts, by reason.
    pub(crate) refusals: BTreeMap<String, u64>,
    /// Number of retries of all hosts, by reason.
    pub(crate) retries: BTreeMap<String, u64>,
}

/// One host in a summary.
#[derive(Clone, Debug, Serialize)]
#[serde(untagged)]
pub(crate) enum HostRow {
    /// The host answered.
    Answered {
        host: String,
        data_centre: String,
        version: u64,
        rev: u64,
        ready: bool,
        confirmed: bool,
    },
    /// The host did not answer.
    NoAnswer { host: String, reason: String },
}

impl Summary {
    /// Adds the answer of a host.
    pub(crate) fn add(&mut self, status: HostStatus) {
        for (reason, count) in status.refusals {
            *self.refusals.entry(reason).or_default() += count;
        }
        for (reason, count) in status.retries {
            *self.retries.entry(reason).or_default() += count;
        }
        for it in status.quarantine {
            self.add_quarantined(it);
        }
        self.gateways.extend(status.targets);
        self.gateways.sort();
        self.hosts.push(HostRow::Answered {
            host: status.host,
            data_centre: status.data_centre,
            version: status.version,
            rev: status.rev,
            ready: status.ready,
            confirmed: status.confirmed,
        });
    }

    fn add_quarantined(&mut self, found: Quarantined) {
        let key = |it: &Quarantined| (it.service.clone(), it.fingerprint.clone());
        match self.quarantine.binary_search_by_key(&key(&found), key) {
            Ok(idx) => {
                let it = &mut self.quarantine[idx];
                it.age_s = it.age_s.max(found.age_s);
            }
            Err(idx) => self.quarantine.insert(idx, found),
        }
    }
}
