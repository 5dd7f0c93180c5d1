//! Test peers of the gateway: clients, storage nodes and discovery.

use super::STEP_TIMEOUT;
use super::script::ReadUntil;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

/// The empty line that ends the head of an HTTP message.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// A client connection to the gateway.
pub struct ClientPeer(TcpStream);

impl ClientPeer {
    pub fn connect(address: &str) -> Self {
        ClientPeer(TcpStream::connect(address).unwrap())
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).unwrap();
    }

    pub fn read(&mut self, until: ReadUntil) -> Vec<u8> {
        read(&mut self.0, until)
    }

    /// Returns whether the gateway has sent bytes that are still unread, or has closed the connection.
    pub fn has_answer(&self) -> bool {
        peek(&self.0).is_ok()
    }
}

/// A peer that accepts connections from the gateway: a storage node or discovery.
pub struct NodePeer {
    /// `None` after [`terminate`](Self::terminate).
    listener: Option<TcpListener>,
    /// The connection that fills the listener's backlog; `None` while the backlog is not filled. While the
    /// backlog is full, the operating system drops other connection attempts. Such an attempt succeeds only
    /// when the system repeats it a second later.
    backlog_filler: Option<TcpStream>,
    /// All open connections; the last one is the current one. Earlier connections stay open, like those of a
    /// machine that has stopped responding.
    connections: Vec<TcpStream>,
}

impl NodePeer {
    pub fn listen() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        NodePeer { listener: Some(listener), backlog_filler: None, connections: Vec::new() }
    }

    pub fn address(&self) -> SocketAddr {
        self.listener().local_addr().unwrap()
    }

    fn listener(&self) -> &TcpListener {
        self.listener.as_ref().unwrap()
    }

    pub fn connection(&mut self) -> &mut TcpStream {
        self.connections.last_mut().expect("a connection")
    }

    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.connection().write_all(bytes).unwrap();
    }

    pub fn close_connection(&mut self) {
        drop(self.connections.pop());
    }

    pub fn terminate(&mut self) {
        self.listener = None;
        self.connections.clear();
    }

    pub fn fill_backlog(&mut self) {
        socket2::SockRef::from(self.listener()).listen(0).unwrap();
        self.backlog_filler = Some(TcpStream::connect(self.address()).unwrap());
    }

    pub fn free_backlog(&mut self) {
        self.backlog_filler = None;
        self.listener().accept().unwrap();
    }

    /// Returns whether a connection to the node is being established, according to the operating system's
    /// table of TCP connections.
    pub fn is_being_connected_to(&self) -> bool {
        const REMOTE_ADDRESS: usize = 2;
        const STATE: usize = 3;
        const SYN_SENT: &str = "02";
        let port = format!(":{:04X}", self.address().port());
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        table.lines().any(|line| {
            let fields: Vec<&str> = line.split_whitespace().collect();
            fields[REMOTE_ADDRESS].ends_with(&port) && fields[STATE] == SYN_SENT
        })
    }

    /// Accepts one pending connection, if any. Then moves the last connection with unread bytes to the end of
    /// the list, which makes it the current one. Returns whether there is a connection with unread bytes.
    pub fn poll_for_bytes(&mut self) -> bool {
        if let Some(Ok((connection, _))) = self.listener.as_ref().map(|listener| listener.accept()) {
            connection.set_nonblocking(false).unwrap();
            self.connections.push(connection);
        }
        let is_readable = |connection: &TcpStream| peek(connection).is_ok_and(|count| count > 0);
        let Some(position) = self.connections.iter().rposition(is_readable) else { return false };
        let readable = self.connections.remove(position);
        self.connections.push(readable);
        true
    }
}

/// Peeks at the next byte without blocking. Returns 1 if a byte is available, 0 if the peer has closed the
/// connection, and an error otherwise, in particular if no byte has arrived yet.
fn peek(stream: &TcpStream) -> std::io::Result<usize> {
    stream.set_nonblocking(true).unwrap();
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false).unwrap();
    peeked
}

/// Reads a head, a message, or all bytes until the connection is closed. If the connection is closed or reset
/// before the end of the head, returns the bytes received so far.
pub fn read(stream: &mut TcpStream, until: ReadUntil) -> Vec<u8> {
    stream.set_read_timeout(Some(STEP_TIMEOUT)).unwrap();
    let (mut bytes, mut byte) = (Vec::new(), [0]);
    while until == ReadUntil::Closed || !bytes.ends_with(HEAD_END) {
        match stream.read(&mut byte) {
            Ok(0) => return bytes,
            Ok(_) => bytes.push(byte[0]),
            Err(error) if error.kind() == ErrorKind::ConnectionReset => return bytes,
            Err(error) => panic!("{error} after {:?}", String::from_utf8_lossy(&bytes)),
        }
    }
    if let (ReadUntil::MessageEnd, Some(length)) = (until, content_length(&bytes)) {
        let mut body = vec![0; length];
        stream.read_exact(&mut body).unwrap();
        bytes.extend(body);
    }
    bytes
}

fn content_length(head: &[u8]) -> Option<usize> {
    let head = String::from_utf8_lossy(head).to_lowercase();
    let value = head.split("content-length: ").nth(1)?;
    value.lines().next()?.parse().ok()
}
