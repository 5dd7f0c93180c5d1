//! The endpoint list of the discovery service: encodes requests for the list and decodes its JSON.

use crate::scheduler::{Endpoint, EndpointState, ShardId, ZoneId};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Latest accepted start time of a process, in Unix time in milliseconds: the end of the year 9999.
pub const MAX_START_MS: u64 = 253_402_300_799_000;

#[derive(Deserialize)]
struct WireList {
    index: u64,
    snapshot: bool,
    endpoints: Vec<WireEndpoint>,
}

#[derive(Deserialize)]
struct WireEndpoint {
    name: String,
    address: SocketAddr,
    #[serde(default)]
    zone: String,
    group: u32,
    status: String,
    #[serde(default)]
    since_ms: u64,
}

/// An entry of the endpoint list: one storage node.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRecord {
    /// The node's name, by which later lists refer to the same node.
    pub name: String,
    /// IP address and port at which this gateway connects to the node.
    pub address: SocketAddr,
    /// Name of the node's zone; empty if the list states none.
    pub zone: String,
    /// The shard that the node stores.
    pub shard: ShardId,
    /// Whether the node is in service, draining or removed.
    pub state: EndpointState,
    /// When the node's process last started, in Unix time in microseconds; `None` if the list states no time
    /// or 0, which means that the node is not warming up.
    pub started_at_us: Option<u64>,
}

impl EndpointRecord {
    /// Converts the record to the scheduler's type. The zone's number is the position of its name in
    /// `zone_names`, or `zone_names.len()` if `zone_names` does not contain the name.
    pub fn to_endpoint(&self, zone_names: &[String]) -> Endpoint {
        let zone = zone_names.iter().position(|zone| *zone == self.zone).unwrap_or(zone_names.len());
        Endpoint {
            node: self.name.as_str().into(),
            zone: ZoneId(zone as u32),
            shard: self.shard,
            state: self.state,
            started_at_us: self.started_at_us,
        }
    }
}

/// Whether a list is complete or contains only changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// The list contains all endpoints; an endpoint that is not in it is removed.
    Snapshot,
    /// The list contains only the endpoints that changed.
    Delta,
}

/// A complete endpoint list, or a list of changes.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointList {
    /// Version of the list, to pass to [`list_request`] for later changes.
    pub version: u64,
    /// Whether `endpoints` contains all endpoints or only those that changed.
    pub kind: ListKind,
    /// The entries, in the order in which discovery sent them.
    pub endpoints: Vec<EndpointRecord>,
}

/// Reasons why an endpoint list cannot be decoded.
#[derive(Debug, thiserror::Error)]
pub enum EndpointListError {
    /// The text is not JSON, or does not have the fields of an endpoint list.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The status of an endpoint is not `Ready`, `Terminating` or `Gone`.
    #[error("unknown status '{0}'")]
    UnknownStatus(String),
    /// The start time of an endpoint's process, in Unix time in milliseconds, is after [`MAX_START_MS`].
    #[error("since_ms {0} is after the year 9999")]
    StartTooLate(u64),
}

/// Decodes an endpoint list. One invalid entry invalidates the complete list.
///
/// # Errors
///
/// Returns an error if the JSON is malformed, a status is unknown, or a start time is after [`MAX_START_MS`].
pub fn decode(json: &[u8]) -> Result<EndpointList, EndpointListError> {
    let list: WireList = serde_json::from_slice(json)?;
    Ok(EndpointList {
        version: list.index,
        kind: if list.snapshot { ListKind::Snapshot } else { ListKind::Delta },
        endpoints: list.endpoints.into_iter().map(decode_endpoint).collect::<Result<_, _>>()?,
    })
}

fn decode_endpoint(wire: WireEndpoint) -> Result<EndpointRecord, EndpointListError> {
    let state = match wire.status.as_str() {
        "Ready" => EndpointState::Ready,
        "Terminating" => EndpointState::Draining,
        "Gone" => EndpointState::Removed,
        other => return Err(EndpointListError::UnknownStatus(other.to_owned())),
    };
    // The scheduler adds durations to this time; the limit prevents an overflow there.
    if wire.since_ms > MAX_START_MS {
        return Err(EndpointListError::StartTooLate(wire.since_ms));
    }
    Ok(EndpointRecord {
        name: wire.name,
        address: wire.address,
        zone: wire.zone,
        shard: ShardId(wire.group),
        state,
        started_at_us: (wire.since_ms > 0).then_some(wire.since_ms * 1_000),
    })
}

/// Encodes a request to discovery for the changes after version `after`, or for the complete list if `after`
/// is `None`. Discovery responds to a request for changes once there are any, after at most `wait`.
pub fn list_request(discovery: SocketAddr, after: Option<u64>, wait: Duration) -> Request<Full<Bytes>> {
    let query =
        after.map_or(String::new(), |version| format!("?after={version}&wait_ms={}", wait.as_millis()));
    let mut request = Request::new(Full::default());
    *request.uri_mut() = format!("/registry/instances{query}").parse().expect("digits make a valid path");
    let host = discovery.to_string().try_into().expect("an address is a valid header value");
    request.headers_mut().insert(hyper::header::HOST, host);
    request
}
