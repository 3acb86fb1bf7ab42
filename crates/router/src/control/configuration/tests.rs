use super::*;
use crate::{fake::node, peers::Hosts};

/// Guards against a version that crosses the link between regions for each host, and against hosts
/// of one data centre that wait for each other.
#[test]
fn one_host_of_a_data_centre_is_the_relay_of_the_others() {
    let own = node("h1", 7_600);
    let host = |name: &str, place: &str, peer: u16, power: u32| HostInfo {
        name: name.into(),
        place: place.into(),
        peer: SocketAddr::from(([127, 0, 0, 1], peer)),
        power,
        ..own.info.clone()
    };
    let near = [
        own.info.clone(),
        host("h2", "catania", 7_601, 100_000_000),
        host("h3", "palermo", 7_602, 500),
    ];
    own.hosts.store(Arc::new(Hosts::new(near)));
    let relay_name = || relay(&own).map(|it| it.name.to_string());
    assert_eq!(relay_name().as_deref(), Some("h2"));
    own.set_coordinator(Some(SocketAddr::from(([127, 0, 0, 1], 7_602))));
    assert_eq!(relay_name().as_deref(), Some("h2"));
    own.set_coordinator(Some(SocketAddr::from(([127, 0, 0, 1], 7_601))));
    assert_eq!(relay_name(), None, "the coordinator is near");
    own.set_coordinator(None);
    own.suspects.suspect(&"h2".into(), own.clock.now());
    assert_eq!(relay_name(), None, "the next one is this host");
}
