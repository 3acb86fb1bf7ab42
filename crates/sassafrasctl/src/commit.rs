//! Retries a transaction until its outcome is known.

use std::time::Duration;

use platform::{Commit, CommitResult, Platform};
use rand::Rng;
use tokio::time::{Instant, sleep};

use crate::store::{Store, StoredVersion};

/// Initial backoff between two attempts.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Maximum backoff between two attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// The outcome of a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Outcome {
    /// The change was committed as the intended version.
    Applied,
    /// Another change was committed first; this one can no longer take effect.
    Conflict,
    /// The change may have taken effect, or may still take effect.
    Unknown,
}

/// Sends `commit`, which writes `stored`, until its outcome is known or `limit` has elapsed.
///
/// [`CommitResult::NotApplied`] alone does not tell which change was committed: if an earlier
/// answer was lost, the conditions also fail because this change has already been applied. The
/// change identifier in the version's row decides. An absent row alone leaves the outcome open,
/// because an earlier copy of the request may still be in flight.
pub(crate) async fn commit_until_known(
    platform: &Platform,
    commit: &Commit,
    stored: &StoredVersion,
    limit: Duration,
) -> Outcome {
    let deadline = Instant::now() + limit;
    let mut backoff = INITIAL_BACKOFF;
    loop {
        let result = platform.commit(commit).await;
        if matches!(result, CommitResult::Applied { .. }) {
            return Outcome::Applied;
        }
        match Store::new(platform).read_version(stored.version).await {
            Ok(Some(committed)) if committed.change == stored.change => return Outcome::Applied,
            Ok(Some(_)) => return Outcome::Conflict,
            Ok(None) if matches!(result, CommitResult::NotApplied { .. }) => {
                return Outcome::Conflict;
            }
            Ok(None) | Err(_) => {}
        }
        let delay = backoff.mul_f64(rand::rng().random_range(0.5..1.0));
        if Instant::now() + delay >= deadline {
            return Outcome::Unknown;
        }
        sleep(delay).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}
