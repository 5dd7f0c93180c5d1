//! The operator's inventory of storage nodes, which object gateways use instead of discovery.

mod actor;
mod file;
mod racks;

pub use actor::{InventoryActor, InventoryCommand};
pub use file::{InventoryReadError, read};
pub use racks::RackRegistry;
