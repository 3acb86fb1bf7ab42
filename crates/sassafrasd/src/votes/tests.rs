//! Guards against votes that are sent in full at each renewal, and against a sponsor that has lost
//! its votes and is never sent the full requests again.

use std::{net::SocketAddr, time::Duration};

use platform::{Kind, Member, MemberState, Members};

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
        kind: Kind::Host,
        state: MemberState::Live,
        place: Arc::from("catania"),
        data: None,
        peer: Some(peer.settings.peer),
        operators: None,
    };
    let members = vec![member];
    host.members.store(Arc::new(Members { members }));
    let gate = fake::gate(&host, platform);
    let request = VoteRequest {
        target: gate.id.clone(),
        rev: 1,
        host: Arc::clone(&host.settings.host),
        incarnation: 1,
    };
    let sponsor = Arc::from("h2");
    // A sponsor that has just started gives no vote.
    tokio::time::sleep(Duration::from_millis(ownership::with_drift(VOTE_MS))).await;
    // Nothing is known yet; renewed; the sponsor has lost its votes; renewed again.
    for (round, (loses, expected)) in [(false, 0), (false, 1), (true, 1), (false, 1)]
        .into_iter()
        .enumerate()
    {
        if loses {
            peer.sponsors().clear();
            peer.sponsors()
                .insert(request.target.clone(), ownership::Voter::new(0));
        }
        let sent = host.clock.now();
        let batch = vec![(Arc::clone(&gate), request.clone())];
        let (kept, fresh) = host.granted.split(sent, &sponsor, batch);
        assert_eq!(
            (kept.len(), fresh.len()),
            (expected, 1 - expected),
            "{round}"
        );
        ask_sponsor(&host, &sponsor, sent, kept, fresh).await;
        let votes = host.granted.votes();
        let vote = &votes[&sponsor][&request.target];
        assert_eq!(
            (vote.sent, &vote.verdict),
            (sent, &Verdict::Granted),
            "{round}"
        );
    }
    let renewal = VoteRenewal::new(Arc::clone(&request.host), [&request]);
    let votes = call(&host, &sponsor, Some(renewal), &[]).await.unwrap();
    assert_eq!(votes.renewed, Renewed::All);
    // A vote that is not due now is not renewed by the others.
    let mut other = request.clone();
    other.target = TargetId::new("workshop", "other");
    let sent = host.clock.now();
    host.granted.note(&sponsor, sent, &other, &Verdict::Granted);
    let batch = vec![(Arc::clone(&gate), request.clone())];
    assert!(host.granted.split(sent, &sponsor, batch).0.is_empty());
    host.granted.forget(&other.target);
    let batch = vec![(gate, request)];
    assert_eq!(host.granted.split(sent, &sponsor, batch).0.len(), 1);
}
