//! Builds the request to a storage node from a client's request to the object API.

use super::headers::headers_to_node;
use super::{ByteRange, ObjectRequest, Operation, header_value};
use crate::protocol::common_headers::{DEADLINE, encode_deadline};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{self, HeaderMap, HeaderName};
use hyper::{Method, Request, StatusCode};
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use std::time::Duration;

/// Characters that are escaped in a path or query: all except ASCII letters, digits and the ones listed here.
const ESCAPED_CHARS: &AsciiSet =
    &NON_ALPHANUMERIC.remove(b'/').remove(b'-').remove(b'_').remove(b'.').remove(b'~');

/// A request to a storage node, from which each attempt is encoded.
#[derive(Clone, Debug)]
pub struct NodeRequest {
    /// HTTP method.
    pub method: Method,
    /// Escaped path and query.
    pub target: String,
    /// All headers except the deadline, which differs between attempts.
    pub headers: HeaderMap,
    /// The complete body; empty for operations without a body.
    pub body: Bytes,
    /// The requested range, which a partial response must match; `None` if the complete object is requested.
    pub range: Option<ByteRange>,
    /// Whether a long response may be streamed to the client; true only for reads of an object's data.
    pub may_stream: bool,
}

impl NodeRequest {
    /// Creates the storage node's request for a client's request with these headers and this body.
    /// `node_upload_id` is the storage node's id of the upload that the request belongs to, if there is one.
    pub fn new(
        request: &ObjectRequest,
        tenant: &str,
        node_upload_id: Option<&str>,
        client_headers: &HeaderMap,
        body: Bytes,
    ) -> NodeRequest {
        let method = method_of(&request.operation);
        let range = match &request.operation {
            Operation::Read { range, .. } => range.clone(),
            _ => None,
        };
        let mut headers = headers_to_node(client_headers);
        if let Some(range) = &range {
            headers.insert(header::RANGE, header_value(range.encode()));
        }
        if method != Method::GET && method != Method::HEAD {
            headers.insert(header::CONTENT_LENGTH, body.len().into());
        }
        NodeRequest {
            method,
            target: target_of(request, tenant, node_upload_id.unwrap_or_default()),
            headers,
            body,
            range,
            may_stream: matches!(request.operation, Operation::Read { head_only: false, .. }),
        }
    }

    /// Encodes the request for one attempt. Its deadline is `remaining`: the time for which the gateway will
    /// still wait.
    pub fn encode(&self, remaining: Duration) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.parse().expect("an escaped path is a valid target");
        *request.headers_mut() = self.headers.clone();
        request.headers_mut().insert(DEADLINE, encode_deadline(remaining));
        request
    }

    /// Returns whether a response with this head serves the request. It does not if the node was overloaded
    /// or failed, or if a partial response contains another range than the requested one. Client errors other
    /// than 408 and 429 are forwarded to the client.
    pub fn accepts_response(&self, status: StatusCode, headers: &HeaderMap) -> bool {
        match status {
            StatusCode::PARTIAL_CONTENT => self.matches_range(headers),
            StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS => false,
            _ => (200..500).contains(&status.as_u16()),
        }
    }

    fn matches_range(&self, headers: &HeaderMap) -> bool {
        let header_text = |name: HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
        let content_length = header_text(header::CONTENT_LENGTH).and_then(|length| length.parse().ok());
        let range = self.range.as_ref().zip(header_text(header::CONTENT_RANGE));
        range.is_some_and(|(range, content_range)| range.matches(content_range, content_length))
    }
}

fn method_of(operation: &Operation) -> Method {
    match operation {
        Operation::Read { head_only: false, .. } | Operation::ListParts { .. } => Method::GET,
        Operation::Read { head_only: true, .. } => Method::HEAD,
        Operation::Put | Operation::UploadPart { .. } => Method::PUT,
        Operation::Delete | Operation::AbortUpload { .. } => Method::DELETE,
        Operation::InitiateUpload | Operation::CompleteUpload { .. } => Method::POST,
    }
}

/// Returns the escaped path and query. A tenant's name contains no dot, so the buckets of different tenants
/// cannot collide on a node.
fn target_of(request: &ObjectRequest, tenant: &str, node_upload_id: &str) -> String {
    let query = query_of(&request.operation, node_upload_id);
    format!("/{tenant}.{}/{}{query}", request.bucket, escape(&request.key))
}

fn query_of(operation: &Operation, node_upload_id: &str) -> String {
    let upload_id = escape(node_upload_id);
    match operation {
        Operation::Read { .. } | Operation::Put | Operation::Delete => String::new(),
        Operation::InitiateUpload => "?uploads".into(),
        Operation::UploadPart { number, .. } => format!("?partNumber={number}&uploadId={upload_id}"),
        Operation::ListParts { paging, .. } => format!("?uploadId={upload_id}{paging}"),
        Operation::CompleteUpload { .. } | Operation::AbortUpload { .. } => format!("?uploadId={upload_id}"),
    }
}

fn escape(text: &str) -> String {
    utf8_percent_encode(text, ESCAPED_CHARS).to_string()
}
