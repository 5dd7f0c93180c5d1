//! Requests of the platform's protocol: decodes them from clients and encodes them for storage nodes.

use super::common_headers::{
    DEADLINE, DEFAULT_HOST, IDEMPOTENCY_KEY, REQUEST_ID, encode_deadline, parse_timeout,
};
use crate::scheduler::{BlockId, ClassIndex, PlanIndex, ShardId, VolumeId};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_LENGTH, HOST, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode, Uri};
use std::time::Duration;

/// Maximum size of a request or response body that the platform allows, in bytes.
pub const MAX_BODY_LEN: usize = 64 * 1024;
/// Number of hex digits in a volume or block number.
const HEX_DIGITS: usize = 16;
/// Minimum `Retry-After`, in microseconds. The header has three decimals, which could round a shorter time to
/// zero.
const MIN_RETRY_AFTER_US: u64 = 1_000;
/// Names of the client's headers that are forwarded to storage nodes.
const FORWARDED_HEADERS: [&str; 7] =
    ["host", REQUEST_ID, "req-kind", "tier", "io-info", IDEMPOTENCY_KEY, "req-retry"];

/// Maps the class and plan names in requests to their indices in the scheduler's settings.
#[derive(Clone, Debug)]
pub struct NameTable {
    /// The request classes, ordered by class index.
    pub classes: Vec<NamedClass>,
    /// Names of the service plans, ordered by plan index.
    pub plans: Vec<String>,
}

/// A request class, and the requirements that its requests must meet.
#[derive(Clone, Debug)]
pub struct NamedClass {
    /// Value of the `Req-Kind` header that selects the class.
    pub name: String,
    /// Whether requests of the class are writes (PUT) or reads (GET); `None` if the settings do not specify
    /// it, in which case both methods are accepted.
    pub writes: Option<bool>,
    /// Whether requests of the class must have an `Idempotency-Key` header.
    pub requires_idempotency_key: bool,
}

/// Reasons why a client's request cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The method is neither GET (reads) nor PUT (writes), which are the only methods of the protocol.
    #[error("the method is neither GET nor PUT")]
    UnsupportedMethod,
    /// The class requires the other method: reads use GET, writes use PUT.
    #[error("reads use GET, writes use PUT")]
    MethodMismatch,
    /// The length of the body is ambiguous, which would allow request smuggling.
    #[error("the body's length is to be stated once, or its chunks tell it")]
    AmbiguousLength,
    /// The header with this name is missing, repeated or malformed.
    #[error("{0} is missing or malformed")]
    InvalidHeader(&'static str),
    /// The path does not end in a block number of 16 hex digits.
    #[error("the path does not end in 16 hex digits")]
    InvalidBlock,
    /// The settings define no class with the name in `Req-Kind`.
    #[error("unknown Req-Kind")]
    UnknownClass,
    /// The settings define no plan with the name in `Tier`.
    #[error("unknown Tier")]
    UnknownPlan,
}

/// The contents of the head of a client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedRequest {
    /// Index of the request class, from `Req-Kind`.
    pub class: ClassIndex,
    /// Index of the volume's service plan, from `Tier`.
    pub plan: PlanIndex,
    /// Number of the volume, from `IO-Info` (`volume`, 16 hex digits).
    pub volume: VolumeId,
    /// Number of gateways that receive requests for the volume, from `IO-Info` (`hosts`); finite and not
    /// negative.
    pub volume_gateway_count: f64,
    /// Number of the block to read or write, from the last segment of the path (16 hex digits).
    pub block: BlockId,
    /// The shard that stores the block; `None` for a new object, for which the shard in `IO-Info` is
    /// negative.
    pub shard: Option<ShardId>,
    /// Size of the request in units, from `IO-Info` (`units`); finite and above 0.
    pub units: f64,
    /// Time for which the client waits for the response, in microseconds, from `Req-Deadline`.
    pub timeout_us: u64,
}

/// Decodes the head of a client's request. `conflicting_length` is true if the connection received both
/// `Content-Length` and `Transfer-Encoding` in this head.
///
/// # Errors
///
/// Returns an error if a required part of the head is missing, malformed or ambiguous, or if the class or
/// plan is unknown.
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
    let IoInfo { volume, volume_gateway_count, shard, units } =
        io_info.ok_or(RequestError::InvalidHeader("io-info"))?;
    Ok(ParsedRequest { class, plan, volume, volume_gateway_count, block, shard, units, timeout_us })
}

fn check_method(head: &Parts) -> Result<(), RequestError> {
    match head.method {
        Method::GET | Method::PUT => Ok(()),
        _ => Err(RequestError::UnsupportedMethod),
    }
}

/// Returns whether the body has no transfer coding, or a single `chunked` coding on a PUT. The gateway
/// decodes the chunks and sends storage nodes a `Content-Length`. Reads have no body to send in chunks.
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

/// Returns the value of a header that must occur exactly once.
fn single_header<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<&'a str, RequestError> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (Some(value), None) => value.to_str().map_err(|_| RequestError::InvalidHeader(name)),
        _ => Err(RequestError::InvalidHeader(name)),
    }
}

