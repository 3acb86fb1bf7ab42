use std::sync::Arc;

use super::*;
use crate::fake::{EmptyPlatform, node_at};

/// Guards against two coordinators after the store came back from a copy: it gives out revisions
/// again, so a write can be applied although another host holds the lease.
#[tokio::test]
async fn a_lease_of_another_generation_is_not_taken() {
    for (generation, taken) in [(1, true), (2, false)] {
        let applied = CommitResult::Applied {
            rev: Revision {
                generation,
                number: 8,
            },
            store_ms: 5_000,
        };
        let platform = Arc::new(EmptyPlatform::with_commit(applied));
        let node = node_at("h1", 7_600, platform);
        let now = node.clock.now();
        let view = LeaseView {
            row: None,
            rev: Revision {
                generation: 1,
                number: 7,
            },
            clock: StoreClock {
                sent: now,
                received: now,
                value: 5_000,
            },
        };
        let lease = view.take(&node).await;
        assert_eq!(lease.is_some(), taken, "generation {generation}");
    }
}
