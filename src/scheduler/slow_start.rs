//! Slow start: limits the units that this gateway sends to a node that is warming up.
//!
//! Platform rule (slow start): the units that all gateways together send to a node that is warming up must
//! not overload it. Each gateway limits the units that it sends to the node by a token bucket. A gateway's
//! slow-start share is half of the guaranteed units ([`SlowStartPolicy::guaranteed_units`]) divided by the
//! number of gateways, scaled with the node's current capacity. The bucket holds one share and refills by one
//! share per slow-start window.
//!
//! Deviation from the paper: with many gateways, a share is smaller than a request, so no bucket would ever
//! hold the tokens for a complete request, and the node would stay idle. Therefore a bucket holds at least
//! the tokens for a request of mean size, and a request larger than the share may be sent once the bucket
//! holds the share.
//!
//! Deviation from the paper: a bucket may refill faster than by one share per window. A gateway estimates its
//! part of the rate that would overload the node: overload factor x current capacity x the highest recent
//! rate at which the shard's node served this gateway while warm. The bucket refills at three quarters of
//! that part, or at one share per window if that is faster. The parts of all gateways sum to the overloading
//! rate, however many gateways there are. This keeps a node from idling when it returns to service in a
//! deployment with many gateways. The drawback: if traffic has moved to another gateway, that gateway sends
//! little to the node.

use super::event::ShardId;
use super::node::NodeState;
use super::settings::{SchedulerSettings, SlowStartPolicy};
use super::volume::RATE_AVERAGING_TIME_US;
use rustc_hash::FxHashMap;

/// Fraction of the guaranteed units to which the slow-start shares of all gateways sum, so that the total
/// stays below the guarantee.
const GUARANTEED_FRACTION: f64 = 0.5;
/// Sum of the refill rates of all gateways' buckets, as a fraction of the rate that would overload the node.
const OVERLOAD_FRACTION: f64 = 0.75;
/// Minimum observation time for an estimate of the rate of a shard, as a fraction of the warm-up time.
const MIN_OBSERVED_FRACTION: f64 = 0.25;
/// Speed at which the highest rate decays, relative to that of the current rate. It is applied as an exponent
/// to the decay factor.
const HIGHEST_RATE_DECAY_EXPONENT: f64 = 0.125;
/// Lower bound of the initial capacity when it is used as a divisor.
const MIN_CAPACITY: f64 = 1e-3;
/// Lower bound of the refill rate when it is used as a divisor, in units per second.
const MIN_RATE: f64 = 1e-6;
/// Maximum number of shards with a requested rate that no node holds.
const MAX_UNKNOWN_SHARDS: usize = 4_096;
/// Number of units by which a request may exceed the tokens in the bucket, to allow for rounding.
const ROUNDING_UNITS: f64 = 1e-6;

/// The token bucket that limits what this gateway sends to one node while the node warms up.
#[derive(Default)]
pub(super) struct SlowStartBucket {
    /// Tokens in units; negative after a request larger than the remaining tokens.
    tokens: f64,
    /// Time from which `tokens` refills. Nothing may be sent before it.
    refills_from_us: u64,
}

impl SlowStartBucket {
    pub(super) fn new(tokens: f64, refills_from_us: u64) -> Self {
        SlowStartBucket { tokens, refills_from_us }
    }
}

/// The state of a token bucket at the current time.
struct BucketLevel {
    tokens: f64,
    /// This gateway's slow-start share at the node's current capacity, in units.
    share: f64,
    /// Refill rate in units per second.
    rate: f64,
}

/// Estimates the rate at which units are served by a shard or requested of it. The recorded units decay
/// exponentially over the warm-up time of a node. The highest rate decays more slowly, because a node may
/// have been slow for a long time before it failed.
#[derive(Clone, Copy, Default)]
struct RateEstimator {
    /// Decayed sum of the recorded units.
    units: f64,
    /// Effective time that `units` covers, in seconds; grows towards the averaging time.
    observed_s: f64,
    updated_at_us: u64,
    /// Highest rate so far, slowly decayed, in units per second.
    highest_rate: f64,
}

impl RateEstimator {
    fn starting_at(now_us: u64) -> Self {
        RateEstimator { updated_at_us: now_us, ..RateEstimator::default() }
    }

