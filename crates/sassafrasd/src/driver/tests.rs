//! Guards against a target that gets new work after a sign that it is leaving, until the planner
//! has moved its slices (G6), and against one that gets none after the sign has ended.

use std::net::SocketAddr;

use ownership::{GrantState, PermitError, RenewalReply};
use platform::{Member, Members};

use super::*;
use crate::fake;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Sign {
    None,
    Members,
    GrantAnswer,
    RenewalAnswer,
    Document,
}

fn check(sign: Sign) {
    let host = fake::host(SocketAddr::from(([127, 0, 0, 1], 1)));
    let gate = fake::gate(&host, host.settings.platform);
    let now = host.clock.now();
    let mut view = fake::view();
    match sign {
        Sign::Members => {
            let member = Member {
                name: Arc::from(gate.id.to_string()),
                kind: Kind::Target,
                state: MemberState::Leaving,
                place: Arc::from("catania"),
                data: None,
                peer: None,
                operators: None,
            };
            let members = vec![member];
            host.members.store(Arc::new(Members { members }));
        }
        Sign::GrantAnswer => {
            let state = GrantState {
                incarnation: 1,
                clock: 1,
                epoch: 1,
                gateway: Arc::clone(&host.settings.host),
                held: Vec::new(),
                draining: true,
            };
            answered(&host, &gate, now, GrantOutcome::Accepted(state));
        }
        Sign::RenewalAnswer => {
            let renewed = RenewalReply {
                tag: 1,
                clock: 1,
                draining: true,
            };
            answered(&host, &gate, now, GrantOutcome::Renewed(renewed));
        }
        Sign::Document => view.document.services.clear(),
        Sign::None => {}
    }
    feed(&host, &view, &gate, now);
    let denial = gate.lock().gateway.may_start(now, 7).err();
    assert_eq!(
        denial == Some(PermitError::Draining),
        sign != Sign::None,
        "{sign:?}: {denial:?}"
    );
    // The sign ends. A target that checks no grants has no way to end its own.
    host.members.store(Arc::new(Members::default()));
    feed(&host, &fake::view(), &gate, now);
    let denial = gate.lock().gateway.may_start(now, 7).err();
    assert_eq!(
        denial == Some(PermitError::Draining),
        matches!(sign, Sign::GrantAnswer | Sign::RenewalAnswer),
        "{sign:?} ended: {denial:?}"
    );
}

#[test]
fn no_new_work_after_a_sign() {
    for sign in [
        Sign::None,
        Sign::Members,
        Sign::GrantAnswer,
        Sign::RenewalAnswer,
        Sign::Document,
    ] {
        check(sign);
    }
}
