//! The bodies of the simulator's messages, and their conversion to the scheduler's types.
//!
//! Most fields have the names of the scheduler's fields; serde attributes state the names on the wire.
//! Unknown fields are ignored.

use crate::ids::{InstanceId, ListId};
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeMap;
use storage_gateway::protocol::settings::PlatformSettings;
use storage_gateway::scheduler::{
    AttemptOutcome, AttemptReport, BlockId, ClassIndex, Endpoint, EndpointState, Event, IncomingRequest,
    LoadReport, PlanIndex, RequestId, ShardId, VolumeId, ZoneId,
};

/// The body of `sync`: the time at which the batch is handled.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct WireClock {
    /// The simulated time in microseconds.
    pub time_us: u64,
}

/// The part of a body that identifies the scheduler instance; most bodies contain it.
#[derive(Deserialize)]
pub struct WireInstance {
    /// The scheduler instance that the message is addressed to.
    #[serde(rename = "who")]
    pub instance: InstanceId,
}

/// The body of `enlist`: the start of a scheduler instance.
#[derive(Deserialize)]
pub struct WireStart {
    /// The seed of the scheduler's random number generator.
    pub seed: u64,
    /// The scheduler's settings; missing fields take their defaults.
    #[serde(rename = "options")]
    pub settings: PlatformSettings,
}

/// The body of `list`: the definition of an endpoint list.
#[derive(Deserialize)]
pub struct WireList {
    /// The id by which later messages refer to the list.
    #[serde(rename = "table")]
    pub list: ListId,
    /// All endpoints in the list.
    #[serde(rename = "items")]
    pub endpoints: Vec<WireEndpoint>,
}

/// An entry of an endpoint list.
#[derive(Deserialize)]
pub struct WireEndpoint {
    #[serde(rename = "server")]
    node: String,
    #[serde(default)]
    zone: u32,
    #[serde(default, rename = "pod")]
    shard: u32,
    #[serde(rename = "readiness")]
    state: String,
    /// When the node's process last started, in simulated microseconds; 0 if that was long ago.
    #[serde(default, rename = "bornUs")]
    started_at_us: u64,
}

impl WireEndpoint {
    /// Converts the entry to the scheduler's type. Any readiness other than `live` and `dead` counts as
    /// draining.
    pub fn to_endpoint(&self) -> Endpoint {
        let state = match self.state.as_str() {
            "live" => EndpointState::Ready,
            "dead" => EndpointState::Removed,
            _ => EndpointState::Draining,
        };
        Endpoint {
            node: self.node.as_str().into(),
            zone: ZoneId(self.zone),
            shard: ShardId(self.shard),
            state,
            started_at_us: (self.started_at_us > 0).then_some(self.started_at_us),
        }
    }
}

/// The body of `members`: an update from a previously defined endpoint list.
#[derive(Deserialize)]
pub struct WireEndpointUpdate {
    /// The kind of update: `delta`, `full`, `cached` or `failed`.
    pub form: String,
    /// The id of the list; may be omitted if the form is `failed`.
    #[serde(default, rename = "table")]
    pub list: ListId,
}

/// The body of `inbound`: a request that arrives at a gateway.
#[derive(Deserialize)]
pub struct WireRequest {
    #[serde(rename = "ref")]
    request: u32,
    #[serde(default, rename = "contract")]
    plan: usize,
    #[serde(default, rename = "nHosts")]
    volume_gateway_count: f64,
    #[serde(rename = "blockKey")]
    block: Option<String>,
    #[serde(rename = "expiresUs")]
    expires_at_us: u64,
    #[serde(rename = "groupNo")]
    shard: Option<f64>,
    #[serde(default, rename = "weight")]
    units: f64,
    #[serde(default, rename = "tierClass")]
    class: usize,
    #[serde(rename = "vol")]
    volume: Option<String>,
}

impl WireRequest {
    /// Converts the body to the scheduler's request type.
    ///
    /// # Errors
    ///
    /// Returns an error if the volume or block is not a hexadecimal number of at most 64 bits.
    pub fn to_incoming_request(&self) -> Result<IncomingRequest, InvalidHexNumber> {
        let volume = self.volume.as_deref().map_or(Ok(0), parse_hex)?;
        let block = self.block.as_deref().map(parse_hex).transpose()?;
        // A negative shard number denotes a new object, which is not stored in any shard yet.
        let shard = self.shard.filter(|shard| *shard >= 0.0);
        Ok(IncomingRequest {
            id: RequestId(self.request),
            class: ClassIndex(self.class),
            plan: PlanIndex(self.plan),
            volume: VolumeId(volume),
            volume_gateway_count: self.volume_gateway_count,
            block: block.map(BlockId),
            shard: shard.map(|shard| ShardId(shard as u32)),
            units: self.units,
            expires_at_us: self.expires_at_us,
        })
    }
}

