//! Messages between a candidate and the voters of a target.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{Millis, TargetId};

/// A request for the vote of one voter.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct VoteRequest {
    /// The target.
    pub target: TargetId,
    /// Revision of the target row that names the voters.
    pub rev: u64,
    /// The requesting host.
    pub host: Arc<str>,
    /// Identifies the attempt; it changes when the host restarts or resigns, so that a delayed
    /// resignation cannot release a later vote.
    pub incarnation: u64,
}

/// A digest of the requests by which one host renews all votes that it holds at a voter.
///
/// The voter derives the requests from the votes that it has granted and decides on each as on a
/// full request ([`renew_votes`](crate::renew_votes)). If the two sets differ, nothing is renewed
/// and the holder sends the full requests.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct VoteRenewal {
    /// The requesting host.
    pub host: Arc<str>,
    /// Number of requests.
    pub count: u32,
    /// Sum of the hashes of target, revision and incarnation of each request, which does not
    /// depend on their order.
    pub digest: u64,
}

impl VoteRenewal {
    /// Creates the renewal for `requests`, which are all of `host` and each for another target.
    #[must_use]
    pub fn new<'a>(host: Arc<str>, requests: impl IntoIterator<Item = &'a VoteRequest>) -> Self {
        let mut out = Self {
            host,
            count: 0,
            digest: 0,
        };
        for request in requests {
            out.count += 1;
            out.digest = out.digest.wrapping_add(digest(request));
        }
        out
    }
}

/// Hashes target, revision and incarnation. The length of the service name separates it from the
/// target name.
fn digest(request: &VoteRequest) -> u64 {
    let TargetId { service, target } = &request.target;
    let mut bytes = Vec::with_capacity(64);
    for number in [service.len() as u64, request.rev, request.incarnation] {
        bytes.extend(number.to_le_bytes());
    }
    bytes.extend(service.as_bytes());
    bytes.extend(target.as_bytes());
    xxh3_64(&bytes)
}

/// The answer of a voter.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct VoteReply {
    /// The decision.
    pub verdict: Verdict,
    /// Age of the voter's newest store contact in milliseconds; the caller of
    /// [`Voter::vote`](crate::Voter::vote) fills it in.
    pub contact: Option<Millis>,
}

/// The decision of a voter.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The vote is granted for [`VOTE_MS`](crate::VOTE_MS).
    Granted,
    /// Another attempt holds the vote.
    Held {
        /// The host that holds it.
        by: Arc<str>,
    },
    /// The voter knows a newer target row.
    Stale {
        /// Revision of that row.
        rev: u64,
    },
    /// The voter started recently and may have granted its vote to another attempt before.
    #[serde(rename = "silent")]
    Abstained,
}
