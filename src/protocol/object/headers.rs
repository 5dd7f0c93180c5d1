//! The headers that pass between clients and storage nodes.

use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};

/// Headers that are forwarded from a client to the storage node.
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
/// Headers that are forwarded from a storage node to the client.
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
/// The prefix of an object's own metadata, which is forwarded both ways.
const METADATA_PREFIX: &str = "x-amz-meta-";

/// The bearer token of a request.
pub fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then_some(token.trim()).filter(|token| !token.is_empty())
}

/// A header's value from text that was checked or escaped before.
///
/// # Panics
///
/// Where the text cannot be a header's value.
pub fn header_value(text: String) -> HeaderValue {
    HeaderValue::from_str(&text).expect("checked text is a valid header value")
}

/// The headers of a client's request that the storage node receives.
pub fn headers_to_node(request: &HeaderMap) -> HeaderMap {
    forwarded_headers(request, &REQUEST_HEADERS)
}

/// The headers of a storage node's response that the client receives.
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
