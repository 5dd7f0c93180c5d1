//! Polls the discovery service for the endpoint list and publishes the results to the router.

use super::body_reader::collect_body;
use super::log;
use super::metrics::GatewayMetrics;
use super::node_registry::NodeRegistry;
use crate::protocol::endpoint_list::{self, EndpointList, ListKind};
use crate::routing::RouterHandle;
use crate::scheduler::EndpointUpdate;
use crate::transport::NodeConnection;
use bytes::Bytes;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Longest time for which a watch waits for changes, as in the Protocol page's example.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(20);
/// Upper bound of the difference between the longest and the shortest watch wait. The difference approaches
/// this bound as the number of gateways grows.
const WATCH_WAIT_SPREAD: Duration = Duration::from_secs(8);
/// Maximum duration of a poll; for a watch, in addition to its wait.
///
/// The platform considers a gateway informed of a change at fixed times, whether or not the gateway received
/// the change (Protocol page, "Figures"):
/// - If a watch receives no response, 2 s after the end of its wait. The timeout of 1.5 s ends the watch
///   before that time.
/// - In any case, 6 s after the change. The scheduler repeats a failed poll at most 4.5 s later
///   (`MAX_POLL_RETRY_PERIOD_US` in `scheduler/endpoints.rs`), and 4.5 s + 1.5 s = 6 s.
const POLL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum length of an endpoint list, in bytes. The gateway sets this limit, not the platform. A list of
/// 3,200 storage nodes, the maximum in "A Fixed Test for All Future Versions of the Gateway", takes 419,200
/// bytes if its entries are as long as those of the Protocol page's example.
const MAX_LIST_LEN: usize = 4 * 1024 * 1024;

/// Returns the time for which this gateway's watches wait for changes. `gateway_index` counts from 0.
///
/// A change ends the watches of all gateways at the same time, and all gateways then open their next watches
/// at the same time. If discovery then stops responding, different waits make these watches time out, and be
/// reopened, one after the other instead of all at once.
pub fn watch_wait(gateway_index: usize, gateway_count: usize) -> Duration {
    let position = gateway_index.min(gateway_count) as f64 / gateway_count.max(1) as f64;
    MAX_WATCH_WAIT.saturating_sub(WATCH_WAIT_SPREAD.mul_f64(position))
}

/// Reasons why a poll returned no endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum PollError {
    /// A watch received no complete response within its wait plus [`POLL_TIMEOUT`].
    #[error("watch of the endpoint list timed out")]
    WatchTimedOut,
    /// Discovery could not be reached, rejected the request or did not send a complete and valid list, or a
    /// request for the complete list timed out.
    #[error("poll of the endpoint list failed")]
    Failed,
}

/// Reasons why a request to discovery returned no body to decode.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FetchError {
    /// No connection could be established, or it failed before a response was received.
    ConnectionFailed,
    /// The status of the response is not 200, or its body is incomplete or longer than [`MAX_LIST_LEN`].
    UnusableResponse,
}

/// The state of a sequence of polls. The sequence ends when a poll fails or when two consecutive watches
/// time out.
#[derive(Default)]
struct WatchSession {
    /// The connection of the last poll, for reuse; `None` if that poll received no complete response.
    idle_connection: Option<NodeConnection>,
    /// Whether the last poll was a watch that timed out. If the next poll times out too, the sequence ends.
    last_watch_timed_out: bool,
}

/// The actor that polls discovery and forwards endpoint lists to the node registry and the router.
///
/// A poll requests endpoints from discovery once: a watch waits for changes, and any other poll requests the
/// complete list.
pub struct EndpointWatcher<P, R> {
    /// The address of discovery, which a reload of the configuration may change.
    pub discovery_address: watch::Receiver<SocketAddr>,
    /// Time for which a watch waits for changes, from [`watch_wait`].
    pub watch_wait: Duration,
    /// The endpoint list known before the gateway started, which discovery has not confirmed. `None` if there
    /// is none; an empty list is then published.
    pub cached_list: Option<EndpointList>,
    /// The registry to which the lists are applied, with the connection pools of the nodes.
    pub nodes: NodeRegistry,
    /// Handle to the router, to which endpoint lists and failed polls are reported.
    pub router: RouterHandle<P, R>,
    /// Counts polls, failed polls, malformed lists and list entries.
    pub metrics: Rc<GatewayMetrics>,
}

impl<P, R> EndpointWatcher<P, R> {
    /// Publishes the cached list, then polls discovery whenever the router sends a watch command or
    /// discovery's address changes. Polls repeatedly until a poll fails or two consecutive watches time out,
    /// and then waits for the next command: the scheduler decides when to poll again.
    ///
    /// Returns when `watch_commands` is closed.
    pub async fn run(self, mut watch_commands: mpsc::UnboundedReceiver<()>) {
        let mut version = self.publish_cached_list();
        let mut address_changes = self.discovery_address.clone();
        loop {
            tokio::select! {
                command = watch_commands.recv() => if command.is_none() { return },
                Ok(()) = address_changes.changed() => {}
            }
            self.watch_until_failure(&mut version, &mut address_changes).await;
            // Discards commands from the router that arrived while polling. Each would start another poll at
            // once, which would violate the platform's rule on the pause between polls.
            while watch_commands.try_recv().is_ok() {}
            self.router.endpoints_updated(EndpointUpdate::PollFailed);
        }
    }

