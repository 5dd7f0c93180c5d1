//! The gateway's log: lines on standard error.

use std::fmt::Display;

/// Writes one line to the log.
pub fn write(message: impl Display) {
    eprintln!("storage-gateway: {message}");
}
