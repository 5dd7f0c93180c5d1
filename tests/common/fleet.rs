//! A simulated fleet of gateways in front of the same storage nodes. Tests advance its clock explicitly.

use super::{
    SECOND, TICK, attempt_report, incoming_request, poll_failed, ready_endpoints, scheduler, schedulers,
};
use std::collections::BTreeMap;
use storage_gateway::scheduler::*;

/// Time at which the simulation starts.
pub const SIMULATION_START_US: u64 = 1_000 * SECOND;

/// Added to a gateway's index to get the seed of its scheduler; a restarted gateway uses the current time.
pub const SEED_OFFSET: u64 = 7;

/// Makes one kind of update from a list of endpoints: a snapshot, a delta or a cached list.
pub type UpdateKind = fn(Vec<Endpoint>) -> EndpointUpdate;

/// An attempt of a tracked request.
#[derive(Clone, Debug)]
pub struct TrackedAttempt {
    pub node: NodeId,
    pub sent_at_us: u64,
    pub shard: ShardId,
    /// False if the outcome proves that the node did not run the request.
    pub may_have_run: bool,
    pub in_flight: bool,
}

/// A submitted request with its attempts.
#[derive(Clone, Debug)]
pub struct TrackedRequest {
    pub gateway: usize,
    pub request: IncomingRequest,
    pub arrived_at_us: u64,
    /// Whether the request has its final answer or its client has disconnected.
    pub finished: bool,
    pub attempts: Vec<TrackedAttempt>,
}

/// A record of an attempt that a scheduler sent; it does not change when the attempt ends.
#[derive(Clone, Debug)]
pub struct SentAttempt {
    pub at_us: u64,
    pub request: u32,
    pub node: NodeId,
    pub units: f64,
    pub timeout_us: Option<u64>,
}

/// An attempt that has not ended.
#[derive(Clone, Debug)]
pub struct InFlightAttempt {
    pub request: u32,
    pub node: NodeId,
    pub sent_at_us: u64,
}

/// A timer that a scheduler has set and that has not fired.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingTimer {
    pub gateway: usize,
    pub fires_at_us: u64,
    pub token: u64,
}

/// The properties of a node in the latest endpoint update that listed it.
#[derive(Clone, Copy, Debug)]
pub(super) struct ListedNode {
    pub shard: ShardId,
    pub started_at_us: Option<u64>,
}

/// A retry that counts towards the retry budget of its gateway.
#[derive(Clone, Copy, Debug)]
pub(super) struct Retry {
    pub at_us: u64,
    pub gateway: usize,
}

/// The token bucket that checks the rate limit of a volume, for all gateways together.
#[derive(Clone, Copy, Debug)]
pub(super) struct VolumeBucket {
    /// Tokens in units; negative while the volume uses its overdraft.
    pub tokens: f64,
    pub updated_at_us: u64,
}

/// Several gateways in front of the same nodes. Their actions are checked against the rules of the platform.
pub struct SimulatedFleet {
    pub settings: SchedulerSettings,
    pub now_us: u64,
    pub gateways: Vec<Scheduler>,
    pub requests: BTreeMap<u32, TrackedRequest>,
    pub sent: Vec<SentAttempt>,
    pub rejected: Vec<u32>,
    pub failed: Vec<u32>,
    /// Times at which gateways started to watch the endpoint list, over all gateways.
    pub watches_at_us: Vec<u64>,
    /// Grace period that the check of draining nodes allows; independent of `settings.drain_grace_us`.
    pub checked_drain_grace_us: u64,
    pub(super) timers: Vec<PendingTimer>,
    pub(super) nodes: BTreeMap<NodeId, ListedNode>,
    /// When a gateway was first notified that a node is draining or removed, by gateway and node. A node that
    /// is ready again has no entry.
    pub(super) unavailable_since_us: BTreeMap<(usize, NodeId), u64>,
    pub(super) retries: Vec<Retry>,
    pub(super) volume_buckets: BTreeMap<VolumeId, VolumeBucket>,
    /// End of the ordering gap, by gateway and block: no further request for the block may be sent before it.
    pub(super) ordering_gap_ends_at_us: BTreeMap<(usize, BlockId), u64>,
    /// Events for each gateway's next batch.
    queued_events: Vec<Vec<Event>>,
}

