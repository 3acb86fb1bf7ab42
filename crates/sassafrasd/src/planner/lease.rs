//! The advisory lease of the planner.

use std::sync::Arc;

use platform::{Commit, CommitResult, Condition, Write};
use serde_json::json;

use crate::{clock::Millis, host::Host};

/// Time without a renewal after which another host takes over the lease.
const LEASE_MS: Millis = 6_000;

/// Name of the lease's row.
const LEASE_ROW: &str = "planner";

/// The lease as this host knows it.
#[derive(Default)]
pub(super) struct Lease {
    last: Option<Observed>,
}

/// The revision of the lease's row, and when this host first read it.
struct Observed {
    rev: u64,
    at: Millis,
}

impl Lease {
    /// Renews or takes over the lease. Returns whether this host holds it.
    pub(super) async fn renew(&mut self, host: &Arc<Host>) -> bool {
        let now = host.clock.now();
        let Ok(row) = host.platform.row(LEASE_ROW).await else {
            return false;
        };
        let rev = row.as_ref().map_or(0, |it| it.rev);
        let holder = row.and_then(|it| it.value["host"].as_str().map(str::to_owned));
        let own = holder.as_deref() == Some(&*host.settings.host);
        let changed_at = match &self.last {
            Some(last) if last.rev == rev => last.at,
            _ => now,
        };
        self.last = Some(Observed {
            rev,
            at: changed_at,
        });
        if !own && rev != 0 && now.saturating_sub(changed_at) < LEASE_MS {
            return false;
        }
        let commit = Commit {
            change: format!("planner-{}", host.settings.host),
            conditions: vec![Condition {
                row: LEASE_ROW.to_owned(),
                rev,
            }],
            writes: vec![Write {
                row: LEASE_ROW.to_owned(),
                value: json!({"host": host.settings.host, "incarnation": host.incarnation}),
            }],
        };
        match host.platform.commit(&commit).await {
            CommitResult::Applied { rev } => {
                self.last = Some(Observed { rev, at: now });
                true
            }
            CommitResult::NotApplied { .. } | CommitResult::Unknown => false,
        }
    }
}
