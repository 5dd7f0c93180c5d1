//! A storage gateway: it forwards requests for volumes to storage nodes and applies each volume's
//! reservation, fair share and rate limit.
//!
//! Each gateway has one [`scheduler::Scheduler`], which makes all scheduling decisions. The scheduler is
//! pure: it takes batches of [`scheduler::Event`]s, returns [`scheduler::Action`]s, and uses neither sockets
//! nor clocks. The program `scheduler-simulator-adapter` runs the same scheduler in a simulator.
//!
//! A module depends only on modules listed below it in this table. [`protocol`] and [`transport`] are
//! independent of each other, and [`routing`] depends on neither:
//!
//! | module | subject |
//! | --- | --- |
//! | [`gateway`] | the program: configuration, signals, front ends, startup of actors and servers |
//! | [`routing`] | requests in progress: the router actor, attempts, and one final answer per request |
//! | [`protocol`] | messages: decoded once into typed values and encoded once; no socket I/O |
//! | [`transport`] | sockets: servers, connections and connection pools; independent of message contents |
//! | [`scheduler`] | decisions: admission, dispatch, retries, node health, rate limits |
//!
//! A gateway runs on one thread. Each piece of state has one owner: either an actor (a task that receives
//! commands through a channel) or a reference-counted structure that front ends share.

pub mod gateway;
pub mod protocol;
pub mod routing;
pub mod scheduler;
pub mod transport;

#[doc = include_str!("../README.md")]
#[cfg(doctest)]
pub struct Readme;
