//! Sockets: connections of clients and connections to storage nodes, and nothing of what they carry.
//!
//! Towards clients:
//! - `server`: the accept loop of one listener, up to its graceful shutdown;
//! - `lifecycle`: the phases of the graceful shutdown;
//! - `client_connection`: one connection, its requests and its close;
//! - `client_stream`: its socket, with bytes read ahead of hyper and a timeout on writes;
//! - `connection_table`: the state of each connection, and which are evicted when descriptors are short;
//! - `request_framing`: finds requests that state the length of their body twice;
//! - `body`: bodies of responses.
//!
//! Towards storage nodes:
//! - `connection_pool`: the connections to one node, owned by an actor;
//! - `exchange`: one request and its response, read completely or streamed;
//! - `node_connection`: one connection, and how much of a request has been written to it.
//!
//! Both stand on `socket`.

mod body;
mod client_connection;
mod client_stream;
mod connection_pool;
mod connection_table;
mod exchange;
mod lifecycle;
mod node_connection;
mod request_framing;
mod server;
mod socket;

pub use body::{GuardedBody, ResponseBody, full_body};
pub use client_connection::{Admission, RequestContext};
pub use connection_pool::{ConnectionPool, PoolLimits};
pub use exchange::{Exchange, ExchangeEvent, ExchangeFailure, StreamedBody, StreamingRule};
pub use lifecycle::LifecyclePhase;
pub use node_connection::{NodeConnection, SendError};
pub use server::{ConnectionLimits, serve};
