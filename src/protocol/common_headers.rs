//! The headers that requests to storage nodes have in common, whatever the client's protocol.

use hyper::header::HeaderValue;
use std::time::Duration;

/// The id of a request, unique among those in progress.
pub const REQUEST_ID: &str = "req-id";
/// The key by which storage nodes recognize a repeated write.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// How long the sender of a request waits.
pub const DEADLINE: &str = "req-deadline";
/// The host named to a storage node where the client names none.
pub const DEFAULT_HOST: HeaderValue = HeaderValue::from_static("origin.svc");

/// Encodes the time that is left for a request, in microseconds such as `480000u`.
pub fn encode_deadline(remaining: Duration) -> HeaderValue {
    let text = format!("{}u", remaining.as_micros());
    text.try_into().expect("digits are a valid header value")
}

/// Parses a time such as `480m` (milliseconds) or `480000u` (microseconds) to microseconds; none if it is
/// malformed.
pub fn parse_timeout(text: &str) -> Option<u64> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let factor = match unit {
        "m" => 1_000,
        "u" => 1,
        _ => return None,
    };
    number.parse::<u64>().ok()?.checked_mul(factor)
}
