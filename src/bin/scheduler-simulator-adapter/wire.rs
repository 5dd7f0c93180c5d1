//! The bodies of the simulator's messages, and their conversion to the scheduler's types.
//!
//! Fields carry the scheduler's names; the names on the wire stand in the serde attributes. Fields that are
//! unknown here are ignored.

use crate::ids::{InstanceId, ListId};
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeMap;
use storage_gateway::protocol::settings::PlatformSettings;
use storage_gateway::scheduler::{
    AttemptOutcome, AttemptReport, BlockId, ClassIndex, Endpoint, EndpointState, Event, IncomingRequest,
    LoadReport, PlanIndex, RequestId, ShardId, VolumeId, ZoneId,
};

/// The time of a batch.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct WireClock {
    /// Microseconds on the simulator's clock.
    pub time_us: u64,
}

/// The scheduler that a message is for; part of most bodies.
#[derive(Deserialize)]
pub struct WireInstance {
    /// The scheduler.
    #[serde(rename = "who")]
    pub instance: InstanceId,
}

/// The start of a scheduler.
#[derive(Deserialize)]
pub struct WireStart {
    /// The seed of its random numbers.
    pub seed: u64,
    /// Its settings.
    #[serde(rename = "options")]
    pub settings: PlatformSettings,
}

/// An endpoint list.
#[derive(Deserialize)]
pub struct WireList {
    /// The number of the list.
    #[serde(rename = "table")]
    pub list: ListId,
    /// What it contains.
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
    #[serde(default, rename = "bornUs")]
    started_at_us: u64,
}

impl WireEndpoint {
    /// The endpoint as the scheduler knows it.
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

/// An update of the endpoints by a list that was sent before.
#[derive(Deserialize)]
pub struct WireEndpointUpdate {
    /// What the list is: `delta`, `full`, `cached` or `failed`.
    pub form: String,
    /// The number of the list.
    #[serde(default, rename = "table")]
    pub list: ListId,
}

/// A request that arrives.
#[derive(Deserialize)]
pub struct WireRequest {
    #[serde(rename = "ref")]
    request: u32,
    #[serde(default, rename = "contract")]
    plan: usize,
    #[serde(default, rename = "nHosts")]
    volume_gateways: f64,
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
    /// The request as the scheduler knows it.
    ///
    /// # Errors
    ///
    /// Returns an error if volume or block is not a hexadecimal number.
    pub fn to_incoming_request(&self) -> Result<IncomingRequest, NotHex> {
        let volume = self.volume.as_deref().map_or(Ok(0), parse_hex)?;
        let block = self.block.as_deref().map(parse_hex).transpose()?;
        // A negative number stands for a new object, which no shard holds yet.
        let shard = self.shard.filter(|shard| *shard >= 0.0);
        Ok(IncomingRequest {
            id: RequestId(self.request),
            class: ClassIndex(self.class),
            plan: PlanIndex(self.plan),
            volume: VolumeId(volume),
            volume_gateways: self.volume_gateways,
            block: block.map(BlockId),
            shard: shard.map(|shard| ShardId(shard as u32)),
            units: self.units,
            expires_at_us: self.expires_at_us,
        })
    }
}

/// A volume or block is not given as a hexadecimal number.
#[derive(Debug, thiserror::Error)]
#[error("'{0}' is not a key of hex digits")]
pub struct NotHex(String);

fn parse_hex(digits: &str) -> Result<u64, NotHex> {
    u64::from_str_radix(digits, 16).map_err(|_| NotHex(digits.to_owned()))
}

/// The request that a message is about.
#[derive(Deserialize)]
pub struct WireRequestRef {
    /// The request.
    #[serde(rename = "ref")]
    pub request: u32,
}

/// The end of an attempt.
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
    /// One more than the volume's rate in percent; 0 where it is not reported.
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
    /// The report for the scheduler.
    pub fn to_report(&self) -> AttemptReport {
        let metered = self.volume_rate_percent_plus_one > 0.0;
        AttemptReport {
            request: RequestId(self.request),
            outcome: parse_outcome(&self.status),
            latency_us: self.latency_us,
            complete: self.complete,
            node: self.node.as_str().into(),
            volume_rate_percent: metered.then_some(self.volume_rate_percent_plus_one - 1.0),
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

/// A node's load report; values that are not numbers are ignored.
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

/// A timer that is due.
#[derive(Deserialize)]
pub struct WireTimer {
    /// The token that the timer was set with.
    #[serde(rename = "ctx")]
    pub token: u64,
}

/// The end of a health check.
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
    /// The event for the scheduler.
    pub fn to_event(&self) -> Event {
        Event::HealthCheckCompleted {
            node: self.node.as_str().into(),
            outcome: parse_outcome(&self.status),
            load: self.load.to_report(),
        }
    }
}

/// A message of another gateway.
#[derive(Deserialize)]
pub struct WireGossip {
    #[serde(rename = "src")]
    gateway: usize,
    #[serde(rename = "content")]
    message: String,
}

impl WireGossip {
    /// The event for the scheduler.
    pub fn into_event(self) -> Event {
        Event::GossipReceived { gateway: self.gateway, message: self.message }
    }
}
