//! Builds the router's description of a request: its class, size, shard and expiry.

use super::ObjectFrontend;
use super::routed_request::RoutedRequest;
use crate::gateway::frontend::RESPONSE_MARGIN_US;
use crate::gateway::hashing::hash_fields;
use crate::gateway::object_limits::ObjectClass;
use crate::protocol::common_headers::{DEADLINE, parse_timeout};
use crate::protocol::object::{ApiError, ObjectRequest, Operation};
use crate::scheduler::{BlockId, IncomingRequest, VolumeId};
use bytes::Bytes;
use hyper::HeaderMap;

impl ObjectFrontend {
    /// Returns the description of a request for the router. `body` is the body that is sent to the storage
    /// node.
    pub(super) fn incoming_request(
        &self,
        routed: &RoutedRequest,
        body: &Bytes,
    ) -> Result<IncomingRequest, ApiError> {
        let RoutedRequest { tenant, request, .. } = routed;
        let class = ObjectClass::of(&request.operation);
        let expires_at_us = self.expires_at_us(class, routed)?;
        Ok(IncomingRequest {
            id: self.router.next_request_id(),
            class: class.index(),
            plan: tenant.plan,
            volume: VolumeId(hash_to_u64(&[&tenant.name, &request.bucket])),
            volume_gateway_count: self.limits.gateway_count as f64,
            block: Some(BlockId(hash_to_u64(&[&tenant.name, &request.bucket, &request.key]))),
            shard: Some(self.racks.shard_for_rack(&routed.rack)),
            units: self.units(request, body) as f64,
            expires_at_us,
        })
    }

    /// Returns the time at which a request expires, on the router's clock. The time that the client states in
    /// `Req-Deadline` counts from the receipt of the request's head. If the client states none, the class's
    /// deadline counts from the end of the body. The class's deadline is also the maximum for a stated time.
    /// In either case, the request expires [`RESPONSE_MARGIN_US`] earlier.
    fn expires_at_us(&self, class: ObjectClass, routed: &RoutedRequest) -> Result<u64, ApiError> {
        let deadline_us = self.limits.deadline_us(class);
        let stated_timeout_us = client_timeout_us(&routed.headers)?;
        let class_expiry_us = self.clock.now_us() + deadline_us;
        let expires_at_us = stated_timeout_us.map_or(class_expiry_us, |timeout_us| {
            class_expiry_us.min(routed.received_at_us + timeout_us.min(deadline_us))
        });
        Ok(expires_at_us - RESPONSE_MARGIN_US)
    }

    /// Returns the size of a request in the scheduler's units, at least 1. The size depends on the length of
    /// the requested range, which counts as `unit_len` bytes if the range is open-ended, or on the length of
    /// the body if no range is requested.
    fn units(&self, request: &ObjectRequest, body: &Bytes) -> u64 {
        let length = match &request.operation {
            Operation::Read { range: Some(range), .. } => range.max_len().unwrap_or(self.limits.unit_len),
            _ => body.len() as u64,
        };
        1 + (length / self.limits.unit_len).min(self.limits.max_units.saturating_sub(1))
    }
}

fn hash_to_u64(fields: &[&str]) -> u64 {
    let hash = hash_fields(fields);
    hash.first_chunk().map_or(0, |first: &[u8; 8]| u64::from_be_bytes(*first))
}

/// Returns the time for which the client waits, in microseconds, from the `Req-Deadline` header; `None` if
/// the request does not have this header.
fn client_timeout_us(headers: &HeaderMap) -> Result<Option<u64>, ApiError> {
    let Some(value) = headers.get(DEADLINE) else { return Ok(None) };
    match value.to_str().ok().and_then(parse_timeout) {
        Some(timeout_us) => Ok(Some(timeout_us)),
        None => Err(ApiError::invalid_argument("Req-Deadline is malformed.")),
    }
}
