//! What a scheduler decides.

use super::event::{NodeId, RequestId};

/// A decision, to be carried out by the caller. Fields that end in `_us` are microseconds.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    SendAttempt {
        /// The request.
        request: RequestId,
        /// The node.
        node: NodeId,
        /// When the attempt times out, counted from now; none if it may last until the client gives up.
        timeout_us: Option<u64>,
    },
    /// Cancel an attempt.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// The attempt's number among those of the request, from 0.
        attempt: u32,
    },
    /// Reject the request: it had no effect, or repeating it is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// When the client should retry (`Retry-After`), counted from now; none if there is no advice.
        retry_after_us: Option<u64>,
    },
    /// The request failed; it may have run.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Set a timer.
    SetTimer {
        /// When it is due, counted from now.
        after_us: u64,
        /// Comes back with the timer.
        token: u64,
    },
    /// Watch the endpoint list from now on.
    WatchEndpoints,
}
