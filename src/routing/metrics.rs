//! Counters of the requests and attempts that a router has handled.

use super::FinalAnswer;
use crate::scheduler::AttemptOutcome;
use std::cell::Cell;
use std::collections::BTreeMap;

/// A counter that only grows.
#[derive(Debug, Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// Adds one.
    pub fn increment(&self) {
        self.add(1);
    }

    /// Adds a number.
    pub fn add(&self, number: u64) {
        self.0.set(self.0.get() + number);
    }

    /// The count so far.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

/// What a router received, sent and answered.
#[derive(Debug, Default)]
pub struct RequestMetrics {
    /// Requests received.
    pub received: Counter,
    /// Requests served.
    pub served: Counter,
    /// Requests rejected.
    pub rejected: Counter,
    /// Requests failed.
    pub failed: Counter,
    /// Requests whose clients disconnected before the answer.
    pub abandoned: Counter,
    /// Attempts handed to the transport.
    pub attempts_sent: Counter,
    attempts_succeeded: Counter,
    attempts_failed: Counter,
    attempts_rejected: Counter,
    attempts_timed_out: Counter,
    attempts_not_connected: Counter,
    attempts_reset: Counter,
    attempts_cancelled: Counter,
    attempts_not_sent: Counter,
}

impl RequestMetrics {
    pub(super) fn count_attempt(&self, outcome: AttemptOutcome) {
        let counter = match outcome {
            AttemptOutcome::Succeeded => &self.attempts_succeeded,
            AttemptOutcome::Failed => &self.attempts_failed,
            AttemptOutcome::Rejected => &self.attempts_rejected,
            AttemptOutcome::TimedOut => &self.attempts_timed_out,
            AttemptOutcome::ConnectFailed => &self.attempts_not_connected,
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

    /// The counters by the names that the administration API and the log give them.
    pub fn by_name(&self) -> BTreeMap<&'static str, u64> {
        BTreeMap::from([
            ("requests_taken", self.received.get()),
            ("requests_served", self.served.get()),
            ("requests_refused", self.rejected.get()),
            ("requests_failed", self.failed.get()),
            ("requests_gone", self.abandoned.get()),
            ("attempts_sent", self.attempts_sent.get()),
            ("attempts_ok", self.attempts_succeeded.get()),
            ("attempts_error", self.attempts_failed.get()),
            ("attempts_full", self.attempts_rejected.get()),
            ("attempts_timed_out", self.attempts_timed_out.get()),
            ("attempts_unreachable", self.attempts_not_connected.get()),
            ("attempts_reset", self.attempts_reset.get()),
            ("attempts_cancelled", self.attempts_cancelled.get()),
            ("attempts_not_sent", self.attempts_not_sent.get()),
        ])
    }
}
