//! The latency model of a request class: estimates how long the requests of the class may be queued.
//!
//! As in the paper, a generalized exponential distribution F(x) = (1 - e^(-x/scale))^shape is fitted to
//! recent latencies. Averaging the disengagement curve over this distribution gives the mean latency at
//! which the mean disengagement meets its target. That mean latency minus the shortest recent latency is
//! the time for which a request may be queued.

use super::settings::RequestClass;
use std::collections::VecDeque;

/// Threshold for the mean disengagement divided by its target. Below the threshold, a class has slack: zeta
/// of the paper. For the value, see `docs/design.md`, "Constants".
pub(super) const SLACK_RATIO_THRESHOLD: f64 = 0.95;
/// Threshold for the mean disengagement divided by its target. Above the threshold, a class misses its
/// target: theta of the paper. For the value, see `docs/design.md`, "Constants".
pub(super) const MISS_RATIO_THRESHOLD: f64 = 0.98;
/// Target of the mean disengagement, which ranges from 0 to 1; see `docs/design.md`, "Constants".
const TARGET_DISENGAGEMENT: f64 = 0.02;
/// Maximum number of completions to which the model of a class is fitted; see `docs/design.md`, "Constants".
const MAX_COMPLETIONS: usize = 256;
/// Age after which completions are dropped, as long as more than [`MIN_RETAINED_COMPLETIONS`] remain; see
/// `docs/design.md`, "Constants".
const MAX_COMPLETION_AGE_US: u64 = 5_000_000;
/// Number of latest completions that are retained regardless of their age, because each gateway of a large
/// fleet completes only a few requests per second.
const MIN_RETAINED_COMPLETIONS: usize = 50;
/// Minimum number of completions for a fit; with fewer, an exponential distribution is assumed.
const MIN_FITTED_COMPLETIONS: usize = 16;
/// Number of steps of the bisection for the shape; enough to narrow the range of the shape's logarithm to the
/// precision of `f64`.
const SHAPE_BISECTIONS: usize = 60;
/// Lower bound of the natural logarithm of the shape, for extremely dispersed latencies.
const MIN_LN_SHAPE: f64 = -12.0;
/// Upper bound of the natural logarithm of the shape, for nearly constant latencies.
const MAX_LN_SHAPE: f64 = 120.0;
/// Interval length at which the bisection for the mean ends, as a fraction of half the deadline.
const MEAN_PRECISION: f64 = 1.0 / 4096.0;
/// Value of the disengagement curve between the latency objective and the deadline; see `docs/design.md`,
/// "Constants".
const LATE_DISENGAGEMENT: f64 = 0.5;

/// The values of the digamma and the trigamma function for one argument above zero.
#[derive(Clone, Copy, Debug)]
pub struct Polygamma {
    /// First derivative of the logarithm of the gamma function.
    pub digamma: f64,
    /// Second derivative of the logarithm of the gamma function.
    pub trigamma: f64,
}

/// Evaluates the digamma and trigamma functions for `x > 0`, by the recurrence relation up to 8 and the
/// asymptotic series beyond it.
pub fn digamma_and_trigamma(mut x: f64) -> Polygamma {
    let (mut digamma, mut trigamma) = (0.0, 0.0);
    while x < 8.0 {
        digamma -= 1.0 / x;
        trigamma += 1.0 / (x * x);
        x += 1.0;
    }
    let y = 1.0 / (x * x);
    digamma += x.ln() - 0.5 / x - y * (1.0 / 12.0 - y * (1.0 / 120.0 - y * (1.0 / 252.0 - y / 240.0)));
    trigamma += 1.0 / x + y * 0.5 + y / x * (1.0 / 6.0 - y * (1.0 / 30.0 - y * (1.0 / 42.0 - y / 30.0)));
    Polygamma { digamma, trigamma }
}

/// A generalized exponential distribution, F(x) = (1 - e^(-x))^shape, with its scale factor left open.
#[derive(Clone, Copy, Debug)]
pub struct GeneralizedExponential {
    /// Shape exponent, above 0; 1 for the exponential distribution.
    pub shape: f64,
    /// Mean of the distribution at scale 1; the mean is proportional to the scale.
    pub unit_mean: f64,
}

/// Returns the generalized exponential distribution with this coefficient of variation, within the range of
/// shapes that the bisection covers. A coefficient outside that range (0 or too large) gives the nearest
/// shape, and NaN gives the smallest shape.
pub fn fit_generalized_exponential(coefficient_of_variation: f64) -> GeneralizedExponential {
    let at_one = digamma_and_trigamma(1.0);
    let unit_mean = |ln_shape: f64| digamma_and_trigamma(ln_shape.exp() + 1.0).digamma - at_one.digamma;
    let variation = |ln_shape: f64| {
        let polygamma = digamma_and_trigamma(ln_shape.exp() + 1.0);
        let variance = (at_one.trigamma - polygamma.trigamma).max(0.0);
        variance.sqrt() / (polygamma.digamma - at_one.digamma)
    };
    let (mut low, mut high) = (MIN_LN_SHAPE, MAX_LN_SHAPE);
    for _ in 0..SHAPE_BISECTIONS {
        let middle = (low + high) / 2.0;
        if variation(middle) > coefficient_of_variation {
            low = middle;
        } else {
            high = middle;
        }
    }
    GeneralizedExponential { shape: low.exp(), unit_mean: unit_mean(low) }
}

