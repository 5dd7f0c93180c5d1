//! How much this gateway sends a node at once: the concurrency window, and the pacing of attempts at an
//! overloaded node. Both follow additive increase and multiplicative decrease (AIMD).

use std::collections::VecDeque;

/// The window's start and ordinary floor, and its ceiling; from the design.
const INITIAL_WINDOW: f64 = 4.0;
const MAX_WINDOW: f64 = 32.0;
/// The window grows while the latency per unit stays within this ratio to its recent median, and halves past
/// the other; from the design.
const GROWTH_RATIO: f64 = 1.5;
const HALVING_RATIO: f64 = 2.0;
/// Answers that the median of the latency per unit is taken over.
const MAX_SAMPLES: usize = 64;
/// The weight of the latest answer in a moving average.
pub(super) const AVERAGING_WEIGHT: f64 = 0.125;
/// The service time of a unit is the quickest one in so many samples.
const QUICKEST_FRACTION: usize = 8;
/// The part of the tightest objective beyond which queueing at a node is an overload, and which it should
/// come to.
pub(super) const OVERLOAD_OBJECTIVE_FRACTION: f64 = 0.5;
/// Pacing ends when its interval falls below this part of the tightest objective.
const MIN_PACING_OBJECTIVE_FRACTION: f64 = 1.0 / 16.0;
/// The range of the ratio that the pacing interval is multiplied by.
const MIN_PACING_RATIO: f64 = 0.1;
const MAX_PACING_RATIO: f64 = 2.0;

/// The concurrency window of a node.
pub(super) struct ConcurrencyWindow {
    /// How many attempts may be in flight.
    pub(super) limit: f64,
    adjusted_at_us: u64,
    /// Recent latencies per unit, in microseconds.
    samples: VecDeque<f64>,
    median: f64,
    recent_mean: f64,
}

/// The latencies per unit in the window's memory, in microseconds.
pub(super) struct LatencySummary {
    median: f64,
    /// The quickest eighth.
    pub(super) quickest: f64,
}

impl ConcurrencyWindow {
    /// The window of a node that this gateway has not known before.
    pub(super) fn new() -> Self {
        ConcurrencyWindow::with_limit(INITIAL_WINDOW)
    }

    /// The window of a node whose process is a new one.
    pub(super) fn after_restart() -> Self {
        ConcurrencyWindow::with_limit(1.0)
    }

    fn with_limit(limit: f64) -> Self {
        ConcurrencyWindow {
            limit,
            adjusted_at_us: 0,
            samples: VecDeque::new(),
            median: 0.0,
            recent_mean: 0.0,
        }
    }

    /// Whether no answer has been seen yet.
    pub(super) fn has_no_samples(&self) -> bool {
        self.samples.is_empty()
    }

    /// Starts the window anew after a failure.
    pub(super) fn collapse(&mut self) {
        self.limit = 1.0;
    }

    /// Forgets how quick the latest answers were.
    pub(super) fn restart_recent_mean(&mut self, latency_per_unit: f64) {
        self.recent_mean = latency_per_unit;
    }