    fn record(&mut self, units: f64, at_us: u64, averaging_time_s: f64) {
        let elapsed_us = at_us.saturating_sub(self.updated_at_us) as f64;
        let decay = (-elapsed_us / 1e6 / averaging_time_s).exp();
        self.units = self.units * decay + units;
        self.observed_s = self.observed_s * decay + averaging_time_s * (1.0 - decay);
        let rate = self.units / self.observed_s.max(averaging_time_s * MIN_OBSERVED_FRACTION);
        self.highest_rate = (self.highest_rate * decay.powf(HIGHEST_RATE_DECAY_EXPONENT)).max(rate);
        self.updated_at_us = at_us.max(self.updated_at_us);
    }
}

/// The slow-start policy, and the rates per shard from which the refill rates of the buckets are derived.
pub(super) struct SlowStart {
    policy: Option<SlowStartPolicy>,
    gateway_count: usize,
    mean_request_units: f64,
    gateway_started_at_us: u64,
    /// Units per second that nodes of each shard served this gateway while warm.
    served_rates: FxHashMap<ShardId, RateEstimator>,
    /// Units per second that clients of this gateway requested of each shard within the reservations of their
    /// volumes.
    requested_rates: FxHashMap<ShardId, RateEstimator>,
    /// Number of shards in `requested_rates` at which those that no node holds are dropped.
    max_requested_shards: usize,
}

impl SlowStart {
    pub(super) fn new(settings: &SchedulerSettings, now_us: u64) -> Self {
        SlowStart {
            policy: settings.slow_start,
            gateway_count: settings.gateway_count,
            mean_request_units: settings.mean_request_units,
            gateway_started_at_us: now_us,
            served_rates: FxHashMap::default(),
            requested_rates: FxHashMap::default(),
            max_requested_shards: MAX_UNKNOWN_SHARDS,
        }
    }

    /// Returns the slow-start window, over which the load of a node that is warming up is summed, in
    /// microseconds; `None` if there is no slow-start policy.
    pub(super) fn window_us(&self) -> Option<u64> {
        self.policy.map(|policy| policy.window_us)
    }

    /// Returns the minimum capacity that a node is known to have at `now_us`, as a fraction of its full
    /// capacity. It rises linearly during warm-up; 1 without a slow-start policy, without a warm-up time, or
    /// if the node started long ago.
    pub(super) fn capacity(&self, node: &NodeState, now_us: u64) -> f64 {
        let policy = self.policy.filter(|policy| policy.warm_up_us > 0);
        let Some((policy, started_at_us)) = policy.zip(node.started_at_us) else { return 1.0 };
        let progress = now_us.saturating_sub(started_at_us) as f64 / policy.warm_up_us as f64;
        (policy.initial_capacity + (1.0 - policy.initial_capacity) * progress).min(1.0)
    }

    /// Returns whether a node has its full capacity.
    pub(super) fn is_warm(&self, node: &NodeState, now_us: u64) -> bool {
        self.capacity(node, now_us) >= 1.0
    }

    fn bucket_level(&self, policy: &SlowStartPolicy, node: &NodeState, now_us: u64) -> BucketLevel {
        let capacity = self.capacity(node, now_us);
        let share = self.initial_share() * capacity / policy.initial_capacity.max(MIN_CAPACITY);
        let reference_rate = self.shard_rate(node.shard) * capacity;
        let share_rate = share / policy.window_us.max(1) as f64 * 1e6;
        let rate = (OVERLOAD_FRACTION * policy.overload_factor * reference_rate).max(share_rate);
        let added_tokens = rate * now_us.saturating_sub(node.slow_start.refills_from_us) as f64 / 1e6;
        let tokens = (node.slow_start.tokens + added_tokens).min(share.max(self.mean_request_units));
        BucketLevel { tokens, share, rate }
    }

    /// Returns the time until a node may be sent a request of this many units, in microseconds; 0 for a
    /// node that is warm. A request larger than this gateway's slow-start share only waits until the bucket
    /// holds the share. No request waits longer than until the node is warm.
    pub(super) fn wait_us(&self, node: &NodeState, units: f64, now_us: u64) -> u64 {
        let Some((policy, started_at_us)) = self.policy.zip(node.started_at_us) else { return 0 };
        if self.is_warm(node, now_us) {
            return 0;
        }
        let level = self.bucket_level(&policy, node, now_us);
        let missing_tokens = (units.min(level.share) - ROUNDING_UNITS - level.tokens).max(0.0);
        let wait_us = (missing_tokens / level.rate.max(MIN_RATE) * 1e6) as u64;
        let wait_us = node.slow_start.refills_from_us.saturating_sub(now_us) + wait_us;
        wait_us.min(started_at_us + policy.warm_up_us - now_us)
    }

