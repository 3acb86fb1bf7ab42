//! Guards against full requests at each renewal of votes, and against a voter that has lost its
//! votes and never gets the full requests again.

use std::{net::SocketAddr, time::Duration};

use platform::{Member, MemberKind, MemberState, Members};

use super::*;
use crate::fake;

#[tokio::test]
async fn lost_votes_are_requested_in_full() {
    let platform = SocketAddr::from(([127, 0, 0, 1], 1));
    let (host, peer) = (fake::host(platform), fake::host(platform));
    tokio::spawn(peer_server::bind(Arc::clone(&peer)).await.unwrap());
    peer.confirm(0);
    let member = Member {
        name: Arc::from("h2"),
        kind: MemberKind::Host,
        state: MemberState::Live,
        place: Arc::from("catania"),
        data: None,
        peer: Some(peer.settings.peer),
        operators: None,
    };
    let members = vec![member];
    host.members.store(Arc::new(Members { members }));
    let gateway_target = fake::gateway_target(&host, platform);
    let request = VoteRequest {
        target: gateway_target.id.clone(),
        rev: 1,
        host: Arc::clone(&host.settings.host),
        incarnation: 1,
    };
    let voter_name = Arc::from("h2");
    // A voter that has just started grants no vote.
    tokio::time::sleep(Duration::from_millis(ownership::lengthen_for_drift(
        VOTE_MS,
    )))
    .await;
    // First request; renewal; renewal after the voter has lost its votes; renewal.
    for (round, (loses_votes, expected)) in [(false, 0), (false, 1), (true, 1), (false, 1)]
        .into_iter()
        .enumerate()
    {
        if loses_votes {
            peer.voters().clear();
            peer.voters()
                .insert(request.target.clone(), ownership::Voter::new(0));
        }
        let sent = host.clock.now();
        let batch = vec![(Arc::clone(&gateway_target), request.clone())];
        let (renewable, others) = host.vote_replies.split(sent, &voter_name, batch);
        assert_eq!(
            (renewable.len(), others.len()),
            (expected, 1 - expected),
            "{round}"
        );
        request_from(&host, &voter_name, sent, renewable, others).await;
        let replies = host.vote_replies.replies();
        let reply = &replies[&voter_name][&request.target];
        assert_eq!(
            (reply.sent, &reply.verdict),
            (sent, &Verdict::Granted),
            "{round}"
        );
    }
    let renewal = VoteRenewal::new(Arc::clone(&request.host), [&request]);
    let votes = send(&host, &voter_name, Some(renewal), &[]).await.unwrap();
    assert_eq!(votes.renewed, RenewalResult::All);
    // A vote that is not due prevents the renewal of the others, since a renewal covers all votes.
    let mut other = request.clone();
    other.target = TargetId::new("workshop", "other");
    let sent = host.clock.now();
    host.vote_replies
        .record(&voter_name, sent, &other, &Verdict::Granted);
    let batch = vec![(Arc::clone(&gateway_target), request.clone())];
    assert!(
        host.vote_replies
            .split(sent, &voter_name, batch)
            .0
            .is_empty()
    );
    host.vote_replies.remove(&other.target);
    let batch = vec![(gateway_target, request)];
    assert_eq!(host.vote_replies.split(sent, &voter_name, batch).0.len(), 1);
}
