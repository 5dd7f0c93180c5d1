//! Applies updates of the endpoint list, grants draining nodes a grace period, and schedules polls of the
//! list.
//!
//! A poll is a request to discovery for the endpoint list. A watch is a poll that waits for changes.

use super::Scheduler;
use super::action::Action;
use super::event::{Endpoint, EndpointState, EndpointUpdate};
use super::node::{NodeIndex, NodeState};
use super::settings::SchedulerSettings;
use super::slow_start::SlowStartBucket;

/// Platform rule (draining): after a failed poll, the platform considers a change announced after this delay.
/// The delay starts when discovery has recorded the change or when discovery is reachable, whichever is later
/// (Protocol page, "Figures").
const ANNOUNCEMENT_DELAY_US: u64 = 6_000_000;
/// The time after which a poll times out in the gateway's discovery client.
const POLL_TIMEOUT_US: u64 = 1_500_000;
/// Platform rule (draining): after a failed poll, the platform considers a change announced after this number
/// of maximum poll intervals (Wire page, `rules.askWithinUs`), if that is earlier.
const ANNOUNCEMENT_POLL_INTERVALS: u64 = 4;
/// The time for which the gateway may be held up between reading its clock and sending ("A Fixed Test for All
/// Future Versions of the Gateway").
const MAX_HOLD_UP_US: u64 = 150_000;
/// The maximum size of a fleet whose first polls are not spread over time. Polls after a failure are spread
/// in small fleets, too.
const MAX_UNSPREAD_GATEWAYS: usize = 8;
/// The time over which polls are spread grows by the maximum poll interval divided by this number for each
/// gateway beyond [`MAX_UNSPREAD_GATEWAYS`]. [`poll_spread_us`] limits the time to three quarters of the
/// maximum poll interval and to [`max_poll_retry_period_us`].
const POLL_SPREAD_STEP_DIVISOR: u64 = 128;
/// The minimum period of polls after a failure is the maximum poll interval divided by this number.
const MIN_POLL_RETRY_PERIOD_DIVISOR: u64 = 32;
/// The maximum number of times that the period of polls doubles after consecutive failures.
const MAX_POLL_RETRY_PERIOD_DOUBLINGS: u32 = 3;

/// The schedule of polls of the endpoint list.
#[derive(Default)]
pub(super) struct EndpointPolling {
    /// When the next poll starts; `None` if none is scheduled.
    next_poll_at_us: Option<u64>,
    /// The number of polls that have failed since discovery last returned a list.
    consecutive_failures: u32,
}

impl EndpointPolling {
    /// Creates a schedule. The first poll starts in this gateway's time slot if the gateway has to request
    /// the list; otherwise none is scheduled.
    pub(super) fn new(settings: &SchedulerSettings, now_us: u64) -> Self {
        let next_poll_at_us = settings
            .endpoints_on_request
            .then(|| next_slot_at_us(settings, now_us, poll_spread_us(settings)));
        EndpointPolling { next_poll_at_us, consecutive_failures: 0 }
    }

    /// Returns whether a poll is scheduled.
    pub(super) fn is_scheduled(&self) -> bool {
        self.next_poll_at_us.is_some()
    }

    /// Records that a poll failed, and schedules the next one in this gateway's time slot. `next_poll_by_us`
    /// is the time by which the next poll has to start to return what this one missed.
    fn record_failure(&mut self, settings: &SchedulerSettings, now_us: u64, next_poll_by_us: Option<u64>) {
        let shortest_period_us =
            (settings.max_poll_interval_us / MIN_POLL_RETRY_PERIOD_DIVISOR).max(settings.batch_interval_us);
        let min_period_us = poll_spread_us(settings).max(shortest_period_us);
        let period_us = (min_period_us << self.consecutive_failures.min(MAX_POLL_RETRY_PERIOD_DOUBLINGS))
            .min(max_poll_retry_period_us(settings));
        // Once the time has passed, the missed changes count as announced. Of the polls that fail after that,
        // only the first is repeated at once, unless lists are pushed: changes then count as announced as
        // soon as discovery can be reached.
        let remaining_us = next_poll_by_us.map(|by_us| by_us.saturating_sub(now_us));
        let repeats_at_once = !settings.endpoints_on_request || self.consecutive_failures == 0;
        let must_hurry = |remaining_us: &u64| *remaining_us > 0 || repeats_at_once;
        let period_us = remaining_us
            .filter(must_hurry)
            .map_or(period_us, |remaining_us| period_us.min(remaining_us.max(shortest_period_us)));
        self.consecutive_failures += 1;
        self.next_poll_at_us = Some(next_slot_at_us(settings, now_us + 1, period_us));
    }
}

