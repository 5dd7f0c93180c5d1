//! A client's socket: bytes read ahead of hyper, and a timeout on writes.

use super::connection_table::ConnectionSlot;
use super::request_framing::RequestFraming;
use super::socket::SharedSocket;
use bytes::BytesMut;
use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Interval, Sleep};

/// A connection's read buffer, in bytes: the head of a request must fit into it.
pub(super) const READ_BUFFER_LEN: usize = 16 * 1024;
/// Space made in the buffer before each read, in bytes.
const READ_CHUNK_LEN: usize = READ_BUFFER_LEN / 4;
/// A client that accepts no byte of its response for this long is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(60);

/// A client's socket, and what has been read from it ahead of hyper. While a request is in progress, hyper
/// reads no further than one byte behind it, and does not notice that the client disconnects after that.
pub(super) struct ReadAhead {
    stream: TcpStream,
    buffer: RefCell<BytesMut>,
    framing: RefCell<RequestFraming>,
}

impl ReadAhead {
    /// Has read nothing yet.
    pub(super) fn new(stream: TcpStream) -> Self {
        ReadAhead { stream, buffer: RefCell::default(), framing: RefCell::default() }
    }

    /// The socket.
    pub(super) fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Whether the chunked request on this connection states a length as well.
    pub(super) fn conflicting_length(&self) -> bool {
        self.framing.borrow().conflicting_length()
    }

    /// Ready once the client has closed the connection, or it has broken. What comes before that is buffered
    /// for hyper, which is woken for it: it may be the rest of a body. Once the buffer is full, the socket is
    /// checked at each tick of `check_interval`.
    pub(super) fn poll_closed(&self, cx: &mut Context<'_>, check_interval: &mut Interval) -> Poll<()> {
        let mut buffer = self.buffer.borrow_mut();
        while buffer.len() < READ_BUFFER_LEN {
            match ready!(self.stream.poll_read_ready(cx)) {
                Ok(()) => buffer.reserve(READ_CHUNK_LEN),
                Err(_) => return Poll::Ready(()),
            }
            match self.stream.try_read_buf(&mut *buffer) {
                Ok(0) => return Poll::Ready(()),
                Ok(_) => cx.waker().wake_by_ref(),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return Poll::Ready(()),
            }
        }
        self.poll_closed_unread(cx, check_interval)
    }

    /// The same without reading: a client may close behind bytes for which there is no space.
    fn poll_closed_unread(&self, cx: &mut Context<'_>, check_interval: &mut Interval) -> Poll<()> {
        loop {
            ready!(check_interval.poll_tick(cx));
            match pin!(self.stream.ready(Interest::READABLE)).poll(cx) {
                Poll::Ready(Ok(readiness)) if !readiness.is_read_closed() => {}
                poll => return poll.map(drop),
            }
        }
    }

    /// Reads what has been buffered, or else from the socket.
    fn poll_read(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let mut buffer = self.buffer.borrow_mut();
        if buffer.is_empty() {
            ready!(self.stream.poll_read_with(cx, |stream| stream.try_read_buf(buf)))?;
        } else {
            let length = buffer.len().min(buf.remaining());
            buf.put_slice(&buffer.split_to(length));
        }
        Poll::Ready(Ok(()))
    }
}

/// What hyper reads from and writes to: a client's socket whose writes fail once nothing of them has been
/// written for [`WRITE_TIMEOUT`]. Guards against clients that stop reading: their responses would occupy
/// memory forever.
pub(super) struct ClientStream {
    read_ahead: Rc<ReadAhead>,
    write_timeout: Option<Pin<Box<Sleep>>>,
    slot: Arc<ConnectionSlot>,
}

impl ClientStream {
    /// Records in `slot` that bytes have come.
    pub(super) fn new(read_ahead: Rc<ReadAhead>, slot: Arc<ConnectionSlot>) -> Self {
        ClientStream { read_ahead, write_timeout: None, slot }
    }

    /// Turns a write that has been pending for too long into an error.
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
            self.read_ahead.framing.borrow_mut().feed(&buf.filled()[filled_before..]);
            self.slot.record_received_bytes();
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

    /// Writes go to the kernel at once.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.read_ahead.stream.shutdown_write())
    }
}
