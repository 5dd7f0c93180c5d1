//! HTTP/1 connections from clients and to storage nodes, independent of the application protocols that use
//! them.
//!
//! The client side:
//! - `server`: the accept loop of one listener, including its graceful shutdown;
//! - `lifecycle`: the phases of the graceful shutdown;
//! - `client_connection`: serves the requests of one connection and closes it;
//! - `client_stream`: the socket of a client connection, with a read-ahead buffer and a write timeout;
//! - `connection_slot`: the state of one connection, and the timeouts that depend on it;
//! - `connection_table`: the connections of one listener, and their eviction when a limit is reached;
//! - `request_framing`: detects requests with both `Content-Length` and `Transfer-Encoding`;
//! - `body`: response bodies.
//!
//! The storage node side:
//! - `connection_pool`: an actor that owns the connections to one node;
//! - `exchange`: one request and its response, which is either read completely or streamed;
//! - `node_connection`: one connection, and how much of the current request has been written to it.
//!
//! Both sides use `socket`, which reads and writes sockets through shared references.

mod body;
mod client_connection;
mod client_stream;
mod connection_pool;
mod connection_slot;
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
pub use connection_slot::BodyReception;
pub use connection_table::ConnectionLimits;
pub use exchange::{Exchange, ExchangeEvent, ExchangeFailure, ResponseMemory, StreamedBody, StreamingRule};
pub use lifecycle::LifecyclePhase;
pub use node_connection::{NodeConnection, SendError};
pub use server::serve;
