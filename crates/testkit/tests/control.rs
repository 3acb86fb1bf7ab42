//! Guards against control traffic that exceeds the required limits at the required deployment size:
//! 2 KB/s for each node, and a store that sustains 2,000 reads per second.

use std::{
    collections::BTreeMap,
    io,
    path::Path,
    pin::Pin,
    sync::Arc,
    time::{Duration, Instant},
};

use ownership::{
    Fence, GRANT_RENEW_MS, GrantOrder, HeldSlice, Renewal, TargetId, VOTE_MS, VOTE_RENEW_MS,
    VOTER_COUNT, VoteRenewal, VoteRequest,
};
use peer::{Codec, PeerRequest, PeerResponse, RenewalResult, Votes};
use placement::{HostInput, HostState};
use serde::Deserialize;
use tarpc::{ClientMessage, Request, Response, context, tokio_serde::Serializer};
use testkit::{
    deployment::Deployment,
    layout::{Layout, Proxied},
};

/// Time over which store reads and bytes of grants are counted.
const WINDOW: Duration = Duration::from_secs(10);

/// Number of hosts and targets at the size of docs/design.md, section 1.5.
const HOSTS: usize = 100;
const TARGETS: usize = 450;

/// Slices of a target at the size of docs/design.md, section 1.5: 30,000 slices on 450 targets.
const TARGET_SLICES: usize = 67;

/// An entry of bounds.yaml.
#[derive(Deserialize)]
struct Entry {
    bound: f64,
}

/// Reads the bound `path/{name}` from bounds.yaml.
fn read_bound(name: &str) -> f64 {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../bounds.yaml");
    let text = std::fs::read_to_string(path).expect("bounds.yaml is readable");
    let mut all: BTreeMap<String, BTreeMap<String, serde_yaml_ng::Value>> =
        serde_yaml_ng::from_str(&text).expect("bounds.yaml is YAML");
    let entry = all
        .get_mut("path")
        .and_then(|it| it.remove(name))
        .unwrap_or_else(|| panic!("bounds.yaml has no bound path/{name}"));
    let entry: Entry = serde_yaml_ng::from_value(entry).expect("each entry has a bound");
    entry.bound
}

fn to_float(len: usize) -> f64 {
    f64::from(u32::try_from(len).expect("messages are small"))
}

fn per_second(interval_ms: u64) -> f64 {
    1_000.0 / f64::from(u32::try_from(interval_ms).expect("intervals are short"))
}

/// Bytes on the wire of a vote request between hosts and of its answer, with frames and the
/// envelopes of tarpc.
fn exchange_bytes(requests: &[VoteRequest]) -> [f64; 2] {
    // Request numbers need more bytes on a connection that has been open for days than on a new
    // one.
    let id = 100_000_000;
    let mut context = context::current();
    context.deadline = Instant::now() + Duration::from_millis(VOTE_MS);
    let renewal = VoteRenewal::new(Arc::clone(&requests[0].host), requests);
    let request = ClientMessage::Request(Request {
        context,
        id,
        message: PeerRequest::Vote {
            renewal: Some(renewal),
            requests: Vec::new(),
        },
    });
    let votes = Votes {
        renewed: RenewalResult::All,
        contact: Some(500),
        replies: Vec::new(),
    };
    let reply = Response {
        request_id: id,
        message: Ok(PeerResponse::Vote(votes)),
    };
    [frame_bytes(&request), frame_bytes(&reply)]
}

/// Bytes of a message between hosts with its length prefix.
fn frame_bytes<T>(message: &T) -> f64
where
    Codec: Serializer<T, Error = io::Error>,
{
    let bytes = Pin::new(&mut Codec).serialize(message);
    to_float(size_of::<u32>() + bytes.expect("message can be serialised").len())
}

