//! The inventory of storage nodes, which takes the place of discovery where an operator runs the gateway.

mod actor;
mod file;
mod racks;

pub use actor::{InventoryActor, InventoryCommand};
pub use file::{InventoryReadError, read};
pub use racks::RackRegistry;