impl SimulatedFleet {
    pub fn new(settings: SchedulerSettings) -> Self {
        let gateways = schedulers(&settings, SEED_OFFSET, SIMULATION_START_US);
        SimulatedFleet {
            now_us: SIMULATION_START_US,
            queued_events: vec![Vec::new(); gateways.len()],
            gateways,
            settings,
            requests: BTreeMap::new(),
            sent: Vec::new(),
            rejected: Vec::new(),
            failed: Vec::new(),
            watches_at_us: Vec::new(),
            checked_drain_grace_us: 0,
            timers: Vec::new(),
            nodes: BTreeMap::new(),
            unavailable_since_us: BTreeMap::new(),
            retries: Vec::new(),
            volume_buckets: BTreeMap::new(),
            ordering_gap_ends_at_us: BTreeMap::new(),
        }
    }

    /// Returns a fleet whose gateways receive a cached list of this many ready nodes in their first batch.
    pub fn with_ready_nodes(settings: SchedulerSettings, node_count: u32) -> Self {
        let mut fleet = SimulatedFleet::new(settings);
        fleet.update_endpoints_everywhere(EndpointUpdate::Cached, &ready_endpoints(node_count));
        fleet
    }

    /// Returns a fleet without slow start and retry budget, whose gateways have received a list of this many
    /// ready nodes.
    pub fn without_slow_start_and_retry_budget(gateway_count: usize, node_count: u32) -> Self {
        let settings =
            SchedulerSettings { gateway_count, slow_start: None, retry_budget: None, ..super::settings() };
        let mut fleet = SimulatedFleet::with_ready_nodes(settings, node_count);
        fleet.advance();
        fleet
    }

    /// Queues an event for the gateway's next batch.
    pub fn queue_event(&mut self, gateway: usize, event: Event) {
        self.queued_events[gateway].push(event);
    }

    pub fn update_endpoints(&mut self, gateway: usize, kind: UpdateKind, endpoints: &[Endpoint]) {
        let update = kind(endpoints.to_vec());
        if matches!(update, EndpointUpdate::Snapshot(_) | EndpointUpdate::Cached(_)) {
            self.record_removal_of_unlisted(gateway, endpoints);
        }
        for endpoint in endpoints {
            let listed = ListedNode { shard: endpoint.shard, started_at_us: endpoint.started_at_us };
            self.nodes.insert(endpoint.node.clone(), listed);
            let key = (gateway, endpoint.node.clone());
            if endpoint.state == EndpointState::Ready {
                self.unavailable_since_us.remove(&key);
            } else {
                self.unavailable_since_us.entry(key).or_insert(self.now_us);
            }
        }
        self.queue_event(gateway, Event::EndpointsUpdated(update));
    }

    fn record_removal_of_unlisted(&mut self, gateway: usize, endpoints: &[Endpoint]) {
        let listed = |node: &NodeId| endpoints.iter().any(|endpoint| endpoint.node == *node);
        for node in self.nodes.keys().filter(|node| !listed(node)) {
            self.unavailable_since_us.entry((gateway, node.clone())).or_insert(self.now_us);
        }
    }

    pub fn update_endpoints_everywhere(&mut self, kind: UpdateKind, endpoints: &[Endpoint]) {
        for gateway in 0..self.gateways.len() {
            self.update_endpoints(gateway, kind, endpoints);
        }
    }

