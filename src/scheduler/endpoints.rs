//! The endpoint list: its updates, the grace of draining nodes, and the schedule of watches and polls.

use super::Scheduler;
use super::action::Action;
use super::event::{Endpoint, EndpointState, EndpointUpdate};
use super::node::{NodeIndex, NodeState};
use super::settings::SchedulerSettings;
use super::slow_start::SlowStartBucket;

/// RULE draining: after a failed poll, a change counts as announced this long after discovery had it and
/// could be reached (Protocol page, "Figures").
const ANNOUNCEMENT_DELAY_US: u64 = 6_000_000;
/// How long a poll may take; the gateway's discovery client gives it up then.
const POLL_TIMEOUT_US: u64 = 1_500_000;
/// A poll after a failed one has to start within this time, so that it can bring a change before it counts as
/// announced.
const MAX_POLL_PERIOD_US: u64 = ANNOUNCEMENT_DELAY_US - POLL_TIMEOUT_US;
/// So many gateways need no spreading of their polls.
const UNSPREAD_GATEWAYS: usize = 8;
/// Each gateway beyond those adds this part of the longest poll interval to the time that polls are spread
/// over.
const SPREAD_STEP_DIVISOR: u64 = 128;
/// The shortest period between failed polls, as a part of the longest poll interval.
const MIN_PERIOD_DIVISOR: u64 = 32;
/// The period between failed polls doubles so many times.
const MAX_PERIOD_DOUBLINGS: u32 = 3;

/// When the endpoint list is to be watched next.
#[derive(Default)]
pub(super) struct EndpointPolling {
    next_at_us: Option<u64>,
    /// Polls that have failed since the last list from discovery.
    failures: u32,
}

impl EndpointPolling {
    /// The first poll is made in this gateway's time slot, if the list has to be requested.
    pub(super) fn new(settings: &SchedulerSettings, now_us: u64) -> Self {
        let next_at_us = settings
            .endpoints_on_request
            .then(|| next_slot_at_us(settings, now_us, poll_spread_us(settings)));
        EndpointPolling { next_at_us, failures: 0 }
    }

    /// Whether a poll is scheduled.
    pub(super) fn is_scheduled(&self) -> bool {
        self.next_at_us.is_some()
    }

    /// Records that a poll failed: the next one is made in this gateway's time slot.
    fn record_failure(&mut self, settings: &SchedulerSettings, now_us: u64) {
        let shortest_us = poll_spread_us(settings)
            .max(settings.max_poll_interval_us / MIN_PERIOD_DIVISOR)
            .max(settings.batch_interval_us);
        let period_us = (shortest_us << self.failures.min(MAX_PERIOD_DOUBLINGS)).min(MAX_POLL_PERIOD_US);
        self.failures += 1;
        self.next_at_us = Some(next_slot_at_us(settings, now_us + 1, period_us));
    }
}

/// The time over which gateways spread their polls: an even gap for each beyond a few. One service answers
/// all in turn; a fleet that starts, or finds it failing, together would overrun it again and again.
fn poll_spread_us(settings: &SchedulerSettings) -> u64 {
    let gaps = settings.gateway_count.saturating_sub(UNSPREAD_GATEWAYS) as u64;
    let longest_us = settings.max_poll_interval_us / 4 * 3;
    (settings.max_poll_interval_us / SPREAD_STEP_DIVISOR * gaps).min(longest_us).min(MAX_POLL_PERIOD_US)
}

/// When this gateway's next time slot begins: the period is divided evenly among all gateways, on one shared
/// clock.
fn next_slot_at_us(settings: &SchedulerSettings, now_us: u64, period_us: u64) -> u64 {
    let (gateway_count, period_us) = (settings.gateway_count.max(1) as u64, period_us.max(1));
    let slot_us = period_us / gateway_count * (settings.gateway_index as u64 % gateway_count);
    now_us + (slot_us + period_us - now_us % period_us) % period_us
}

