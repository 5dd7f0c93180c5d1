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

/// The head of a response must fit into this, in bytes: one that never ends is given up.
const MAX_HEAD_LEN: usize = 16 * 1024;

/// Why a request brought no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// The request's last byte was never written: the node has not begun it.
    #[error("the connection broke before the request was written")]
    WriteIncomplete,
    /// The request was written completely, or may have been.
    #[error("the connection broke after the request was written")]
    ConnectionReset,
    /// The request was written completely, and what came back is not a response.
    #[error("the answer cannot be read")]
    MalformedResponse,
}

impl SendError {
    /// Classifies an error that came after the request was written.
    pub(super) fn from_receive_error(error: &hyper::Error) -> Self {
        if is_malformed(error) { SendError::MalformedResponse } else { SendError::ConnectionReset }
    }
}

/// Whether an error means that what came cannot be parsed, rather than that the connection broke.
fn is_malformed(error: &hyper::Error) -> bool {
    use io::ErrorKind::{
        BrokenPipe, ConnectionAborted, ConnectionReset, NotConnected, TimedOut, UnexpectedEof,
    };
    let source = error.source().and_then(|source| source.downcast_ref::<io::Error>());
    let broken = [BrokenPipe, ConnectionAborted, ConnectionReset, NotConnected, TimedOut, UnexpectedEof];
    error.is_parse() || source.is_some_and(|source| !broken.contains(&source.kind()))
}

/// A connection that carries one request at a time. Dropping it closes it, whatever it is doing.
pub struct NodeConnection {
    sender: SendRequest<Full<Bytes>>,
    stream: Rc<TcpStream>,
    write_progress: Rc<WriteProgress>,
    read_activity: Rc<ReadActivity>,
    driver: JoinHandle<()>,
}

impl NodeConnection {
    /// Opens a connection. Must be called on a `LocalSet`.
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
        // The error reaches whoever waits for the response; here it only ends the driver.
        let driver = tokio::task::spawn_local(async move { drop(connection.await) });
        Ok(NodeConnection { sender, stream, write_progress, read_activity, driver })
    }

    /// Whether it can take a request: nothing has come on it since the last response, and the node has not
    /// closed it.
    ///
    /// This queries the socket itself, as hyper learns of it only in the runtime's next turn: a second copy
    /// of the last response would be taken for the response to the next request.
    pub fn is_reusable(&self) -> bool {
        let peeked = SockRef::from(&*self.stream).peek(&mut [MaybeUninit::uninit()]);
        self.sender.is_ready() && peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends the request once, and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Returns an error if no response came: [`SendError`] tells whether the node may have begun the request.
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

    /// The record of incoming bytes, reset: what came before does not count.
    pub(super) fn reset_read_activity(&self) -> Rc<ReadActivity> {
        self.read_activity.reset();
        self.read_activity.clone()
    }

    /// Whether the current request has been written completely.
    pub(super) fn is_request_written(&self) -> bool {
        self.write_progress.is_complete()
    }
}

impl Drop for NodeConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