/// Returns the time over which the gateways spread their first polls, in microseconds. Polls after a failure
/// are spread over at least this time.
///
/// The time is 0 in fleets of up to [`MAX_UNSPREAD_GATEWAYS`] gateways. It grows by 1/128 of the maximum poll
/// interval for each further gateway, up to three quarters of the maximum poll interval or
/// [`max_poll_retry_period_us`], whichever is shorter.
///
/// A single discovery service answers the polls one after another. Without the spread, a fleet whose gateways
/// start at the same time, or detect a failure of the service at the same time, would overload it repeatedly.
fn poll_spread_us(settings: &SchedulerSettings) -> u64 {
    let excess_gateways = settings.gateway_count.saturating_sub(MAX_UNSPREAD_GATEWAYS) as u64;
    let max_spread_us = settings.max_poll_interval_us / 4 * 3;
    (settings.max_poll_interval_us / POLL_SPREAD_STEP_DIVISOR * excess_gateways)
        .min(max_spread_us)
        .min(max_poll_retry_period_us(settings))
}

/// Returns the maximum time from a failed poll to the next one, in microseconds. The next poll must be able
/// to return a change before the platform considers the change announced.
fn max_poll_retry_period_us(settings: &SchedulerSettings) -> u64 {
    let announcement_delay_us = match settings.max_poll_interval_us {
        0 => ANNOUNCEMENT_DELAY_US,
        interval_us => interval_us.saturating_mul(ANNOUNCEMENT_POLL_INTERVALS).min(ANNOUNCEMENT_DELAY_US),
    };
    announcement_delay_us.saturating_sub(POLL_TIMEOUT_US).max(announcement_delay_us / 4)
}

/// Returns when a poll has to start at the latest so that a draining node that it reports is sent no work
/// after its grace period, which begins with the announcement. Work that was sent before may still be
/// connecting.
fn latest_poll_at_us(settings: &SchedulerSettings, announced_at_us: u64) -> u64 {
    let margin_us = settings.connect_timeout_us + MAX_HOLD_UP_US;
    let grace_us = settings.drain_grace_us.saturating_sub(margin_us);
    (announced_at_us + grace_us).saturating_sub(POLL_TIMEOUT_US)
}

/// Returns when this gateway's next time slot begins, which may be `now_us`. Periods start at multiples of
/// `period_us` of the clock, which all gateways have in common. Each period is divided evenly into one slot
/// per gateway.
fn next_slot_at_us(settings: &SchedulerSettings, now_us: u64, period_us: u64) -> u64 {
    let (gateway_count, period_us) = (settings.gateway_count.max(1) as u64, period_us.max(1));
    let slot_offset_us = period_us / gateway_count * (settings.gateway_index as u64 % gateway_count);
    now_us + (slot_offset_us + period_us - now_us % period_us) % period_us
}

