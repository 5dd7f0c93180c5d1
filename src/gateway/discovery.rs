use super::metrics::GatewayMetrics;
use super::node_registry::NodeRegistry;
use crate::protocol::endpoint_list::{self, EndpointList, ListKind};
use crate::routing::RouterHandle;
use crate::scheduler::EndpointUpdate;
use crate::transport::{ExchangeError, NodeConnection};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// How long a watch waits for news, and by how much less that of the last of many hosts.
const WATCH: Duration = Duration::from_secs(20);
const WATCH_SPREAD: Duration = Duration::from_secs(8);
/// How much longer its answer may take. What a silent watch misses counts as told 2 s after its wait.
const ANSWER: Duration = Duration::from_millis(1_500);
const LIST_MOST: usize = 4 * 1024 * 1024;

/// How long the watch of this host among so many waits. Watches begin together with each change and may fall
/// silent together; they are given up, and opened anew, one by one.
pub(super) fn watch_wait(host: usize, hosts: usize) -> Duration {
    WATCH - WATCH_SPREAD.mul_f64(host.min(hosts) as f64 / hosts.max(1) as f64)
}

/// How a call came to nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lost {
    /// No answer in all the time that a watch may take.
    Silent,
    /// Refused, broken, or answered with something else than a list.
    Failed,
}

/// What the list's actor needs.
pub struct EndpointWatcher<P, R> {
    /// Where discovery listens; it may move.
    pub discovery: watch::Receiver<SocketAddr>,
    /// How long a watch waits for news.
    pub wait: Duration,
    /// The list held so far.
    pub known: Option<EndpointList>,
    /// Who is told.
    pub nodes: NodeRegistry,
    /// The core.
    pub router: RouterHandle<P, R>,
    /// What it counts.
    pub metrics: Rc<GatewayMetrics>,
}

impl<P, R> EndpointWatcher<P, R> {
    /// Tells the list that is known from before, then watches whenever the core asks for it, until a call
    /// fails: when to ask anew is the scheduler's to say. When discovery moves, the watch moves at once: the
    /// old address may still hold the call, but it tells nothing more, and what the new one has to tell
    /// counts as told soon after. A watch that has fallen silent is opened anew at once as well, as what it
    /// missed is about to count as told; the scheduler hears of it, as that may have been told already.
    pub async fn run(self, mut asked: mpsc::UnboundedReceiver<()>) {
        let mut version = self.known.as_ref().map(|k| k.version);
        let known = self.known.as_ref().map_or(&[][..], |k| &k.endpoints);
        self.router.endpoints_updated(EndpointUpdate::Cached(self.nodes.apply(ListKind::Snapshot, known)));
        let mut moved = self.discovery.clone();
        loop {
            tokio::select! {
                ask = asked.recv() => if ask.is_none() { return },
                Ok(()) = moved.changed() => {}
            }
            let (mut conn, mut silent) = (None, false);
            loop {
                let list = tokio::select! {
                    list = self.call(&mut conn, version) => list,
                    Ok(()) = moved.changed() => {
                        conn = None;
                        continue;
                    }
                };
                match list {
                    Ok(list) => {
                        silent = false;
                        version = Some(list.version);
                        let endpoints = self.nodes.apply(list.kind, &list.endpoints);
                        self.router.endpoints_updated(match list.kind {
                            ListKind::Snapshot => EndpointUpdate::Snapshot(endpoints),
                            ListKind::Delta => EndpointUpdate::Delta(endpoints),
                        });
                    }
                    Err(Lost::Silent) if !silent => {
                        silent = true;
                        self.router.endpoints_updated(EndpointUpdate::PollFailed);
                    }
                    Err(_) => break,
                }
            }
            // Asked for while the watch was on: it would go out at once, against the rule on asking.
            while asked.try_recv().is_ok() {}
            self.router.endpoints_updated(EndpointUpdate::PollFailed);
        }
    }

    async fn call(
        &self,
        conn: &mut Option<NodeConnection>,
        version: Option<u64>,
    ) -> Result<EndpointList, Lost> {
        self.metrics.list_calls.increment();
        let wait = if version.is_some() { self.wait + ANSWER } else { ANSWER };
        let body = match tokio::time::timeout(wait, self.fetch(conn, version)).await {
            Ok(Some(body)) => body,
            lost => {
                self.metrics.list_failures.increment();
                return Err(if lost.is_err() && version.is_some() { Lost::Silent } else { Lost::Failed });
            }
        };
        match endpoint_list::decode(&body) {
            Ok(list) => {
                self.metrics.list_entries.add(list.endpoints.len() as u64);
                Ok(list)
            }
            Err(e) => {
                self.metrics.list_malformed.increment();
                eprintln!("storage-gateway: a list that cannot be read, the one before is kept: {e}");
                Err(Lost::Failed)
            }
        }
    }

    async fn fetch(&self, held: &mut Option<NodeConnection>, version: Option<u64>) -> Option<Bytes> {
        let address = *self.discovery.borrow();
        // A connection that was kept and breaks says nothing of discovery: it may have been closed just when
        // the call was written on it. A new one will tell.
        if let Some(conn) = held.take().filter(NodeConnection::is_reusable)
            && let Ok(answer) = self.exchange(conn, held, address, version).await
        {
            return answer;
        }
        // A machine that is cut off answers no connection either: that must not take a watch's time.
        let conn = tokio::time::timeout(ANSWER, NodeConnection::connect(address)).await.ok()?.ok()?;
        self.exchange(conn, held, address, version).await.ok().flatten()
    }

    /// One call on this connection, which is kept for the next if the answer came whole. None: an answer, but
    /// no list.
    async fn exchange(
        &self,
        mut conn: NodeConnection,
        held: &mut Option<NodeConnection>,
        address: SocketAddr,
        version: Option<u64>,
    ) -> Result<Option<Bytes>, ExchangeError> {
        let answer = conn.exchange(endpoint_list::watch_request(address, version, self.wait)).await?;
        if answer.status() != hyper::StatusCode::OK {
            return Ok(None);
        }
        let body = Limited::new(answer.into_body(), LIST_MOST).collect().await;
        let Ok(body) = body else { return Ok(None) };
        *held = Some(conn);
        Ok(Some(body.to_bytes()))
    }
}
