use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use super::*;
use crate::{fake::node, peers};

/// Guards against a host with little power that becomes the coordinator of a large deployment
/// because it noticed first that the lease was free, and against hosts of equal power that all wait
/// for a more powerful one.
#[test]
fn hosts_with_less_power_wait_longer_for_the_lease() {
    struct Case {
        name: &'static str,
        own: u32,
        others: &'static [u32],
        wait_ms: u64,
    }
    let cases = [
        Case {
            name: "equal",
            own: 200,
            others: &[200, 200],
            wait_ms: 100,
        },
        Case {
            name: "alone",
            own: 100,
            others: &[],
            wait_ms: 200,
        },
        Case {
            name: "strongest",
            own: 500,
            others: &[100, 500, 200],
            wait_ms: 40,
        },
        Case {
            name: "a fifth of the strongest",
            own: 100,
            others: &[100, 500, 200],
            wait_ms: 1_200,
        },
        Case {
            name: "far weaker",
            own: 10,
            others: &[1_000],
            wait_ms: 1_600,
        },
    ];
    for case in cases {
        let wait = power_wait(case.own, case.others.iter().copied());
        assert_eq!(wait, Duration::from_millis(case.wait_ms), "{}", case.name);
    }
}

/// Relays one connection to `to` and delivers what comes back after `delay`; returns the address to
/// connect to.
async fn slow_answers(to: SocketAddr, delay: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the port is bound");
    tokio::spawn(async move {
        let (near, _) = listener.accept().await.expect("the host connects");
        let far = TcpStream::connect(to)
            .await
            .expect("the other host accepts");
        let (mut from_near, mut to_near) = near.into_split();
        let (mut from_far, mut to_far) = far.into_split();
        tokio::spawn(async move { tokio::io::copy(&mut from_near, &mut to_far).await });
        let mut bytes = [0; 4_096];
        while let Ok(count @ 1..) = from_far.read(&mut bytes).await {
            tokio::time::sleep(delay).await;
            if to_near.write_all(&bytes[..count]).await.is_err() {
                return;
            }
        }
    });
    address
}

/// Guards against a host that takes a reply for as recent as its arrival, and therefore reads the
/// store itself too late when the coordinator is lost.
#[tokio::test]
async fn a_late_reply_is_as_old_as_its_report() {
    const DELAY: Duration = Duration::from_millis(250);
    let coordinator = Arc::new(node("h1", 7_800));
    coordinator.set_synced_at(coordinator.clock.now());
    let server = peers::bind(Arc::clone(&coordinator)).await;
    let server = tokio::spawn(server.expect("the address is free"));
    let follower = node("h2", 7_900);
    let address = slow_answers(coordinator.settings.peer, DELAY).await;
    let client = PeerClient::connect(address, CONNECT_TIMEOUT).await;
    let client = client.expect("the relay accepts");
    let began = follower.clock.now();
    let exchanged = send_report(&follower, &client, None, Duration::ZERO).await;
    let (reply, replied) = exchanged.expect("the answer begins in time");
    let took = follower.clock.now() - began;
    assert!(u128::from(took) >= DELAY.as_millis(), "{took} ms");
    follower.apply_reply(reply, replied);
    assert!(follower.age_ms() >= took, "{} ms", follower.age_ms());
    let targets_age = follower.targets_age_ms();
    assert!(targets_age >= took, "{targets_age} ms");
    server.abort();
}
