//! Connects the scheduler to the simulator through JSON lines on standard input and output.
//!
//! The simulator sends a batch of messages, one JSON object per line, and waits for the resulting actions.
//! The adapter only translates names and units between the two sides; all decisions are the scheduler's.

mod ids;
mod messages;
mod replies;
mod session;
mod wire;

use messages::{Message, MessageError};
use session::{Session, SessionError};
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

/// Errors that stop the adapter before the end of its input.
#[derive(Debug, thiserror::Error)]
enum AdapterError {
    #[error("standard input: {0}")]
    Input(io::Error),
    #[error(transparent)]
    Message(#[from] MessageError),
    #[error(transparent)]
    Session(#[from] SessionError),
}

fn main() -> ExitCode {
    match run(io::stdin().lock(), io::BufWriter::new(io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("scheduler-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Handles messages from `input` until end of file and writes a reply to `output` after each batch.
fn run(input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
    let mut session = Session::default();
    for line in input.lines() {
        let line = line.map_err(AdapterError::Input)?;
        if line.trim().is_empty() {
            continue;
        }
        if let Some(message) = Message::decode(&line)? {
            session.handle(message, &mut output)?;
        }
    }
    Ok(())
}