impl Scheduler {
    /// Applies an update of the endpoint list.
    pub(super) fn update_endpoints(&mut self, update: &EndpointUpdate) {
        let endpoints = match update {
            EndpointUpdate::PollFailed => {
                return self.endpoint_polling.record_failure(&self.settings, self.now_us);
            }
            EndpointUpdate::Delta(endpoints)
            | EndpointUpdate::Snapshot(endpoints)
            | EndpointUpdate::Cached(endpoints) => endpoints,
        };
        let is_delta = matches!(update, EndpointUpdate::Delta(_));
        let drain_grace_us = self.drain_grace_us(is_delta);
        if !matches!(update, EndpointUpdate::Cached(_)) {
            self.endpoint_polling.failures = 0;
        }
        if !is_delta {
            self.nodes.iter_mut().for_each(|node| node.state = EndpointState::Removed);
        }
        for endpoint in endpoints {
            self.update_endpoint(endpoint, drain_grace_us);
        }
    }

    /// RULE draining: how long nodes that this update announces as draining may still be sent work. The grace
    /// runs from the announcement. After failed polls, or with a complete list, a change may have been
    /// announced long before it arrived; then there is no grace.
    fn drain_grace_us(&self, is_delta: bool) -> u64 {
        if !is_delta || self.endpoint_polling.failures > 0 {
            return 0;
        }
        let reserve_us = self.settings.connect_timeout_us + self.expiry_interval_us();
        self.settings.drain_grace_us.saturating_sub(reserve_us)
    }

    fn update_endpoint(&mut self, endpoint: &Endpoint, drain_grace_us: u64) {
        let index = self.register_node(endpoint);
        let node = &mut self.nodes[index];
        if node.is_ready() && endpoint.state == EndpointState::Draining {
            node.drain_until_us = self.now_us + drain_grace_us;
        }
        node.zone = endpoint.zone;
        node.shard = endpoint.shard;
        node.state = endpoint.state;
    }

    /// Returns the node of an endpoint. A node that is new, or whose process has restarted, starts with fresh
    /// state.
    fn register_node(&mut self, endpoint: &Endpoint) -> NodeIndex {
        let known = self.nodes.iter().position(|node| node.id == endpoint.node);
        // `None` (started long ago) compares lower than any start.
        if let Some(index) = known
            && endpoint.started_at_us <= self.nodes[index].started_at_us
        {
            return index;
        }
        let bucket = self.initial_bucket(endpoint);
        let index = known.unwrap_or(self.nodes.len());
        match known {
            Some(index) => self.nodes[index] = self.nodes[index].after_restart(endpoint, bucket),
            None => self.nodes.push(NodeState::new(endpoint, bucket)),
        }
        self.slow_start.decay_served_rate(endpoint.shard, endpoint.started_at_us.unwrap_or(0));
        index
    }

    /// The slow-start bucket of a node that is new or has restarted. All gateways learn of a start at the
    /// same time and have work queued for the node, so each starts with a random deficit. A gateway that
    /// started after the node sends nothing for one slow-start window: its own predecessor process may
    /// already have used the share.
    fn initial_bucket(&mut self, endpoint: &Endpoint) -> SlowStartBucket {
        let predecessor_may_have_sent = endpoint.started_at_us <= Some(self.started_at_us);
        let window_us = self.slow_start.window_us().filter(|_| predecessor_may_have_sent).unwrap_or(0);
        let deficit = 2.0 * self.settings.mean_request_units * self.rng.f64();
        let tokens = self.slow_start.initial_share() - deficit;
        SlowStartBucket::new(tokens, self.now_us.max(self.started_at_us + window_us))
    }

    /// Requests a poll if one is due. A poll may wait for changes, as a watch.
    pub(super) fn poll_endpoints(&mut self, actions: &mut Vec<Action>) {
        if self.endpoint_polling.next_at_us.is_some_and(|at_us| at_us <= self.now_us) {
            self.endpoint_polling.next_at_us = None;
            actions.push(Action::WatchEndpoints);
        }
    }
}
