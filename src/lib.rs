//! storage-gateway, a storage gateway: it keeps volumes to their reserves, shares and limits while it passes
//! requests to storage nodes.
//!
//! The decisions are one [`scheduler::Scheduler`] for each host, fed batches of [`scheduler::Event`]s and
//! answering with [`scheduler::Action`]s. Around it lie four layers; each may use those that stand after it
//! here, and [`routing`] uses none of them:
//!
//! - [`gateway`]: configuration, signals, counters, and the wiring of the actors;
//! - [`routing`]: the core, which deals in requests, attempts and outcomes and owns the scheduler's actor;
//! - [`protocol`]: messages decoded once into small typed values, and encoded once;
//! - [`transport`]: sockets, connections and pools.

pub mod gateway;
pub mod protocol;
pub mod routing;
pub mod scheduler;
pub mod transport;

#[doc = include_str!("../README.md")]
#[cfg(doctest)]
pub struct Readme;
