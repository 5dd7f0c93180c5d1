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

/// How many outcomes an attempt can have.
const OUTCOME_COUNT: usize = 8;

/// What a router received, sent and answered.
#[derive(Debug, Default)]
pub struct RequestMetrics {
    /// Requests received.
    pub received: Counter,
    /// Attempts handed to the transport.
    pub attempts_sent: Counter,
    /// Requests served.
    pub served: Counter,
    /// Requests rejected.
    pub rejected: Counter,
    /// Requests failed.
    pub failed: Counter,
    /// Requests whose clients left before the answer.
    pub abandoned: Counter,
    attempt_outcomes: [Counter; OUTCOME_COUNT],
}

impl RequestMetrics {
    pub(super) fn count_attempt(&self, outcome: AttemptOutcome) {
        self.attempt_outcomes[outcome as usize].increment();
    }

    pub(super) fn count_answer<R>(&self, answer: &FinalAnswer<R>) {
        match answer {
            FinalAnswer::Served(_) => self.served.increment(),
            FinalAnswer::Rejected { .. } => self.rejected.increment(),
            FinalAnswer::Failed => self.failed.increment(),
        }
    }

    /// The counters by the names that the administration API and the log give them.
    pub fn by_name(&self) -> BTreeMap<&'static str, u64> {
        let outcome = |outcome: AttemptOutcome| self.attempt_outcomes[outcome as usize].get();
        BTreeMap::from([
            ("requests_taken", self.received.get()),
            ("requests_served", self.served.get()),
            ("requests_refused", self.rejected.get()),
            ("requests_failed", self.failed.get()),
            ("requests_gone", self.abandoned.get()),
            ("attempts_sent", self.attempts_sent.get()),
            ("attempts_ok", outcome(AttemptOutcome::Succeeded)),
            ("attempts_error", outcome(AttemptOutcome::Failed)),
            ("attempts_full", outcome(AttemptOutcome::Rejected)),
            ("attempts_timed_out", outcome(AttemptOutcome::TimedOut)),
            ("attempts_unreachable", outcome(AttemptOutcome::ConnectFailed)),
            ("attempts_reset", outcome(AttemptOutcome::ConnectionReset)),
            ("attempts_cancelled", outcome(AttemptOutcome::Cancelled)),
            ("attempts_not_sent", outcome(AttemptOutcome::NotSent)),
        ])
    }
}
