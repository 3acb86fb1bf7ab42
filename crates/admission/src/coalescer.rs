//! Coalesces equal concurrent requests into one, whose answer all of them share.

use std::collections::HashMap;

use smallvec::SmallVec;

use crate::Millis;

/// Role of a request in a group of equal requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Join {
    /// The request is sent to the target.
    Leader,
    /// The request waits for the leader's answer.
    Follower,
}

#[derive(Clone, Copy, Debug)]
struct Waiter {
    id: u64,
    deadline: Millis,
}

#[derive(Clone, Debug)]
struct Group {
    leader: u64,
    followers: SmallVec<[Waiter; 4]>,
}

/// Groups of equal idempotent requests, by fingerprint. It is used only for services for which the
/// document allows it, and the fingerprint must cover everything that the answer depends on.
#[derive(Clone, Debug, Default)]
pub struct Coalescer {
    groups: HashMap<u64, Group>,
}

impl Coalescer {
    /// Creates a coalescer without groups.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the request `id` to the group of the fingerprint `fp`. The code that uses this crate
    /// watches the leader's deadline and calls [`cancel`](Self::cancel) when it passes.
    pub fn join(&mut self, fp: u64, id: u64, deadline: Millis) -> Join {
        if let Some(group) = self.groups.get_mut(&fp) {
            group.followers.push(Waiter { id, deadline });
            return Join::Follower;
        }
        let group = Group {
            leader: id,
            followers: SmallVec::new(),
        };
        self.groups.insert(fp, group);
        Join::Leader
    }

    /// Removes the group after the leader was answered or refused, and returns the followers, which
    /// share that answer or refusal. A refusal that concerns only the leader (`caller_share`, the
    /// deadlines) must not be shared: remove such a leader with [`cancel`](Self::cancel).
    pub fn done(&mut self, fp: u64) -> SmallVec<[u64; 8]> {
        let group = self.groups.remove(&fp);
        group
            .into_iter()
            .flat_map(|it| it.followers)
            .map(|it| it.id)
            .collect()
    }

    /// Removes the request `id`, whose caller has disconnected or whose deadline has passed. If it
    /// was the leader, the follower with the latest deadline becomes the leader and is returned: it
    /// must be sent to the target.
    pub fn cancel(&mut self, fp: u64, id: u64) -> Option<u64> {
        let group = self.groups.get_mut(&fp)?;
        if group.leader != id {
            group.followers.retain(|it| it.id != id);
            return None;
        }
        let latest = (0..group.followers.len()).max_by_key(|&idx| group.followers[idx].deadline);
        let Some(idx) = latest else {
            self.groups.remove(&fp);
            return None;
        };
        group.leader = group.followers.remove(idx).id;
        Some(group.leader)
    }

    /// Removes the followers whose deadline has passed, and returns them.
    pub fn expire(&mut self, now: Millis) -> SmallVec<[u64; 4]> {
        let mut expired = SmallVec::new();
        for group in self.groups.values_mut() {
            group.followers.retain(|it| {
                let is_expired = it.deadline <= now;
                if is_expired {
                    expired.push(it.id);
                }
                !is_expired
            });
        }
        expired.sort_unstable();
        expired
    }
}

#[cfg(test)]
mod tests;
