//! Headers that the gateway forwards between clients and storage nodes, and helpers for header values.

use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};

/// Names of the headers that are forwarded from a client to the storage node.
const REQUEST_HEADERS: [&str; 12] = [
    "cache-control",
    "content-disposition",
    "content-encoding",
    "content-language",
    "content-md5",
    "content-type",
    "expires",
    "if-match",
    "if-modified-since",
    "if-none-match",
    "if-range",
    "if-unmodified-since",
];
/// Names of the headers that are forwarded from a storage node to the client.
const RESPONSE_HEADERS: [&str; 12] = [
    "accept-ranges",
    "cache-control",
    "content-disposition",
    "content-encoding",
    "content-language",
    "content-length",
    "content-range",
    "content-type",
    "etag",
    "expires",
    "last-modified",
    "x-amz-version-id",
];
/// Prefix of the headers with an object's user-defined metadata, which are forwarded in both directions.
const METADATA_PREFIX: &str = "x-amz-meta-";

/// Returns the bearer token of a request; `None` if the `Authorization` header is missing, malformed or uses
/// another scheme.
pub fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then_some(token.trim()).filter(|token| !token.is_empty())
}

/// Converts text that has been validated or escaped to a header value.
///
/// # Panics
///
/// Panics if the text contains characters that a header value cannot contain.
pub fn header_value(text: String) -> HeaderValue {
    HeaderValue::from_str(&text).expect("validated text is a valid header value")
}

/// Returns the headers of a client's request that are forwarded to the storage node.
pub fn headers_to_node(request: &HeaderMap) -> HeaderMap {
    forwarded_headers(request, &REQUEST_HEADERS)
}

/// Returns the headers of a storage node's response that are forwarded to the client.
pub fn headers_to_client(response: &HeaderMap) -> HeaderMap {
    forwarded_headers(response, &RESPONSE_HEADERS)
}

fn forwarded_headers(headers: &HeaderMap, names: &[&str]) -> HeaderMap {
    let is_forwarded =
        |name: &HeaderName| names.contains(&name.as_str()) || name.as_str().starts_with(METADATA_PREFIX);
    headers
        .iter()
        .filter(|(name, _)| is_forwarded(name))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