    /// Notifies every gateway that its poll of the endpoint list has failed.
    pub fn fail_polls(&mut self) {
        for gateway in 0..self.gateways.len() {
            self.queue_event(gateway, poll_failed());
        }
    }

    /// Queues the arrival of a request at the gateway, and tracks the request.
    pub fn submit(&mut self, gateway: usize, request: IncomingRequest) {
        let tracked = TrackedRequest {
            gateway,
            request: request.clone(),
            arrived_at_us: self.now_us,
            finished: false,
            attempts: vec![],
        };
        assert!(self.requests.insert(request.id.0, tracked).is_none());
        self.queue_event(gateway, Event::RequestArrived(request));
    }

    /// Submits a request for data of the shard at gateway 0. It expires at the deadline of its class.
    pub fn submit_to_shard(&mut self, id: u32, class: usize, shard: u32) {
        let expires_at_us = self.now_us + self.settings.classes[class].deadline_us;
        self.submit(0, incoming_request(id, class, shard, expires_at_us));
    }

    /// Submits a request of the volume, for data of shard 0, at gateway 0. It expires at the deadline of its
    /// class.
    pub fn submit_from_volume(&mut self, id: u32, class: usize, volume: u64) {
        let expires_at_us = self.now_us + self.settings.classes[class].deadline_us;
        let request = incoming_request(id, class, 0, expires_at_us);
        self.submit(0, IncomingRequest { volume: VolumeId(volume), ..request });
    }

    /// Like `submit_from_volume`, with a volume that has the same number as the request.
    pub fn submit_of_class(&mut self, id: u32, class: usize) {
        self.submit_from_volume(id, class, u64::from(id));
    }

    /// Submits requests of class 0 one at a time. Each is answered after the latency, and the next one is
    /// submitted after a pause.
    pub fn submit_one_by_one(&mut self, ids: std::ops::Range<u32>, latency_us: u64, pause_us: u64) {
        for id in ids {
            self.submit_of_class(id, 0);
            self.run_answering_after(latency_us + 2 * TICK, latency_us);
            self.run_answering_after(pause_us, latency_us);
        }
    }

    /// Returns the attempts that have not ended, in order of their requests' numbers.
    pub fn in_flight(&self) -> Vec<InFlightAttempt> {
        let attempt_of = |(id, tracked): (&u32, &TrackedRequest)| {
            let attempt = tracked.attempts.last().filter(|attempt| attempt.in_flight)?;
            let (node, sent_at_us) = (attempt.node.clone(), attempt.sent_at_us);
            Some(InFlightAttempt { request: *id, node, sent_at_us })
        };
        self.requests.iter().filter_map(attempt_of).collect()
    }

    /// Returns the requests of the attempts from this position in `sent` on, in the order in which they were
    /// sent.
    pub fn requests_sent_since(&self, position: usize) -> Vec<u32> {
        self.sent[position..].iter().map(|attempt| attempt.request).collect()
    }

    /// Ends the request's attempt in flight with this outcome, and reports it to the gateway.
    pub fn finish_attempt(&mut self, id: u32, outcome: AttemptOutcome) {
        let tracked = self.requests.get_mut(&id).expect("a request");
        let attempt = tracked.attempts.last_mut().expect("an attempt");
        assert!(attempt.in_flight);
        attempt.in_flight = false;
        attempt.may_have_run = !matches!(
            outcome,
            AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent
        );
        tracked.finished |= outcome == AttemptOutcome::Succeeded;
        let mut report = attempt_report(id, &attempt.node, outcome, self.now_us - attempt.sent_at_us);
        report.is_final = tracked.finished;
        let gateway = tracked.gateway;
        self.start_ordering_gap(id, outcome);
        self.queue_event(gateway, Event::AttemptEnded(report));
    }

