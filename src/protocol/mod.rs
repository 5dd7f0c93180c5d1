//! Decodes and encodes the messages of all protocols, without any I/O. Each kind of message has one decoder,
//! which returns a small typed value or a typed error, and one encoder.
//!
//! - [`client_request`], [`node_response`] and [`endpoint_list`]: the platform's protocol, between clients,
//!   gateways, storage nodes and discovery;
//! - [`settings`]: the platform's settings, which the simulator also sends;
//! - [`object`]: the object API;
//! - [`common_headers`] and [`health`]: headers and paths that the protocols share;
//! - [`admin`]: the administration API, for operators;
//! - [`inventory`]: the operator's files that list the storage nodes.

pub mod admin;
pub mod client_request;
pub mod common_headers;
pub mod endpoint_list;
pub mod health;
pub mod inventory;
pub mod node_response;
pub mod object;
pub mod settings;
