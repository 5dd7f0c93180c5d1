//! How much this gateway sends a node at once: the concurrency window, and the pacing of attempts at an
//! overloaded node.
//!
//! The window follows additive increase and multiplicative decrease (AIMD); the pacing interval is scaled in
//! proportion to the queueing delay.

use std::collections::VecDeque;

/// The window of a node that is new to this gateway, and its bounds; `docs/design.md`, "Constants".
const INITIAL_WINDOW: f64 = 4.0;
const MIN_WINDOW: f64 = 1.0;
const MAX_WINDOW: f64 = 32.0;
/// The window grows while the latency per unit stays within this ratio to its recent median, and halves past
/// the other; `docs/design.md`, "Constants".
const GROWTH_RATIO: f64 = 1.5;
const HALVING_RATIO: f64 = 2.0;
/// Successes that the median of the latency per unit is taken over.
const MAX_SAMPLES: usize = 64;
/// The weight of the latest success in a moving average.
pub(super) const AVERAGING_WEIGHT: f64 = 0.125;
/// The service time of a unit is the fastest one in so many samples.
const FASTEST_FRACTION: usize = 8;
/// The fraction of the tightest objective beyond which queueing at a node is an overload, and which pacing
/// aims for.
pub(super) const OVERLOAD_OBJECTIVE_FRACTION: f64 = 0.5;
/// Pacing ends when its interval falls below this fraction of the tightest objective.
const MIN_PACING_OBJECTIVE_FRACTION: f64 = 1.0 / 16.0;
/// The range of the ratio that the pacing interval is multiplied by.
const MIN_PACING_RATIO: f64 = 0.1;
const MAX_PACING_RATIO: f64 = 2.0;

/// The concurrency window of a node.
pub(super) struct ConcurrencyWindow {
    limit: f64,
    adjusted_at_us: u64,
    /// Recent latencies, in microseconds per unit.
    samples: VecDeque<f64>,
    median: f64,
    recent_mean: f64,
}

impl ConcurrencyWindow {
    /// The window of a node that is new to this gateway.
    pub(super) fn new() -> Self {
        ConcurrencyWindow::with_limit(INITIAL_WINDOW)
    }

    /// The window of a node whose process has restarted.
    pub(super) fn after_restart() -> Self {
        ConcurrencyWindow::with_limit(MIN_WINDOW)
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

    /// How many attempts may be in flight, at least one.
    pub(super) fn limit(&self) -> f64 {
        self.limit
    }

    /// Whether only one attempt may be in flight.
    pub(super) fn is_minimal(&self) -> bool {
        self.limit <= MIN_WINDOW
    }

    /// Whether no attempt has succeeded yet.
    pub(super) fn has_no_samples(&self) -> bool {
        self.samples.is_empty()
    }

    /// Reduces the window to its minimum after a failure.
    pub(super) fn collapse(&mut self) {
        self.limit = MIN_WINDOW;
    }

    /// Restarts the recent mean at this latency, in microseconds per unit.
    pub(super) fn restart_recent_mean(&mut self, latency_per_unit: f64) {
        self.recent_mean = latency_per_unit;
    }

    /// Records the latency of a success, in microseconds per unit.
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

    /// Starts an adjustment: updates the median, and returns the fastest eighth of the samples, in
    /// microseconds per unit.
    pub(super) fn update_median(&mut self, now_us: u64) -> f64 {
        self.adjusted_at_us = now_us;
        let mut sorted: Vec<f64> = self.samples.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        self.median = sorted[sorted.len() / 2];
        sorted[sorted.len() / FASTEST_FRACTION]
    }

    /// Adjusts the window by the latest latencies.
    ///
    /// EXCEPTION: where an attempt alone uses up the objective, several gateways fill the node's queue in
    /// order of arrival, and this gateway's ranking has no effect. The window then shrinks by one per
    /// adjustment, down to one.
    pub(super) fn adjust(&mut self, uses_up_objective: bool, in_flight: u32) {
        // The attempt that has just ended is no longer in flight.
        let is_nearly_full = f64::from(in_flight) + 2.0 > self.limit;
        if uses_up_objective {
            self.limit -= 1.0;
        } else if self.recent_mean > HALVING_RATIO * self.median {
            self.limit /= 2.0;
        } else if self.recent_mean <= GROWTH_RATIO * self.median && is_nearly_full {
            self.limit += 1.0;
        }
        self.limit = self.limit.clamp(MIN_WINDOW, MAX_WINDOW);
    }
}

/// The pacing of attempts at an overloaded node.
#[derive(Default)]
pub(super) struct Pacing {
    /// How far apart attempts are sent, in microseconds; 0 while the node is not overloaded.
    interval_us: f64,
    /// The gap after the latest attempt, and when that was sent.
    gap_us: f64,
    last_sent_at_us: u64,
}

/// What the pacing of a node is adjusted by.
pub(super) struct PacingSignal {
    /// The latency of the latest attempt beyond its mean service time, in microseconds.
    pub(super) excess_latency_us: f64,
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
    /// EXCEPTION: if attempts queue at a node for more than half the tightest objective although only one is
    /// in flight, many gateways share its queue, which has no priorities. Attempts are then spaced out; the
    /// interval is multiplied by the ratio of the measured to the acceptable queueing delay. Guards against
    /// surges and slow nodes in front of many gateways; may idle a node that only paused. If the previous
    /// attempts failed, the interval starts at no less than the measured delay.
    pub(super) fn adjust(&mut self, signal: &PacingSignal) {
        let (delay, objective) = (signal.excess_latency_us, signal.tightest_objective_us);
        let ratio = delay / (OVERLOAD_OBJECTIVE_FRACTION * objective);
        if ratio > 1.0 && signal.window_is_minimal {
            let excess = delay - OVERLOAD_OBJECTIVE_FRACTION * objective;
            let start = if self.interval_us > 0.0 { self.interval_us } else { excess };
            self.interval_us = if signal.failing { start.max(delay) } else { start };
        }
        let next = self.interval_us * ratio.clamp(MIN_PACING_RATIO, MAX_PACING_RATIO);
        let is_negligible = next < objective * MIN_PACING_OBJECTIVE_FRACTION;
        self.interval_us = if is_negligible { 0.0 } else { next.min(signal.max_interval_us) };
    }

    /// Whether attempts at the node are paced.
    pub(super) fn is_active(&self) -> bool {
        self.interval_us > 0.0
    }

    /// Records that an attempt is sent; the gap after it is the interval times this factor.
    pub(super) fn record_send(&mut self, now_us: u64, gap_factor: f64) {
        self.last_sent_at_us = now_us;
        self.gap_us = self.interval_us * gap_factor;
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
