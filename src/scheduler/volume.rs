//! What this gateway knows of a volume: its parts of the reservation and of the rate limit, and observed
//! rates.

use super::settings::{RateLimit, ServicePlan};

/// The time over which a volume's rates are averaged.
pub(super) const RATE_AVERAGING_TIME_US: f64 = 3_000_000.0;
/// The same in seconds.
pub(super) const RATE_AVERAGING_TIME_S: f64 = RATE_AVERAGING_TIME_US / 1e6;
/// The part of the provisioned rate that is assumed to be spread evenly over the volume's gateways, so that
/// one that has seen nothing yet has some of the reservation.
const EVEN_RATE_FRACTION: f64 = 0.25;
/// The smallest provisioned rate that shares are computed with.
const MIN_RATE: f64 = 1e-3;
/// Kept free above the lower bound, so that rounding never overdraws the bucket, in units.
const ROUNDING_MARGIN_UNITS: f64 = 1e-6;

/// A volume as this gateway sees it.
#[derive(Default)]
pub(super) struct Volume {
    /// How many gateways its requests come through.
    pub(super) gateways: f64,
    updated_at_us: u64,
    /// This gateway's part of the bucket of the rate limit, in units.
    limit_tokens: f64,
    /// This gateway's part of the bucket of the reservation, in units.
    reservation_tokens: f64,
    /// Units per second through this gateway.
    own_rate: f64,
    /// Units per second through the other gateways.
    other_rate: f64,
    /// Units queued that the rate limit has not been charged for.
    uncharged_units: f64,
}

impl Volume {
    /// RULE rate limit: each gateway spends an even share of the bucket. A restarted gateway cannot know what
    /// its predecessor spent, so its share starts at its lowest level, the overdraft.
    pub(super) fn new(plan: &ServicePlan, gateways: f64, max_request_units: f64, started_at_us: u64) -> Self {
        let overdraft = plan.rate_limit.map_or(0.0, |limit| limit.overdraft);
        Volume {
            gateways,
            updated_at_us: started_at_us,
            limit_tokens: -overdraft / gateways,
            reservation_tokens: reservation_burst(plan, max_request_units),
            ..Volume::default()
        }
    }

    /// Fills the buckets and lets the observed rates decay up to now.
    pub(super) fn advance(&mut self, plan: &ServicePlan, now_us: u64, max_request_units: f64) {
        let elapsed_us = now_us.saturating_sub(self.updated_at_us) as f64;
        self.updated_at_us = now_us;
        // A plan without a limit leaves no credit to a volume that comes under a limited plan later.
        self.limit_tokens = plan.rate_limit.map_or(self.limit_tokens.min(0.0), |limit| {
            let filled = self.limit_tokens + limit.rate / self.gateways * elapsed_us / 1e6;
            filled.min(limit.burst / self.gateways)
        });
        let share = self.share(plan);
        let filled = self.reservation_tokens + plan.reserved_rate * share * elapsed_us / 1e6;
        self.reservation_tokens = filled.min(reservation_burst(plan, max_request_units) * share);
        let decay = (-elapsed_us / RATE_AVERAGING_TIME_US).exp();
        self.own_rate *= decay;
        self.other_rate *= decay;
    }

    /// This gateway's share of the reservation, by how much of the volume's traffic comes through it.
    fn share(&self, plan: &ServicePlan) -> f64 {
        let even_rate = EVEN_RATE_FRACTION * plan.provisioned_rate.max(MIN_RATE);
        if self.gateways <= 1.0 {
            1.0
        } else {
            (self.own_rate + even_rate / self.gateways) / (self.own_rate + self.other_rate + even_rate)
        }
    }

    /// Records that units were requested through this gateway.
    pub(super) fn record_requested_here(&mut self, units: f64) {
        self.own_rate += units / RATE_AVERAGING_TIME_S;
    }

    /// Records that a node served units through other gateways.
    pub(super) fn record_served_elsewhere(&mut self, units: f64) {
        self.other_rate += units / RATE_AVERAGING_TIME_S;
    }

    /// Records the rate at which the volume was served everywhere, in percent of the provisioned rate.
    pub(super) fn record_metered(&mut self, percent: f64, plan: &ServicePlan) {
        self.other_rate = (percent / 100.0 * plan.provisioned_rate - self.own_rate).max(0.0);
    }

    /// How long until the limit admits this many units, behind what is queued for it, in microseconds.
    pub(super) fn rate_limit_wait_us(&self, limit: &RateLimit, units: f64) -> u64 {
        let missing = self.uncharged_units + units - self.limit_tokens - limit.overdraft / self.gateways;
        (missing.max(0.0) / (limit.rate / self.gateways) * 1e6) as u64
    }

    /// Whether the limit could never admit a request of this size.
    pub(super) fn exceeds_burst(&self, limit: &RateLimit, units: f64) -> bool {
        units > (limit.burst + limit.overdraft) / self.gateways
    }

    /// Whether the limit admits this many units now.
    pub(super) fn rate_limit_admits(&self, plan: &ServicePlan, units: f64) -> bool {
        let overdraft = plan.rate_limit.map_or(0.0, |limit| limit.overdraft);
        self.limit_tokens - units >= -overdraft / self.gateways + ROUNDING_MARGIN_UNITS
    }

    /// Records that units are queued.
    pub(super) fn add_uncharged(&mut self, units: f64) {
        self.uncharged_units += units;
    }

    /// Records that units left the queue without being charged to the limit.
    pub(super) fn remove_uncharged(&mut self, units: f64) {
        self.uncharged_units -= units;
    }

    /// Charges units that leave the queue to the limit.
    pub(super) fn charge(&mut self, units: f64) {
        self.limit_tokens -= units;
        self.uncharged_units -= units;
    }

    /// Takes units out of the reservation, if at least half of them are there.
    pub(super) fn try_reserve(&mut self, units: f64) -> bool {
        let reserved = self.reservation_tokens >= units / 2.0;
        if reserved {
            self.reservation_tokens -= units;
        }
        reserved
    }
}

/// What the bucket of a reservation holds: one second of its rate, and the largest request.
fn reservation_burst(plan: &ServicePlan, max_request_units: f64) -> f64 {
    plan.reserved_rate + max_request_units
}
