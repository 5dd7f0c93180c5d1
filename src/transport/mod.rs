//! Sockets: connections of clients and connections to storage nodes, and nothing of what they carry.
//!
//! Towards clients:
//! - `server`: the accept loop, up to the graceful shutdown;
//! - `connection_table`: the state of each connection, and which are evicted when descriptors are short;
//! - `request_framing`: finds requests that state the length of their body twice;
//! - `body`: bodies of responses.
//!
//! Towards storage nodes:
//! - `connection_pool`: the connections to one node, owned by an actor;
//! - `node_connection`: one connection, and how much of a request has been written to it.
//!
//! Both stand on `socket`.

mod body;
mod connection_pool;
mod connection_table;
mod node_connection;
mod request_framing;
mod server;
mod socket;

pub use body::{GuardedBody, ResponseBody, full_body};
pub use connection_pool::{ConnectionPool, Exchange, ExchangeEvent, PoolLimits, StreamedBody, StreamingRule};
pub use node_connection::{ExchangeError, NodeConnection};
pub use server::{Admission, ConnectionLimits, LifecyclePhase, RequestContext, serve};
