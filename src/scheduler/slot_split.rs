//! The split of a node's slots between latency-bound and background classes.
//!
//! From the paper: a free slot goes to the latency-bound classes with a probability, alpha, which follows
//! additive decrease and multiplicative increase as the classes keep or miss their targets.

use super::Scheduler;
use super::latency_model::{LatencyModel, MAX_TARGET_RATIO, MIN_TARGET_RATIO};
use super::settings::ClassIndex;

/// Alpha falls by this over the mean coefficient of variation while all classes keep their targets: gamma of
/// the paper.
const ALPHA_DECREASE: f64 = 0.05;
/// Alpha grows by this factor while a class misses its target: one plus beta of the paper.
const ALPHA_INCREASE: f64 = 1.0 + 0.25;
/// The least that alpha falls to; `docs/design.md`, "Constants".
const MIN_ALPHA: f64 = 0.1;
/// The smallest coefficient of variation that the decrease is divided by.
const MIN_VARIATION: f64 = 1e-3;

/// The probability that a free slot goes to the latency-bound classes.
pub(super) struct SlotSplit {
    alpha: f64,
    updated_at_us: u64,
}

impl SlotSplit {
    pub(super) fn new() -> Self {
        SlotSplit { alpha: 1.0, updated_at_us: 0 }
    }

    /// Draws which side a free slot goes to; true for the latency-bound classes.
    pub(super) fn draw_latency_bound(&self, rng: &mut fastrand::Rng) -> bool {
        rng.f64() < self.alpha
    }

    /// Raises alpha if a class misses its target; lowers it if all classes keep theirs and one has slack.
    fn update<'a>(&mut self, latency_bound: impl Iterator<Item = &'a LatencyModel>) {
        let (mut worst_ratio, mut best_ratio) = (0.0, f64::INFINITY);
        let (mut variation, mut fitted) = (0.0, 0);
        for model in latency_bound {
            let Some(ratio) = model.target_ratio else { continue };
            worst_ratio = f64::max(worst_ratio, ratio);
            best_ratio = f64::min(best_ratio, ratio);
            variation += model.coefficient_of_variation;
            fitted += 1;
        }
        let mean_variation = variation / f64::from(fitted.max(1));
        if worst_ratio > MAX_TARGET_RATIO {
            self.alpha *= ALPHA_INCREASE;
        } else if best_ratio < MIN_TARGET_RATIO && worst_ratio < MAX_TARGET_RATIO {
            self.alpha -= ALPHA_DECREASE / mean_variation.max(MIN_VARIATION);
        }
        self.alpha = self.alpha.clamp(MIN_ALPHA, 1.0);
    }
}

impl Scheduler {
    /// Refits the latency models and moves alpha, once per tightest objective.
    pub(super) fn retune(&mut self) {
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
