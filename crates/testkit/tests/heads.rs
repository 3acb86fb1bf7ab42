//! Guards against requests that are refused because of the size of their heads, only where their
//! gateway is another host than the one that received them.

use testkit::{client::send, deployment::Deployment, layout::Layout};

/// Number and length of the further headers of a request.
const CASES: [(usize, usize); 4] = [(0, 0), (40, 380), (4, 7_000), (80, 700)];

#[tokio::test]
async fn long_heads_pass_between_hosts() {
    let layout = Layout::example("cavallucci", 3).with_only_service("archive");
    let deployment = Deployment::start(layout).await;
    let mut failures = Vec::new();
    for (count, bytes) in CASES {
        for key in ["a", "b", "c"] {
            let mut call = deployment.layout.get("archive", key);
            for number in 0..count {
                call = call.with_header(&format!("x-{number}"), "v".repeat(bytes));
            }
            for (number, host) in deployment.hosts.iter().enumerate() {
                let reply = send(host.data, &call).await;
                let correct = reply
                    .as_ref()
                    .is_ok_and(|it| deployment.is_correct(&call, it));
                if !correct {
                    let status = reply.map(|it| it.status);
                    failures.push(format!(
                        "{count} of {bytes} bytes, {key} at host {number}: {status:?}"
                    ));
                }
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
