//! Limits the load that this gateway puts on a node by two means: the concurrency window, and the pacing of
//! the attempts sent to a node whose queueing delay exceeds its target.
//!
//! The concurrency window follows additive increase and multiplicative decrease (AIMD). The pacing interval
//! is scaled in proportion to the queueing delay.

use std::collections::VecDeque;

/// Initial concurrency window of a node that is new to this gateway, in attempts; see `docs/design.md`,
/// "Constants".
const INITIAL_WINDOW: f64 = 4.0;
/// Minimum concurrency window, in attempts; see `docs/design.md`, "Constants".
const MIN_WINDOW: f64 = 1.0;
/// Maximum concurrency window, in attempts; see `docs/design.md`, "Constants".
const MAX_WINDOW: f64 = 32.0;
/// Maximum ratio of the recent mean latency per unit to the median at which the window grows; see
/// `docs/design.md`, "Constants".
const GROWTH_RATIO: f64 = 1.5;
/// Ratio of the recent mean latency per unit to the median above which the window halves; see
/// `docs/design.md`, "Constants".
const HALVING_RATIO: f64 = 2.0;
/// Number of latest successes over which the median latency per unit is computed.
const MAX_SAMPLES: usize = 64;
/// Weight of the latest success in the exponential moving average of a node's queueing delay. The average of
/// the latency per unit uses twice this weight.
pub(super) const AVERAGING_WEIGHT: f64 = 0.125;
/// Divisor of the number of samples that gives the index of the service time per unit in the sorted samples.
/// The service time per unit is an estimate: the 12.5th percentile of the recent latencies per unit.
const SERVICE_TIME_INDEX_DIVISOR: usize = 8;
/// Target of the queueing delay at a node, as a fraction of the tightest latency objective. Attempts sent to
/// the node are paced if the delay exceeds the target while the concurrency window is at its minimum.
pub(super) const DELAY_TARGET_OBJECTIVE_FRACTION: f64 = 0.5;
/// Pacing ends when the interval falls below this fraction of the tightest latency objective.
const MIN_PACING_OBJECTIVE_FRACTION: f64 = 1.0 / 16.0;
/// Minimum factor by which the pacing interval is multiplied per adjustment.
const MIN_PACING_RATIO: f64 = 0.1;
/// Maximum factor by which the pacing interval is multiplied per adjustment.
const MAX_PACING_RATIO: f64 = 2.0;

/// The concurrency window of a node: how many attempts this gateway may have in flight at it.
pub(super) struct ConcurrencyWindow {
    /// Size of the window, in attempts.
    limit: f64,
    adjusted_at_us: u64,
    /// Latencies of the latest successes, in microseconds per unit.
    samples: VecDeque<f64>,
    /// Median of the samples at the latest adjustment, in microseconds per unit.
    median: f64,
    /// Exponential moving average of the latency, in microseconds per unit.
    recent_mean: f64,
}

impl ConcurrencyWindow {
    /// Creates the window of a node that is new to this gateway.
    pub(super) fn new() -> Self {
        ConcurrencyWindow::with_limit(INITIAL_WINDOW)
    }

    /// Creates the window of a node whose process has restarted.
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

    /// Returns the maximum number of attempts in flight; at least one.
    pub(super) fn limit(&self) -> f64 {
        self.limit
    }

    /// Returns whether the window allows only one attempt in flight.
    pub(super) fn is_minimal(&self) -> bool {
        self.limit <= MIN_WINDOW
    }

    /// Returns whether no attempt has succeeded yet.
    pub(super) fn has_no_samples(&self) -> bool {
        self.samples.is_empty()
    }

    /// Reduces the window to its minimum after a failure.
    pub(super) fn reset_to_minimum(&mut self) {
        self.limit = MIN_WINDOW;
    }

    /// Resets the recent mean to this latency, in microseconds per unit.
    pub(super) fn restart_recent_mean(&mut self, latency_per_unit: f64) {
        self.recent_mean = latency_per_unit;
    }