    /// Returns the bucket of a node after the node is sent this many units. The bucket is maintained for
    /// every node, but only used while the node warms up.
    pub(super) fn bucket_after_send(&self, node: &NodeState, units: f64, now_us: u64) -> SlowStartBucket {
        let tokens = self.policy.map_or(0.0, |policy| self.bucket_level(&policy, node, now_us).tokens);
        SlowStartBucket {
            tokens: tokens - units,
            refills_from_us: now_us.max(node.slow_start.refills_from_us),
        }
    }

    /// Returns this gateway's slow-start share when a node starts, in units: half of the guaranteed units
    /// divided by the number of gateways; 0 without a slow-start policy.
    pub(super) fn initial_share(&self) -> f64 {
        let guaranteed = self.policy.map_or(0.0, |policy| policy.guaranteed_units);
        GUARANTEED_FRACTION * guaranteed / self.gateway_count.max(1) as f64
    }

    /// Returns the time that a node takes to warm up, in seconds, which is also the averaging time of the
    /// rates per shard. Without a slow-start policy, it is the averaging time of the rates of volumes.
    fn warm_up_time_s(&self) -> f64 {
        self.policy.map_or(RATE_AVERAGING_TIME_US, |policy| policy.warm_up_us.max(1) as f64) / 1e6
    }

    /// Records units that a node of the shard served this gateway while warm.
    pub(super) fn record_served(&mut self, shard: ShardId, units: f64, at_us: u64) {
        let averaging_time_s = self.warm_up_time_s();
        let initial = RateEstimator::starting_at(self.gateway_started_at_us);
        self.served_rates.entry(shard).or_insert(initial).record(units, at_us, averaging_time_s);
    }

    /// Advances the served rate of a shard to `until_us`, the start of a node that is new or has restarted,
    /// without recording units.
    pub(super) fn decay_served_rate(&mut self, shard: ShardId, until_us: u64) {
        self.record_served(shard, 0.0, until_us);
    }

    /// Records units that a client of this gateway requested of the shard within the reservation of its
    /// volume.
    ///
    /// Clients can name any shard. If there are too many, drops those for which `is_held`, whether a node
    /// holds a shard, returns false.
    pub(super) fn record_requested(
        &mut self,
        shard: ShardId,
        units: f64,
        at_us: u64,
        is_held: impl Fn(ShardId) -> bool,
    ) {
        if self.requested_rates.len() >= self.max_requested_shards
            && !self.requested_rates.contains_key(&shard)
        {
            self.requested_rates.retain(|shard, _| is_held(*shard));
            self.max_requested_shards = self.requested_rates.len() + MAX_UNKNOWN_SHARDS;
        }
        let averaging_time_s = self.warm_up_time_s();
        let initial = RateEstimator::starting_at(self.gateway_started_at_us);
        self.requested_rates.entry(shard).or_insert(initial).record(units, at_us, averaging_time_s);
    }

    /// Returns the number of shards that requests have named.
    pub(super) fn requested_shards(&self) -> usize {
        self.requested_rates.len()
    }

    /// Returns the highest recent rate at which nodes of the shard served this gateway while warm, in units
    /// per second.
    ///
    /// Deviation from the paper: a gateway may have started too shortly before the node to have observed
    /// this rate. If there are also so many gateways that the initial share is smaller than a request of mean
    /// size, the gateway uses the rate of requests within the reservations, if that is higher. The reserved
    /// requests of all gateways together are assumed not to exceed the node's full capacity, so their rate is
    /// a safe substitute. Without it, a gateway that restarts during a release would send almost nothing to a
    /// node until the node is warm. If the reservations exceed the capacity of the nodes, the gateways may
    /// send a node more than it is guaranteed to sustain.
    fn shard_rate(&self, shard: ShardId) -> f64 {
        let served = self.served_rates.get(&shard).copied().unwrap_or_default();
        let observation_is_too_short = served.observed_s < self.warm_up_time_s() * MIN_OBSERVED_FRACTION;
        let share_is_below_mean_request = self.initial_share() < self.mean_request_units;
        let requested = self
            .requested_rates
            .get(&shard)
            .filter(|_| observation_is_too_short && share_is_below_mean_request);
        served.highest_rate.max(requested.map_or(0.0, |requested| requested.highest_rate))
    }
}
