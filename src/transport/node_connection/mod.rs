//! An HTTP/1 connection to a storage node or to discovery.

mod monitored_stream;
mod write_progress;

use self::monitored_stream::{MonitoredStream, ReadActivity};
use self::write_progress::WriteProgress;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::error::Error;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Maximum length of a response head, in bytes. A longer head fails the request, which guards against heads
/// that never end.
const MAX_HEAD_LEN: usize = 16 * 1024;

/// Why no response to a request was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// The request was not written completely to the socket. The node has not started the request.
    #[error("connection failed before the request was completely written")]
    WriteIncomplete,
    /// The connection failed after the request was, or may have been, written completely.
    #[error("connection failed after the request was written")]
    ConnectionReset,
    /// The request was written completely, and the response could not be parsed.
    #[error("response is malformed")]
    InvalidResponse,
}

impl SendError {
    /// Classifies an error that occurred after the request was written completely.
    pub(super) fn from_receive_error(error: &hyper::Error) -> Self {
        if is_malformed(error) { SendError::InvalidResponse } else { SendError::ConnectionReset }
    }
}

/// Returns whether an error means that the response could not be parsed, rather than that the connection
/// failed.
fn is_malformed(error: &hyper::Error) -> bool {
    use io::ErrorKind::{
        BrokenPipe, ConnectionAborted, ConnectionReset, NotConnected, TimedOut, UnexpectedEof,
    };
    let source = error.source().and_then(|source| source.downcast_ref::<io::Error>());
    let disconnect_kinds =
        [BrokenPipe, ConnectionAborted, ConnectionReset, NotConnected, TimedOut, UnexpectedEof];
    error.is_parse() || source.is_some_and(|source| !disconnect_kinds.contains(&source.kind()))
}

/// A connection that is used for one request at a time. Dropping it closes the socket, even during a
/// request.
pub struct NodeConnection {
    sender: SendRequest<Full<Bytes>>,
    stream: Rc<TcpStream>,
    write_progress: Rc<WriteProgress>,
    read_activity: Rc<ReadActivity>,
    driver: JoinHandle<()>,
}

impl NodeConnection {
    /// Opens a connection and spawns the task that drives it. Must be called on a `LocalSet`.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket cannot be connected.
    pub async fn connect(address: SocketAddr) -> io::Result<NodeConnection> {
        let stream = Rc::new(TcpStream::connect(address).await?);
        stream.set_nodelay(true)?;
        let write_progress = Rc::<WriteProgress>::default();
        let read_activity = Rc::<ReadActivity>::default();
        let io = TokioIo::new(MonitoredStream {
            stream: stream.clone(),
            write_progress: write_progress.clone(),
            read_activity: read_activity.clone(),
        });
        let handshake = http1::Builder::new().max_buf_size(MAX_HEAD_LEN).handshake(io);
        let (sender, connection) = handshake.await.map_err(io::Error::other)?;
        // The error is ignored here because hyper also reports it to the pending request.
        let driver = tokio::task::spawn_local(async move { drop(connection.await) });
        Ok(NodeConnection { sender, stream, write_progress, read_activity, driver })
    }

    /// Returns whether a request can be sent on the connection: the node has neither sent anything since the
    /// last response nor closed the connection.
    ///
    /// This checks the socket directly because hyper detects new bytes only when the runtime next polls the
    /// connection. A duplicate of the last response would then be taken for the response to the next request.
    pub fn is_reusable(&self) -> bool {
        let peeked = SockRef::from(&*self.stream).peek(&mut [MaybeUninit::uninit()]);
        self.sender.is_ready() && peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends the request, without retries, and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Returns an error if no response was received. The [`SendError`] states whether the node may have
    /// started the request.
    pub async fn send_request(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.write_progress.start_request(request.body().size_hint().lower() as usize);
        self.sender.try_send_request(request).await.map_err(|failed| {
            if failed.message().is_some() || !self.write_progress.is_complete() {
                SendError::WriteIncomplete
            } else {
                SendError::from_receive_error(failed.error())
            }
        })
    }

    /// Resets the record of received bytes, so that earlier bytes no longer count, and returns it.
    pub(super) fn reset_read_activity(&self) -> Rc<ReadActivity> {
        self.read_activity.reset();
        self.read_activity.clone()
    }

    /// Returns whether the current request has been written completely.
    pub(super) fn is_request_written(&self) -> bool {
        self.write_progress.is_complete()
    }
}

impl Drop for NodeConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
