//! The endpoint list as discovery sends it: the request for it, and its JSON.

use crate::scheduler::{Endpoint, EndpointState, ShardId, ZoneId};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// The latest start of a process that is accepted: the end of the year 9999, in Unix time and milliseconds.
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

/// A storage node as discovery describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRecord {
    /// Its name.
    pub name: String,
    /// Where this gateway reaches it.
    pub address: SocketAddr,
    /// The name of its zone.
    pub zone: String,
    /// The shard that it holds.
    pub shard: ShardId,
    /// Whether it accepts work.
    pub state: EndpointState,
    /// When its process last started, in Unix time and microseconds, if that was not long ago.
    pub started_at_us: Option<u64>,
}

impl EndpointRecord {
    /// The endpoint as the scheduler knows it. Zones are numbered in the order of these names; a zone that is
    /// not among them gets the number after the last.
    pub fn to_endpoint(&self, zones: &[String]) -> Endpoint {
        let zone = zones.iter().position(|zone| *zone == self.zone).unwrap_or(zones.len());
        Endpoint {
            node: self.name.as_str().into(),
            zone: ZoneId(zone as u32),
            shard: self.shard,
            state: self.state,
            started_at_us: self.started_at_us,
        }
    }
}

/// Which endpoints a list names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// All of them.
    Snapshot,
    /// Those that changed.
    Delta,
}

/// The endpoint list, or changes to it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointList {
    /// The list's version.
    pub version: u64,
    /// Which endpoints it names.
    pub kind: ListKind,
    /// The endpoints.
    pub endpoints: Vec<EndpointRecord>,
}

/// Why an endpoint list cannot be decoded.
#[derive(Debug, thiserror::Error)]
pub enum EndpointListError {
    /// It is not JSON, or not that of a list.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// An endpoint has a status that is not defined.
    #[error("unknown status '{0}'")]
    UnknownStatus(String),
    /// An endpoint's process started later than [`MAX_START_MS`], in Unix time and milliseconds.
    #[error("since_ms {0} is beyond reason")]
    StartTooLate(u64),
}

/// Decodes a list, which is valid as a whole or not at all.
///
/// # Errors
///
/// Returns an error if the JSON is malformed, a status is unknown, or a start lies beyond [`MAX_START_MS`].
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
    // The scheduler adds to this time: a larger one could overflow there.
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

/// Encodes the request for changes after this version, which discovery answers after at most `wait`; or for
/// the complete list, if no version is known.
pub fn watch_request(discovery: SocketAddr, after: Option<u64>, wait: Duration) -> Request<Full<Bytes>> {
    let query =
        after.map_or(String::new(), |version| format!("?after={version}&wait_ms={}", wait.as_millis()));
    let mut request = Request::new(Full::default());
    *request.uri_mut() = format!("/registry/instances{query}").parse().expect("digits make a valid path");
    let host = discovery.to_string().try_into().expect("an address is a valid header value");
    request.headers_mut().insert(hyper::header::HOST, host);
    request
}
