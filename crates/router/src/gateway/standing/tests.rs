use proptest::prelude::*;

use super::*;

proptest! {
    /// Guards against a request that arrives at a target `drain_s` after it may have begun to leave,
    /// and against one that asks a target which has just answered.
    #[test]
    fn nothing_is_sent_on_old_knowledge(
        known in 0_u64..100_000,
        age in 0_u64..10_000,
        drain_ms in 100_u64..5_000,
    ) {
        let standing = Standing::of_serving(Some(known), known + age, drain_ms);
        let serving = standing == Standing::Serving;
        prop_assert!(!serving || age < drain_ms - (drain_ms / 2).min(SEND_MARGIN_MS));
        prop_assert!(serving || age >= drain_ms / 2);
        let unheard = Standing::of_serving(None, age, drain_ms);
        prop_assert_eq!(unheard, Standing::Unknown, "a process that has just started");
    }
}
