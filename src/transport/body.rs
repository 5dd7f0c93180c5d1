//! Response bodies sent to clients.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::body::{Body, Frame, SizeHint};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Body of a response to a client, either complete or streamed.
pub type ResponseBody = UnsyncBoxBody<Bytes, io::Error>;

/// Creates a response body from bytes that are already in memory.
pub fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// A response body that owns a guard, which is dropped once the body has been sent or discarded.
pub struct GuardedBody<G> {
    // Fields are dropped in declaration order: the body must be dropped before its guard.
    body: ResponseBody,
    _guard: G,
}

impl<G: Unpin + Send + 'static> GuardedBody<G> {
    /// Ties `guard` to `body`: the guard is dropped directly after the body.
    pub fn new(body: ResponseBody, guard: G) -> Self {
        GuardedBody { body, _guard: guard }
    }

    /// Converts the body to a [`ResponseBody`], which hides the type of the guard.
    pub fn boxed(self) -> ResponseBody {
        self.boxed_unsync()
    }
}

impl<G: Unpin> Body for GuardedBody<G> {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