fn parse_hex(digits: &str) -> Option<u64> {
    // `from_str_radix` alone would also accept a leading sign.
    let is_hex_number = digits.len() == HEX_DIGITS && digits.bytes().all(|digit| digit.is_ascii_hexdigit());
    is_hex_number.then(|| u64::from_str_radix(digits, 16).ok()).flatten()
}

/// The fields of the `IO-Info` header, such as `volume=…, units=2, shard=0, hosts=3`.
struct IoInfo {
    volume: VolumeId,
    volume_gateway_count: f64,
    shard: Option<ShardId>,
    units: f64,
}

impl IoInfo {
    /// Parses the value of the header; returns `None` if a field is missing or malformed. Unknown fields are
    /// ignored.
    fn parse(text: &str) -> Option<IoInfo> {
        let (mut volume, mut volume_gateway_count, mut shard, mut units) = (None, None, None, None);
        for (name, value) in text.split(',').filter_map(|field| field.split_once('=')) {
            let value = value.trim();
            match name.trim() {
                "volume" => volume = parse_hex(value),
                "units" => units = parse_finite(value).filter(|units| *units > 0.0),
                "shard" => shard = value.parse::<i64>().ok(),
                "hosts" => volume_gateway_count = parse_finite(value).filter(|gateways| *gateways >= 0.0),
                _ => {}
            }
        }
        let shard = match shard? {
            // A negative number marks a new object, which no shard stores yet.
            ..=-1 => None,
            number => Some(ShardId(u32::try_from(number).ok()?)),
        };
        Some(IoInfo {
            volume: VolumeId(volume?),
            volume_gateway_count: volume_gateway_count?,
            shard,
            units: units?,
        })
    }
}

fn parse_finite(text: &str) -> Option<f64> {
    text.parse::<f64>().ok().filter(|number| number.is_finite())
}

/// The parts of a request's head that are forwarded to storage nodes.
///
/// The parts are copied. Those of the client's head would keep the whole buffer of its connection in memory,
/// and all its other headers.
#[derive(Clone, Debug)]
pub struct ForwardedHead {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
}

impl ForwardedHead {
    /// Copies the method, the URI and the forwarded headers.
    pub fn copy_of(head: &Parts) -> Self {
        let uri = Uri::from_maybe_shared(Bytes::from(head.uri.to_string()));
        let mut headers = HeaderMap::with_capacity(FORWARDED_HEADERS.len());
        for name in FORWARDED_HEADERS {
            if let Some(value) = head.headers.get(name) {
                headers.insert(name, copy_of_value(value));
            }
        }
        // A URI that has been parsed can be parsed again.
        ForwardedHead { method: head.method.clone(), uri: uri.unwrap_or_else(|_| head.uri.clone()), headers }
    }

    /// Returns the length of the copied texts, in bytes.
    pub fn text_len(&self) -> usize {
        let path_len = self.uri.path_and_query().map_or(0, |path| path.as_str().len());
        let authority_len = self.uri.authority().map_or(0, |authority| authority.as_str().len());
        path_len + authority_len + self.headers.values().map(HeaderValue::len).sum::<usize>()
    }
}

fn copy_of_value(value: &HeaderValue) -> HeaderValue {
    HeaderValue::from_bytes(value.as_bytes()).unwrap_or_else(|_| value.clone())
}

/// A client's request, stored for forwarding to storage nodes. Each attempt encodes it anew.
#[derive(Clone, Debug)]
pub struct ForwardedRequest {
    /// The parts of the client's head that are forwarded.
    pub head: ForwardedHead,
    /// The complete body, with any transfer coding removed; at most [`MAX_BODY_LEN`] bytes.
    pub body: Bytes,
}

/// Encodes a client's request for one attempt, to be sent to a storage node.
///
/// The method, path, query, body and forwarded headers are those of the client's request. The headers include
/// the request id and the idempotency key. The deadline is `remaining`: the time for which the gateway will
/// still wait.
pub fn encode(forwarded: &ForwardedRequest, remaining: Duration) -> Request<Full<Bytes>> {
    let ForwardedRequest { head, body } = forwarded;
    let mut request = Request::new(Full::new(body.clone()));
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = head.uri.clone();
    let headers = request.headers_mut();
    headers.clone_from(&head.headers);
    if !headers.contains_key(HOST) {
        headers.insert(HOST, DEFAULT_HOST);
    }
    headers.insert(DEADLINE, encode_deadline(remaining));
    if head.method != Method::GET || !body.is_empty() {
        headers.insert(CONTENT_LENGTH, body.len().into());
    }
    request
}

/// Encodes a response to a client. `retry_after_us` is its `Retry-After` in microseconds; if it is `None`,
/// the response has no such header.
pub fn response(status: StatusCode, body: impl Into<Bytes>, retry_after_us: Option<u64>) -> Response<Bytes> {
    let mut response = Response::new(body.into());
    *response.status_mut() = status;
    if let Some(retry_after_us) = retry_after_us {
        response.headers_mut().insert("retry-after", encode_retry_after(retry_after_us));
    }
    response
}

/// Encodes a `Retry-After` in seconds with three decimals, which the platform's clients accept.
fn encode_retry_after(retry_after_us: u64) -> HeaderValue {
    let seconds = retry_after_us.max(MIN_RETRY_AFTER_US) as f64 / 1e6;
    format!("{seconds:.3}").try_into().expect("digits are a valid header value")
}
