use super::*;
use crate::fake::{EmptyPlatform, node_at};

/// Guards against a configuration that takes effect late: without a coordinator, a recent read of
/// the targets and owners must not suppress reads of the configuration.
#[tokio::test]
async fn without_a_coordinator_the_configuration_is_read_often() {
    let store = Arc::new(EmptyPlatform::default());
    let node = Arc::new(node_at("h1", 7_300, Arc::clone(&store)));
    node.set_synced_at(node.clock.now());
    let task = tokio::spawn(catch_up(Arc::clone(&node)));
    tokio::time::sleep(Duration::from_millis(1_300)).await;
    assert!(
        store.reads() >= 2,
        "{} reads without a coordinator",
        store.reads()
    );
    node.set_coordinator(Some(node.settings.peer));
    let before = store.reads();
    tokio::time::sleep(Duration::from_millis(600)).await;
    task.abort();
    // One read may already have been in flight.
    assert!(store.reads() <= before + 1, "a coordinator reads for all");
}
