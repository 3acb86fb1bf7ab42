//! Request coalescing: equal idempotent requests that are in flight at the same time share one
//! answer, where the document allows it.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
};

use admission::{Coalescer, Join};
use bytes::Bytes;
use http::{HeaderMap, Method, Response, header, response::Parts};
use tokio::sync::oneshot;
use xxhash_rust::xxh3::Xxh3;

use crate::{
    body::{Body, full},
    gateway_target::GatewayTarget,
    host::Host,
    inbound::{Execution, Inbound, REQUEST_ID},
};

/// Request headers with which the answer may be personal or partial, so that it is not shared.
const UNSHARED_HEADERS: [header::HeaderName; 4] = [
    header::AUTHORIZATION,
    header::COOKIE,
    header::RANGE,
    header::CACHE_CONTROL,
];

/// The groups of requests to one target that share answers.
#[derive(Default)]
pub struct Coalescing {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    coalescer: Coalescer,
    followers: HashMap<u64, oneshot::Sender<FollowerMessage>>,
    next_id: u64,
}

/// The message that ends the wait of a follower.
enum FollowerMessage {
    /// The shared answer.
    Answer(Parts, Bytes),
    /// The leader was dropped without an answer; this request becomes the leader.
    Lead,
    /// The answer is too long to be shared; this request is sent by itself.
    Alone,
}

/// The role of a request in its group.
pub enum Role {
    /// It is sent, and its answer is shared with the group.
    Lead(Leader),
    /// It is sent by itself.
    Alone,
    /// It was answered with the answer of another request.
    Answered(Response<Body>),
}

/// The leader of a group. If it is dropped without an answer, the follower with the latest deadline
/// becomes the leader.
pub struct Leader {
    member: GroupMember,
}

/// Membership of a request in a group; ends when it is dropped.
struct GroupMember {
    target: Arc<GatewayTarget>,
    group: u64,
    id: u64,
    active: bool,
}

/// Joins the group of equal requests, and waits for its answer unless the request leads it.
pub async fn join(host: &Host, target: &Arc<GatewayTarget>, inbound: &Inbound) -> Role {
    let Some(group) = group_of(inbound) else {
        return Role::Alone;
    };
    let (member, message) = {
        let mut state = target.coalescing.lock();
        let id = state.next_id;
        state.next_id += 1;
        let member = GroupMember {
            target: Arc::clone(target),
            group,
            id,
            active: true,
        };
        match state.coalescer.join(group, id, inbound.deadline) {
            Join::Leader => return Role::Lead(Leader { member }),
            Join::Follower => {
                let (sender, message) = oneshot::channel();
                state.followers.insert(id, sender);
                (member, message)
            }
        }
    };
    match tokio::time::timeout(host.clock.until(inbound.deadline), message).await {
        Ok(Ok(FollowerMessage::Answer(parts, body))) => {
            member.discard();
            Role::Answered(Response::from_parts(parts, full(body)))
        }
        Ok(Ok(FollowerMessage::Lead)) => Role::Lead(Leader { member }),
        Ok(Ok(FollowerMessage::Alone)) => {
            member.discard();
            Role::Alone
        }
        // If the deadline has passed, the request is refused when it tries to run.
        Ok(Err(_)) | Err(_) => Role::Alone,
    }
}

impl Leader {
    /// Sends the answer to the followers.
    pub fn share(self, parts: &Parts, body: &Bytes) {
        let mut parts = parts.clone();
        parts.headers.remove(REQUEST_ID);
        self.finish(|| FollowerMessage::Answer(parts.clone(), body.clone()));
    }

    /// Lets the followers run by themselves.
    pub fn decline(self) {
        self.finish(|| FollowerMessage::Alone);
    }

    fn finish(mut self, message: impl Fn() -> FollowerMessage) {
        self.member.active = false;
        let mut state = self.member.target.coalescing.lock();
        for id in state.coalescer.done(self.member.group) {
            if let Some(follower) = state.followers.remove(&id) {
                // The follower may have been cancelled.
                let _ = follower.send(message());
            }
        }
    }
}

impl GroupMember {
    /// Drops the membership in a group that is closed.
    fn discard(mut self) {
        self.active = false;
    }
}

impl Drop for GroupMember {
    fn drop(&mut self) {
        if !self.active {
            return;
        }
        let mut state = self.target.coalescing.lock();
        state.followers.remove(&self.id);
        let mut successor = state.coalescer.cancel(self.group, self.id);
        // If the successor was cancelled, this send fails, and dropping its own membership passes
        // the lead on.
        if let Some(follower) = successor.take().and_then(|id| state.followers.remove(&id)) {
            let _ = follower.send(FollowerMessage::Lead);
        }
    }
}

impl Coalescing {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("lock is not poisoned")
    }
}

/// The group of a request: a hash of everything that its answer can depend on.
fn group_of(inbound: &Inbound) -> Option<u64> {
    let shared = inbound.service().coalesce
        && inbound.execution == Execution::Idempotent
        && inbound.method == Method::GET
        && !UNSHARED_HEADERS
            .iter()
            .any(|it| inbound.headers.contains_key(it));
    shared.then(|| hash_of(inbound.fingerprint, &inbound.headers))
}

fn hash_of(fingerprint: u64, headers: &HeaderMap) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(&fingerprint.to_le_bytes());
    for (name, value) in headers {
        for part in [name.as_str().as_bytes(), value.as_bytes()] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
    }
    hasher.digest()
}