    /// Records the latency of a successful attempt, in microseconds per unit.
    pub(super) fn record(&mut self, latency_per_unit: f64) {
        self.recent_mean += 2.0 * AVERAGING_WEIGHT * (latency_per_unit - self.recent_mean);
        self.samples.push_back(latency_per_unit);
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// Returns whether the window may be adjusted again: at least the expected latency of an attempt must
    /// have passed since the latest adjustment.
    pub(super) fn may_be_adjusted(&self, now_us: u64, expected_latency_us: f64) -> bool {
        now_us >= self.adjusted_at_us + expected_latency_us as u64
    }

    /// Starts an adjustment: records its time, updates the median, and returns an estimate of the service
    /// time in microseconds per unit, which is the 12.5th percentile of the samples. There must be at least
    /// one sample.
    pub(super) fn start_adjustment(&mut self, now_us: u64) -> f64 {
        self.adjusted_at_us = now_us;
        let mut sorted: Vec<f64> = self.samples.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        self.median = sorted[sorted.len() / 2];
        sorted[sorted.len() / SERVICE_TIME_INDEX_DIVISOR]
    }

    /// Adjusts the window to the latest latencies. The window halves if the recent mean latency per unit
    /// exceeds [`HALVING_RATIO`] times the median. It grows by one if the recent mean is at most
    /// [`GROWTH_RATIO`] times the median and the window is nearly full.
    ///
    /// Deviation from the paper: the window shrinks by one instead, down to one, if the expected latency of
    /// an attempt exceeds a fixed fraction of the tightest latency objective. The node's queue, which is
    /// served in order of arrival, is then assumed to be filled by several gateways, so that the order in
    /// which this gateway ranks its requests has no effect.
    pub(super) fn adjust(&mut self, expected_latency_is_high: bool, in_flight: u32) {
        // Counts the attempt that has just ended, which `in_flight` no longer includes, plus one more: nearly
        // full means that less than one slot was free.
        let is_nearly_full = f64::from(in_flight) + 2.0 > self.limit;
        if expected_latency_is_high {
            self.limit -= 1.0;
        } else if self.recent_mean > HALVING_RATIO * self.median {
            self.limit /= 2.0;
        } else if self.recent_mean <= GROWTH_RATIO * self.median && is_nearly_full {
            self.limit += 1.0;
        }
        self.limit = self.limit.clamp(MIN_WINDOW, MAX_WINDOW);
    }
}

/// The pacing of the attempts sent to a node whose queueing delay exceeds its target: the gap between
/// successive attempts.
#[derive(Default)]
pub(super) struct Pacing {
    /// Interval between attempts before randomization, in microseconds; 0 while attempts are not paced.
    interval_us: f64,
    /// Randomized gap after the latest attempt, in microseconds.
    gap_us: f64,
    last_sent_at_us: u64,
}

/// The measurements by which the pacing of a node is adjusted.
pub(super) struct PacingSignal {
    /// Queueing delay of the latest attempt: its latency beyond its mean service time, in microseconds; at
    /// least 0.
    pub(super) queueing_delay_us: f64,
    /// The tightest latency objective of all classes, in microseconds.
    pub(super) tightest_objective_us: f64,
    /// Upper bound of the pacing interval, in microseconds.
    pub(super) max_interval_us: f64,
    /// Whether the concurrency window allows only one attempt in flight and the node's service time is known.
    pub(super) window_is_minimal: bool,
    /// Whether a failure has been recorded since the node's last success.
    pub(super) node_is_failing: bool,
}

impl Pacing {
    /// Adjusts the pacing interval to the latest queueing delay.
    ///
    /// Deviation from the paper: if attempts queue at a node for more than half the tightest latency
    /// objective although this gateway's concurrency window allows only one attempt, the queue is assumed to
    /// come from other gateways; it has no priorities. In this case, attempts are paced, starting from an
    /// interval equal to the queueing delay beyond half the objective; if the node is also failing, the
    /// interval is raised to at least the queueing delay. Each adjustment multiplies the interval by the
    /// ratio of the queueing delay to half the objective, clamped to the range from [`MIN_PACING_RATIO`] to
    /// [`MAX_PACING_RATIO`]. Pacing guards against surges and slow nodes in deployments with many gateways.
    /// Its drawback: a node that paused only briefly may be left idle.
    pub(super) fn adjust(&mut self, signal: &PacingSignal) {
        let (queueing_delay_us, objective_us) = (signal.queueing_delay_us, signal.tightest_objective_us);
        let ratio = queueing_delay_us / (DELAY_TARGET_OBJECTIVE_FRACTION * objective_us);
        if ratio > 1.0 && signal.window_is_minimal {
            let delay_above_target_us = queueing_delay_us - DELAY_TARGET_OBJECTIVE_FRACTION * objective_us;
            let current_us = if self.interval_us > 0.0 { self.interval_us } else { delay_above_target_us };
            self.interval_us =
                if signal.node_is_failing { current_us.max(queueing_delay_us) } else { current_us };
        }
        let next_us = self.interval_us * ratio.clamp(MIN_PACING_RATIO, MAX_PACING_RATIO);
        let is_negligible = next_us < objective_us * MIN_PACING_OBJECTIVE_FRACTION;
        self.interval_us = if is_negligible { 0.0 } else { next_us.min(signal.max_interval_us) };
    }

    /// Returns whether attempts sent to the node are paced.
    pub(super) fn is_active(&self) -> bool {
        self.interval_us > 0.0
    }

    /// Records that an attempt is sent. The gap after the attempt is the interval times `gap_factor`.
    pub(super) fn record_send(&mut self, now_us: u64, gap_factor: f64) {
        self.last_sent_at_us = now_us;
        self.gap_us = self.interval_us * gap_factor;
    }

    /// Returns the gap after the latest attempt, in microseconds.
    pub(super) fn gap_us(&self) -> f64 {
        self.gap_us
    }

    /// Returns the time at which the latest attempt was sent.
    pub(super) fn last_sent_at_us(&self) -> u64 {
        self.last_sent_at_us
    }
}
