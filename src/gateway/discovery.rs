//! Polls discovery for the endpoint list.

use super::log;
use super::metrics::GatewayMetrics;
use super::node_registry::NodeRegistry;
use crate::protocol::endpoint_list::{self, EndpointList, ListKind};
use crate::routing::RouterHandle;
use crate::scheduler::EndpointUpdate;
use crate::transport::NodeConnection;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// How long a watch waits for changes, as in the Protocol page's example.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(20);
/// By how much less the watch of the last of many gateways waits.
const WATCH_WAIT_SPREAD: Duration = Duration::from_secs(8);
/// How long a call may take, beyond the wait of a watch. The platform treats a gateway as informed of a
/// change at fixed times, whether or not the change reached it: 2 s after the wait of a watch that stays
/// silent, and 6 s after any change (Protocol page, "Figures"). A failed call is repeated at most 4.5 s
/// later, which leaves 1.5 s for the call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The longest endpoint list that is read, in bytes. The limit is the gateway's own: 3,200 storage nodes, the
/// most of "A Fixed Test for All Future Versions of the Gateway", take 419,200 bytes at the length of the
/// Protocol page's example.
const MAX_LIST_LEN: usize = 4 * 1024 * 1024;

/// How long the watch of one of many gateways waits. Watches begin together with each change and may stop
/// responding together; different waits have them time out, and be reopened, one by one.
pub fn watch_wait(gateway_index: usize, gateway_count: usize) -> Duration {
    let position = gateway_index.min(gateway_count) as f64 / gateway_count.max(1) as f64;
    MAX_WATCH_WAIT.saturating_sub(WATCH_WAIT_SPREAD.mul_f64(position))
}

/// Why a poll brought no endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum PollError {
    /// A watch got no answer in all the time that it may take.
    #[error("the watch timed out")]
    WatchTimedOut,
    /// Discovery rejected the call, broke it off, or answered with something else than a list.
    #[error("the call failed")]
    CallFailed,
}

/// Why one request to discovery brought no body to decode.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FetchError {
    /// No connection could be opened, or it brought no response.
    ConnectionBroke,
    /// There was a response, but its status is not 200 or its body broke off or is too long.
    NotAList,
}

/// The state of a watch on discovery, from its first poll until one fails.
#[derive(Default)]
struct WatchSession {
    /// The connection of the last poll, if the answer came complete.
    connection: Option<NodeConnection>,
    /// The last poll timed out; another that times out ends the session.
    timed_out: bool,
}

/// The actor that polls discovery and passes endpoint lists on to the router.
pub struct EndpointWatcher<P, R> {
    /// Where discovery listens; it may move.
    pub discovery_address: watch::Receiver<SocketAddr>,
    /// How long a watch waits for changes.
    pub watch_wait: Duration,
    /// The endpoint list that was known before the start.
    pub cached_list: Option<EndpointList>,
    /// The connection pools of the nodes that the lists name.
    pub nodes: NodeRegistry,
    /// The router.
    pub router: RouterHandle<P, R>,
    /// The counters.
    pub metrics: Rc<GatewayMetrics>,
}

impl<P, R> EndpointWatcher<P, R> {
    /// Publishes the cached list, then watches discovery whenever the router requests it, until a call
    /// fails: when to call again is for the scheduler to decide.
    pub async fn run(self, mut watch_requests: mpsc::UnboundedReceiver<()>) {
        let mut version = self.publish_cached_list();
        let mut address_changes = self.discovery_address.clone();
        loop {
            tokio::select! {
                request = watch_requests.recv() => if request.is_none() { return },
                Ok(()) = address_changes.changed() => {}
            }
            self.watch_until_failure(&mut version, &mut address_changes).await;
            // A watch requested meanwhile would go out at once, against the rule on the pause between
            // polls.
            while watch_requests.try_recv().is_ok() {}
            self.router.endpoints_updated(EndpointUpdate::PollFailed);
        }
    }

    /// Publishes the list that was known before the start; returns its version.
    fn publish_cached_list(&self) -> Option<u64> {
        let endpoints = self.cached_list.as_ref().map_or(&[][..], |list| &list.endpoints);
        let endpoints = self.nodes.apply(ListKind::Snapshot, endpoints);
        self.router.endpoints_updated(EndpointUpdate::Cached(endpoints));
        self.cached_list.as_ref().map(|list| list.version)
    }

