//! Tracks a volume: this gateway's shares of the volume's reservation and rate limit, and the observed rates.

use super::settings::{RateLimit, ServicePlan};

/// The time constant of the exponential averages of a volume's rates, in microseconds.
pub(super) const RATE_AVERAGING_TIME_US: f64 = 3_000_000.0;
/// [`RATE_AVERAGING_TIME_US`] in seconds.
pub(super) const RATE_AVERAGING_TIME_S: f64 = RATE_AVERAGING_TIME_US / 1e6;
/// Assumed additional traffic of a volume, as a fraction of its provisioned rate. The traffic is divided
/// evenly among the volume's gateways and added to the observed rates, so that a gateway without observed
/// requests still gets a share of the reservation.
const ASSUMED_RATE_FRACTION: f64 = 0.25;
/// The lower bound of the provisioned rate when shares are computed, in units per second.
const MIN_PROVISIONED_RATE: f64 = 1e-3;
/// How far above its lowest level the rate limit's bucket must stay after a charge, in units. Prevents
/// rounding errors from overdrawing the bucket.
const ROUNDING_MARGIN_UNITS: f64 = 1e-6;

/// The state of a volume at this gateway.
#[derive(Default)]
pub(super) struct Volume {
    /// The number of gateways through which the volume's requests arrive, at least 1.
    pub(super) gateway_count: f64,
    /// When the buckets and the rates were last updated.
    updated_at_us: u64,
    /// The level of this gateway's share of the rate limit's bucket, in units; negative while this gateway
    /// uses its share of the overdraft.
    rate_limit_tokens: f64,
    /// The level of this gateway's share of the reservation's bucket, in units.
    reservation_tokens: f64,
    /// The average rate requested through this gateway, in units per second.
    own_rate: f64,
    /// The average rate served through the other gateways, in units per second. Replaced when a metered rate
    /// is reported, see [`Volume::set_rate_from_metering`].
    other_gateways_rate: f64,
    /// The units of queued requests that have not been charged to the rate limit.
    uncharged_units: f64,
}

impl Volume {
    /// Creates the state of a volume whose first request arrives.
    ///
    /// Platform rule (rate limit): each gateway uses an even share of the volume's bucket. A gateway that has
    /// restarted does not know how much its previous process used, so its bucket is assumed to have been at
    /// the lowest level, minus its share of the overdraft, when the gateway started.
    pub(super) fn new(
        plan: &ServicePlan,
        gateway_count: f64,
        max_request_units: f64,
        started_at_us: u64,
    ) -> Self {
        let overdraft = plan.rate_limit.map_or(0.0, |limit| limit.overdraft);
        Volume {
            gateway_count,
            updated_at_us: started_at_us,
            rate_limit_tokens: -overdraft / gateway_count,
            reservation_tokens: reservation_burst(plan, max_request_units),
            ..Volume::default()
        }
    }

    /// Updates the state to `now_us`: refills the buckets and decays the observed rates.
    pub(super) fn advance(&mut self, plan: &ServicePlan, now_us: u64, max_request_units: f64) {
        let elapsed_us = now_us.saturating_sub(self.updated_at_us) as f64;
        self.updated_at_us = now_us;
        // Without a rate limit, no tokens accumulate, so a volume that later changes to a plan with a limit
        // has no burst available at once.
        self.rate_limit_tokens = plan.rate_limit.map_or(self.rate_limit_tokens.min(0.0), |limit| {
            let refilled = self.rate_limit_tokens + limit.rate / self.gateway_count * elapsed_us / 1e6;
            refilled.min(limit.burst / self.gateway_count)
        });
        let reservation_share = self.reservation_share(plan);
        let refilled = self.reservation_tokens + plan.reserved_rate * reservation_share * elapsed_us / 1e6;
        self.reservation_tokens =
            refilled.min(reservation_burst(plan, max_request_units) * reservation_share);
        let decay = (-elapsed_us / RATE_AVERAGING_TIME_US).exp();
        self.own_rate *= decay;
        self.other_gateways_rate *= decay;
    }

