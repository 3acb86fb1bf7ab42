//! Answers the control messages of other hosts.

use std::{io, sync::Arc, time::Duration};

use futures::StreamExt;
use peer::Codec;
use tarpc::{
    context::Context,
    serde_transport,
    server::{BaseChannel, Channel},
    tokio_util::codec::LengthDelimitedCodec,
};
use tokio::net::{TcpListener, TcpStream};

use super::{
    CatalogAnswer, CatalogQuery, Coordination, Report, ReportReply,
    client::MAX_MESSAGE_BYTES,
    messages::{MessageBudget, MessageReader},
};
use crate::{
    accept::accept,
    node::{News, Node},
};

/// Maximum number of calls of one connection that are served at once.
const MAX_CALLS_PER_CONNECTION: usize = 4;

/// Delay for each host between the first update and the coordinator's answer, in which it collects
/// further updates, so that it answers at most 1,000 calls a second whatever the rate of changes and
/// the number of hosts. A version of the configuration is not delayed.
const BATCH_DELAY_PER_HOST: Duration = Duration::from_millis(1);

/// Interval at which a call looks whether the configuration was read.
const REFRESH_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Longest time for which a call waits for updates.
const MAX_WAIT: Duration = Duration::from_secs(2);

#[derive(Clone)]
struct Server {
    node: Arc<Node>,
}

/// Binds the address for control messages; resolves to the loop that serves them.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn bind(node: Arc<Node>) -> io::Result<impl Future<Output = ()>> {
    let listener = TcpListener::bind(node.settings.peer).await?;
    let budget = MessageBudget::new();
    Ok(async move {
        loop {
            serve(&node, accept(&listener, "a host").await, &budget);
        }
    })
}

fn serve(node: &Arc<Node>, stream: TcpStream, budget: &MessageBudget) {
    let (reader, writer) = stream.into_split();
    let reader = MessageReader::new(reader, budget.clone());
    let stream = tokio::io::join(reader, writer);
    let framed = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_MESSAGE_BYTES)
        .new_framed(stream);
    let server = Server {
        node: Arc::clone(node),
    };
    let calls = BaseChannel::with_defaults(serde_transport::new(framed, Codec))
        .max_concurrent_requests(MAX_CALLS_PER_CONNECTION)
        .execute(server.serve())
        .for_each(|call| async move {
            tokio::spawn(call);
        });
    tokio::spawn(calls);
}

impl Coordination for Server {
    async fn sync(self, _: Context, report: Report) -> ReportReply {
        let node = self.node;
        let arrived = node.clock.now();
        let (known, catalog) = (report.known, report.catalog);
        let wait = Duration::from_millis(report.wait_ms.into()).min(MAX_WAIT);
        node.deliver_report(report);
        let mut until = tokio::time::Instant::now() + wait;
        let mut collects = false;
        loop {
            let changed = node.feed_changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if node.needs_successor() || !node.is_coordinator() {
                break;
            }
            let news = node.news_after(known, catalog);
            if news == News::Urgent {
                break;
            }
            if news == News::Usual && !collects {
                collects = true;
                until = until.min(tokio::time::Instant::now() + batch_delay(&node));
            }
            if tokio::time::timeout_at(until, changed).await.is_err() {
                break;
            }
        }
        let held_ms = node.clock.now().saturating_sub(arrived);
        ReportReply {
            held_ms,
            ..node.reply_to(known)
        }
    }

    async fn catalog(self, _: Context, query: CatalogQuery) -> CatalogAnswer {
        let node = self.node;
        node.catalog.announce(query.wanted);
        let wait = Duration::from_millis(query.wait_ms.into()).min(MAX_WAIT);
        let until = tokio::time::Instant::now() + wait;
        loop {
            let changed = node.feed_changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let stale = query.fresh && node.catalog_age_ms() > node.max_catalog_age_ms();
            if stale {
                node.refresh_soon.notify_one();
            }
            if !stale && node.catalog.version() >= query.wanted {
                break;
            }
            let now = tokio::time::Instant::now();
            if now >= until {
                break;
            }
            // Looks again whether there was a change or not: a read that finds none notifies no one.
            let _ = tokio::time::timeout_at(until.min(now + REFRESH_POLL_INTERVAL), changed).await;
        }
        CatalogAnswer {
            update: node.catalog.update_since(query.known),
            mark: node.catalog.mark(),
            age_ms: node.catalog_age_ms(),
            evacuations: node.evacuations().iter(node.clock.now()).collect(),
        }
    }
}

fn batch_delay(node: &Node) -> Duration {
    let hosts = u32::try_from(node.hosts.load().iter().count()).unwrap_or(u32::MAX);
    BATCH_DELAY_PER_HOST.saturating_mul(hosts)
}
