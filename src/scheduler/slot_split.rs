//! The split of a node's slots between latency-bound and background classes.
//!
//! As in the paper, a free slot is assigned to the latency-bound classes with the probability alpha. Alpha
//! decreases additively while all classes meet their disengagement targets and at least one class has slack.
//! Alpha increases multiplicatively while a class misses its target. Only latency-bound classes with a fitted
//! model count.

use super::Scheduler;
use super::latency_model::{LatencyModel, MISS_RATIO_THRESHOLD, SLACK_RATIO_THRESHOLD};
use super::settings::ClassIndex;

/// Additive decrease of alpha while all classes meet their targets and at least one class has slack: gamma of
/// the paper. The decrease is divided by the mean coefficient of variation of the latencies.
const ALPHA_DECREASE: f64 = 0.05;
/// Factor by which alpha increases while a class misses its target: 1 + beta of the paper.
const ALPHA_INCREASE: f64 = 1.0 + 0.25;
/// Lower bound of alpha; see `docs/design.md`, "Constants".
const MIN_ALPHA: f64 = 0.1;
/// Lower bound of the coefficient of variation by which the decrease is divided.
const MIN_VARIATION: f64 = 1e-3;

/// The probability that a free slot is assigned to the latency-bound classes.
pub(super) struct SlotSplit {
    /// Ranges from [`MIN_ALPHA`] to 1.
    alpha: f64,
    updated_at_us: u64,
}

impl SlotSplit {
    pub(super) fn new() -> Self {
        SlotSplit { alpha: 1.0, updated_at_us: 0 }
    }

    /// Draws at random whether a free slot is assigned to the latency-bound classes; if not, it is assigned
    /// to the background class.
    pub(super) fn draw_latency_bound(&self, rng: &mut fastrand::Rng) -> bool {
        rng.f64() < self.alpha
    }

    /// Raises alpha if a class misses its target. Lowers alpha if all classes meet their targets and at
    /// least one has slack. Classes without a fitted model are ignored.
    fn update<'a>(&mut self, latency_bound: impl Iterator<Item = &'a LatencyModel>) {
        let (mut highest_ratio, mut lowest_ratio) = (0.0, f64::INFINITY);
        let (mut variation_sum, mut fitted_count) = (0.0, 0);
        for model in latency_bound {
            let Some(ratio) = model.target_ratio else { continue };
            highest_ratio = f64::max(highest_ratio, ratio);
            lowest_ratio = f64::min(lowest_ratio, ratio);
            variation_sum += model.coefficient_of_variation;
            fitted_count += 1;
        }
        let mean_variation = variation_sum / f64::from(fitted_count.max(1));
        if highest_ratio > MISS_RATIO_THRESHOLD {
            self.alpha *= ALPHA_INCREASE;
        } else if lowest_ratio < SLACK_RATIO_THRESHOLD && highest_ratio < MISS_RATIO_THRESHOLD {
            self.alpha -= ALPHA_DECREASE / mean_variation.max(MIN_VARIATION);
        }
        self.alpha = self.alpha.clamp(MIN_ALPHA, 1.0);
    }
}

impl Scheduler {
    /// Refits the latency models of all classes and updates alpha. Does nothing until the duration of the
    /// tightest latency objective has passed since the previous update.
    pub(super) fn refit_models_and_update_alpha(&mut self) {
        if self.now_us < self.slot_split.updated_at_us + self.tightest_objective_us as u64 {
            return;
        }
        self.slot_split.updated_at_us = self.now_us;
        for (model, class) in self.latency_models.iter_mut().zip(&self.settings.classes) {
            model.refit(class, self.now_us);
        }
        let background = self.background_class;
        let latency_bound =
            self.latency_models.iter().enumerate().filter(|(class, _)| ClassIndex(*class) != background);
        self.slot_split.update(latency_bound.map(|(_, model)| model));
    }
}
