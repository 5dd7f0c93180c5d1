//! Bodies of the responses given to clients.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::body::{Body, Frame, SizeHint};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

/// The body of a response to a client.
pub type ResponseBody = UnsyncBoxBody<Bytes, io::Error>;

/// A body whose bytes are all known beforehand.
pub fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// A body that holds a guard until it is written or given up.
pub struct GuardedBody<G> {
    // Dropped in this order: the body before what guards it.
    body: ResponseBody,
    _guard: G,
}

impl<G: Unpin + Send + 'static> GuardedBody<G> {
    /// Drops `guard` together with `body`, and after it.
    pub fn new(body: ResponseBody, guard: G) -> Self {
        GuardedBody { body, _guard: guard }
    }

    /// Hides the type of the guard.
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
