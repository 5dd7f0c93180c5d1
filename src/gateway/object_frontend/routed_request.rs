//! Determines the tenant and rack of a client's request, and builds the request to a storage node.

use super::idempotency::idempotency_key;
use super::{ObjectFrontend, Rejection};
use crate::gateway::tenants::Tenant;
use crate::protocol::common_headers::{DEFAULT_HOST, IDEMPOTENCY_KEY, REQUEST_ID};
use crate::protocol::object::{
    ApiError, NodeRequest, ObjectPath, ObjectRequest, Operation, Upload, bearer_token, decode,
    decode_completion_request, encode_completion_request, header_value,
};
use bytes::Bytes;
use hyper::header::{HOST, HeaderMap};
use hyper::http::request::Parts;
use std::rc::Rc;

/// A client's request whose tenant and rack have been determined.
pub(super) struct RoutedRequest {
    pub tenant: Rc<Tenant>,
    pub request: ObjectRequest,
    pub headers: HeaderMap,
    /// The verified upload that the request belongs to; `None` for operations without an upload id.
    pub upload: Option<Upload>,
    /// Name of the rack that stores the object.
    pub rack: String,
    /// Time at which the request's head was received, on the router's clock.
    pub received_at_us: u64,
}

impl RoutedRequest {
    /// Builds the request to a storage node. Returns an error if the body of a request to complete an upload
    /// is malformed.
    pub fn node_request(&self, body: Bytes, request_id: &str) -> Result<NodeRequest, ApiError> {
        let body = match self.request.operation {
            Operation::CompleteUpload { .. } => {
                encode_completion_request(decode_completion_request(&body)?).into()
            }
            _ => body,
        };
        let node_upload_id = self.upload.as_ref().map(|upload| upload.node_upload_id.as_str());
        let mut node_request =
            NodeRequest::new(&self.request, &self.tenant.name, node_upload_id, &self.headers, body);
        let headers = &mut node_request.headers;
        headers.insert(HOST, DEFAULT_HOST);
        headers.insert(REQUEST_ID, header_value(request_id.into()));
        if self.request.operation.writes() {
            let key = idempotency_key(self, &node_request.body, request_id);
            headers.insert(IDEMPOTENCY_KEY, header_value(key));
        }
        Ok(node_request)
    }
}

impl ObjectFrontend {
    /// Determines the tenant, the operation and the rack of a request. Returns a rejection if the request is
    /// not authorized or malformed, or if the bucket or the upload is unknown.
    pub(super) fn route(&self, head: Parts, received_at_us: u64) -> Result<RoutedRequest, Rejection> {
        let tenant = bearer_token(&head.headers)
            .and_then(|token| self.tenants.find_by_token(token))
            .ok_or_else(|| self.bad_request(ApiError::access_denied()))?;
        let request = decode(&head).map_err(|error| self.bad_request(error))?;
        if !tenant.volumes.contains(&request.bucket) {
            return Err(ApiError::no_such_bucket().into());
        }
        let upload = self.verify_upload(&tenant, &request)?;
        // An upload stays on the rack on which it was started, even if the tenant's racks have changed since.
        let rack = match &upload {
            Some(upload) => upload.rack.clone(),
            None => tenant
                .rack_for_object(&request.bucket, &request.key)
                .cloned()
                .ok_or_else(ApiError::internal_error)?,
        };
        Ok(RoutedRequest { tenant, request, headers: head.headers, upload, rack, received_at_us })
    }

    fn verify_upload(&self, tenant: &Tenant, request: &ObjectRequest) -> Result<Option<Upload>, ApiError> {
        let Some(id) = request.operation.upload_id() else { return Ok(None) };
        let path = ObjectPath { tenant: &tenant.name, bucket: &request.bucket, key: &request.key };
        self.upload_key.verify(path, id).map(Some).ok_or_else(ApiError::no_such_upload)
    }
}
