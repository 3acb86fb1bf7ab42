//! What the gates of this host have seen since the last report.

use crate::{node::Node, peers::TargetLoad};

/// Takes the loads of all gates, and the milliseconds over which they were seen.
pub fn collect(node: &Node) -> (u32, Vec<TargetLoad>) {
    node.queues.take_loads()
}
