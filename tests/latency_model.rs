//! Tests of the latency model against independently computed values.

use storage_gateway::scheduler::latency_model::{
    digamma_and_trigamma, fit_generalized_exponential, mean_disengagement, mean_latency_budget,
};

struct Moments {
    mean: f64,
    variance: f64,
}

/// Computes the moments of the generalized exponential distribution with scale 1, by numerical integration of
/// its survival function.
fn moments(shape: f64) -> Moments {
    let (mut mean, mut square, step) = (0.0, 0.0, 1e-3);
    let mut x: f64 = step / 2.0;
    while x < 60.0 {
        let survival = 1.0 - (1.0 - (-x).exp()).powf(shape);
        mean += survival * step;
        square += 2.0 * x * survival * step;
        x += step;
    }
    Moments { mean, variance: square - mean * mean }
}

#[test]
fn digamma_and_trigamma_match_known_values() {
    let euler_constant = 0.577_215_664_901_532_9;
    let at_one = digamma_and_trigamma(1.0);
    assert!((at_one.digamma + euler_constant).abs() < 1e-9);
    assert!((at_one.trigamma - std::f64::consts::PI.powi(2) / 6.0).abs() < 1e-9);
    // For x = 1/2, digamma is -gamma - 2 ln 2 (gamma is Euler's constant) and trigamma is pi^2 / 2.
    let at_half = digamma_and_trigamma(0.5);
    assert!((at_half.digamma + euler_constant + 2.0 * 2f64.ln()).abs() < 1e-9);
    assert!((at_half.trigamma - std::f64::consts::PI.powi(2) / 2.0).abs() < 1e-9);
}

#[test]
fn fit_matches_integrated_moments() {
    for shape in [0.5, 1.0, 2.5, 9.0, 40.0] {
        let expected = moments(shape);
        let distribution = fit_generalized_exponential(expected.variance.sqrt() / expected.mean);
        assert!(
            (distribution.shape / shape - 1.0).abs() < 0.02,
            "shape {shape} fitted as {}",
            distribution.shape
        );
        let (mean, unit_mean) = (expected.mean, distribution.unit_mean);
        assert!((unit_mean / mean - 1.0).abs() < 0.01, "mean {mean} fitted as {unit_mean}");
    }
}

#[test]
fn mean_disengagement_matches_the_exponential_distribution() {
    // A coefficient of variation of 1 gives the exponential distribution. The disengagement is 0.5 from the
    // objective to the deadline and 1 beyond it.
    let expected = 0.5 * ((-2f64).exp() - (-10f64).exp()) + (-10f64).exp();
    let computed = mean_disengagement(fit_generalized_exponential(1.0), 100.0, 200.0, 1_000.0);
    assert!((computed - expected).abs() < 1e-6, "{computed} for {expected}");
}

#[test]
fn the_latency_budget_meets_its_target_and_is_finite_for_degenerate_variations() {
    // The mean disengagement of the exponential distribution, with objective a, deadline d and mean m, is
    // 0.5 (exp(-a/m) + exp(-d/m)). It is between 0.95 and 0.98 of the target of 2%.
    let mean = mean_latency_budget(1.0, 200.0, 1_000.0);
    let disengagement = 0.5 * ((-200.0 / mean).exp() + (-1_000.0 / mean).exp());
    assert!((0.0189..=0.0197).contains(&disengagement), "{disengagement}");
    let budgets: Vec<f64> =
        [0.1, 0.5, 1.0, 2.0].map(|variation| mean_latency_budget(variation, 200.0, 1_000.0)).to_vec();
    assert!(
        budgets.windows(2).all(|pair| pair[0] > pair[1]),
        "a larger variation must give a smaller budget: {budgets:?}"
    );
    for variation in [0.0, 1e9, f64::INFINITY, f64::NAN] {
        let mean = mean_latency_budget(variation, 200.0, 1_000.0);
        assert!(mean.is_finite() && (0.0..=500.0).contains(&mean), "a variation of {variation} gave {mean}");
    }
}
