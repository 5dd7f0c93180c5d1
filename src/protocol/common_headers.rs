//! Headers of requests to storage nodes that the platform's protocol and the object API share.

use hyper::header::HeaderValue;
use std::time::Duration;

/// Header with the id of a request. The id is unique among the requests in progress at a gateway.
pub const REQUEST_ID: &str = "req-id";
/// Header with the key by which storage nodes recognize and drop a repeated write.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Header with the time for which the sender of a request waits for the response; see [`parse_timeout`] for
/// its format.
pub const DEADLINE: &str = "req-deadline";
/// `Host` header of requests to storage nodes. The platform's front end sends it only if the client's request
/// has no `Host`; the object front end always sends it.
pub const DEFAULT_HOST: HeaderValue = HeaderValue::from_static("origin.svc");

/// Encodes the remaining time for a request in microseconds, such as `480000u`.
pub fn encode_deadline(remaining: Duration) -> HeaderValue {
    let text = format!("{}u", remaining.as_micros());
    text.try_into().expect("digits are a valid header value")
}

/// Parses a time such as `480m` (milliseconds) or `480000u` (microseconds) and returns it in microseconds.
/// Returns `None` if it is malformed or too large.
pub fn parse_timeout(text: &str) -> Option<u64> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let factor = match unit {
        "m" => 1_000,
        "u" => 1,
        _ => return None,
    };
    number.parse::<u64>().ok()?.checked_mul(factor)
}
