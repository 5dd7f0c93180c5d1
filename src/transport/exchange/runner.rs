//! Runs an exchange on an open connection.

use super::response_memory::{self, ResponseReservation};
use super::{Exchange, ExchangeEnd, ExchangeEvent, ExchangeFailure, StreamedBody};
use crate::transport::node_connection::{NodeConnection, SendError};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::http::response;
use hyper::{Request, Response};
use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Maximum number of chunks of a streamed body that are buffered for the client.
const STREAM_BUFFER_CHUNKS: usize = 4;

/// Sends the request and receives its response.
///
/// Reports the start of a stream to the exchange's `on_event`; the caller reports the final event.
pub(in crate::transport) async fn run_exchange(
    exchange: &mut Exchange,
    connection: &mut NodeConnection,
    request: Request<Full<Bytes>>,
) -> ExchangeEnd {
    match send_and_receive(exchange, connection, request).await {
        Ok(event) => ExchangeEnd { event, connection_reusable: true },
        Err(failure) => {
            let failure = match failure {
                // The exchange timed out or was cancelled before the last byte of the request was written, so
                // the node has not started the request.
                ExchangeFailure::TimedOut if !connection.is_request_written() => {
                    ExchangeFailure::RequestNotWritten
                }
                ExchangeFailure::Cancelled if !connection.is_request_written() => {
                    ExchangeFailure::CancelledBeforeSent
                }
                failure => failure,
            };
            ExchangeEnd { event: ExchangeEvent::Failed(failure), connection_reusable: false }
        }
    }
}

/// Sends the request and receives the response. Returns the final event once the response is complete.
async fn send_and_receive(
    exchange: &mut Exchange,
    connection: &mut NodeConnection,
    request: Request<Full<Bytes>>,
) -> Result<ExchangeEvent, ExchangeFailure> {
    let (head, body) = send_and_receive_head(exchange, connection, request).await?.into_parts();
    let body_len = body.size_hint().lower();
    if exchange.streaming.applies(body_len, head.status, &head.headers) {
        return stream_body(exchange, head, body).await;
    }
    // A body whose `Content-Length` exceeds the limit is rejected without being read.
    if body_len > exchange.max_body_len as u64 {
        return Err(ExchangeFailure::InvalidResponse);
    }
    let body = read_body(exchange, body).await?;
    Ok(ExchangeEvent::Completed(Response::from_parts(head, body)))
}

/// Sends the request and receives the head of the response.
async fn send_and_receive_head(
    exchange: &mut Exchange,
    connection: &mut NodeConnection,
    mut request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, ExchangeFailure> {
    let interim_received = Arc::new(AtomicBool::new(false));
    let interim_flag = interim_received.clone();
    hyper::ext::on_informational(&mut request, move |_| interim_flag.store(true, Ordering::Relaxed));
    let read_activity = connection.reset_read_activity();
    let mut response = pin!(connection.send_request(request));
    // Set when the first byte of the head arrives, so that a head that stalls fails the exchange before its
    // deadline.
    let mut stall_deadline: Option<Instant> = None;
    loop {
        tokio::select! {
            biased;
            _ = &mut exchange.cancelled => return Err(ExchangeFailure::Cancelled),
            response = &mut response => return Ok(response?),
            () = read_activity.received(), if stall_deadline.is_none() => {
                stall_deadline = Some(Instant::now() + exchange.stall_timeout);
            }
            () = tokio::time::sleep_until(exchange.deadline) => return Err(ExchangeFailure::TimedOut),
            () = tokio::time::sleep_until(stall_deadline.unwrap_or(exchange.deadline)),
                if stall_deadline.is_some() =>
            {
                // After an interim (1xx) response, the final response may take any time. The stall timeout is
                // therefore disarmed until the next byte arrives.
                if !interim_received.swap(false, Ordering::Relaxed) {
                    return Err(ExchangeFailure::InvalidResponse);
                }
                read_activity.reset();
                stall_deadline = None;
            }
        }
    }
}

/// Reads a body completely, once there is memory for it.
async fn read_body(exchange: &mut Exchange, mut body: Incoming) -> Result<Bytes, ExchangeFailure> {
    let expected_len = expected_len(&body, exchange.max_body_len);
    let reservation = reserve_memory(exchange, expected_len).await?;
    let mut data = Vec::new();
    loop {
        let stall_deadline = Instant::now() + exchange.stall_timeout;
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = tokio::time::sleep_until(exchange.deadline) => return Err(ExchangeFailure::TimedOut),
            () = tokio::time::sleep_until(stall_deadline) => return Err(ExchangeFailure::InvalidResponse),
            _ = &mut exchange.cancelled => return Err(ExchangeFailure::Cancelled),
        };
        match frame {
            None => return Ok(response_memory::into_bytes(data, reservation)),
            Some(Ok(frame)) => append(&mut data, frame.data_ref().map_or(&[], |data| data), expected_len),
            Some(Err(error)) => return Err(SendError::from_receive_error(&error).into()),
        }
        if data.len() > exchange.max_body_len {
            return Err(ExchangeFailure::InvalidResponse);
        }
    }
}

