//! Counters of the requests and attempts that a router handles.

use super::FinalAnswer;
use crate::scheduler::AttemptOutcome;
use std::cell::Cell;
use std::collections::BTreeMap;

/// A counter that starts at 0 and never decreases.
#[derive(Debug, Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// Adds 1 to the count.
    pub fn increment(&self) {
        self.add(1);
    }

    /// Adds `amount` to the count.
    pub fn add(&self, amount: u64) {
        self.0.set(self.0.get() + amount);
    }

    /// Returns the current count.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

/// Counts of the requests that a router received and answered, and of their attempts.
#[derive(Debug, Default)]
pub struct RequestMetrics {
    /// Requests submitted to the router.
    pub received: Counter,
    /// Requests answered with a storage node's response.
    pub served: Counter,
    /// Rejected requests ([`FinalAnswer::Rejected`]): they had no effect, or repeating them is harmless.
    pub rejected: Counter,
    /// Failed requests ([`FinalAnswer::Failed`]): they may have run.
    pub failed: Counter,
    /// Requests whose clients disconnected before the final answer.
    pub client_disconnected: Counter,
    /// Attempts handed to the transport, including those that the transport then did not send.
    pub attempts_started: Counter,
    attempts_succeeded: Counter,
    attempts_failed: Counter,
    attempts_rejected: Counter,
    attempts_timed_out: Counter,
    attempts_connect_failed: Counter,
    attempts_reset: Counter,
    attempts_cancelled: Counter,
    /// Attempts that the router did not hand to the transport, or that the transport did not send.
    attempts_not_sent: Counter,
}

impl RequestMetrics {
    pub(super) fn count_attempt(&self, outcome: AttemptOutcome) {
        let counter = match outcome {
            AttemptOutcome::Succeeded => &self.attempts_succeeded,
            AttemptOutcome::Failed => &self.attempts_failed,
            AttemptOutcome::Rejected => &self.attempts_rejected,
            AttemptOutcome::TimedOut => &self.attempts_timed_out,
            AttemptOutcome::ConnectFailed => &self.attempts_connect_failed,
            AttemptOutcome::ConnectionReset => &self.attempts_reset,
            AttemptOutcome::Cancelled => &self.attempts_cancelled,
            AttemptOutcome::NotSent => &self.attempts_not_sent,
        };
        counter.increment();
    }

    pub(super) fn count_answer<R>(&self, answer: &FinalAnswer<R>) {
        let counter = match answer {
            FinalAnswer::Served(_) => &self.served,
            FinalAnswer::Rejected { .. } => &self.rejected,
            FinalAnswer::Failed => &self.failed,
        };
        counter.increment();
    }

    /// Returns the counters by the names under which the administration API and the log report them.
    pub fn by_name(&self) -> BTreeMap<&'static str, u64> {
        BTreeMap::from([
            ("requests_taken", self.received.get()),
            ("requests_served", self.served.get()),
            ("requests_refused", self.rejected.get()),
            ("requests_failed", self.failed.get()),
            ("requests_gone", self.client_disconnected.get()),
            ("attempts_sent", self.attempts_started.get()),
            ("attempts_ok", self.attempts_succeeded.get()),
            ("attempts_error", self.attempts_failed.get()),
            ("attempts_full", self.attempts_rejected.get()),
            ("attempts_timed_out", self.attempts_timed_out.get()),
            ("attempts_unreachable", self.attempts_connect_failed.get()),
            ("attempts_reset", self.attempts_reset.get()),
            ("attempts_cancelled", self.attempts_cancelled.get()),
            ("attempts_not_sent", self.attempts_not_sent.get()),
        ])
    }
}
