use std::net::SocketAddr;

use super::*;
use crate::fake::settings;

fn host(name: &str, place: &str) -> HostInfo {
    HostInfo {
        name: name.into(),
        place: place.into(),
        peer: SocketAddr::from(([127, 0, 0, 1], 1)),
        forward: SocketAddr::from(([127, 0, 0, 1], 2)),
        power: 100,
        link_mbps: 10,
        incarnation: 1,
    }
}

/// Guards against every host of a region that acts as the gateway of targets whose own data centre has
/// lost its hosts, against requests that leave the targets' region, and against many hosts that all
/// use the full pace for a cold target.
#[test]
fn hosts_agree_on_a_gateway() {
    struct Case {
        name: &'static str,
        /// Hosts that are not reachable.
        suspects: &'static [&'static str],
        /// Number of hosts that act as the gateway.
        gateways: usize,
        /// Data centres of these hosts.
        places: &'static [&'static str],
        sole: usize,
        stray: usize,
    }
    let case = |name, suspects, gateways, places, sole, stray| Case {
        name,
        suspects,
        gateways,
        places,
        sole,
        stray,
    };
    let cases = [
        case("all hosts", &[], 1, &["catania"], 1, 0),
        case("one host lost", &["c1"], 1, &["catania"], 0, 0),
        case(
            "the data centre lost",
            &["c1", "c2"],
            1,
            &["siracusa"],
            0,
            0,
        ),
        case(
            "the region lost",
            &["c1", "c2", "s1", "s2"],
            3,
            &["torino"],
            0,
            2,
        ),
    ];
    let regions = "{catania: est, siracusa: est, torino: nord}";
    let settings = settings("h", 7_000, regions);
    let list = [
        host("c1", "catania"),
        host("c2", "catania"),
        host("s1", "siracusa"),
        host("s2", "siracusa"),
        host("t1", "torino"),
        host("t2", "torino"),
        host("t3", "torino"),
    ];
    let hosts = Hosts::new(list.iter().cloned());
    let place = Arc::from("catania");
    // A target whose first host is `c1`, so that the cases apply to it.
    let targets = (0..).map(|it| QueueId::Target(format!("target {it}").into()));
    let need = GatewayNeed::default();
    let queue = { targets }
        .find(|it| *hosts.ranked(&place, &it.to_string(), need)[0].name == *"c1")
        .expect("a host is the first one for some target");
    let ranking = Ranking {
        hosts: &hosts,
        settings: &settings,
        place: &place,
        queue: queue.to_string(),
        need,
    };
    for case in cases {
        let is_suspect = |it: &HostInfo| case.suspects.contains(&&*it.name);
        let (mut gateways, mut roles) = (Vec::new(), Vec::new());
        for own in list.iter().filter(|it| !is_suspect(it)) {
            let gateway = ranking.chosen(is_suspect);
            if gateway.is_none_or(|it| it.name == own.name) {
                gateways.push(own);
                roles.push(ranking.role(&own.name, is_suspect, false));
            }
        }
        assert_eq!(gateways.len(), case.gateways, "{}", case.name);
        let is_in_place = |it: &&HostInfo| case.places.contains(&&*it.place);
        assert!(gateways.iter().all(is_in_place), "{}", case.name);
        let count = |role| roles.iter().filter(|it| **it == role).count();
        assert_eq!(count(Role::Sole), case.sole, "{}", case.name);
        assert_eq!(count(Role::Stray), case.stray, "{}", case.name);
    }
    assert_eq!(ranking.role("c1", |_| false, true), Role::Shared);
}
