//! The actions with which a scheduler responds to its events.

use super::event::{NodeId, RequestId};

/// An instruction to the caller of the scheduler. Fields that end in `_us` are microseconds.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of the request to the node.
    SendAttempt {
        /// The request to send. None of its attempts is in flight.
        request: RequestId,
        /// The storage node that receives the attempt.
        node: NodeId,
        /// When the attempt times out, counted from now; `None` if it may last until the request
        /// expires.
        timeout_us: Option<u64>,
    },
    /// Cancel an attempt that is in flight.
    CancelAttempt {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The attempt's index among the request's attempts, from 0.
        attempt_index: u32,
    },
    /// Give the client a rejection as the final answer: the request had no effect, or repeating it is
    /// harmless.
    Reject {
        /// The rejected request.
        request: RequestId,
        /// When the client should retry (`Retry-After`), counted from now; `None` if the rejection gives no
        /// advice.
        retry_after_us: Option<u64>,
    },
    /// Give the client a failure as the final answer: the request may have been executed.
    Fail {
        /// The failed request.
        request: RequestId,
    },
    /// Set a timer, which is reported as an [`Event::TimerFired`](super::Event::TimerFired).
    SetTimer {
        /// When the timer fires, counted from now.
        after_us: u64,
        /// The token that the event returns.
        token: u64,
    },
    /// Start watching the endpoint list. Each update and each failed poll is reported as an
    /// [`Event::EndpointsUpdated`](super::Event::EndpointsUpdated).
    WatchEndpoints,
}
