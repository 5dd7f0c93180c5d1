//! The numbers of the racks.

use crate::scheduler::ShardId;
use std::cell::RefCell;
use std::rc::Rc;

/// The racks that have been named, numbered as the scheduler's shards. A rack keeps its number. Clones share
/// one registry.
#[derive(Clone, Default)]
pub struct RackRegistry(Rc<RefCell<Vec<String>>>);

impl RackRegistry {
    /// The number of a rack; a new rack gets the next one.
    pub fn shard(&self, rack: &str) -> ShardId {
        let mut racks = self.0.borrow_mut();
        let index = racks.iter().position(|known| known == rack).unwrap_or_else(|| {
            racks.push(rack.into());
            racks.len() - 1
        });
        ShardId(index as u32)
    }
}
