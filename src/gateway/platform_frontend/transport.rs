//! Sends the router's attempts to the storage nodes of the platform.

use super::request_memory::Reservation;
use crate::gateway::node_registry::NodeRegistry;
use crate::gateway::node_transport::{AttemptPayload, ResponsePolicy, start_attempt};
use crate::protocol::client_request::{self, ForwardedRequest};
use crate::routing::{Attempt, AttemptTransport, RouterHandle};
use crate::transport::{ResponseMemory, StreamingRule};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Request, Response, StatusCode};
use std::time::Duration;
use tokio::sync::mpsc;

/// Duration after which a response that has begun counts as malformed if nothing more of it arrives. Storage
/// nodes write a complete response at once. The platform's pages do not state this duration.
const RESPONSE_STALL_TIMEOUT: Duration = Duration::from_millis(100);

/// A client's request, and the reservation of its memory.
pub struct PlatformPayload {
    request: ForwardedRequest,
    _reservation: Reservation,
}

impl PlatformPayload {
    pub(super) fn new(request: ForwardedRequest, reservation: Reservation) -> Self {
        PlatformPayload { request, _reservation: reservation }
    }
}

impl AttemptPayload for PlatformPayload {
    type Response = Bytes;

    fn encode(&self, time_left: Duration) -> Request<Full<Bytes>> {
        client_request::encode(&self.request, time_left)
    }

    fn accepts_response(&self, status: StatusCode, _: &HeaderMap) -> bool {
        status == StatusCode::OK
    }

    fn complete_response(response: Response<Bytes>) -> Bytes {
        response.into_body()
    }
}

/// Sends the router's attempts to the storage nodes.
pub struct PlatformTransport {
    /// Handle to the router, to which the ends of attempts are reported.
    pub router: RouterHandle<PlatformPayload, Bytes>,
    /// The storage nodes and their connection pools.
    pub nodes: NodeRegistry,
    /// Sender of watch commands to the [`EndpointWatcher`](crate::gateway::discovery::EndpointWatcher).
    pub watch_commands: mpsc::UnboundedSender<()>,
    /// Limits the memory of the responses to all requests.
    pub response_memory: ResponseMemory,
}

impl AttemptTransport<PlatformPayload> for PlatformTransport {
    fn start(&mut self, attempt: Attempt<PlatformPayload>) {
        let policy = ResponsePolicy {
            stall_timeout: RESPONSE_STALL_TIMEOUT,
            max_body_len: client_request::MAX_BODY_LEN,
            streaming: StreamingRule::never(),
            response_memory: Some(self.response_memory.clone()),
        };
        start_attempt(&self.router, &self.nodes, attempt, policy);
    }

    fn watch_endpoints(&mut self) {
        // Sending fails only if the endpoint watcher has stopped, which happens only when the program exits.
        let _ = self.watch_commands.send(());
    }
}
