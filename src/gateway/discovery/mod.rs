//! Polls the discovery service for the endpoint list and publishes the results to the router.

mod announcement;

use self::announcement::PollAttempt;
use super::body_reader::collect_body;
use super::log;
use super::metrics::GatewayMetrics;
use super::node_registry::NodeRegistry;
use crate::protocol::endpoint_list::{self, EndpointList, ListKind};
use crate::routing::{Clock, RouterHandle};
use crate::scheduler::EndpointUpdate;
use crate::transport::NodeConnection;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// Longest time for which a watch waits for changes, as in the Protocol page's example.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(20);
/// Upper bound of the difference between the longest and the shortest watch wait. The difference approaches
/// this bound as the number of gateways grows.
const WATCH_WAIT_SPREAD: Duration = Duration::from_secs(8);
/// Longest time for which the first watch after a reload waits for changes. What discovery has to tell counts
/// as announced 4 s after SIGHUP. A watch that discovery never answers must time out before.
const MAX_RELOAD_WATCH_WAIT: Duration = Duration::from_millis(2_500);
/// Like [`WATCH_WAIT_SPREAD`], for the first watch after a reload.
const RELOAD_WATCH_WAIT_SPREAD: Duration = Duration::from_secs(2);
/// Maximum duration of a poll; for a watch, in addition to its wait.
///
/// The platform considers a gateway informed of a change at fixed times, whether or not the gateway received
/// the change (Protocol page, "Figures"):
/// - If a watch receives no response, 2 s after the end of its wait. The timeout of 1.5 s ends the watch
///   before that time.
/// - In any case, 6 s after the change, and 4 s after SIGHUP. The scheduler repeats a failed poll in time for
///   the next poll to return the change (`scheduler/endpoints.rs`).
const POLL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum length of an endpoint list, in bytes. The gateway sets this limit, not the platform. A list of
/// 3,200 storage nodes, the maximum in "A Fixed Test for All Future Versions of the Gateway", takes 419,200
/// bytes if its entries are as long as those of the Protocol page's example.
const MAX_LIST_LEN: usize = 4 * 1024 * 1024;

/// The times for which a gateway's watches wait for changes.
///
/// A change ends the watches of all gateways at the same time, and all gateways then open their next watches
/// at the same time. If discovery then stops responding, different waits make these watches time out, and be
/// reopened, one after the other instead of all at once.
#[derive(Clone, Copy, Debug)]
pub struct WatchWaits {
    usual: Duration,
    after_reload: Duration,
}

impl WatchWaits {
    /// Returns the waits of the gateway with this index, which counts from 0.
    pub fn new(gateway_index: usize, gateway_count: usize) -> Self {
        let position = gateway_index.min(gateway_count) as f64 / gateway_count.max(1) as f64;
        let spread = |max: Duration, spread: Duration| max.saturating_sub(spread.mul_f64(position));
        WatchWaits {
            usual: spread(MAX_WATCH_WAIT, WATCH_WAIT_SPREAD),
            after_reload: spread(MAX_RELOAD_WATCH_WAIT, RELOAD_WATCH_WAIT_SPREAD),
        }
    }
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

/// Where discovery is, according to the configuration.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryTarget {
    /// The address of discovery.
    pub address: SocketAddr,
    /// Time of the last reload of the configuration; `None` if there has been none.
    pub reloaded_at: Option<Instant>,
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

/// The lists that have been received from discovery.
#[derive(Default)]
struct ReceivedList {
    /// The version of the last list; `None` if there is none.
    version: Option<u64>,
    /// When the last list was received; `None` if discovery has sent none since the start of the gateway.
    received_at: Option<Instant>,
    /// Time of the first reload since the last list was received; `None` if there has been none.
    first_reload_at: Option<Instant>,
}

impl ReceivedList {
    /// Records the time of the last reload, and returns that of the first one for which no list has been
    /// received.
    fn pending_reload(&mut self, last_reload_at: Option<Instant>) -> Option<Instant> {
        let received_at = self.received_at;
        let pending = last_reload_at.filter(|reloaded_at| received_at < Some(*reloaded_at));
        self.first_reload_at = self.first_reload_at.or(pending);
        self.first_reload_at
    }