/// Returns the length of a body, or the maximum length if the head does not state it.
fn expected_len(body: &Incoming, max_len: usize) -> usize {
    body.size_hint().exact().map_or(max_len, |len| len as usize).min(max_len)
}

/// Appends a part of a body. The buffer does not grow beyond the expected length as long as the data does
/// not.
fn append(data: &mut Vec<u8>, part: &[u8], expected_len: usize) {
    let len = data.len() + part.len();
    if len > data.capacity() {
        let capacity = (2 * data.capacity()).min(expected_len).max(len);
        data.reserve_exact(capacity - data.len());
    }
    data.extend_from_slice(part);
}

/// Waits for the memory of a body, until the deadline of the exchange.
async fn reserve_memory(exchange: &mut Exchange, len: usize) -> Result<ResponseReservation, ExchangeFailure> {
    let Some(memory) = &exchange.response_memory else { return Ok(None) };
    tokio::select! {
        biased;
        reservation = memory.reserve(len) => Ok(reservation),
        () = tokio::time::sleep_until(exchange.deadline) => Err(ExchangeFailure::ResponseMemoryExhausted),
        _ = &mut exchange.cancelled => Err(ExchangeFailure::Cancelled),
    }
}

/// Forwards the body to the client as it arrives.
///
/// A streamed body is never continued from another exchange. If the node does not send the complete body, the
/// response to the client also ends before its `Content-Length`.
async fn stream_body(
    exchange: &mut Exchange,
    head: response::Parts,
    mut body: Incoming,
) -> Result<ExchangeEvent, ExchangeFailure> {
    let (chunks, receiver) = mpsc::channel(STREAM_BUFFER_CHUNKS);
    let response = Response::from_parts(head, StreamedBody(receiver));
    (exchange.on_event)(ExchangeEvent::StreamStarted(response));
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = tokio::time::sleep(exchange.stall_timeout) => {
                abort_stream(&chunks).await;
                return Err(ExchangeFailure::TimedOut);
            }
            () = chunks.closed() => return Err(ExchangeFailure::Cancelled),
        };
        let data = match frame {
            None => return Ok(ExchangeEvent::StreamCompleted),
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            Some(Err(_)) => {
                abort_stream(&chunks).await;
                return Err(ExchangeFailure::ConnectionReset);
            }
        };
        if chunks.send(Ok(data)).await.is_err() {
            return Err(ExchangeFailure::Cancelled);
        }
    }
}

/// Ends a streamed body with an error, so that the response to the client ends before its `Content-Length`.
async fn abort_stream(chunks: &mpsc::Sender<io::Result<Bytes>>) {
    // Sending fails only if the client has disconnected as well, so that the stream has already ended.
    let _ = chunks.send(Err(io::ErrorKind::ConnectionReset.into())).await;
}