/// Guards against vote traffic that exceeds its bound at the size of docs/design.md, section 1.5,
/// with the voters that `placement` chooses: on average for each target, and on the host that sends
/// most.
#[test]
fn votes_fit_the_budget() {
    let place = |it: usize| (format!("c{}", it % 6), format!("r{}", it % 2));
    let host = |it: usize| HostInput {
        name: Arc::from(format!("h{it:03}")),
        data_centre: place(it).0.into(),
        region: place(it).1.into(),
        state: HostState::Live,
    };
    let hosts: Vec<_> = (0..HOSTS).map(host).collect();
    let mut by_pair = BTreeMap::<_, Vec<VoteRequest>>::new();
    for target in 0..TARGETS {
        let (data_centre, region) = place(target);
        let id = TargetId::new("archive", &format!("a{target:03}"));
        let voters = placement::choose_voters(&id.target, &data_centre, &region, &hosts);
        assert_eq!(voters.len(), VOTER_COUNT);
        let request = VoteRequest {
            target: id,
            rev: 1_000_000,
            host: Arc::clone(&voters[0]),
            incarnation: u64::MAX,
        };
        for voter in &voters[1..] {
            let pair = (Arc::clone(&voters[0]), Arc::clone(voter));
            by_pair.entry(pair).or_default().push(request.clone());
        }
    }
    let mut sent = BTreeMap::<Arc<str>, f64>::new();
    for ((gateway, voter), requests) in &by_pair {
        let [request, reply] = exchange_bytes(requests);
        *sent.entry(Arc::clone(gateway)).or_default() += request * per_second(VOTE_RENEW_MS);
        *sent.entry(Arc::clone(voter)).or_default() += reply * per_second(VOTE_RENEW_MS);
    }
    let (targets, hosts) = (to_float(TARGETS), to_float(HOSTS));
    let average = sent.values().sum::<f64>() / targets;
    let most = sent.values().copied().fold(0.0, f64::max);
    let bound = read_bound("vote_bytes_s");
    println!(
        "{} pairs of hosts, {average:.0} B/s for each target, {most:.0} B/s of the host that sends most",
        by_pair.len()
    );
    assert!(
        average <= bound && most <= bound * targets / hosts,
        "{average:.0} B/s for each target, at most {bound}; {most:.0} B/s of the host that sends most"
    );
}

/// Guards against grant renewals and answers whose bodies exceed the bound for one target.
#[test]
fn grant_bodies_fit_the_budget() {
    let bodies_s = per_second(GRANT_RENEW_MS) * renewal_bodies(TARGET_SLICES);
    let bound = read_bound("grant_bytes_s");
    assert!(
        bodies_s <= bound,
        "{bodies_s:.0} B/s for each target, at most {bound}"
    );
}

/// Guards against connections of an idle target whose traffic, heads included, exceeds the bound.
/// Renewals have the same length for any number of slices.
#[tokio::test]
async fn grants_fit_the_budget() {
    let bodies_s = per_second(GRANT_RENEW_MS) * renewal_bodies(TARGET_SLICES);
    let layout = Layout::example("cavallucci", 2)
        .with_only_service("archive")
        .with_proxies(&[Proxied::Targets]);
    let deployment = Deployment::start(layout).await;
    let passed = async || {
        let mut bytes = 0;
        for target in deployment.targets.values() {
            let counts = target.proxy.as_ref().expect("targets have proxies");
            let counts = counts.counts().await;
            bytes += counts.up + counts.down;
        }
        bytes
    };
    let before = passed().await;
    tokio::time::sleep(WINDOW).await;
    let bytes = u32::try_from(passed().await - before).expect("grants are small");
    let bytes_s = f64::from(bytes) / WINDOW.as_secs_f64() / to_float(deployment.targets.len());
    let bound = read_bound("grant_bytes_s");
    let heads_s = bytes_s - bodies_s;
    assert!(
        bytes_s <= bound,
        "{bytes_s:.0} B/s for each target (bodies {bodies_s:.0}, heads {heads_s:.0}), at most {bound}"
    );
}

/// Bytes of a renewal and its answer, without heads, for a target that holds `slices` slices.
fn renewal_bodies(slices: usize) -> f64 {
    let held = |idx: usize| HeldSlice {
        service: Arc::from("archive"),
        low: u64::MAX / 2 + idx as u64,
        high: u64::MAX / 2 + idx as u64,
        generation: 65_536,
    };
    let order = GrantOrder {
        incarnation: u64::MAX >> 1,
        epoch: 1,
        gateway: Arc::from("h001"),
        until: 1_000_000,
        slices: Some((0..slices).map(held).collect()),
    };
    let mut fence = Fence::new(order.incarnation);
    let state = fence
        .order(999_000, &order)
        .expect("first order is applied");
    let renewal = Renewal {
        tag: state.tag(),
        until: order.until + 1,
    };
    let renewed = fence.renew(999_500, &renewal).expect("tag is current");
    to_float(renewal.to_bytes().len() + renewed.to_bytes().len())
}

/// Guards against idle hosts that read the store more often than the bound allows.
#[tokio::test]
async fn reads_of_idle_hosts_fit_the_budget() {
    let deployment = Deployment::start(Layout::example("cavallucci", 2)).await;
    let before = deployment.counts().await;
    tokio::time::sleep(WINDOW).await;
    let after = deployment.counts().await;
    let reads = u32::try_from(after.reads.total - before.reads.total).expect("reads are few");
    let hosts = to_float(deployment.hosts.len());
    let reads_s = f64::from(reads) / WINDOW.as_secs_f64() / hosts;
    let bound = read_bound("store_reads_s");
    assert!(
        reads_s <= bound,
        "{reads_s:.2} reads/s of each host, at most {bound}"
    );
}
