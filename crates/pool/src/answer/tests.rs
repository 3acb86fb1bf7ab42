use std::{
    collections::VecDeque,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use super::{AnswerError, AnswerLimits, UNCOUNTED_BYTES};

/// A body of frames with the given lengths.
struct Frames {
    lengths: VecDeque<usize>,
    /// The length that is announced; 0 if none is.
    announced: u64,
}

impl Frames {
    fn new(lengths: &[usize]) -> Self {
        Self {
            lengths: lengths.iter().copied().collect(),
            announced: 0,
        }
    }
}

impl Body for Frames {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let length = self.lengths.pop_front();
        Poll::Ready(length.map(|it| Ok(Frame::data(Bytes::from(vec![b'a'; it])))))
    }

    fn size_hint(&self) -> SizeHint {
        let mut hint = SizeHint::new();
        hint.set_lower(self.announced);
        hint
    }
}

/// Guards against a body that is read beyond its limit, and against one that is cut although it is
/// within the limit.
#[tokio::test]
async fn bodies_are_read_up_to_the_limit() {
    struct Case {
        name: &'static str,
        lengths: &'static [usize],
        announced: u64,
        /// Length of the body; `None` if it is too long.
        read: Option<usize>,
    }
    let cases = [
        Case {
            name: "empty",
            lengths: &[],
            announced: 0,
            read: Some(0),
        },
        Case {
            name: "up to the limit",
            lengths: &[60, 40],
            announced: 100,
            read: Some(100),
        },
        Case {
            name: "a byte too long",
            lengths: &[60, 41],
            announced: 0,
            read: None,
        },
        Case {
            name: "announced as too long",
            lengths: &[1],
            announced: 101,
            read: None,
        },
        Case {
            name: "announced as absurdly long",
            lengths: &[1],
            announced: u64::MAX,
            read: None,
        },
    ];
    let limits = AnswerLimits::new(100, 1_000);
    for case in cases {
        let mut body = Frames::new(case.lengths);
        body.announced = case.announced;
        let read = limits.read(body).await;
        if case.read.is_none() {
            let err = read.as_ref().err();
            assert!(
                matches!(err, Some(AnswerError::TooLong(100))),
                "{}: {err:?}",
                case.name
            );
        }
        assert_eq!(read.ok().map(|it| it.len()), case.read, "{}", case.name);
    }
}

/// Guards against a total that is never given back, and against short answers that fail because of
/// long ones.
#[tokio::test]
async fn the_total_limits_long_bodies_only_and_is_given_back() {
    let limits = AnswerLimits::new(usize::MAX, 10);
    let long = UNCOUNTED_BYTES + 10;
    for _ in 0..3 {
        let read = limits.read(Frames::new(&[long])).await;
        assert_eq!(read.ok().map(|it| it.len()), Some(long));
        let read = limits.read(Frames::new(&[long, 1])).await;
        assert!(matches!(read, Err(AnswerError::TooManyBytes)), "{read:?}");
    }
    let mut held = super::Reservation::new(Arc::clone(&limits.left));
    assert!(held.grow_to(long));
    let read = limits.read(Frames::new(&[UNCOUNTED_BYTES + 1])).await;
    assert!(matches!(read, Err(AnswerError::TooManyBytes)), "{read:?}");
    let read = limits.read(Frames::new(&[UNCOUNTED_BYTES])).await;
    assert_eq!(read.ok().map(|it| it.len()), Some(UNCOUNTED_BYTES));
}

/// Guards against bodies that wait in memory beyond the total, and against a total that stays used up
/// after they are gone.
#[tokio::test]
async fn kept_bodies_count_until_they_are_dropped() {
    let long = 2 * UNCOUNTED_BYTES;
    let limits = AnswerLimits::new(4 * UNCOUNTED_BYTES, UNCOUNTED_BYTES);
    let read = |length: usize| limits.read_kept(Frames::new(&[length]), long);
    let kept = read(long).await.expect("the total is free");
    assert_eq!(kept.len(), long);
    let part = kept.slice(1..2);
    drop(kept);
    assert!(matches!(read(long).await, Err(AnswerError::TooManyBytes)));
    assert_eq!(read(10).await.expect("it is short").len(), 10);
    drop(part);
    assert!(read(long).await.is_ok());
    assert!(matches!(read(long + 1).await, Err(AnswerError::TooLong(it)) if it == long));
}
