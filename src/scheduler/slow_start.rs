//! What a node that has just started may be sent by this gateway.
//!
//! RULE slow start: a node that is warming up is overloaded by the sum of what all gateways send it. Each
//! gateway sends from a token bucket for that node, in units. The bucket holds half of this gateway's even
//! part of what the node is guaranteed to bear in a window, and fills at that rate.
//!
//! EXCEPTION: with many gateways no bucket would hold a complete request, and the node would idle. So a
//! bucket holds at least a mean request, and fills at three quarters of the overloading rate, derived from
//! what the shard served this gateway while its node was warm. Over all gateways these parts add up, whatever
//! their number. Guards against any return of a node before many gateways; sends little where traffic has
//! moved to another gateway.

use super::event::ShardId;
use super::node::NodeState;
use super::settings::{SchedulerSettings, SlowStartPolicy};
use super::volume::RATE_AVERAGING_TIME_US;
use rustc_hash::FxHashMap;

/// The part of the guaranteed units that gateways send, so that their sum stays below them.
const GUARANTEED_FRACTION: f64 = 0.5;
/// The part of the overloading rate that gateways send.
const OVERLOAD_FRACTION: f64 = 0.75;
/// A gateway has seen too little of a shard to know its rate before this part of the warm-up time.
const MIN_OBSERVED_FRACTION: f64 = 0.25;
/// How much slower the best rate decays than the rate itself, as an exponent.
const BEST_RATE_DECAY_EXPONENT: f64 = 0.125;
/// The smallest initial capacity and the smallest rate that are divided by.
const MIN_CAPACITY: f64 = 1e-3;
const MIN_RATE: f64 = 1e-6;
/// What a request may exceed the bucket by to allow for rounding, in units.
const ROUNDING_UNITS: f64 = 1e-6;

/// The token bucket of a warming-up node.
#[derive(Default)]
pub(super) struct SlowStartBucket {
    tokens: f64,
    /// When the tokens were last counted; a time in the future means that nothing may be sent before it.
    as_of_us: u64,
}

impl SlowStartBucket {
    pub(super) fn new(tokens: f64, as_of_us: u64) -> Self {
        SlowStartBucket { tokens, as_of_us }
    }
}

/// The state of a token bucket now.
struct BucketLevel {
    tokens: f64,
    /// This gateway's share at the node's present capacity, in units.
    share: f64,
    /// Units per second that flow into it.
    rate: f64,
}

/// Estimates a rate over the time that a node takes to warm up: the past decays over that time, the best rate
/// slower, as a node may have been slow long before it failed.
#[derive(Clone, Copy, Default)]
struct RateEstimator {
    units: f64,
    /// Over how many seconds the units are counted, and until when.
    observed_s: f64,
    updated_at_us: u64,
    best_rate: f64,
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
        self.best_rate = (self.best_rate * decay.powf(BEST_RATE_DECAY_EXPONENT)).max(rate);
        self.updated_at_us = at_us.max(self.updated_at_us);
    }
}

/// What warming-up nodes may be sent, and the rates that it is derived from.
pub(super) struct SlowStart {
    policy: Option<SlowStartPolicy>,
    gateway_count: usize,
    mean_request_units: f64,
    gateway_started_at_us: u64,
    /// What each shard served this gateway while its node was warm.
    served: FxHashMap<ShardId, RateEstimator>,
    /// What was requested of each shard through this gateway within the reservations.
    requested: FxHashMap<ShardId, RateEstimator>,
}

impl SlowStart {
    pub(super) fn new(settings: &SchedulerSettings, now_us: u64) -> Self {
        SlowStart {
            policy: settings.slow_start,
            gateway_count: settings.gateway_count,
            mean_request_units: settings.mean_request_units,
            gateway_started_at_us: now_us,
            served: FxHashMap::default(),
            requested: FxHashMap::default(),
        }
    }

    /// The window over which a warming-up node's load is summed, in microseconds; none without a policy.
    pub(super) fn window_us(&self) -> Option<u64> {
        self.policy.map(|policy| policy.window_us)
    }

    /// The fraction of its capacity that a node has at least, by the time since its start.
    pub(super) fn capacity(&self, node: &NodeState, now_us: u64) -> f64 {
        let policy = self.policy.filter(|policy| policy.warm_up_us > 0);
        let Some((policy, started_at_us)) = policy.zip(node.started_at_us) else { return 1.0 };
        let age = now_us.saturating_sub(started_at_us) as f64 / policy.warm_up_us as f64;
        (policy.initial_capacity + (1.0 - policy.initial_capacity) * age).min(1.0)
    }

