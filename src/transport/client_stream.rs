//! The socket of a client connection, with a read-ahead buffer and a write timeout.

use super::connection_slot::ConnectionSlot;
use super::request_framing::RequestFraming;
use super::socket::SharedSocket;
use bytes::{Buf, BufMut, BytesMut};
use socket2::SockRef;
use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Interval, Sleep};

/// Size of each read buffer of a connection, in bytes. The head of a request must fit into hyper's buffer.
pub(super) const READ_BUFFER_LEN: usize = 16 * 1024;
/// Size of the read-ahead buffer of a connection, in bytes.
const READ_AHEAD_LEN: usize = 4 * 1024;
/// Duration after which a client that accepts no byte of its response is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(60);

/// A client's socket, with a buffer for bytes that are read from it before hyper requests them.
///
/// While a request is in progress, hyper reads at most one byte beyond the request. After that byte, hyper
/// stops reading and cannot detect that the client disconnects. `ReadAhead` therefore reads on.
pub(super) struct ReadAhead {
    stream: TcpStream,
    buffer: RefCell<BytesMut>,
    framing: RefCell<RequestFraming>,
}

impl ReadAhead {
    /// Wraps a socket from which nothing has been read yet.
    pub(super) fn new(stream: TcpStream) -> Self {
        ReadAhead { stream, buffer: RefCell::default(), framing: RefCell::default() }
    }

    /// Returns the client's socket.
    pub(super) fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Returns whether the runtime has reported that the client closed the connection, even if bytes that the
    /// client sent before are still unread.
    pub(super) fn is_closed_by_client(&self) -> bool {
        let mut context = Context::from_waker(Waker::noop());
        match pin!(self.stream.ready(Interest::READABLE)).poll(&mut context) {
            Poll::Ready(Ok(readiness)) => readiness.is_read_closed(),
            Poll::Ready(Err(_)) => true,
            Poll::Pending => false,
        }
    }

    /// Returns whether the socket has received bytes that have not been read.
    pub(super) fn has_unread_bytes(&self) -> bool {
        let peeked = SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]);
        peeked.is_ok_and(|length| length > 0)
    }

    /// Returns whether the chunked request on this connection also has a `Content-Length`.
    pub(super) fn conflicting_length(&self) -> bool {
        self.framing.borrow().conflicting_length()
    }

    /// Returns ready once the client has closed the connection, or the connection has failed.
    ///
    /// Bytes that arrive before that are buffered for hyper, which is woken to read them because they may
    /// belong to the body of the current request. Once the buffer is full, the socket is checked at each tick
    /// of `check_interval`.
    pub(super) fn poll_closed(&self, cx: &mut Context<'_>, check_interval: &mut Interval) -> Poll<()> {
        let mut buffer = self.buffer.borrow_mut();
        while buffer.len() < READ_AHEAD_LEN {
            if ready!(self.stream.poll_read_ready(cx)).is_err() {
                return Poll::Ready(());
            }
            let free = READ_AHEAD_LEN - buffer.len();
            buffer.reserve(free);
            match self.stream.try_read_buf(&mut (&mut *buffer).limit(free)) {
                Ok(0) => return Poll::Ready(()),
                Ok(_) => cx.waker().wake_by_ref(),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return Poll::Ready(()),
            }
        }
        self.poll_closed_unread(cx, check_interval)
    }

    /// Like [`poll_closed`](Self::poll_closed), but does not read: detects a disconnect that follows unread
    /// bytes for which the buffer has no space.
    fn poll_closed_unread(&self, cx: &mut Context<'_>, check_interval: &mut Interval) -> Poll<()> {
        loop {
            ready!(check_interval.poll_tick(cx));
            if self.is_closed_by_client() {
                return Poll::Ready(());
            }
        }
    }

    /// Reads from the buffer, or from the socket if the buffer is empty.
    fn poll_read(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let mut buffer = self.buffer.borrow_mut();
        if buffer.is_empty() {
            ready!(self.stream.poll_read_with(cx, |stream| stream.try_read_buf(buf)))?;
        } else {
            let length = buffer.len().min(buf.remaining());
            buf.put_slice(&buffer[..length]);
            buffer.advance(length);
            if buffer.is_empty() {
                // Connections without pipelined requests hold no buffer.
                *buffer = BytesMut::new();
            }
        }
        Poll::Ready(Ok(()))
    }
}

/// The stream through which hyper reads from and writes to a client's socket.
///
/// A write fails once no byte of it has been written for [`WRITE_TIMEOUT`]. This guards against clients that
/// stop reading: their responses would occupy memory forever.
pub(super) struct ClientStream {
    read_ahead: Rc<ReadAhead>,
    write_timeout: Option<Pin<Box<Sleep>>>,
    slot: Arc<ConnectionSlot>,
}

impl ClientStream {
    /// Creates a stream that records in `slot` when bytes are received.
    pub(super) fn new(read_ahead: Rc<ReadAhead>, slot: Arc<ConnectionSlot>) -> Self {
        ClientStream { read_ahead, write_timeout: None, slot }
    }

    /// Returns a timeout error instead of `Pending` once writes have been pending for [`WRITE_TIMEOUT`].
    fn apply_write_timeout<T>(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.write_timeout = None;
            return written;
        }
        let timeout = self.write_timeout.get_or_insert_with(|| Box::pin(tokio::time::sleep(WRITE_TIMEOUT)));
        timeout.as_mut().poll(cx).map(|()| Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        ready!(self.read_ahead.poll_read(cx, buf))?;
        if buf.filled().len() > filled_before {
            let mut framing = self.read_ahead.framing.borrow_mut();
            framing.feed(&buf.filled()[filled_before..]);
            self.slot.record_received_bytes(framing.is_within_head());
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = self.read_ahead.stream.poll_write_with(cx, |stream| stream.try_write(buf));
        self.apply_write_timeout(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = self.read_ahead.stream.poll_write_with(cx, |stream| stream.try_write_vectored(bufs));
        self.apply_write_timeout(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    /// Does nothing: writes are not buffered but passed to the kernel at once.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.read_ahead.stream.shutdown_write())
    }
}
