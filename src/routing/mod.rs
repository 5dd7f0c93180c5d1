//! Tracks the requests in progress and their attempts, and gives each request exactly one final answer. This
//! module is independent of wire formats and sockets.
//!
//! A front end [`submit`](RouterHandle::submit)s a request and awaits its [`FinalAnswer`]. The
//! [`RequestRouter`], an actor, passes events to the scheduler. It hands each [`Attempt`] that the scheduler
//! requests to an [`AttemptTransport`], which reports the [`AttemptResult`] through
//! [`attempt_ended`](RouterHandle::attempt_ended).

mod attempt;
mod clock;
mod handle;
mod metrics;
mod pending;
mod router;

pub use attempt::{Attempt, AttemptResult, AttemptTransport, StartPermit};
pub use clock::Clock;
pub use handle::RouterHandle;
pub use metrics::{Counter, RequestMetrics};
pub use pending::PendingAnswer;
pub use router::RequestRouter;

/// The final answer to a request.
#[derive(Debug)]
pub enum FinalAnswer<R> {
    /// A storage node served the request with this response, whose body may still be streaming.
    Served(R),
    /// The request was rejected: it had no effect, or repeating it is harmless.
    Rejected {
        /// Delay after which the client should retry, in microseconds; `None` if the response must not
        /// contain a `Retry-After`.
        retry_after_us: Option<u64>,
    },
    /// The request failed, and it may have run.
    Failed,
}
