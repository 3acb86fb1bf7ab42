//! Guards against a target that gets no requests after its drain has ended, and against one that
//! gets new work because it never sends the draining header on the path of probes (G6).

use super::{
    ProbeResult::{Draining, NoAnswer, Serving},
    *,
};

struct Case {
    results: &'static [ProbeResult],
    over: bool,
}

#[test]
fn end_of_a_drain() {
    let case = |results, over| Case { results, over };
    for it in [
        case(&[Serving, Serving], false),
        case(&[Draining, Draining], false),
        case(&[NoAnswer, NoAnswer], false),
        case(&[Draining, Serving], true),
        case(&[Serving, NoAnswer, Serving], true),
        case(&[Serving, Draining, NoAnswer, Serving], true),
    ] {
        let mut watch = DrainWatch::default();
        let over = it.results.iter().any(|result| watch.is_drain_over(*result));
        assert_eq!(over, it.over, "{:?}", it.results);
    }
}
