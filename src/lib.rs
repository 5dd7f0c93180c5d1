//! A storage gateway: it forwards requests for volumes to storage nodes, and keeps the volumes to their
//! reservations, shares and limits meanwhile.
//!
//! Every decision is made by a [`scheduler::Scheduler`], one in each gateway. It is pure: it takes batches of
//! [`scheduler::Event`]s and returns [`scheduler::Action`]s, and knows neither sockets nor clocks. The
//! program `scheduler-simulator-adapter` runs the same scheduler in a simulator.
//!
//! A module uses only modules that stand below it here; [`protocol`] and [`transport`] are independent of
//! each other, and [`routing`] uses neither:
//!
//! | module | subject |
//! | --- | --- |
//! | [`gateway`] | the program: configuration, signals, front ends, and the wiring of the actors |
//! | [`routing`] | requests in flight: the scheduler's actor, attempts, one final answer each |
//! | [`protocol`] | messages: decoded once into typed values, encoded once; no sockets |
//! | [`transport`] | sockets: servers, connections and pools; nothing of what they carry |
//! | [`scheduler`] | decisions: admission, dispatch, retries, health of nodes, rate limits |
//!
//! All of a gateway runs on one thread. State has one owner each: an actor, which is a task with a channel of
//! commands, or a structure that front ends share by reference counting.

pub mod gateway;
pub mod protocol;
pub mod routing;
pub mod scheduler;
pub mod transport;

#[doc = include_str!("../README.md")]
#[cfg(doctest)]
pub struct Readme;
