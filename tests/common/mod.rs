//! What the tests of the scheduler share: builders of its inputs, and a simulated fleet of gateways that
//! checks every decision against the rules of the platform.

// Every test binary uses a part of this module only.
#![allow(dead_code)]

mod builders;
mod fleet;
mod rules;

pub use builders::*;
// Not every test binary simulates a fleet.
#[allow(unused_imports)]
pub use fleet::*;

/// A second in microseconds.
pub const SECOND: u64 = 1_000_000;
/// The batch interval of the settings in use, in microseconds; the simulated clock advances by it.
pub const TICK: u64 = 2_000;