    /// Starts the gap before the next request for the block if the class of the request orders requests by
    /// block and the ended attempt may still be running.
    fn start_ordering_gap(&mut self, id: u32, outcome: AttemptOutcome) {
        let tracked = &self.requests[&id];
        let may_still_run = matches!(
            outcome,
            AttemptOutcome::TimedOut | AttemptOutcome::ConnectionReset | AttemptOutcome::Cancelled
        );
        if may_still_run
            && self.settings.classes[tracked.request.class.0].ordered_by_block
            && let Some(block) = tracked.request.block
        {
            let until_us = self.now_us + self.settings.ordering_gap_us;
            self.ordering_gap_ends_at_us.insert((tracked.gateway, block), until_us);
        }
    }

    /// Reports to the gateway that the client of an unfinished request has disconnected.
    pub fn disconnect_client(&mut self, id: u32) {
        let tracked = self.requests.get_mut(&id).expect("a request");
        tracked.finished = true;
        let gateway = tracked.gateway;
        self.queue_event(gateway, Event::ClientDisconnected(RequestId(id)));
    }

    /// Kills and restarts a gateway. The gateway loses its state and its requests, and receives the cached
    /// endpoint list.
    pub fn restart_gateway(&mut self, gateway: usize, cached: &[Endpoint]) {
        self.gateways[gateway] = scheduler(&self.settings, gateway, self.now_us, self.now_us);
        self.queued_events[gateway].clear();
        self.timers.retain(|timer| timer.gateway != gateway);
        self.requests.retain(|_, tracked| tracked.gateway != gateway);
        self.retries.retain(|retry| retry.gateway != gateway);
        self.unavailable_since_us.retain(|key, _| key.0 != gateway);
        self.ordering_gap_ends_at_us.retain(|key, _| key.0 != gateway);
        self.update_endpoints(gateway, EndpointUpdate::Cached, cached);
    }

    /// Times out the attempts of expired requests, delivers queued events and due timers, checks the
    /// resulting actions, and advances the clock by one tick.
    pub fn advance(&mut self) {
        self.time_out_expired_attempts();
        for gateway in 0..self.gateways.len() {
            self.deliver_events(gateway);
        }
        self.check_all_answered_in_time();
        self.now_us += TICK;
    }

    fn time_out_expired_attempts(&mut self) {
        for attempt in self.in_flight() {
            if self.requests[&attempt.request].request.expires_at_us <= self.now_us {
                self.finish_attempt(attempt.request, AttemptOutcome::TimedOut);
            }
        }
    }

    fn deliver_events(&mut self, gateway: usize) {
        let now_us = self.now_us;
        let mut events = std::mem::take(&mut self.queued_events[gateway]);
        let due = self.timers.iter().filter(|timer| timer.gateway == gateway && timer.fires_at_us <= now_us);
        events.extend(due.map(|timer| Event::TimerFired(timer.token)));
        self.timers.retain(|timer| timer.gateway != gateway || timer.fires_at_us > now_us);
        if events.is_empty() {
            return;
        }
        for action in super::deliver(&mut self.gateways[gateway], now_us, &events) {
            self.check_action(gateway, action);
        }
    }

    pub fn run_for(&mut self, duration_us: u64) {
        let end_us = self.now_us + duration_us;
        while self.now_us < end_us {
            self.advance();
        }
    }

    /// Like `run_for`, and answers every attempt after the latency.
    pub fn run_answering_after(&mut self, duration_us: u64, latency_us: u64) {
        let end_us = self.now_us + duration_us;
        while self.now_us < end_us {
            self.answer_attempts_after(|_| latency_us);
            self.advance();
        }
    }

    /// Ends each attempt as succeeded if it has been in flight for at least the latency that the function
    /// returns for it.
    pub fn answer_attempts_after(&mut self, latency_us: impl Fn(&InFlightAttempt) -> u64) {
        for attempt in self.in_flight() {
            if attempt.sent_at_us + latency_us(&attempt) <= self.now_us {
                self.finish_attempt(attempt.request, AttemptOutcome::Succeeded);
            }
        }
    }
}
