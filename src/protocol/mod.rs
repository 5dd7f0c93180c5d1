//! The messages of all protocols. Each is decoded once, into a small typed value with typed errors, and
//! encoded once; nothing here touches a socket.
//!
//! - [`client_request`], [`node_response`] and [`endpoint_list`]: the platform's protocol, between clients,
//!   gateways, storage nodes and discovery;
//! - [`settings`]: the platform's settings, which the simulator sends as well;
//! - [`object`]: the object API;
//! - [`common_headers`] and [`health`]: what the protocols have in common;
//! - [`admin`] and [`inventory`]: what an operator sends and keeps.

pub mod admin;
pub mod client_request;
pub mod common_headers;
pub mod endpoint_list;
pub mod health;
pub mod inventory;
pub mod node_response;
pub mod object;
pub mod settings;
