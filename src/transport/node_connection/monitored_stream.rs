//! A stream to a storage node that records which bytes are written and whether bytes are received.

use super::write_progress::WriteProgress;
use crate::transport::socket::SharedSocket;
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// The stream through which hyper reads from and writes to the socket.
pub(super) struct MonitoredStream {
    pub(super) stream: Rc<TcpStream>,
    pub(super) write_progress: Rc<WriteProgress>,
    pub(super) read_activity: Rc<ReadActivity>,
}

impl AsyncRead for MonitoredStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let length = ready!(self.stream.poll_read_with(cx, |stream| stream.try_read_buf(buf)))?;
        if length > 0 {
            self.read_activity.record();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for MonitoredStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let length = ready!(self.stream.poll_write_with(cx, |stream| stream.try_write(buf)))?;
        self.write_progress.record(&buf[..length]);
        Poll::Ready(Ok(length))
    }

    /// Does nothing: writes are not buffered but passed to the kernel at once.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.stream.shutdown_write())
    }
}

/// Records whether bytes have been received from the node since the last reset.
#[derive(Default)]
pub(in crate::transport) struct ReadActivity {
    received: Cell<bool>,
    notify: Notify,
}

impl ReadActivity {
    fn record(&self) {
        self.received.set(true);
        self.notify.notify_one();
    }

    /// Resolves once bytes have been received since the last reset.
    pub(in crate::transport) async fn received(&self) {
        while !self.received.get() {
            self.notify.notified().await;
        }
    }

    /// Clears the record, so that only bytes received from now on count.
    pub(in crate::transport) fn reset(&self) {
        self.received.set(false);
    }
}
