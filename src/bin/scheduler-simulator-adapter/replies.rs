//! The replies on the simulator's wire: the scheduler's actions, a line each, and the end of the batch.
//!
//! Fields are declared in the alphabetical order of their names on the wire, which is the order in which they
//! are written.

use crate::ids::InstanceId;
use serde::Serialize;
use std::io::{self, Write};
use storage_gateway::scheduler::Action;

/// One line of a reply.
#[derive(Serialize)]
pub enum Reply<'a> {
    /// Send an attempt.
    #[serde(rename = "forward")]
    SendAttempt {
        /// The request.
        #[serde(rename = "ref")]
        request: u32,
        /// The node.
        #[serde(rename = "server")]
        node: &'a str,
        /// When the attempt times out, in microseconds from now; 0 if it may last until the client gives up.
        #[serde(rename = "timeoutUs")]
        timeout_us: u64,
        /// The scheduler.
        #[serde(rename = "who")]
        instance: InstanceId,
    },
    /// Cancel an attempt.
    #[serde(rename = "callOff")]
    CancelAttempt {
        /// The request.
        #[serde(rename = "ref")]
        request: u32,
        /// The attempt's number among those of the request, from 0.
        #[serde(rename = "shot")]
        attempt: u32,
        /// The scheduler.
        #[serde(rename = "who")]
        instance: InstanceId,
    },
    /// Reject a request.
    #[serde(rename = "refuse")]
    Reject {
        /// When the client should come back, in microseconds from now; 0 if there is no advice.
        #[serde(rename = "comeBackUs")]
        retry_after_us: u64,
        /// The request.
        #[serde(rename = "ref")]
        request: u32,
        /// The scheduler.
        #[serde(rename = "who")]
        instance: InstanceId,
    },
    /// Fail a request.
    #[serde(rename = "finishError")]
    Fail {
        /// The request.
        #[serde(rename = "ref")]
        request: u32,
        /// The scheduler.
        #[serde(rename = "who")]
        instance: InstanceId,
    },
    /// Set a timer.
    #[serde(rename = "wakeMe")]
    SetTimer {
        /// When it is due, in microseconds from now.
        #[serde(rename = "afterUs")]
        after_us: u64,
        /// Comes back with the timer.
        #[serde(rename = "ctx")]
        token: u64,
        /// The scheduler.
        #[serde(rename = "who")]
        instance: InstanceId,
    },
    /// Watch the endpoint list from now on.
    #[serde(rename = "observe")]
    WatchEndpoints {
        /// Always true.
        active: bool,
        /// The scheduler.
        #[serde(rename = "who")]
        instance: InstanceId,
    },
    /// A scheduler panicked; its actions of this batch are lost.
    #[serde(rename = "bailOut")]
    Panicked {
        /// The scheduler.
        #[serde(rename = "who")]
        instance: InstanceId,
        /// The panic's message.
        #[serde(rename = "words")]
        message: &'a str,
    },
    /// The reply is complete.
    #[serde(rename = "eor")]
    Complete {},
}

impl<'a> Reply<'a> {
    /// The reply that carries an action of a scheduler.
    pub fn from_action(instance: InstanceId, action: &'a Action) -> Reply<'a> {
        match action {
            Action::SendAttempt { request, node, timeout_us } => {
                Reply::SendAttempt { request: request.0, node, timeout_us: timeout_us.unwrap_or(0), instance }
            }
            Action::CancelAttempt { request, attempt } => {
                Reply::CancelAttempt { request: request.0, attempt: *attempt, instance }
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

    /// Writes the reply as a line.
    ///
    /// # Errors
    ///
    /// Returns an error if `output` cannot be written.
    pub fn write_to(&self, output: &mut impl Write) -> io::Result<()> {
        serde_json::to_writer(&mut *output, self)?;
        output.write_all(b"\n")
    }
}
