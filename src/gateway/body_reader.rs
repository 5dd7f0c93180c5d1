//! Reads the bodies of requests from clients and of responses from discovery.
//!
//! The data of a body is stored contiguously. A list of its parts would need memory for each part, and a
//! sender may send a part for each byte.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Reasons why a body cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The body is longer than allowed.
    TooLong,
    /// The connection failed before the body was complete, or the body is malformed.
    Incomplete,
    /// The body was not complete by its deadline.
    TimedOut,
    /// Too much memory is in use for the bodies of all requests.
    OutOfMemory,
}

/// Reads a body, and passes its data to `append` as it arrives.
///
/// # Errors
///
/// Returns an error if the body is longer than `max_len` bytes, incomplete or malformed, or if `append`
/// returns an error.
pub async fn read_body(
    mut body: Incoming,
    max_len: usize,
    mut append: impl FnMut(&[u8]) -> Result<(), BodyError>,
) -> Result<(), BodyError> {
    let mut remaining = max_len;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Incomplete)?;
        let data = frame.data_ref().map_or(&[][..], |data| data);
        remaining = remaining.checked_sub(data.len()).ok_or(BodyError::TooLong)?;
        append(data)?;
    }
    Ok(())
}

/// Reads a body of at most `max_len` bytes into memory.
///
/// # Errors
///
/// Returns an error if the body is longer, incomplete or malformed.
pub async fn collect_body(body: Incoming, max_len: usize) -> Result<Bytes, BodyError> {
    let mut data = Vec::new();
    let append = |part: &[u8]| {
        data.extend_from_slice(part);
        Ok(())
    };
    read_body(body, max_len, append).await?;
    Ok(data.into())
}
