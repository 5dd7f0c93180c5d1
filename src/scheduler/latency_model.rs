//! The latency model of a request class: how long its requests may be queued.
//!
//! From the paper: a generalized exponential distribution F(x) = (1 - e^(-x/scale))^shape is fitted to recent
//! latencies. The disengagement curve, summed over that distribution, tells which mean latency keeps the mean
//! disengagement at its target; what that leaves beyond the shortest latency is the time that a request may
//! be queued.

use super::settings::RequestClass;
use std::collections::VecDeque;

/// The ratios of the measured to the targeted disengagement between which a budget is right: zeta and theta
/// of the paper, with the values in `docs/design.md`, "Constants".
pub(super) const MIN_TARGET_RATIO: f64 = 0.95;
pub(super) const MAX_TARGET_RATIO: f64 = 0.98;
/// The targeted mean of the disengagement curve; `docs/design.md`, "Constants".
const TARGET_DISENGAGEMENT: f64 = 0.02;
/// The window of completions that a class is fitted to: at most so many, and at most so old;
/// `docs/design.md`, "Constants".
const MAX_COMPLETIONS: usize = 256;
const MAX_COMPLETION_AGE_US: u64 = 5_000_000;
/// So many completions are kept whatever their age, as one of many gateways completes few a second.
const MIN_KEPT_COMPLETIONS: usize = 50;
/// With fewer completions, an exponential distribution is assumed.
const MIN_FITTED_COMPLETIONS: usize = 16;
/// Steps of the bisection for the shape: enough to narrow the range of its logarithm to the precision of
/// `f64`.
const SHAPE_BISECTIONS: usize = 60;
/// The range of the shape's logarithm: from nearly constant to extremely dispersed latencies.
const MIN_LN_SHAPE: f64 = -12.0;
const MAX_LN_SHAPE: f64 = 120.0;
/// The bisection for the mean ends when its interval is so small a part of half the deadline.
const MEAN_PRECISION: f64 = 1.0 / 4096.0;
/// The disengagement curve between the objective and the deadline; `docs/design.md`, "Constants".
const LATE_DISENGAGEMENT: f64 = 0.5;

/// The digamma and the trigamma function of an argument above zero.
#[derive(Clone, Copy, Debug)]
pub struct Polygamma {
    /// The digamma function.
    pub digamma: f64,
    /// The trigamma function.
    pub trigamma: f64,
}

/// Evaluates the digamma and trigamma functions for `x > 0`: recurrence up to 8, then the asymptotic series.
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

/// A generalized exponential distribution at scale one.
#[derive(Clone, Copy, Debug)]
pub struct GeneralizedExponential {
    /// The shape.
    pub shape: f64,
    /// The mean at scale one.
    pub unit_mean: f64,
}

/// The generalized exponential distribution with this coefficient of variation. A coefficient beyond what the
/// distribution can take (0, huge, not a number) is read as the nearest that it can.
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

/// The disengagement curve averaged over a distribution with this mean: zero within the objective, half up to
/// the deadline, one beyond it. Times are in any one unit.
pub fn mean_disengagement(
    distribution: GeneralizedExponential,
    mean: f64,
    objective: f64,
    deadline: f64,
) -> f64 {
    let scale = (mean / distribution.unit_mean).max(f64::MIN_POSITIVE);
    let below = |x: f64| (distribution.shape * (-(-x / scale).exp()).ln_1p()).exp();
    LATE_DISENGAGEMENT * (below(deadline) - below(objective)).max(0.0) + 1.0 - below(deadline)
}

/// The highest mean latency that keeps the mean disengagement at its target, by bisection up to half the
/// deadline. Times are in any one unit.
pub fn mean_latency_budget(coefficient_of_variation: f64, objective: f64, deadline: f64) -> f64 {
    let distribution = fit_generalized_exponential(coefficient_of_variation);
    let (mut low, mut high) = (0.0, deadline / 2.0);
    let mut mean = high / 2.0;
    while high - low > deadline / 2.0 * MEAN_PRECISION {
        mean = (low + high) / 2.0;
        let ratio = mean_disengagement(distribution, mean, objective, deadline) / TARGET_DISENGAGEMENT;
        if ratio < MIN_TARGET_RATIO {
            low = mean;
        } else if ratio > MAX_TARGET_RATIO {
            high = mean;
        } else {
            break;
        }
    }
    mean
}

/// A served request.
#[derive(Clone, Copy)]
struct Completion {
    at_us: u64,
    latency_us: f64,
}

/// The latency model of one class.
#[derive(Default)]
pub(super) struct LatencyModel {
    completions: VecDeque<Completion>,
    /// The coefficient of variation of the latencies.
    pub(super) coefficient_of_variation: f64,
    /// The measured disengagement over its target; none while there are too few completions.
    pub(super) target_ratio: Option<f64>,
    /// How long a request may be queued, in microseconds.
    pub(super) queueing_budget_us: f64,
}

impl LatencyModel {
    /// Records that a request was served.
    pub(super) fn record(&mut self, now_us: u64, latency_us: u64) {
        self.completions.push_back(Completion { at_us: now_us, latency_us: latency_us as f64 });
    }

    /// Fits the model to the completions within the window.
    pub(super) fn refit(&mut self, class: &RequestClass, now_us: u64) {
        self.drop_old_completions(now_us);
        let (objective, deadline) =
            (class.latency_objective_us.unwrap_or(0) as f64, class.deadline_us as f64);
        self.target_ratio = None;
        if self.completions.len() < MIN_FITTED_COMPLETIONS {
            // EXCEPTION: too few to fit. The paper takes latencies to be near exponential: a coefficient of
            // variation of one, and a shortest latency of zero.
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
            if count > MAX_COMPLETIONS || (is_old && count > MIN_KEPT_COMPLETIONS) {
                self.completions.pop_front();
            } else {
                return;
            }
        }
    }
}

/// The disengagement curve of the design: zero within the objective, half up to the deadline, one beyond it.
fn disengagement(latency: f64, objective: f64, deadline: f64) -> f64 {
    if latency <= objective {
        0.0
    } else if latency <= deadline {
        LATE_DISENGAGEMENT
    } else {
        1.0
    }
}
