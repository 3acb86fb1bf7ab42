//! Guards against a target that gets new work after a signal that it is leaving, until the planner
//! has moved its slices (G6), and against one that gets no work after the signal has ended.

use std::net::SocketAddr;

use ownership::{GrantState, PermitError, RenewalReply};
use platform::{Member, Members};

use super::*;
use crate::fake;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LeaveSignal {
    None,
    Members,
    GrantAnswer,
    RenewalAnswer,
    Document,
}

fn check(signal: LeaveSignal) {
    let host = fake::host(SocketAddr::from(([127, 0, 0, 1], 1)));
    let gateway_target = fake::gateway_target(&host, host.settings.platform);
    let now = host.clock.now();
    let mut view = fake::view();
    match signal {
        LeaveSignal::Members => {
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
        LeaveSignal::GrantAnswer => {
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
        LeaveSignal::RenewalAnswer => {
            let renewed = RenewalReply {
                tag: 1,
                clock: 1,
                draining: true,
            };
            handle_grant_outcome(&host, &gateway_target, now, GrantOutcome::Renewed(renewed));
        }
        LeaveSignal::Document => view.document.services.clear(),
        LeaveSignal::None => {}
    }
    update_gateway(&host, &view, &gateway_target, now);
    let error = gateway_target.lock().gateway.may_start(now, 7).err();
    assert_eq!(
        error == Some(PermitError::Draining),
        signal != LeaveSignal::None,
        "{signal:?}: {error:?}"
    );
    // The signal ends. One in the answer to a grant or renewal stays, because a target that checks
    // no grants cannot withdraw it.
    host.members.store(Arc::new(Members::default()));
    update_gateway(&host, &fake::view(), &gateway_target, now);
    let error = gateway_target.lock().gateway.may_start(now, 7).err();
    assert_eq!(
        error == Some(PermitError::Draining),
        matches!(
            signal,
            LeaveSignal::GrantAnswer | LeaveSignal::RenewalAnswer
        ),
        "{signal:?} ended: {error:?}"
    );
}

#[test]
fn no_new_work_after_a_leave_signal() {
    for signal in [
        LeaveSignal::None,
        LeaveSignal::Members,
        LeaveSignal::GrantAnswer,
        LeaveSignal::RenewalAnswer,
        LeaveSignal::Document,
    ] {
        check(signal);
    }
}
