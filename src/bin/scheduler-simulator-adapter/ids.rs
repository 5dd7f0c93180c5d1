//! The simulator's numbers for what its messages are about.

use serde::{Deserialize, Serialize};

/// The simulator's number for a scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize, Serialize)]
pub struct InstanceId(u64);

/// The simulator's number for an endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
pub struct ListId(u64);
