//! Helpers for the tests of the scheduler: builders of its inputs, and a simulated fleet of gateways that
//! checks their actions against the rules of the platform.

// Each test binary uses only part of this module.
#![allow(dead_code)]

mod builders;
mod fleet;
mod rules;

pub use builders::*;
// Not every test binary simulates a fleet.
#[allow(unused_imports)]
pub use fleet::*;

/// One second, in microseconds.
pub const SECOND: u64 = 1_000_000;
/// Batch interval of the test settings, in microseconds. The simulated clock advances in steps of it.
pub const TICK: u64 = 2_000;