    /// Records the latency of an answer, in microseconds per unit.
    pub(super) fn record(&mut self, latency_per_unit: f64) {
        self.recent_mean += 2.0 * AVERAGING_WEIGHT * (latency_per_unit - self.recent_mean);
        self.samples.push_back(latency_per_unit);
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// Whether the window may be adjusted again: once per round trip.
    pub(super) fn adjustment_is_due(&self, now_us: u64, round_trip_us: f64) -> bool {
        now_us >= self.adjusted_at_us + round_trip_us as u64
    }

    /// Summarizes the samples for an adjustment of the window.
    pub(super) fn summarize(&mut self, now_us: u64) -> LatencySummary {
        self.adjusted_at_us = now_us;
        let mut sorted: Vec<f64> = self.samples.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        let summary = LatencySummary {
            median: sorted[sorted.len() / 2],
            quickest: sorted[sorted.len() / QUICKEST_FRACTION],
        };
        self.median = summary.median;
        summary
    }

    /// Adjusts the window by the latest latencies.
    ///
    /// EXCEPTION: where attempts themselves use up the objective, several gateways fill the node's queue in
    /// the order of arrival, and no order kept here matters; the window then falls below the floor, to one.
    pub(super) fn adjust(&mut self, uses_up_objective: bool, in_flight: u32) {
        if uses_up_objective {
            self.limit -= 1.0;
        } else if self.recent_mean > HALVING_RATIO * self.median {
            self.limit /= 2.0;
        } else if self.recent_mean <= GROWTH_RATIO * self.median && f64::from(in_flight) + 2.0 > self.limit {
            self.limit += 1.0;
        }
        let floor = if uses_up_objective { 1.0 } else { INITIAL_WINDOW.min(self.limit.max(1.0)) };
        self.limit = self.limit.clamp(floor, MAX_WINDOW);
    }
}

/// The pacing of attempts at an overloaded node.
#[derive(Default)]
pub(super) struct Pacing {
    /// How far apart attempts go, in microseconds; 0 while the node is not overloaded.
    interval_us: f64,
    /// The gap after the latest attempt, and when that was sent.
    gap_us: f64,
    last_sent_at_us: u64,
}

/// What the pacing of a node is adjusted by.
pub(super) struct PacingSignal {
    /// How long the latest attempt was queued at the node, in microseconds.
    pub(super) queueing_delay_us: f64,
    /// The tightest objective of all classes, in microseconds.
    pub(super) tightest_objective_us: f64,
    /// The longest interval that the node may need, in microseconds.
    pub(super) max_interval_us: f64,
    /// Whether only one attempt may be in flight and the node's service time is known.
    pub(super) window_is_minimal: bool,
    /// Whether the previous attempts failed.
    pub(super) failing: bool,
}

impl Pacing {
    /// EXCEPTION: where attempts are queued for half the tightest objective at a node although one is in
    /// flight at a time, many gateways fill its queue, which knows no priorities. Attempts then go apart, by
    /// AIMD on the queueing delay. Guards against surges, and slow and ageing nodes, before many gateways;
    /// may idle a node that only pauses. Where the previous attempt went unanswered too, they go at least as
    /// far apart as one takes.
    pub(super) fn adjust(&mut self, signal: &PacingSignal) {
        let (delay, objective) = (signal.queueing_delay_us, signal.tightest_objective_us);
        let ratio = delay / (OVERLOAD_OBJECTIVE_FRACTION * objective);
        if ratio > 1.0 && signal.window_is_minimal {
            let excess = delay - OVERLOAD_OBJECTIVE_FRACTION * objective;
            let start = if self.interval_us > 0.0 { self.interval_us } else { excess };
            self.interval_us = if signal.failing { start.max(delay) } else { start };
        }
        let next = self.interval_us * ratio.clamp(MIN_PACING_RATIO, MAX_PACING_RATIO);
        let negligible = next < objective * MIN_PACING_OBJECTIVE_FRACTION;
        self.interval_us = if negligible { 0.0 } else { next.min(signal.max_interval_us) };
    }

    /// Whether attempts at the node are paced.
    pub(super) fn is_active(&self) -> bool {
        self.interval_us > 0.0
    }

    /// Records that an attempt is sent; `jitter` varies the gap after it.
    pub(super) fn record_send(&mut self, now_us: u64, jitter: f64) {
        self.last_sent_at_us = now_us;
        self.gap_us = self.interval_us * jitter;
    }

    /// The gap after the latest attempt, in microseconds.
    pub(super) fn gap_us(&self) -> f64 {
        self.gap_us
    }

    /// When the latest attempt was sent.
    pub(super) fn last_sent_at_us(&self) -> u64 {
        self.last_sent_at_us
    }
}
