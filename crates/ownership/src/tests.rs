use crate::{
    GENERATION_STEP, GRANT_MS, VOTE_MS, hash_key, lengthen_for_drift, next_generation_step,
};

/// Guards against a hash that changes between versions, which would move every key.
#[test]
fn hash_is_stable() {
    assert_eq!(hash_key("archive", "horse-7"), 15_695_396_101_219_332_849);
    assert_ne!(
        hash_key("archive", "horse-7"),
        hash_key("workshop", "horse-7")
    );
}

/// Guards against a wait that ends before the lease, and against a generation that is not the first
/// of the next step.
#[test]
fn drift_and_steps() {
    assert_eq!(lengthen_for_drift(GRANT_MS), 918);
    assert_eq!(lengthen_for_drift(VOTE_MS), 408);
    assert_eq!(next_generation_step(0), GENERATION_STEP);
    assert_eq!(
        next_generation_step(GENERATION_STEP + 7),
        2 * GENERATION_STEP
    );
}
