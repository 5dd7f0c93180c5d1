//! Identifiers that the simulator assigns and that its messages refer to.

use serde::{Deserialize, Serialize};

/// Identifies one scheduler instance (`who` on the wire).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize, Serialize)]
pub struct InstanceId(u64);

/// Identifies an endpoint list (`table` on the wire).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
pub struct ListId(u64);
