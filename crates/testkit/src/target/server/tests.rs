use std::time::Duration;

use super::*;

/// Guards against a record of a run that begins after the grants of its target have expired,
/// because the process was suspended between the check of the grants and the record. Waiting for
/// the grants stands for the suspension.
#[test]
fn a_start_is_not_recorded_later_than_the_check() {
    let server = TargetServer::new(TargetOptions {
        service: "archive".to_owned(),
        slots: 1,
        connections: 1,
        checks: false,
        cold_ms: 0,
        work_ms: 0,
        body_bytes: 0,
        record: None,
    });
    let shared = &server.shared;
    let (head, ()) = http::Request::new(()).into_parts();
    std::thread::scope(|scope| {
        let grants = lock(&shared.grants);
        let run = scope.spawn(|| shared.start(&head, None));
        std::thread::sleep(Duration::from_millis(100));
        let checked_us = now_us();
        drop(grants);
        let number = run.join().expect("the thread ends");
        assert_eq!(number, Some(0));
        let started_us = shared.record.entries()[0].start_us;
        assert!(started_us < checked_us, "{started_us} {checked_us}");
    });
}