/// Returns the mean disengagement, from 0 to 1, of latencies with this distribution and mean. The
/// disengagement curve is 0 up to the objective, 0.5 up to the deadline and 1 beyond it. All times must
/// have the same unit.
pub fn mean_disengagement(
    distribution: GeneralizedExponential,
    mean: f64,
    objective: f64,
    deadline: f64,
) -> f64 {
    let scale = (mean / distribution.unit_mean).max(f64::MIN_POSITIVE);
    let cumulative_probability = |x: f64| (distribution.shape * (-(-x / scale).exp()).ln_1p()).exp();
    LATE_DISENGAGEMENT * (cumulative_probability(deadline) - cumulative_probability(objective)).max(0.0) + 1.0
        - cumulative_probability(deadline)
}

/// Returns a mean latency, up to half the deadline, at which the mean disengagement is close to its target.
///
/// The bisection accepts any mean latency at which the mean disengagement divided by its target lies between
/// `SLACK_RATIO_THRESHOLD` and `MISS_RATIO_THRESHOLD`. If the search ends near 0 or near half the deadline,
/// the result may miss the target. All times must have the same unit, which is also that of the result.
pub fn mean_latency_budget(coefficient_of_variation: f64, objective: f64, deadline: f64) -> f64 {
    let distribution = fit_generalized_exponential(coefficient_of_variation);
    let (mut low, mut high) = (0.0, deadline / 2.0);
    let mut mean = high / 2.0;
    while high - low > deadline / 2.0 * MEAN_PRECISION {
        mean = (low + high) / 2.0;
        let ratio = mean_disengagement(distribution, mean, objective, deadline) / TARGET_DISENGAGEMENT;
        if ratio < SLACK_RATIO_THRESHOLD {
            low = mean;
        } else if ratio > MISS_RATIO_THRESHOLD {
            high = mean;
        } else {
            break;
        }
    }
    mean
}

/// The completion time and the latency of a served request.
#[derive(Clone, Copy)]
struct Completion {
    at_us: u64,
    latency_us: f64,
}

/// The latency model of one class.
#[derive(Default)]
pub(super) struct LatencyModel {
    completions: VecDeque<Completion>,
    /// Coefficient of variation of the latencies at the latest fit; 0 before it.
    pub(super) coefficient_of_variation: f64,
    /// Ratio of the measured mean disengagement to its target; `None` while there are too few completions.
    pub(super) target_ratio: Option<f64>,
    /// Time for which a request may be queued, in microseconds.
    pub(super) queueing_budget_us: f64,
}

impl LatencyModel {
    /// Records that a request was served, with the time from its arrival to its completion.
    pub(super) fn record(&mut self, now_us: u64, latency_us: u64) {
        self.completions.push_back(Completion { at_us: now_us, latency_us: latency_us as f64 });
    }

    /// Fits the model to the retained completions.
    pub(super) fn refit(&mut self, class: &RequestClass, now_us: u64) {
        self.drop_old_completions(now_us);
        let (objective, deadline) =
            (class.latency_objective_us.unwrap_or(0) as f64, class.deadline_us as f64);
        self.target_ratio = None;
        if self.completions.len() < MIN_FITTED_COMPLETIONS {
            // Deviation from the paper: there are too few completions for a fit. The paper assumes
            // latencies to be nearly exponential, so a coefficient of variation of 1 and a shortest latency
            // of 0 are used.
            self.queueing_budget_us = mean_latency_budget(1.0, objective, deadline);
            return;
        }
        let count = self.completions.len() as f64;
        let latencies = || self.completions.iter().map(|completion| completion.latency_us);
        let mean = latencies().sum::<f64>() / count;
        let variance = latencies().map(|latency| (latency - mean).powi(2)).sum::<f64>() / count;
        let shortest = latencies().fold(f64::INFINITY, f64::min);
        let disengagement =
            latencies().map(|latency| disengagement(latency, objective, deadline)).sum::<f64>();
        self.coefficient_of_variation = variance.sqrt() / mean.max(1.0);
        self.target_ratio = Some(disengagement / count / TARGET_DISENGAGEMENT);
        let budget = mean_latency_budget(self.coefficient_of_variation, objective, deadline);
        self.queueing_budget_us = (budget - shortest).max(0.0);
    }

    fn drop_old_completions(&mut self, now_us: u64) {
        while let Some(oldest) = self.completions.front() {
            let is_old = oldest.at_us + MAX_COMPLETION_AGE_US < now_us;
            let count = self.completions.len();
            if count > MAX_COMPLETIONS || (is_old && count > MIN_RETAINED_COMPLETIONS) {
                self.completions.pop_front();
            } else {
                return;
            }
        }
    }
}

/// Evaluates the disengagement curve for one latency: 0 up to the objective, 0.5 up to the deadline and 1
/// beyond it.
fn disengagement(latency: f64, objective: f64, deadline: f64) -> f64 {
    if latency <= objective {
        0.0
    } else if latency <= deadline {
        LATE_DISENGAGEMENT
    } else {
        1.0
    }
}