    fn record(&mut self, version: u64, received_at: Instant) {
        *self =
            ReceivedList { version: Some(version), received_at: Some(received_at), first_reload_at: None };
    }
}

/// The actor that polls discovery and forwards endpoint lists to the node registry and the router.
///
/// A poll requests endpoints from discovery once: a watch waits for changes, and any other poll requests the
/// complete list.
pub struct EndpointWatcher<P, R> {
    /// Where discovery is, which a reload of the configuration may change.
    pub discovery: watch::Receiver<DiscoveryTarget>,
    /// Whether lists are pushed to the gateway's machine. What has been pushed counts as announced, so that a
    /// watch is opened at once and a failed one reopened as soon as possible. Otherwise, the scheduler
    /// decides when to poll first.
    pub lists_are_pushed: bool,
    /// Times for which watches wait for changes.
    pub watch_waits: WatchWaits,
    /// The endpoint list known before the gateway started, which discovery has not confirmed. `None` if there
    /// is none; an empty list is then published.
    pub cached_list: Option<EndpointList>,
    /// The registry to which the lists are applied, with the connection pools of the nodes.
    pub nodes: NodeRegistry,
    /// Handle to the router, to which endpoint lists and failed polls are reported.
    pub router: RouterHandle<P, R>,
    /// The router's clock, to which the times of failed polls refer.
    pub clock: Clock,
    /// Counts polls, failed polls, malformed lists and list entries.
    pub metrics: Rc<GatewayMetrics>,
}

impl<P, R> EndpointWatcher<P, R> {
    /// Publishes the cached list, then polls discovery whenever the router sends a watch command or the
    /// configuration is reloaded. Polls repeatedly until a poll fails or two consecutive watches time out,
    /// and then waits for the next command: the scheduler decides when to poll again.
    ///
    /// Returns when `watch_commands` is closed.
    pub async fn run(self, mut watch_commands: mpsc::UnboundedReceiver<()>) {
        let mut received = ReceivedList { version: self.publish_cached_list(), ..ReceivedList::default() };
        let mut reloads = self.discovery.clone();
        let mut polls_at_once = self.lists_are_pushed;
        loop {
            if !std::mem::take(&mut polls_at_once) {
                tokio::select! {
                    command = watch_commands.recv() => if command.is_none() { return },
                    Ok(()) = reloads.changed() => {}
                }
            }
            let failed = self.watch_until_failure(&mut received, &mut reloads).await;
            // Discards commands from the router that arrived while polling. Each would start another poll at
            // once, which would violate the platform's rule on the pause between polls.
            while watch_commands.try_recv().is_ok() {}
            self.report_failure(failed);
        }
    }

    /// Reports a poll that has just failed to the scheduler.
    fn report_failure(&self, failed: PollAttempt) {
        let now = Instant::now();
        let announced_at = if self.lists_are_pushed { now } else { failed.missed_changes_announced_at(now) };
        let announced_by_us = Some(self.clock.us_at(announced_at));
        self.router.endpoints_updated(EndpointUpdate::PollFailed { announced_by_us });
    }

    /// Publishes the cached list, or an empty list if there is none. Returns the version of the cached list.
    fn publish_cached_list(&self) -> Option<u64> {
        let endpoints = self.cached_list.as_ref().map_or(&[][..], |list| &list.endpoints);
        let endpoints = self.nodes.apply(ListKind::Snapshot, endpoints);
        self.router.endpoints_updated(EndpointUpdate::Cached(endpoints));
        self.cached_list.as_ref().map(|list| list.version)
    }

