//! Load of this host's admission queues since the last report.

use crate::{node::Node, peers::TargetLoad};

/// Takes the loads of all queues and the span in milliseconds over which they were collected.
pub fn collect(node: &Node) -> (u32, Vec<TargetLoad>) {
    node.queues.take_loads()
}
