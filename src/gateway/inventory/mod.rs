//! Reads the operator's inventory of storage nodes, from which an object gateway gets its endpoints instead of
//! from discovery.

mod actor;
mod file;
mod racks;

pub use actor::{InventoryActor, InventoryCommand};
pub use file::{InventoryReadError, read};
pub use racks::RackRegistry;
