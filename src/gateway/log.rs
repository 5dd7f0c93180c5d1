//! Writes the gateway's log to standard error.

use std::fmt::Display;

/// Writes a message to the log, as one line with the program's name as its prefix.
pub fn write(message: impl Display) {
    eprintln!("storage-gateway: {message}");
}
