//! The platform's protocol between clients, gateways and storage nodes.

use super::common_headers::{
    DEADLINE, DEFAULT_HOST, IDEMPOTENCY_KEY, REQUEST_ID, encode_deadline, parse_timeout,
};
use crate::scheduler::{BlockId, ClassIndex, PlanIndex, ShardId, VolumeId};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_LENGTH, HOST, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode};
use std::time::Duration;

/// The largest body that the platform allows, in bytes.
pub const MAX_BODY_LEN: usize = 64 * 1024;
/// The length of the hexadecimal numbers of volumes and blocks, in digits.
const HEX_DIGITS: usize = 16;
/// The shortest `Retry-After` given out: its three decimals would show less as zero.
const MIN_RETRY_AFTER_US: u64 = 1_000;
/// The client's headers that are forwarded to storage nodes.
const FORWARDED_HEADERS: [&str; 7] =
    ["host", REQUEST_ID, "req-kind", "tier", "io-info", IDEMPOTENCY_KEY, "req-retry"];

/// The names that requests use for the classes and plans that the settings number.
#[derive(Clone, Debug)]
pub struct NameTable {
    /// The classes, in order of their numbers.
    pub classes: Vec<NamedClass>,
    /// The names of the plans, in order of their numbers.
    pub plans: Vec<String>,
}

/// A request class as requests name it.
#[derive(Clone, Debug)]
pub struct NamedClass {
    /// Its name.
    pub name: String,
    /// Whether its requests write, if the settings state it.
    pub writes: Option<bool>,
    /// Whether its requests carry an idempotency key.
    pub requires_idempotency_key: bool,
}

/// Why a client's request cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// Neither a read nor a write.
    #[error("the method is neither GET nor PUT")]
    UnsupportedMethod,
    /// The method is not that of the class.
    #[error("reads use GET, writes use PUT")]
    MethodMismatch,
    /// The body's length is stated ambiguously: another request could be smuggled in it.
    #[error("the body's length is to be stated once, or its chunks tell it")]
    AmbiguousLength,
    /// A header is missing, repeated or malformed.
    #[error("{0} is missing or malformed")]
    InvalidHeader(&'static str),
    /// The path names no block.
    #[error("the path does not end in 16 hex digits")]
    InvalidBlock,
    /// The settings have no such class.
    #[error("unknown Req-Kind")]
    UnknownClass,
    /// The settings have no such plan.
    #[error("unknown Tier")]
    UnknownPlan,
}

/// What the head of a client's request states.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedRequest {
    /// The class.
    pub class: ClassIndex,
    /// The plan.
    pub plan: PlanIndex,
    /// The volume.
    pub volume: VolumeId,
    /// How many gateways the volume's requests come through.
    pub volume_gateways: f64,
    /// The block.
    pub block: BlockId,
    /// The shard that holds the block; none for a new object.
    pub shard: Option<ShardId>,
    /// The size in units.
    pub units: f64,
    /// How long the client waits, in microseconds.
    pub timeout_us: u64,
}

/// Decodes the head of a client's request. `conflicting_length` says whether the connection found that the
/// head states the body's length in conflicting ways.
///
/// # Errors
///
/// Returns an error if a part of the head is missing, malformed or ambiguous, or names an unknown class or
/// plan.
pub fn decode(
    head: &Parts,
    conflicting_length: bool,
    names: &NameTable,
) -> Result<ParsedRequest, RequestError> {
    check_method(head)?;
    if conflicting_length || !has_supported_coding(head) {
        return Err(RequestError::AmbiguousLength);
    }
    single_header(&head.headers, REQUEST_ID)?;
    let block = parse_block(head)?;
    let class = parse_class(head, names)?;
    let plan = parse_plan(head, names)?;
    let timeout_us = parse_deadline(head)?;
    let io_info = IoInfo::parse(single_header(&head.headers, "io-info")?);
    let IoInfo { volume, volume_gateways, shard, units } =
        io_info.ok_or(RequestError::InvalidHeader("io-info"))?;
    Ok(ParsedRequest { class, plan, volume, volume_gateways, block, shard, units, timeout_us })
}

fn check_method(head: &Parts) -> Result<(), RequestError> {
    match head.method {
        Method::GET | Method::PUT => Ok(()),
        _ => Err(RequestError::UnsupportedMethod),
    }
}

/// Whether the body's transfer coding is one that the gateway undoes: storage nodes get a plain length. Reads
/// have no body to send in chunks.
fn has_supported_coding(head: &Parts) -> bool {
    let mut codings = head.headers.get_all(TRANSFER_ENCODING).iter();
    match (codings.next(), codings.next()) {
        (None, _) => true,
        (Some(only), None) => only.as_bytes().eq_ignore_ascii_case(b"chunked") && head.method == Method::PUT,
        _ => false,
    }
}

fn parse_block(head: &Parts) -> Result<BlockId, RequestError> {
    let last_segment = head.uri.path().rsplit('/').next();
    last_segment.and_then(parse_hex).map(BlockId).ok_or(RequestError::InvalidBlock)
}