    /// Whether a node has its full capacity.
    pub(super) fn is_warm(&self, node: &NodeState, now_us: u64) -> bool {
        self.capacity(node, now_us) >= 1.0
    }

    fn level(&self, policy: &SlowStartPolicy, node: &NodeState, now_us: u64) -> BucketLevel {
        let capacity = self.capacity(node, now_us);
        let share = self.initial_share() * capacity / policy.initial_capacity.max(MIN_CAPACITY);
        let served = self.shard_rate(node.shard) * capacity;
        let share_rate = share / policy.window_us.max(1) as f64 * 1e6;
        let rate = (OVERLOAD_FRACTION * policy.overload_factor * served).max(share_rate);
        let filled = rate * now_us.saturating_sub(node.slow_start.as_of_us) as f64 / 1e6;
        let tokens = (node.slow_start.tokens + filled).min(share.max(self.mean_request_units));
        BucketLevel { tokens, share, rate }
    }

    /// How long until a warming-up node may be sent this many units, in microseconds.
    pub(super) fn wait_us(&self, node: &NodeState, units: f64, now_us: u64) -> u64 {
        let Some((policy, started_at_us)) = self.policy.zip(node.started_at_us) else { return 0 };
        if self.is_warm(node, now_us) {
            return 0;
        }
        let level = self.level(&policy, node, now_us);
        let missing = (units.min(level.share) - ROUNDING_UNITS - level.tokens).max(0.0);
        let wait_us = (missing / level.rate.max(MIN_RATE) * 1e6) as u64;
        let wait_us = node.slow_start.as_of_us.saturating_sub(now_us) + wait_us;
        wait_us.min(started_at_us + policy.warm_up_us - now_us)
    }

    /// What is left in a node's bucket after it is sent this many units. Kept for every node, used while one
    /// warms up.
    pub(super) fn bucket_after(&self, node: &NodeState, units: f64, now_us: u64) -> SlowStartBucket {
        let tokens = self.policy.map_or(0.0, |policy| self.level(&policy, node, now_us).tokens);
        SlowStartBucket { tokens: tokens - units, as_of_us: now_us.max(node.slow_start.as_of_us) }
    }

    /// This gateway's share when a node starts: half of its even part of what the node is guaranteed to bear,
    /// in units.
    pub(super) fn initial_share(&self) -> f64 {
        let guaranteed = self.policy.map_or(0.0, |policy| policy.guaranteed_units);
        GUARANTEED_FRACTION * guaranteed / self.gateway_count.max(1) as f64
    }

    /// The time that a node takes to warm up, in seconds.
    fn warm_up_time_s(&self) -> f64 {
        self.policy.map_or(RATE_AVERAGING_TIME_US, |policy| policy.warm_up_us.max(1) as f64) / 1e6
    }

    /// Records what a shard served this gateway while its node was warm.
    pub(super) fn record_served(&mut self, shard: ShardId, units: f64, at_us: u64) {
        let averaging_time_s = self.warm_up_time_s();
        let unseen = RateEstimator::starting_at(self.gateway_started_at_us);
        self.served.entry(shard).or_insert(unseen).record(units, at_us, averaging_time_s);
    }

    /// Ages the estimate of what a shard served up to the start of its new node.
    pub(super) fn decay_served_rate(&mut self, shard: ShardId, until_us: u64) {
        self.record_served(shard, 0.0, until_us);
    }

    /// Records what was requested of a shard through this gateway within the reservations.
    pub(super) fn record_requested(&mut self, shard: ShardId, units: f64, at_us: u64) {
        let averaging_time_s = self.warm_up_time_s();
        let unseen = RateEstimator::starting_at(self.gateway_started_at_us);
        self.requested.entry(shard).or_insert(unseen).record(units, at_us, averaging_time_s);
    }

    /// The rate at which a shard served this gateway while its node was warm, in units per second.
    ///
    /// EXCEPTION: one of many gateways that started too shortly before the node to have seen that uses the
    /// rate of requests within the reservations instead: over all gateways these are a part of what the node
    /// can do. Guards against gateways that restart during a release, which would send a warming-up node next
    /// to nothing until it is warm. May send more than the node is guaranteed to bear where reservations
    /// exceed what nodes can do.
    fn shard_rate(&self, shard: ShardId) -> f64 {
        let served = self.served.get(&shard).copied().unwrap_or_default();
        let has_seen_little = served.observed_s < self.warm_up_time_s() * MIN_OBSERVED_FRACTION;
        let is_one_of_many = self.initial_share() < self.mean_request_units;
        let requested = self.requested.get(&shard).filter(|_| has_seen_little && is_one_of_many);
        served.best_rate.max(requested.map_or(0.0, |requested| requested.best_rate))
    }
}