    /// Polls discovery until a poll fails or two consecutive watches time out. Returns the last poll.
    ///
    /// A watch that times out may have missed changes. The platform soon considers the gateway informed of
    /// these changes, so the watch is reopened at once after the first timeout. The platform may already
    /// consider the gateway informed, so the timeout is also reported to the scheduler as a failed poll.
    ///
    /// If discovery's address changes, aborts the poll and starts a new one at the new address at once,
    /// because discovery may never respond at the old address.
    async fn watch_until_failure(
        &self,
        received: &mut ReceivedList,
        reloads: &mut watch::Receiver<DiscoveryTarget>,
    ) -> PollAttempt {
        let mut session = WatchSession::default();
        loop {
            let target = *reloads.borrow_and_update();
            let attempt = self.next_attempt(target, received);
            let polled = tokio::select! {
                polled = self.poll(&mut session.idle_connection, target.address, received.version, attempt) => {
                    polled
                }
                Ok(_) = reloads.wait_for(|reloaded| reloaded.address != target.address) => {
                    session.idle_connection = None;
                    continue;
                }
            };
            match polled {
                Ok(list) => {
                    session.last_watch_timed_out = false;
                    received.record(list.version, Instant::now());
                    self.publish(&list);
                }
                Err(PollError::WatchTimedOut) if !session.last_watch_timed_out => {
                    session.last_watch_timed_out = true;
                    self.report_failure(attempt);
                }
                Err(_) => return attempt,
            }
        }
    }

    /// Returns the poll that starts now. It is a watch if a list has been received; the first watch after a
    /// reload is short.
    fn next_attempt(&self, target: DiscoveryTarget, received: &mut ReceivedList) -> PollAttempt {
        let pending_reload_at = received.pending_reload(target.reloaded_at);
        let wait = match pending_reload_at {
            Some(_) => self.watch_waits.after_reload,
            None => self.watch_waits.usual,
        };
        let wait = received.version.map(|_| wait);
        PollAttempt { started_at: Instant::now(), wait, pending_reload_at }
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
        address: SocketAddr,
        version: Option<u64>,
        attempt: PollAttempt,
    ) -> Result<EndpointList, PollError> {
        self.metrics.list_calls.increment();
        let timeout = attempt.wait.unwrap_or_default() + POLL_TIMEOUT;
        let request = || endpoint_list::list_request(address, version, attempt.wait.unwrap_or_default());
        match tokio::time::timeout(timeout, fetch_list(idle_connection, address, request)).await {
            Ok(Ok(body)) => self.decode_list(&body),
            Ok(Err(FetchError::ConnectionFailed | FetchError::UnusableResponse)) => {
                self.metrics.list_failures.increment();
                Err(PollError::Failed)
            }
            Err(_) => {
                self.metrics.list_failures.increment();
                Err(if attempt.wait.is_some() { PollError::WatchTimedOut } else { PollError::Failed })
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
}

/// Returns the body of discovery's response. Reuses `idle_connection` if possible.
async fn fetch_list(
    idle_connection: &mut Option<NodeConnection>,
    address: SocketAddr,
    request: impl Fn() -> Request<Full<Bytes>>,
) -> Result<Bytes, FetchError> {
    // The failure of a reused connection does not mean that discovery is down: discovery may have closed the
    // connection while the request was being written. The request is repeated on a new connection.
    if let Some(reused) = idle_connection.take().filter(NodeConnection::is_reusable) {
        let fetched = request_list(reused, idle_connection, request()).await;
        if fetched != Err(FetchError::ConnectionFailed) {
            return fetched;
        }
    }
    // Without this timeout, connecting to an unreachable machine could take as long as a watch.
    let connecting = tokio::time::timeout(POLL_TIMEOUT, NodeConnection::connect(address));
    let Ok(Ok(connection)) = connecting.await else { return Err(FetchError::ConnectionFailed) };
    request_list(connection, idle_connection, request()).await
}

/// Sends one request on `connection` and returns the body of the response. Stores the connection in
/// `idle_connection` if a complete response with status 200 was received.
async fn request_list(
    mut connection: NodeConnection,
    idle_connection: &mut Option<NodeConnection>,
    request: Request<Full<Bytes>>,
) -> Result<Bytes, FetchError> {
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

#[cfg(test)]
mod tests;
