//! Connections for control messages, and broadcasts to all other hosts.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use futures::future::join_all;
use ownership::TableRow;
use peer::{Adoption, PeerClient, QuarantineEntry, TargetReach};
use platform::Member;
use tarpc::{client::RpcError, context};

use crate::{clock::Millis, host::Host};

/// Timeout for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Timeout of most calls to a peer.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout of calls for votes. Short enough that silent connections are replaced before `VOTE_MS`
/// has passed, even if those to both other voters go silent at the same time.
const VOTE_TIMEOUT: Duration = Duration::from_millis(120);

/// Timeout of calls that copy the table.
const TABLE_TIMEOUT: Duration = Duration::from_secs(5);

/// One connection to each peer, opened when it is first needed.
#[derive(Default)]
pub struct Peers {
    clients: Mutex<HashMap<SocketAddr, PeerClient>>,
    last_answers: Mutex<HashMap<Arc<str>, Millis>>,
}

impl Peers {
    /// Creates an empty set of connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// The connection to a peer; `None` if it cannot be reached.
    pub async fn client(&self, address: SocketAddr) -> Option<PeerClient> {
        if let Some(client) = self.clients().get(&address) {
            return Some(client.clone());
        }
        let client = peer::connect(address, CONNECT_TIMEOUT).await.ok()?;
        self.clients().insert(address, client.clone());
        Some(client)
    }

    /// Records the result of a call: after an error the connection is closed, and after an answer
    /// the peer counts as live at `now`.
    pub fn record_result<T>(
        &self,
        address: SocketAddr,
        name: &Arc<str>,
        now: Millis,
        result: Result<T, RpcError>,
    ) -> Option<T> {
        match result {
            Ok(it) => {
                let mut last_answers = self.last_answers.lock().expect("lock is not poisoned");
                last_answers.insert(Arc::clone(name), now);
                Some(it)
            }
            Err(err) => {
                log::debug!("call to peer {name} failed: {err}");
                self.clients().remove(&address);
                None
            }
        }
    }

    /// When the peer last answered.
    pub fn last_answer(&self, name: &str) -> Option<Millis> {
        self.last_answers
            .lock()
            .expect("lock is not poisoned")
            .get(name)
            .copied()
    }

    /// Sends new rows to all other hosts.
    pub async fn push_rows(&self, host: &Host, rows: Vec<TableRow>) {
        let call = |it: PeerClient| {
            let rows = rows.clone();
            async move { it.push_rows(call_context(), rows).await }
        };
        self.broadcast(host, call).await;
    }

    /// Sends adoption hints to all other hosts.
    pub async fn push_adoptions(&self, host: &Host, adoptions: Vec<Adoption>) {
        let call = |it: PeerClient| {
            let adoptions = adoptions.clone();
            async move { it.push_adoptions(call_context(), adoptions).await }
        };
        self.broadcast(host, call).await;
    }

    /// Tells all other hosts which targets stopped or started to answer.
    pub async fn push_reach(&self, host: &Host, updates: Vec<TargetReach>) {
        let call = |it: PeerClient| {
            let updates = updates.clone();
            async move { it.push_reach(call_context(), updates).await }
        };
        self.broadcast(host, call).await;
    }

    /// Sends quarantine entries to all other hosts.
    pub async fn push_quarantine(&self, host: &Host, entries: Vec<QuarantineEntry>) {
        let call = |it: PeerClient| {
            let entries = entries.clone();
            async move { it.push_quarantine(call_context(), entries).await }
        };
        self.broadcast(host, call).await;
    }

    async fn broadcast<F, R>(&self, host: &Host, call: F)
    where
        F: Fn(PeerClient) -> R,
        R: Future<Output = Result<(), RpcError>>,
    {
        let call = &call;
        let calls = host.other_hosts().into_iter().filter_map(|member| {
            let address = member.peer?;
            Some(async move {
                let Some(client) = self.client(address).await else {
                    return;
                };
                let result = call(client).await;
                self.record_result(address, &member.name, host.clock.now(), result);
            })
        });
        join_all(calls).await;
    }

    /// Reads the rows that a peer has after `rev`.
    pub async fn rows_after(&self, address: SocketAddr, rev: u64) -> Option<peer::TableCopy> {
        let client = self.client(address).await?;
        match client
            .rows_after(context_with_timeout(TABLE_TIMEOUT), rev)
            .await
        {
            Ok(copy) => Some(copy),
            Err(err) => {
                log::debug!("the table of peer {address} cannot be read: {err}");
                self.clients().remove(&address);
                None
            }
        }
    }

    /// Calls a peer to learn whether it answers, and records the result.
    pub async fn ping(&self, host: &Host, member: &Member) {
        let Some(address) = member.peer else { return };
        let Some(client) = self.client(address).await else {
            return;
        };
        let result = client.vote(call_context(), None, Vec::new()).await;
        self.record_result(address, &member.name, host.clock.now(), result);
    }

    fn clients(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, PeerClient>> {
        self.clients.lock().expect("lock is not poisoned")
    }
}

/// The context of a call with the usual timeout.
pub fn call_context() -> context::Context {
    context_with_timeout(CALL_TIMEOUT)
}

/// The context of a call for votes.
pub fn vote_context() -> context::Context {
    context_with_timeout(VOTE_TIMEOUT)
}

fn context_with_timeout(timeout: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + timeout;
    context
}