    /// Polls again after each answer, until a call fails.
    ///
    /// If discovery moves, reopens the watch at the new address at once: the old one may keep the call open
    /// without ever answering. A watch that times out is also reopened at once, because changes that it
    /// missed are about to take effect. The scheduler is notified of the timeout, as they may already have.
    async fn watch_until_failure(
        &self,
        version: &mut Option<u64>,
        address_changes: &mut watch::Receiver<SocketAddr>,
    ) {
        let mut session = WatchSession::default();
        loop {
            let polled = tokio::select! {
                polled = self.poll(&mut session.connection, *version) => polled,
                Ok(()) = address_changes.changed() => {
                    session.connection = None;
                    continue;
                }
            };
            match polled {
                Ok(list) => {
                    session.timed_out = false;
                    *version = Some(list.version);
                    self.publish(&list);
                }
                Err(PollError::WatchTimedOut) if !session.timed_out => {
                    session.timed_out = true;
                    self.router.endpoints_updated(EndpointUpdate::PollFailed);
                }
                Err(_) => return,
            }
        }
    }

    fn publish(&self, list: &EndpointList) {
        let endpoints = self.nodes.apply(list.kind, &list.endpoints);
        self.router.endpoints_updated(match list.kind {
            ListKind::Snapshot => EndpointUpdate::Snapshot(endpoints),
            ListKind::Delta => EndpointUpdate::Delta(endpoints),
        });
    }

    /// Makes one call: a watch for what is newer than this version, or a request for the complete list if no
    /// version is known.
    async fn poll(
        &self,
        connection: &mut Option<NodeConnection>,
        version: Option<u64>,
    ) -> Result<EndpointList, PollError> {
        self.metrics.list_calls.increment();
        let timeout = if version.is_some() { self.watch_wait + CALL_TIMEOUT } else { CALL_TIMEOUT };
        match tokio::time::timeout(timeout, self.fetch_list(connection, version)).await {
            Ok(Ok(body)) => self.decode_list(&body),
            Ok(Err(FetchError::ConnectionBroke | FetchError::NotAList)) => {
                self.metrics.list_failures.increment();
                Err(PollError::CallFailed)
            }
            Err(_) => {
                self.metrics.list_failures.increment();
                let is_watch = version.is_some();
                Err(if is_watch { PollError::WatchTimedOut } else { PollError::CallFailed })
            }
        }
    }

    fn decode_list(&self, body: &[u8]) -> Result<EndpointList, PollError> {
        match endpoint_list::decode(body) {
            Ok(list) => {
                self.metrics.list_entries.add(list.endpoints.len() as u64);
                Ok(list)
            }
            Err(error) => {
                self.metrics.list_malformed.increment();
                log::write(format_args!(
                    "malformed endpoint list, the previous one stays in effect: {error}"
                ));
                Err(PollError::CallFailed)
            }
        }
    }

    /// The body of discovery's answer.
    async fn fetch_list(
        &self,
        connection: &mut Option<NodeConnection>,
        version: Option<u64>,
    ) -> Result<Bytes, FetchError> {
        let address = *self.discovery_address.borrow();
        // A reused connection that breaks does not mean that discovery is down: it may have been closed just
        // when the request was written to it. A new one will show.
        if let Some(reused) = connection.take().filter(NodeConnection::is_reusable) {
            let fetched = self.request_list(reused, connection, address, version).await;
            if fetched != Err(FetchError::ConnectionBroke) {
                return fetched;
            }
        }
        // A machine that is cut off accepts no connection either: that must not take a watch's time.
        let connecting = tokio::time::timeout(CALL_TIMEOUT, NodeConnection::connect(address));
        let Ok(Ok(new)) = connecting.await else { return Err(FetchError::ConnectionBroke) };
        self.request_list(new, connection, address, version).await
    }

    /// One exchange on `open`, which goes back to `connection` if the answer came complete.
    async fn request_list(
        &self,
        mut open: NodeConnection,
        connection: &mut Option<NodeConnection>,
        address: SocketAddr,
        version: Option<u64>,
    ) -> Result<Bytes, FetchError> {
        let request = endpoint_list::watch_request(address, version, self.watch_wait);
        let response = open.send_request(request).await.map_err(|_| FetchError::ConnectionBroke)?;
        if response.status() != hyper::StatusCode::OK {
            return Err(FetchError::NotAList);
        }
        let Ok(body) = Limited::new(response.into_body(), MAX_LIST_LEN).collect().await else {
            return Err(FetchError::NotAList);
        };
        *connection = Some(open);
        Ok(body.to_bytes())
    }
}
