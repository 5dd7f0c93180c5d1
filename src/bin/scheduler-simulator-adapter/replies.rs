//! Replies to the simulator: one line per scheduler action, followed by a line that ends the reply.
//!
//! Fields are declared, and therefore serialized, in the alphabetical order of their names on the wire.

use crate::ids::InstanceId;
use serde::Serialize;
use std::io::{self, Write};
use storage_gateway::scheduler::Action;

/// One line of a reply.
#[derive(Serialize)]
pub enum Reply<'a> {
    /// Sends an attempt to a storage node.
    #[serde(rename = "forward")]
    SendAttempt {
        /// The id of the request, from its `inbound` message.
        #[serde(rename = "ref")]
        request: u32,
        /// The name of the storage node.
        #[serde(rename = "server")]
        node: &'a str,
        /// Time until the attempt times out, in microseconds; 0 if only the request's expiry limits it.
        #[serde(rename = "timeoutUs")]
        timeout_us: u64,
        /// The scheduler instance that the line belongs to.
        #[serde(rename = "who")]
        instance: InstanceId,
    },
    /// Cancels an attempt in flight.
    #[serde(rename = "callOff")]
    CancelAttempt {
        /// The id of the request, from its `inbound` message.
        #[serde(rename = "ref")]
        request: u32,
        /// The attempt's index among the request's attempts, from 0.
        #[serde(rename = "shot")]
        attempt_index: u32,
        /// The scheduler instance that the line belongs to.
        #[serde(rename = "who")]
        instance: InstanceId,
    },
    /// Rejects a request: it had no effect, or repeating it is harmless.
    #[serde(rename = "refuse")]
    Reject {
        /// Delay after which the client should retry, in microseconds; 0 if the reply suggests none.
        #[serde(rename = "comeBackUs")]
        retry_after_us: u64,
        /// The id of the request, from its `inbound` message.
        #[serde(rename = "ref")]
        request: u32,
        /// The scheduler instance that the line belongs to.
        #[serde(rename = "who")]
        instance: InstanceId,
    },
    /// Fails a request that may have run.
    #[serde(rename = "finishError")]
    Fail {
        /// The id of the request, from its `inbound` message.
        #[serde(rename = "ref")]
        request: u32,
        /// The scheduler instance that the line belongs to.
        #[serde(rename = "who")]
        instance: InstanceId,
    },
    /// Sets a timer; the simulator reports its expiry with `tickDue`.
    #[serde(rename = "wakeMe")]
    SetTimer {
        /// Time until the timer expires, in microseconds.
        #[serde(rename = "afterUs")]
        after_us: u64,
        /// A number that the simulator returns in the `tickDue` message of this timer.
        #[serde(rename = "ctx")]
        token: u64,
        /// The scheduler instance that the line belongs to.
        #[serde(rename = "who")]
        instance: InstanceId,
    },
    /// Starts a watch of the endpoint list.
    #[serde(rename = "observe")]
    WatchEndpoints {
        /// Always `true`; the scheduler has no action that ends a watch.
        active: bool,
        /// The scheduler instance that the line belongs to.
        #[serde(rename = "who")]
        instance: InstanceId,
    },
    /// Reports that a scheduler panicked; its actions from this batch are discarded.
    #[serde(rename = "bailOut")]
    Panicked {
        /// The scheduler instance that the line belongs to.
        #[serde(rename = "who")]
        instance: InstanceId,
        /// The panic message; `panic` if the payload is not a string.
        #[serde(rename = "words")]
        message: &'a str,
    },
    /// Ends the reply to a batch.
    #[serde(rename = "eor")]
    Complete {},
}

impl<'a> Reply<'a> {
    /// Converts a scheduler's action. Encodes a missing timeout or retry delay as 0.
    pub fn from_action(instance: InstanceId, action: &'a Action) -> Reply<'a> {
        match action {
            Action::SendAttempt { request, node, timeout_us } => {
                Reply::SendAttempt { request: request.0, node, timeout_us: timeout_us.unwrap_or(0), instance }
            }
            Action::CancelAttempt { request, attempt_index } => {
                Reply::CancelAttempt { request: request.0, attempt_index: *attempt_index, instance }
            }
            Action::Reject { request, retry_after_us } => {
                Reply::Reject { retry_after_us: retry_after_us.unwrap_or(0), request: request.0, instance }
            }
            Action::Fail { request } => Reply::Fail { request: request.0, instance },
            Action::SetTimer { after_us, token } => {
                Reply::SetTimer { after_us: *after_us, token: *token, instance }
            }
            Action::WatchEndpoints => Reply::WatchEndpoints { active: true, instance },
        }
    }

    /// Writes the reply as one JSON line.
    ///
    /// # Errors
    ///
    /// Returns an error if writing to `output` fails.
    pub fn write_to(&self, output: &mut impl Write) -> io::Result<()> {
        serde_json::to_writer(&mut *output, self)?;
        output.write_all(b"\n")
    }
}
