use std::collections::BTreeSet;

use super::*;

fn host(name: &str, power: u32, link_mbps: u32) -> HostInfo {
    HostInfo {
        name: name.into(),
        place: "kita-a".into(),
        peer: SocketAddr::from(([127, 0, 0, 1], 1)),
        forward: SocketAddr::from(([127, 0, 0, 1], 2)),
        power,
        link_mbps,
        incarnation: 1,
    }
}

/// Guards against a large pool, or one with large bodies, whose requests all pass a host that has
/// too little processor time or bandwidth for them while a stronger one is there; and against
/// everything on the strongest hosts where each host suits.
#[test]
fn gateways_meet_the_need_of_their_queue() {
    struct Case {
        name: &'static str,
        slots: u32,
        bulk: bool,
        hosts: Vec<HostInfo>,
        /// The hosts that become the gateway of one queue or another.
        gateways: &'static [&'static str],
    }
    let strong = || host("strong", 500, 200);
    let weak = || host("weak", 100, 10);
    let slow_link = || host("slow-link", 500, 10);
    let cases = [
        Case {
            name: "a target with few slots",
            slots: 4,
            bulk: false,
            hosts: vec![strong(), weak()],
            gateways: &["strong", "weak"],
        },
        Case {
            name: "a pool of 160 slots",
            slots: 160,
            bulk: false,
            hosts: vec![strong(), weak()],
            gateways: &["strong"],
        },
        Case {
            name: "a pool of 160 slots without a strong host",
            slots: 160,
            bulk: false,
            hosts: vec![weak(), host("weak-2", 100, 10)],
            gateways: &["weak", "weak-2"],
        },
        Case {
            name: "large bodies",
            slots: 7,
            bulk: true,
            hosts: vec![strong(), slow_link(), weak()],
            gateways: &["strong"],
        },
    ];
    for case in cases {
        let hosts = Hosts::new(case.hosts);
        let need = GatewayNeed::of_slots(case.slots, case.bulk);
        let queues = (0..200).map(|it| format!("queue {it}"));
        let first = |queue: String| hosts.ranked("kita-a", &queue, need)[0].name.to_string();
        let gateways: BTreeSet<String> = queues.map(first).collect();
        let gateways: Vec<&str> = gateways.iter().map(String::as_str).collect();
        assert_eq!(gateways, case.gateways, "{}", case.name);
    }
}
