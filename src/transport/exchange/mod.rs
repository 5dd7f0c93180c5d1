//! One request to a storage node and its response, read completely or streamed.

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

pub(super) use self::runner::run_exchange;

/// Judges the head of a response.
pub type HeadPredicate = dyn Fn(StatusCode, &HeaderMap) -> bool;

/// Which responses are streamed to the client as they come, rather than read completely first.
pub struct StreamingRule {
    /// Only responses whose body is longer than this, in bytes.
    pub min_body_len: u64,
    /// Only responses whose head this accepts.
    pub accepts: Box<HeadPredicate>,
}

impl StreamingRule {
    /// No response is streamed.
    pub fn never() -> Self {
        StreamingRule { min_body_len: 0, accepts: Box::new(|_, _| false) }
    }

    fn applies(&self, body_len: u64, status: StatusCode, headers: &HeaderMap) -> bool {
        body_len > self.min_body_len && (self.accepts)(status, headers)
    }
}

/// One request to a node, and what is to be done about its response.
pub struct Exchange {
    /// Builds the request once its connection is open, so that it states the time that is left then; it is
    /// sent once. `None`: nobody waits for it any more, and it must not begin.
    pub build_request: Box<dyn FnMut() -> Option<Request<Full<Bytes>>>>,
    /// When to give it up.
    pub deadline: Instant,
    /// Resolves once it is cancelled.
    pub cancelled: oneshot::Receiver<()>,
    /// Gives up a response that has begun and of which nothing new has come for this long.
    pub stall_timeout: Duration,
    /// Which responses are streamed.
    pub streaming: StreamingRule,
    /// The longest body that is read completely before it counts, in bytes; a longer one has failed.
    pub max_body_len: usize,
    /// Receives [`ExchangeEvent::StreamStarted`] if the response is streamed, and then the final event.
    pub on_event: Box<dyn FnMut(ExchangeEvent)>,
}

/// What becomes of an exchange.
#[derive(Debug)]
pub enum ExchangeEvent {
    /// The complete response.
    Completed(Response<Bytes>),
    /// The head of a response whose body follows; one final event will come.
    StreamStarted(Response<StreamedBody>),
    /// The streamed body is complete.
    StreamCompleted,
    /// It ended without a complete response.
    Failed(ExchangeFailure),
}

/// Why an exchange ended without a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeFailure {
    /// No descriptor is left for a connection.
    DescriptorsExhausted,
    /// Cancelled or no longer wanted before it was written completely: the node has not begun it, and that
    /// says nothing about the node.
    NotStarted,
    /// No connection could be opened, or it broke, or the deadline passed, before the request was written
    /// completely. The node has not started the request.
    NotDelivered,
    /// The connection broke after the request was written.
    ConnectionReset,
    /// What came back is not a response, or stopped halfway: the request has run, and only this connection is
    /// unusable.
    MalformedResponse,
    /// No response in time.
    TimedOut,
    /// Cancelled, or the client of a streamed response disconnected.
    Cancelled,
}

impl From<SendError> for ExchangeFailure {
    fn from(error: SendError) -> Self {
        match error {
            SendError::WriteIncomplete => ExchangeFailure::NotDelivered,
            SendError::ConnectionReset => ExchangeFailure::ConnectionReset,
            SendError::MalformedResponse => ExchangeFailure::MalformedResponse,
        }
    }
}

/// The end of an exchange on a connection.
pub(super) struct ExchangeEnd {
    /// The final event.
    pub(super) event: ExchangeEvent,
    /// Whether the connection can carry another request.
    pub(super) connection_reusable: bool,
}

/// The body of a streamed response.
#[derive(Debug)]
pub struct StreamedBody(mpsc::Receiver<io::Result<Bytes>>);

impl Body for StreamedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        self.0.poll_recv(cx).map(|received| received.map(|chunk| chunk.map(Frame::data)))
    }
}
