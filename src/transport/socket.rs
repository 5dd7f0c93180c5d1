//! Reads and writes a socket through a shared reference.

use socket2::SockRef;
use std::io;
use std::net::Shutdown;
use std::task::{Context, Poll, ready};
use tokio::net::TcpStream;

/// A socket with several owners, each of which may read and write it. For example, hyper uses a client's
/// socket while the connection checks it for a disconnect.
pub(super) trait SharedSocket {
    /// Calls `read` once the socket is readable, and retries while `read` returns
    /// [`io::ErrorKind::WouldBlock`].
    fn poll_read_with<T>(
        &self,
        cx: &mut Context<'_>,
        read: impl FnMut(&TcpStream) -> io::Result<T>,
    ) -> Poll<io::Result<T>>;

    /// Calls `write` once the socket is writable, and retries while `write` returns
    /// [`io::ErrorKind::WouldBlock`].
    fn poll_write_with<T>(
        &self,
        cx: &mut Context<'_>,
        write: impl FnMut(&TcpStream) -> io::Result<T>,
    ) -> Poll<io::Result<T>>;

    /// Shuts down the sending half of the connection: the peer reads the end of the stream.
    fn shutdown_write(&self) -> io::Result<()>;
}

impl SharedSocket for TcpStream {
    fn poll_read_with<T>(
        &self,
        cx: &mut Context<'_>,
        mut read: impl FnMut(&TcpStream) -> io::Result<T>,
    ) -> Poll<io::Result<T>> {
        loop {
            ready!(self.poll_read_ready(cx))?;
            if let Some(result) = unless_would_block(read(self)) {
                return Poll::Ready(result);
            }
        }
    }

    fn poll_write_with<T>(
        &self,
        cx: &mut Context<'_>,
        mut write: impl FnMut(&TcpStream) -> io::Result<T>,
    ) -> Poll<io::Result<T>> {
        loop {
            ready!(self.poll_write_ready(cx))?;
            if let Some(result) = unless_would_block(write(self)) {
                return Poll::Ready(result);
            }
        }
    }

    fn shutdown_write(&self) -> io::Result<()> {
        SockRef::from(self).shutdown(Shutdown::Write)
    }
}

/// Returns `None` if the operation would have blocked, that is, if the socket was not ready after all.
fn unless_would_block<T>(result: io::Result<T>) -> Option<io::Result<T>> {
    match result {
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => None,
        result => Some(result),
    }
}