    /// Returns this gateway's share of the reservation, from 0 to 1. The share follows the fraction of the
    /// volume's traffic that arrives at this gateway.
    fn reservation_share(&self, plan: &ServicePlan) -> f64 {
        let assumed_rate = ASSUMED_RATE_FRACTION * plan.provisioned_rate.max(MIN_PROVISIONED_RATE);
        if self.gateway_count <= 1.0 {
            1.0
        } else {
            (self.own_rate + assumed_rate / self.gateway_count)
                / (self.own_rate + self.other_gateways_rate + assumed_rate)
        }
    }

    /// Records that units were requested through this gateway.
    pub(super) fn record_requested(&mut self, units: f64) {
        self.own_rate += units / RATE_AVERAGING_TIME_S;
    }

    /// Records that a node served units to the volume through other gateways.
    pub(super) fn record_served_via_other_gateways(&mut self, units: f64) {
        self.other_gateways_rate += units / RATE_AVERAGING_TIME_S;
    }

    /// Replaces the average rate through the other gateways with the metered rate minus the average rate
    /// through this gateway, but at least 0. The metered rate is the volume's total rate over all gateways
    /// and nodes; `percent` is relative to the provisioned rate.
    pub(super) fn set_rate_from_metering(&mut self, percent: f64, plan: &ServicePlan) {
        self.other_gateways_rate = (percent / 100.0 * plan.provisioned_rate - self.own_rate).max(0.0);
    }

    /// Returns how long until the rate limit admits this many units in addition to the queued, uncharged
    /// units, in microseconds. Ignores [`ROUNDING_MARGIN_UNITS`].
    pub(super) fn rate_limit_wait_us(&self, limit: &RateLimit, units: f64) -> u64 {
        let missing_units =
            self.uncharged_units + units - self.rate_limit_tokens - limit.overdraft / self.gateway_count;
        (missing_units.max(0.0) / (limit.rate / self.gateway_count) * 1e6) as u64
    }

    /// Returns whether a request of this size exceeds the rate limit even with a full bucket, so that it can
    /// never be admitted. Ignores [`ROUNDING_MARGIN_UNITS`].
    pub(super) fn can_never_admit(&self, limit: &RateLimit, units: f64) -> bool {
        units > (limit.burst + limit.overdraft) / self.gateway_count
    }

    /// Returns whether the rate limit admits this many units now: after the charge, the bucket must be at
    /// least [`ROUNDING_MARGIN_UNITS`] above its lowest level. `advance` has to be called before.
    pub(super) fn rate_limit_admits(&self, plan: &ServicePlan, units: f64) -> bool {
        let overdraft = plan.rate_limit.map_or(0.0, |limit| limit.overdraft);
        self.rate_limit_tokens - units >= -overdraft / self.gateway_count + ROUNDING_MARGIN_UNITS
    }

    /// Records that units are queued, which have not been charged to the rate limit.
    pub(super) fn add_uncharged(&mut self, units: f64) {
        self.uncharged_units += units;
    }

    /// Records that units left the queue without being charged to the rate limit.
    pub(super) fn remove_uncharged(&mut self, units: f64) {
        self.uncharged_units -= units;
    }

    /// Charges units that leave the queue to the rate limit.
    pub(super) fn charge(&mut self, units: f64) {
        self.rate_limit_tokens -= units;
        self.uncharged_units -= units;
    }

    /// Takes the units from the reservation's bucket if it holds at least half as many tokens; the level may
    /// become negative. Returns whether the units were taken.
    pub(super) fn try_reserve(&mut self, units: f64) -> bool {
        let reserved = self.reservation_tokens >= units / 2.0;
        if reserved {
            self.reservation_tokens -= units;
        }
        reserved
    }
}

/// Returns the capacity of a reservation's bucket in units: one second at the reserved rate, plus the largest
/// request.
fn reservation_burst(plan: &ServicePlan, max_request_units: f64) -> f64 {
    plan.reserved_rate + max_request_units
}
