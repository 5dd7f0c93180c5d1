//! Routing of requests: the requests in flight, their attempts, and exactly one final answer for each. It
//! knows no wire format and no socket.
//!
//! A front end [`submit`](RouterHandle::submit)s a request and awaits its [`FinalAnswer`]. The
//! [`RequestRouter`], an actor, feeds the scheduler and hands each [`Attempt`] that it decides on to an
//! [`AttemptTransport`], which reports the [`AttemptResult`] back through
//! [`attempt_ended`](RouterHandle::attempt_ended).

mod attempt;
mod clock;
mod handle;
mod metrics;
mod pending;
mod router;

pub use attempt::{Attempt, AttemptResult, AttemptTransport, ClientInterest};
pub use clock::Clock;
pub use handle::RouterHandle;
pub use metrics::{Counter, RequestMetrics};
pub use pending::PendingResponse;
pub use router::RequestRouter;

/// The final answer to a request.
#[derive(Debug)]
pub enum FinalAnswer<R> {
    /// A storage node's response.
    Served(R),
    /// Rejected: the request had no effect, or repeating it is harmless.
    Rejected {
        /// When the client should retry (`Retry-After`), counted from now, in microseconds; none if there is
        /// no advice.
        retry_after_us: Option<u64>,
    },
    /// Failed: the request may have run.
    Failed,
}
