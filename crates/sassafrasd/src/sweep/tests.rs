//! Guards against claims that are never deleted or are deleted too early, and against a sweep that
//! reads or writes more than necessary when there is nothing to delete.

use testkit::{
    serve::{accept_all, bind},
    store::PlatformServer,
};

use super::*;
use crate::fake;

const DAY_MS: Millis = 86_400_000;

/// Writes claims of both services; returns the revision of the last.
async fn write(host: &Host, names: std::ops::Range<usize>) -> u64 {
    let mut commit = Commit::default();
    for (service, number) in names.flat_map(|it| [("archive", it), ("workshop", it)]) {
        commit.writes.push(Write {
            row: format!("claim/{service}/{number:016x}"),
            value: json!({"number": number}),
        });
    }
    match host.platform.commit(&commit).await {
        CommitResult::Applied { rev } => rev,
        other => panic!("{other:?}"),
    }
}

async fn count(host: &Host, service: &str) -> usize {
    let prefix = format!("claim/{service}/");
    let page = host.platform.rows_under(&prefix, usize::MAX).await;
    page.unwrap().rows.len()
}

#[tokio::test]
async fn old_claims_are_deleted() {
    let listener = bind("127.0.0.1:0").await;
    let host = fake::host(listener.local_addr().unwrap());
    let server = PlatformServer::default();
    tokio::spawn(accept_all(listener, move |it| server.clone().answer(it)));
    let mut document = fake::view().document;
    let workshop = document.services.iter_mut();
    workshop
        .filter(|it| &*it.name == "workshop")
        .for_each(|it| it.claim_s *= 2);
    let view = View::new(1, document);

    // Times start far ahead of the process's clock, so that only the given times count.
    let start = 1_000_000;
    let many = PAGE_ROWS + 10;
    let old = write(&host, 0..many).await;
    let mut sweep = Sweep::default();
    sweep.round(&host, &view, old, start).await;
    let young = write(&host, many..many + 5).await;
    // A day and the greatest clock drift of 2%.
    let due = start + DAY_MS + DAY_MS / 50;
    for now in [start + 1, start + DAY_MS, due - 1] {
        sweep.round(&host, &view, young, now).await;
        assert_eq!(count(&host, "archive").await, many + 5, "too early: {now}");
    }
    sweep.round(&host, &view, young, due).await;
    assert_eq!(count(&host, "archive").await, 5, "newer claims stay");
    assert_eq!(count(&host, "workshop").await, many + 5, "two days");

    // Another planner continues from the stored marks. The time in between is not counted.
    let mut next = Sweep::default();
    next.round(&host, &view, young, 2 * start).await;
    assert_eq!(count(&host, "workshop").await, many + 5);
    let later = 2 * start + due;
    next.round(&host, &view, young, later).await;
    assert_eq!(count(&host, "workshop").await, 5);
    assert_eq!(
        next.swept.get("workshop"),
        None,
        "not confirmed to be empty yet"
    );
    next.round(&host, &view, young, later + 1).await;
    assert!(next.swept.contains_key("workshop"));
}
