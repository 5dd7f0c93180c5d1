//! Sends the router's attempts to storage nodes that serve the object API.

use super::body::BodyPermit;
use crate::gateway::node_registry::NodeRegistry;
use crate::gateway::node_transport::{AttemptPayload, ResponsePolicy, start_attempt};
use crate::gateway::object_limits::ObjectLimits;
use crate::protocol::object::NodeRequest;
use crate::routing::{Attempt, AttemptTransport, RouterHandle};
use crate::transport::{StreamedBody, StreamingRule};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Request, Response, StatusCode};
use std::rc::Rc;
use std::time::Duration;

/// Maximum length of a response other than an object's data, in bytes. A full page of a list of parts is well
/// below this limit.
const MAX_METADATA_LEN: usize = 1 << 20;

/// The payload that the front end submits to the router: a request to a storage node, and the memory
/// reserved for the client's request.
pub struct ObjectPayload {
    pub(super) request: NodeRequest,
    pub(super) _memory: BodyPermit,
}

/// A storage node's response, as the front end receives it.
pub enum NodeResponse {
    /// A response that has been read completely.
    Complete(Response<Bytes>),
    /// A response whose body is streamed.
    Streamed(Response<StreamedBody>),
}

impl AttemptPayload for ObjectPayload {
    type Response = NodeResponse;

    fn encode(&self, time_left: Duration) -> Request<Full<Bytes>> {
        self.request.encode(time_left)
    }

    fn accepts_response(&self, status: StatusCode, headers: &HeaderMap) -> bool {
        self.request.accepts_response(status, headers)
    }

    fn complete_response(response: Response<Bytes>) -> NodeResponse {
        NodeResponse::Complete(response)
    }

    fn streamed_response(response: Response<StreamedBody>) -> Option<NodeResponse> {
        Some(NodeResponse::Streamed(response))
    }
}

/// Sends the router's attempts to the storage nodes.
pub struct ObjectTransport {
    /// Handle to the router, to which responses and the ends of attempts are reported.
    pub router: RouterHandle<ObjectPayload, NodeResponse>,
    /// The storage nodes and their connection pools.
    pub nodes: NodeRegistry,
    /// Limits on responses: the stall timeout and the maximum length that is buffered.
    pub limits: ObjectLimits,
}

impl ObjectTransport {
    /// Returns the streaming rule for the response to this payload's request. Successful responses with an
    /// object's data are streamed if they are longer than [`ObjectLimits::response_buffer_len`].
    fn streaming_rule(&self, payload: Rc<ObjectPayload>) -> StreamingRule {
        let may_stream = payload.request.may_stream;
        StreamingRule {
            min_body_len: self.limits.response_buffer_len,
            accepts_head: Box::new(move |status, headers| {
                may_stream && status.is_success() && payload.accepts_response(status, headers)
            }),
        }
    }
}

impl AttemptTransport<ObjectPayload> for ObjectTransport {
    fn start(&mut self, attempt: Attempt<ObjectPayload>) {
        let policy = ResponsePolicy {
            stall_timeout: self.limits.stall_timeout,
            max_body_len: MAX_METADATA_LEN.max(self.limits.response_buffer_len as usize),
            streaming: self.streaming_rule(attempt.payload.clone()),
            // Each request has reserved memory for its response.
            response_memory: None,
        };
        start_attempt(&self.router, &self.nodes, attempt, policy);
    }

    fn watch_endpoints(&mut self) {
        // The inventory actor publishes changes on its own, and the settings of the object gateway do not
        // make the scheduler request watches.
    }
}
