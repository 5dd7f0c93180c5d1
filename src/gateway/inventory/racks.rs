//! Assigns shard numbers to racks.

use crate::scheduler::ShardId;
use std::cell::RefCell;
use std::rc::Rc;

/// The racks registered so far, each with a number, which the scheduler uses as the shard number. The number
/// of a rack never changes. Clones share one registry.
#[derive(Clone, Default)]
pub struct RackRegistry(Rc<RefCell<Vec<String>>>);

impl RackRegistry {
    /// Returns the shard number of a rack. A rack that is not registered yet is registered with the next
    /// number.
    pub fn shard_for_rack(&self, rack: &str) -> ShardId {
        let mut racks = self.0.borrow_mut();
        let index = racks.iter().position(|known| known == rack).unwrap_or_else(|| {
            racks.push(rack.into());
            racks.len() - 1
        });
        ShardId(index as u32)
    }
}
