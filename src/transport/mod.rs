//! Sockets: the server side, connections to storage nodes, their pools, and nothing of what they carry.

mod connection_pool;
mod connection_table;
mod node_connection;
mod request_framing;
mod server;

pub use connection_pool::{ConnectionPool, Exchange, ExchangeEvent, PoolLimits, StreamedBody, StreamingRule};
pub use node_connection::{ExchangeError, NodeConnection};
pub use server::{Admission, ConnectionLimits, LifecyclePhase, RequestContext, serve};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::body::{Body, Frame, SizeHint};
use socket2::SockRef;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::net::TcpStream;

/// The body of an answer to a client.
pub type ResponseBody = UnsyncBoxBody<Bytes, std::io::Error>;

/// A socket that several hold at once: it is read and written by whoever finds it ready.
trait Shared {
    /// Reads by this, once there is something to read.
    fn poll_read_once<T>(
        &self,
        cx: &mut Context<'_>,
        read: impl FnMut(&TcpStream) -> io::Result<T>,
    ) -> Poll<io::Result<T>>;
    /// Writes by this, once there is room.
    fn poll_write_once<T>(
        &self,
        cx: &mut Context<'_>,
        write: impl FnMut(&TcpStream) -> io::Result<T>,
    ) -> Poll<io::Result<T>>;
    /// Tells the other side that nothing more will come.
    fn end_writes(&self) -> io::Result<()>;
}

/// None: it was not ready after all.
fn tried<T>(result: io::Result<T>) -> Option<io::Result<T>> {
    match result {
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => None,
        result => Some(result),
    }
}

impl Shared for TcpStream {
    fn poll_read_once<T>(
        &self,
        cx: &mut Context<'_>,
        mut read: impl FnMut(&TcpStream) -> io::Result<T>,
    ) -> Poll<io::Result<T>> {
        loop {
            ready!(self.poll_read_ready(cx))?;
            if let Some(result) = tried(read(self)) {
                return Poll::Ready(result);
            }
        }
    }

    fn poll_write_once<T>(
        &self,
        cx: &mut Context<'_>,
        mut write: impl FnMut(&TcpStream) -> io::Result<T>,
    ) -> Poll<io::Result<T>> {
        loop {
            ready!(self.poll_write_ready(cx))?;
            if let Some(result) = tried(write(self)) {
                return Poll::Ready(result);
            }
        }
    }

    fn end_writes(&self) -> io::Result<()> {
        SockRef::from(self).shutdown(std::net::Shutdown::Write)
    }
}

/// A body that is there whole.
pub fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// A body that keeps something alive until it is written or given up.
pub struct GuardedBody<T>(pub ResponseBody, pub T);

impl<T: Unpin + Send + 'static> GuardedBody<T> {
    /// The same as a plain body.
    pub fn boxed(self) -> ResponseBody {
        self.boxed_unsync()
    }
}

impl<T: Unpin> Body for GuardedBody<T> {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<std::io::Result<Frame<Bytes>>>> {
        Pin::new(&mut self.0).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.0.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.0.size_hint()
    }
}
