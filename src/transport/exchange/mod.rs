//! One request to a storage node and its response, which is either read completely or streamed.

mod response_memory;
mod runner;

use super::node_connection::SendError;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame};
use hyper::{HeaderMap, Request, Response, StatusCode};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

pub use self::response_memory::ResponseMemory;
pub(super) use self::runner::run_exchange;

/// Accepts or rejects a response based on its status and headers.
pub type HeadPredicate = dyn Fn(StatusCode, &HeaderMap) -> bool;

/// Decides whether a response is streamed to the client as it arrives or is read completely first.
pub struct StreamingRule {
    /// A response is streamed only if its `Content-Length` exceeds this, in bytes. A response without
    /// `Content-Length` is never streamed.
    pub min_body_len: u64,
    /// A response is streamed only if this predicate accepts its status and headers.
    pub accepts_head: Box<HeadPredicate>,
}

impl StreamingRule {
    /// Creates a rule that reads every response completely and streams none.
    pub fn never() -> Self {
        StreamingRule { min_body_len: 0, accepts_head: Box::new(|_, _| false) }
    }

    fn applies(&self, body_len: u64, status: StatusCode, headers: &HeaderMap) -> bool {
        body_len > self.min_body_len && (self.accepts_head)(status, headers)
    }
}

/// One request to a storage node, and how to handle its response.
pub struct Exchange {
    /// Builds the request. Called at most once, when the connection is open, so that the request states the
    /// time remaining at that point. Returns `None` if the client no longer waits for the response and the
    /// request must not be sent.
    pub build_request: Box<dyn FnMut() -> Option<Request<Full<Bytes>>>>,
    /// Time at which the exchange times out. Does not apply once the response is being streamed.
    pub deadline: Instant,
    /// Resolves once the exchange is cancelled. Not observed once the response is being streamed.
    pub cancelled: oneshot::Receiver<()>,
    /// Duration after which a response that has begun counts as stalled. A head has stalled if it is still
    /// incomplete this long after its first byte and no interim (1xx) response has arrived meanwhile. A body
    /// has stalled if no further part of it arrives for this long.
    pub stall_timeout: Duration,
    /// Decides whether the response is streamed.
    pub streaming: StreamingRule,
    /// Maximum length of a body that is read completely, in bytes. A response with a longer body that is not
    /// streamed fails as [`ExchangeFailure::InvalidResponse`].
    pub max_body_len: usize,
    /// Limits the memory of bodies that are read completely; `None` for no limit.
    pub response_memory: Option<ResponseMemory>,
    /// Receives [`ExchangeEvent::StreamStarted`] if the response is streamed, and in any case exactly one
    /// final event.
    pub on_event: Box<dyn FnMut(ExchangeEvent)>,
}

/// Reports that a stream has started or that an exchange has ended.
#[derive(Debug)]
pub enum ExchangeEvent {
    /// Final event: the response has been read completely.
    Completed(Response<Bytes>),
    /// The head of a response whose body is streamed; a final event follows.
    StreamStarted(Response<StreamedBody>),
    /// Final event: the streamed body is complete.
    StreamCompleted,
    /// Final event: the exchange ended without a complete response.
    Failed(ExchangeFailure),
}

/// Why an exchange ended without a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeFailure {
    /// No pooled connection was reusable, and the limit on open connections did not allow a new one.
    ConnectionLimitReached,
    /// The gateway stopped the exchange before the request was written completely, because the exchange was
    /// cancelled or the client no longer waited for the response. The node has not started the request, and
    /// the failure does not indicate a fault of the node.
    CancelledBeforeSent,
    /// The request could not be written completely, because the connection could not be established, the
    /// connection failed, or the deadline passed. The node has not started the request. Unlike
    /// [`CancelledBeforeSent`](Self::CancelledBeforeSent), this may indicate a fault of the node.
    RequestNotWritten,
    /// The connection failed after the request was written completely, or reading a streamed body failed.
    ConnectionReset,
    /// The response is not valid HTTP, its head or body is too long, or it stalled. A streamed body that
    /// stalls is a [`TimedOut`](Self::TimedOut) instead. The node has responded and may have run the request;
    /// only this connection is unusable.
    InvalidResponse,
    /// The response has begun, but there was no memory for its body before the deadline. The node has responded
    /// and may have run the request.
    ResponseMemoryExhausted,
    /// The request was written completely, but no complete response arrived before the deadline, or a
    /// streamed body stalled.
    TimedOut,
    /// The exchange was cancelled after the request was written completely, or the client of a streamed
    /// response disconnected. The node may have run the request.
    Cancelled,
}

impl From<SendError> for ExchangeFailure {
    fn from(error: SendError) -> Self {
        match error {
            SendError::WriteIncomplete => ExchangeFailure::RequestNotWritten,
            SendError::ConnectionReset => ExchangeFailure::ConnectionReset,
            SendError::InvalidResponse => ExchangeFailure::InvalidResponse,
        }
    }
}

/// The result of an exchange, and whether its connection can be reused.
pub(super) struct ExchangeEnd {
    /// The final event to report.
    pub(super) event: ExchangeEvent,
    /// Whether another request can be sent on the connection.
    pub(super) connection_reusable: bool,
}

/// The body of a streamed response. It ends with an error if the node does not send the complete body.
#[derive(Debug)]
pub struct StreamedBody(mpsc::Receiver<io::Result<Bytes>>);

impl Body for StreamedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        self.0.poll_recv(cx).map(|received| received.map(|chunk| chunk.map(Frame::data)))
    }
}