    /// Publishes the cached list, or an empty list if there is none. Returns the version of the cached list.
    fn publish_cached_list(&self) -> Option<u64> {
        let endpoints = self.cached_list.as_ref().map_or(&[][..], |list| &list.endpoints);
        let endpoints = self.nodes.apply(ListKind::Snapshot, endpoints);
        self.router.endpoints_updated(EndpointUpdate::Cached(endpoints));
        self.cached_list.as_ref().map(|list| list.version)
    }

    /// Polls discovery until a poll fails or two consecutive watches time out.
    ///
    /// A watch that times out may have missed changes. The platform soon considers the gateway informed of
    /// these changes, so the watch is reopened at once after the first timeout. The platform may already
    /// consider the gateway informed, so the timeout is also reported to the scheduler as a failed poll.
    ///
    /// If discovery's address changes, aborts the poll and starts a new one at the new address at once,
    /// because discovery may never respond at the old address.
    async fn watch_until_failure(
        &self,
        version: &mut Option<u64>,
        address_changes: &mut watch::Receiver<SocketAddr>,
    ) {
        let mut session = WatchSession::default();
        loop {
            let polled = tokio::select! {
                polled = self.poll(&mut session.idle_connection, *version) => polled,
                Ok(()) = address_changes.changed() => {
                    session.idle_connection = None;
                    continue;
                }
            };
            match polled {
                Ok(list) => {
                    session.last_watch_timed_out = false;
                    *version = Some(list.version);
                    self.publish(&list);
                }
                Err(PollError::WatchTimedOut) if !session.last_watch_timed_out => {
                    session.last_watch_timed_out = true;
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

    /// Polls discovery once: watches for changes after `version`, or requests the complete list if `version`
    /// is `None`.
    async fn poll(
        &self,
        idle_connection: &mut Option<NodeConnection>,
        version: Option<u64>,
    ) -> Result<EndpointList, PollError> {
        self.metrics.list_calls.increment();
        let timeout = if version.is_some() { self.watch_wait + POLL_TIMEOUT } else { POLL_TIMEOUT };
        match tokio::time::timeout(timeout, self.fetch_list(idle_connection, version)).await {
            Ok(Ok(body)) => self.decode_list(&body),
            Ok(Err(FetchError::ConnectionFailed | FetchError::UnusableResponse)) => {
                self.metrics.list_failures.increment();
                Err(PollError::Failed)
            }
            Err(_) => {
                self.metrics.list_failures.increment();
                let is_watch = version.is_some();
                Err(if is_watch { PollError::WatchTimedOut } else { PollError::Failed })
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
                    "discovery sent a malformed endpoint list; the previous list stays in effect: {error}"
                ));
                Err(PollError::Failed)
            }
        }
    }

    /// Returns the body of discovery's response. Reuses `idle_connection` if possible.
    async fn fetch_list(
        &self,
        idle_connection: &mut Option<NodeConnection>,
        version: Option<u64>,
    ) -> Result<Bytes, FetchError> {
        let address = *self.discovery_address.borrow();
        // The failure of a reused connection does not mean that discovery is down: discovery may have closed
        // the connection while the request was being written. The request is repeated on a new connection.
        if let Some(reused) = idle_connection.take().filter(NodeConnection::is_reusable) {
            let fetched = self.request_list(reused, idle_connection, address, version).await;
            if fetched != Err(FetchError::ConnectionFailed) {
                return fetched;
            }
        }
        // Without this timeout, connecting to an unreachable machine could take as long as a watch.
        let connecting = tokio::time::timeout(POLL_TIMEOUT, NodeConnection::connect(address));
        let Ok(Ok(connection)) = connecting.await else { return Err(FetchError::ConnectionFailed) };
        self.request_list(connection, idle_connection, address, version).await
    }

    /// Sends one request on `connection` and returns the body of the response. Stores the connection in
    /// `idle_connection` if a complete response with status 200 was received.
    async fn request_list(
        &self,
        mut connection: NodeConnection,
        idle_connection: &mut Option<NodeConnection>,
        address: SocketAddr,
        version: Option<u64>,
    ) -> Result<Bytes, FetchError> {
        let request = endpoint_list::list_request(address, version, self.watch_wait);
        let response = connection.send_request(request).await.map_err(|_| FetchError::ConnectionFailed)?;
        if response.status() != hyper::StatusCode::OK {
            return Err(FetchError::UnusableResponse);
        }
        let Ok(body) = collect_body(response.into_body(), MAX_LIST_LEN).await else {
            return Err(FetchError::UnusableResponse);
        };
        *idle_connection = Some(connection);
        Ok(body)
    }
}