impl Scheduler {
    /// Applies an update of the endpoint list. A complete list marks all nodes that it does not contain as
    /// removed.
    pub(super) fn update_endpoints(&mut self, update: &EndpointUpdate) {
        let endpoints = match update {
            EndpointUpdate::PollFailed { announced_by_us } => {
                let next_poll_by_us = announced_by_us.map(|at_us| latest_poll_at_us(&self.settings, at_us));
                let (settings, now_us) = (&self.settings, self.now_us);
                return self.endpoint_polling.record_failure(settings, now_us, next_poll_by_us);
            }
            EndpointUpdate::Delta(endpoints)
            | EndpointUpdate::Snapshot(endpoints)
            | EndpointUpdate::Cached(endpoints) => endpoints,
        };
        let is_delta = matches!(update, EndpointUpdate::Delta(_));
        let drain_grace_us = self.drain_grace_us(is_delta);
        if !matches!(update, EndpointUpdate::Cached(_)) {
            self.endpoint_polling.consecutive_failures = 0;
        }
        if !is_delta {
            self.nodes.iter_mut().for_each(|node| node.state = EndpointState::Removed);
        }
        for endpoint in endpoints {
            self.update_endpoint(endpoint, drain_grace_us);
        }
    }

    /// Returns how long the nodes that an update reports as draining may still be sent work.
    ///
    /// Platform rule (draining): the grace period starts at the announcement of a change. After failed polls,
    /// or with a complete list, a change may have been announced long before it arrives, so there is no grace
    /// period.
    fn drain_grace_us(&self, is_delta: bool) -> u64 {
        if !is_delta || self.endpoint_polling.consecutive_failures > 0 {
            return 0;
        }
        let margin_us = self.settings.connect_timeout_us + self.expiry_interval_us();
        self.settings.drain_grace_us.saturating_sub(margin_us)
    }

    fn update_endpoint(&mut self, endpoint: &Endpoint, drain_grace_us: u64) {
        let index = self.register_node(endpoint);
        let node = &mut self.nodes[index];
        if node.is_ready() && endpoint.state == EndpointState::Draining {
            node.drain_grace_ends_at_us = self.now_us + drain_grace_us;
        }
        node.zone = endpoint.zone;
        node.shard = endpoint.shard;
        node.state = endpoint.state;
    }

    /// Returns the index of an endpoint's node. Resets the state of a node whose process has restarted, and
    /// adds a node that is new.
    fn register_node(&mut self, endpoint: &Endpoint) -> NodeIndex {
        let known_index = self.nodes.iter().position(|node| node.id == endpoint.node);
        // `None` (started long ago) compares lower than any start time.
        if let Some(index) = known_index
            && endpoint.started_at_us <= self.nodes[index].started_at_us
        {
            return index;
        }
        let bucket = self.initial_slow_start_bucket(endpoint);
        let index = known_index.unwrap_or(self.nodes.len());
        match known_index {
            Some(index) => self.nodes[index] = self.nodes[index].after_restart(endpoint, bucket),
            None => self.nodes.push(NodeState::new(endpoint, bucket)),
        }
        self.slow_start.decay_served_rate(endpoint.shard, endpoint.started_at_us.unwrap_or(0));
        index
    }

    /// Returns the initial slow-start bucket of a node that is new or has restarted.
    ///
    /// All gateways are notified of the node's start at the same time and have work queued for the node.
    /// Without countermeasures, they would all send at the same moment, so each bucket starts with a random
    /// deficit. A gateway that started after the node sends the node nothing until one slow-start window has
    /// passed since the gateway's own start, because the gateway's previous process may already have used the
    /// slow-start share.
    fn initial_slow_start_bucket(&mut self, endpoint: &Endpoint) -> SlowStartBucket {
        let node_started_before_gateway = endpoint.started_at_us <= Some(self.started_at_us);
        let window_us = self.slow_start.window_us().filter(|_| node_started_before_gateway).unwrap_or(0);
        let deficit = 2.0 * self.settings.mean_request_units * self.rng.f64();
        let tokens = self.slow_start.initial_share() - deficit;
        SlowStartBucket::new(tokens, self.now_us.max(self.started_at_us + window_us))
    }

    /// Instructs the caller to watch the endpoint list if a poll is scheduled and its time has come.
    pub(super) fn poll_endpoints(&mut self, actions: &mut Vec<Action>) {
        if self.endpoint_polling.next_poll_at_us.is_some_and(|at_us| at_us <= self.now_us) {
            self.endpoint_polling.next_poll_at_us = None;
            actions.push(Action::WatchEndpoints);
        }
    }
}
