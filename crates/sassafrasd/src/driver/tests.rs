//! Guards against a target that gets new work after a sign that it is leaving, until the planner
//! has moved its slices (G6), and against one that gets no work after the sign has ended.

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
    let gateway_target = fake::gateway_target(&host, host.settings.platform);
    let now = host.clock.now();
    let mut view = fake::view();
    match sign {
        Sign::Members => {
            let member = Member {
                name: Arc::from(gateway_target.id.to_string()),
                kind: MemberKind::Target,
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
            handle_grant_outcome(&host, &gateway_target, now, GrantOutcome::Accepted(state));
        }
        Sign::RenewalAnswer => {
            let renewed = RenewalReply {
                tag: 1,
                clock: 1,
                draining: true,
            };
            handle_grant_outcome(&host, &gateway_target, now, GrantOutcome::Renewed(renewed));
        }
        Sign::Document => view.document.services.clear(),
        Sign::None => {}
    }
    update_gateway(&host, &view, &gateway_target, now);
    let error = gateway_target.lock().gateway.may_start(now, 7).err();
    assert_eq!(
        error == Some(PermitError::Draining),
        sign != Sign::None,
        "{sign:?}: {error:?}"
    );
    // The sign ends. A sign in a grant answer stays, because a target that checks no grants cannot
    // withdraw it.
    host.members.store(Arc::new(Members::default()));
    update_gateway(&host, &fake::view(), &gateway_target, now);
    let error = gateway_target.lock().gateway.may_start(now, 7).err();
    assert_eq!(
        error == Some(PermitError::Draining),
        matches!(sign, Sign::GrantAnswer | Sign::RenewalAnswer),
        "{sign:?} ended: {error:?}"
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