fn parse_class(head: &Parts, names: &NameTable) -> Result<ClassIndex, RequestError> {
    let name = single_header(&head.headers, "req-kind")?;
    let index =
        names.classes.iter().position(|class| class.name == name).ok_or(RequestError::UnknownClass)?;
    let class = &names.classes[index];
    let is_write = head.method == Method::PUT;
    if class.writes.is_some_and(|writes| writes != is_write) {
        return Err(RequestError::MethodMismatch);
    }
    if class.requires_idempotency_key {
        single_header(&head.headers, IDEMPOTENCY_KEY)?;
    }
    Ok(ClassIndex(index))
}

fn parse_plan(head: &Parts, names: &NameTable) -> Result<PlanIndex, RequestError> {
    let name = single_header(&head.headers, "tier")?;
    names.plans.iter().position(|plan| plan == name).map(PlanIndex).ok_or(RequestError::UnknownPlan)
}

fn parse_deadline(head: &Parts) -> Result<u64, RequestError> {
    parse_timeout(single_header(&head.headers, DEADLINE)?).ok_or(RequestError::InvalidHeader(DEADLINE))
}

/// The value of a header that must occur exactly once.
fn single_header<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<&'a str, RequestError> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (Some(value), None) => value.to_str().map_err(|_| RequestError::InvalidHeader(name)),
        _ => Err(RequestError::InvalidHeader(name)),
    }
}

fn parse_hex(digits: &str) -> Option<u64> {
    // The parser alone would also accept a sign.
    let is_plain = digits.len() == HEX_DIGITS && digits.bytes().all(|digit| digit.is_ascii_hexdigit());
    is_plain.then(|| u64::from_str_radix(digits, 16).ok()).flatten()
}

/// The fields of the `io-info` header, such as `volume=…, units=2, shard=0, hosts=3`.
struct IoInfo {
    volume: VolumeId,
    volume_gateways: f64,
    shard: Option<ShardId>,
    units: f64,
}

impl IoInfo {
    /// None if a field is missing or malformed; unknown fields are ignored.
    fn parse(text: &str) -> Option<IoInfo> {
        let (mut volume, mut volume_gateways, mut shard, mut units) = (None, None, None, None);
        for (name, value) in text.split(',').filter_map(|field| field.split_once('=')) {
            let value = value.trim();
            match name.trim() {
                "volume" => volume = parse_hex(value),
                "units" => units = parse_finite(value).filter(|units| *units > 0.0),
                "shard" => shard = value.parse::<i64>().ok(),
                "hosts" => volume_gateways = parse_finite(value).filter(|gateways| *gateways >= 0.0),
                _ => {}
            }
        }
        let shard = match shard? {
            // A new object, which no shard holds yet.
            ..=-1 => None,
            number => Some(ShardId(u32::try_from(number).ok()?)),
        };
        Some(IoInfo { volume: VolumeId(volume?), volume_gateways: volume_gateways?, shard, units: units? })
    }
}

fn parse_finite(text: &str) -> Option<f64> {
    text.parse::<f64>().ok().filter(|number| number.is_finite())
}

/// A client's request, kept to be forwarded to storage nodes.
#[derive(Clone, Debug)]
pub struct ForwardedRequest {
    /// Its head.
    pub head: Parts,
    /// Its body.
    pub body: Bytes,
}

/// Encodes a request to a storage node: method, path, query, body and ids are the client's, the deadline is
/// the time that the gateway will still wait.
pub fn encode(forwarded: &ForwardedRequest, remaining: Duration) -> Request<Full<Bytes>> {
    let ForwardedRequest { head, body } = forwarded;
    let mut request = Request::new(Full::new(body.clone()));
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = head.uri.clone();
    let headers = request.headers_mut();
    for name in FORWARDED_HEADERS {
        if let Some(value) = head.headers.get(name) {
            headers.insert(name, value.clone());
        }
    }
    if !headers.contains_key(HOST) {
        headers.insert(HOST, DEFAULT_HOST);
    }
    headers.insert(DEADLINE, encode_deadline(remaining));
    if head.method != Method::GET || !body.is_empty() {
        headers.insert(CONTENT_LENGTH, body.len().into());
    }
    request
}

/// Encodes a response to a client, with a `Retry-After` if one is given, in microseconds.
pub fn response(status: StatusCode, body: impl Into<Bytes>, retry_after_us: Option<u64>) -> Response<Bytes> {
    let mut response = Response::new(body.into());
    *response.status_mut() = status;
    if let Some(retry_after_us) = retry_after_us {
        response.headers_mut().insert("retry-after", encode_retry_after(retry_after_us));
    }
    response
}

/// Seconds with three decimals, which the platform's clients read.
fn encode_retry_after(retry_after_us: u64) -> HeaderValue {
    let seconds = retry_after_us.max(MIN_RETRY_AFTER_US) as f64 / 1e6;
    format!("{seconds:.3}").try_into().expect("digits are a valid header value")
}
