//! A client's request whose tenant and rack are known, and what the router and a storage node get of it.

use super::idempotency::idempotency_key;
use super::{ObjectClass, ObjectFrontend, Rejection};
use crate::gateway::frontend::RESPONSE_MARGIN_US;
use crate::gateway::tenants::{Tenant, hash_fields};
use crate::protocol::client_request::parse_timeout;
use crate::protocol::object::{
    ApiError, NodeRequest, ObjectRequest, Operation, Upload, bearer_token, decode, decode_complete,
    encode_complete, header_value,
};
use crate::scheduler::{BlockId, IncomingRequest, RequestId, VolumeId};
use bytes::Bytes;
use hyper::header::{HOST, HeaderMap, HeaderValue};
use hyper::http::request::Parts;
use std::rc::Rc;

/// A client's request whose tenant and rack are known.
pub(super) struct RoutedRequest {
    pub tenant: Rc<Tenant>,
    pub request: ObjectRequest,
    pub headers: HeaderMap,
    /// The upload that the request names.
    pub upload: Option<Upload>,
    /// The rack that holds the object.
    pub rack: String,
    pub received_at_us: u64,
}

impl RoutedRequest {
    /// The tenant, bucket and key, which an upload id is signed for.
    pub fn place(&self) -> [&str; 3] {
        [&self.tenant.name, &self.request.bucket, &self.request.key]
    }

    /// The request to a storage node.
    pub fn node_request(&self, body: Bytes, request_id: &str) -> Result<NodeRequest, ApiError> {
        let body = match self.request.operation {
            Operation::Complete(_) => encode_complete(decode_complete(&body)?).into(),
            _ => body,
        };
        let node_upload = self.upload.as_ref().map(|upload| upload.node_id.as_str());
        let mut node_request =
            NodeRequest::new(&self.request, &self.tenant.name, node_upload, &self.headers, body);
        let headers = &mut node_request.headers;
        headers.insert(HOST, HeaderValue::from_static("origin.svc"));
        headers.insert("req-id", header_value(request_id.into()));
        if self.request.operation.writes() {
            let key = idempotency_key(self, &node_request.body, request_id);
            headers.insert("idempotency-key", header_value(key));
        }
        Ok(node_request)
    }

    fn class(&self) -> ObjectClass {
        if self.request.operation.writes() { ObjectClass::Write } else { ObjectClass::Read }
    }

    /// How long the client says that it waits, in microseconds.
    fn client_timeout_us(&self) -> Result<Option<u64>, ApiError> {
        let Some(value) = self.headers.get("req-deadline") else { return Ok(None) };
        match value.to_str().ok().and_then(parse_timeout) {
            Some(timeout_us) => Ok(Some(timeout_us)),
            None => Err(ApiError::invalid("Req-Deadline is malformed.")),
        }
    }
}

impl ObjectFrontend {
    /// Finds the tenant, the operation and the rack of a request.
    pub(super) fn route(&self, head: Parts, received_at_us: u64) -> Result<RoutedRequest, Rejection> {
        let tenant = bearer_token(&head.headers)
            .and_then(|token| self.tenants.with_token(token))
            .ok_or_else(|| self.bad_request(ApiError::denied()))?;
        let request = decode(&head).map_err(|error| self.bad_request(error))?;
        if !tenant.volumes.contains(&request.bucket) {
            return Err(ApiError::no_bucket().into());
        }
        let upload = self.verify_upload(&tenant, &request)?;
        // An upload stays on the rack where it began, even if the tenant's racks have changed since.
        let rack = match &upload {
            Some(upload) => upload.rack.clone(),
            None => tenant.rack(&request.bucket, &request.key).cloned().ok_or_else(ApiError::failed)?,
        };
        Ok(RoutedRequest { tenant, request, headers: head.headers, upload, rack, received_at_us })
    }

    fn verify_upload(&self, tenant: &Tenant, request: &ObjectRequest) -> Result<Option<Upload>, ApiError> {
        let Some(id) = request.operation.upload() else { return Ok(None) };
        let place = [tenant.name.as_str(), &request.bucket, &request.key];
        self.key.verify(place, id).map(Some).ok_or_else(ApiError::no_upload)
    }

    /// What the router gets of a request with this body.
    pub(super) fn incoming_request(
        &self,
        routed: &RoutedRequest,
        body: &Bytes,
    ) -> Result<IncomingRequest, ApiError> {
        let RoutedRequest { tenant, request, .. } = routed;
        let class = routed.class().index();
        let expires_at_us = self.expires_at_us(class, routed)?;
        Ok(IncomingRequest {
            id: RequestId(0),
            class,
            plan: tenant.plan,
            volume: VolumeId(hash_to_u64(&[&tenant.name, &request.bucket])),
            volume_gateways: self.limits.gateways as f64,
            block: Some(BlockId(hash_to_u64(&[&tenant.name, &request.bucket, &request.key]))),
            shard: Some(self.racks.shard(&routed.rack)),
            units: self.units(request, body) as f64,
            expires_at_us,
        })
    }

    /// When a request must be answered. The time that the client states counts from the request's head;
    /// without it, the class's time counts from the end of the body.
    fn expires_at_us(&self, class: usize, routed: &RoutedRequest) -> Result<u64, ApiError> {
        let deadline_us = self.limits.deadlines[class];
        let stated_us = match routed.client_timeout_us()? {
            Some(timeout_us) => routed.received_at_us + timeout_us.min(deadline_us),
            None => u64::MAX,
        };
        Ok(stated_us.min(self.clock.now_us() + deadline_us) - RESPONSE_MARGIN_US)
    }

    /// The size of a request in the scheduler's units, by the longer of its body and the range it reads.
    fn units(&self, request: &ObjectRequest, body: &Bytes) -> u64 {
        let length = match &request.operation {
            Operation::Read { range: Some(range), .. } => range.max_len().unwrap_or(self.limits.unit),
            _ => body.len() as u64,
        };
        1 + (length / self.limits.unit).min(self.limits.most_units.saturating_sub(1))
    }
}

fn hash_to_u64(fields: &[&str]) -> u64 {
    let hash = hash_fields(fields);
    hash.first_chunk().map_or(0, |first: &[u8; 8]| u64::from_be_bytes(*first))
}
