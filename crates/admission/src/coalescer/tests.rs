use super::*;

/// Guards against a follower that gets no answer, two answers, or no new leader.
#[test]
fn followers_share_the_answer_or_are_promoted() {
    let mut coalescer = Coalescer::new();
    assert_eq!(coalescer.join(7, 1, 100), Join::Leader);
    for (id, deadline) in [(2, 50), (3, 300), (4, 200)] {
        assert_eq!(coalescer.join(7, id, deadline), Join::Follower);
    }
    assert_eq!(
        coalescer.join(8, 9, 100),
        Join::Leader,
        "a different request"
    );
    assert_eq!(coalescer.expire(49)[..], [0_u64; 0]);
    assert_eq!(coalescer.expire(50)[..], [2]);
    assert_eq!(
        coalescer.cancel(7, 1),
        Some(3),
        "the follower with the latest deadline becomes the leader"
    );
    assert_eq!(
        coalescer.cancel(7, 1),
        None,
        "the old leader is already removed"
    );
    assert_eq!(coalescer.join(7, 5, 400), Join::Follower);
    assert_eq!(coalescer.cancel(7, 4), None, "a follower is removed");
    assert_eq!(coalescer.done(7)[..], [5]);
    assert_eq!(coalescer.done(7)[..], [0_u64; 0]);
    assert_eq!(coalescer.join(7, 6, 400), Join::Leader, "a new group");
    assert_eq!(coalescer.cancel(7, 6), None);
    assert_eq!(coalescer.cancel(8, 9), None);
    assert!(coalescer.groups.is_empty());
}