/// The volume or block of a request is not a hexadecimal number of at most 64 bits.
#[derive(Debug, thiserror::Error)]
#[error("'{0}' is not a hexadecimal number of at most 64 bits")]
pub struct InvalidHexNumber(String);

fn parse_hex(digits: &str) -> Result<u64, InvalidHexNumber> {
    u64::from_str_radix(digits, 16).map_err(|_| InvalidHexNumber(digits.to_owned()))
}

/// The part of a body that identifies a request.
#[derive(Deserialize)]
pub struct WireRequestRef {
    /// The request's number, unique among the requests in progress at one gateway.
    #[serde(rename = "ref")]
    pub request: u32,
}

/// The body of `reply`: the end of an attempt.
#[derive(Deserialize)]
pub struct WireAttemptEnd {
    #[serde(rename = "ref")]
    request: u32,
    #[serde(rename = "rc")]
    status: String,
    #[serde(default, rename = "waitTimeUs")]
    latency_us: u64,
    #[serde(default)]
    complete: bool,
    /// The volume's metered rate in percent of its plan's provisioned rate, plus one; 0 if not reported.
    #[serde(default, rename = "used")]
    volume_rate_percent_plus_one: f64,
    #[serde(rename = "server")]
    node: String,
    #[serde(default, rename = "fromOthers")]
    units_via_other_gateways: f64,
    #[serde(default)]
    load: WireLoad,
}

impl WireAttemptEnd {
    /// Converts the body to the scheduler's attempt report.
    pub fn to_report(&self) -> AttemptReport {
        let is_metered = self.volume_rate_percent_plus_one > 0.0;
        AttemptReport {
            request: RequestId(self.request),
            outcome: parse_outcome(&self.status),
            latency_us: self.latency_us,
            is_final: self.complete,
            node: self.node.as_str().into(),
            volume_rate_percent: is_metered.then_some(self.volume_rate_percent_plus_one - 1.0),
            units_via_other_gateways: self.units_via_other_gateways,
            load: self.load.to_report(),
        }
    }
}

fn parse_outcome(status: &str) -> AttemptOutcome {
    match status {
        "OK" => AttemptOutcome::Succeeded,
        "RESOURCE_EXHAUSTED" => AttemptOutcome::Rejected,
        "DEADLINE_EXCEEDED" => AttemptOutcome::TimedOut,
        "UNAVAILABLE" => AttemptOutcome::ConnectFailed,
        "ABORTED" => AttemptOutcome::ConnectionReset,
        "CANCELLED" => AttemptOutcome::Cancelled,
        "TOO_LATE" => AttemptOutcome::NotSent,
        _ => AttemptOutcome::Failed,
    }
}

/// A storage node's load report. Unknown fields and values that are not numbers are ignored.
#[derive(Default, Deserialize)]
#[serde(transparent)]
struct WireLoad(BTreeMap<String, Value>);

impl WireLoad {
    fn to_report(&self) -> LoadReport {
        let number = |name: &str| self.0.get(name).and_then(Value::as_f64);
        LoadReport {
            in_flight: number("busy_reqs"),
            queued: number("pending"),
            utilization: number("cpu_share"),
            service_ms: number("svc_ms"),
        }
    }
}

/// The body of `tickDue`: the expiry of a timer.
#[derive(Deserialize)]
pub struct WireTimer {
    /// The token of the `wakeMe` reply that set the timer.
    #[serde(rename = "ctx")]
    pub token: u64,
}

/// The body of `health`: the end of a health check.
#[derive(Deserialize)]
pub struct WireHealthCheck {
    #[serde(rename = "server")]
    node: String,
    #[serde(rename = "rc")]
    status: String,
    #[serde(default)]
    load: WireLoad,
}

impl WireHealthCheck {
    /// Converts the body to a scheduler event.
    pub fn to_event(&self) -> Event {
        Event::HealthCheckCompleted {
            node: self.node.as_str().into(),
            outcome: parse_outcome(&self.status),
            load: self.load.to_report(),
        }
    }
}

/// The body of `inbox`: a message from another gateway.
#[derive(Deserialize)]
pub struct WireGossip {
    #[serde(rename = "src")]
    gateway: usize,
    #[serde(rename = "content")]
    message: String,
}

impl WireGossip {
    /// Converts the body to a scheduler event.
    pub fn into_event(self) -> Event {
        Event::GossipReceived { gateway: self.gateway, message: self.message }
    }
}
