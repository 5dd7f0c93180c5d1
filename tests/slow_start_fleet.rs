//! Tests of slow start: how much the gateways of a fleet together send to a node that has just started.

mod common;
use common::*;
use std::collections::{BTreeMap, VecDeque};
use storage_gateway::scheduler::*;

/// Interval between the batches of a gateway, in microseconds.
const BATCH_INTERVAL_US: u64 = 20_000;
/// Interval between the batches of a gateway, in seconds.
const BATCH_INTERVAL_SECONDS: f64 = 0.02;

/// How a node's capacity grows after its start.
#[derive(Clone, Copy)]
struct WarmUp {
    policy: SlowStartPolicy,
    /// Rate at which the node serves units once it has warmed up.
    units_per_second: f64,
}

impl WarmUp {
    /// Returns the node's capacity at this time after its start, as a fraction of its full capacity.
    fn capacity_at(&self, age_us: u64) -> f64 {
        match age_us as f64 / self.policy.warm_up_us as f64 {
            age if age < 1.0 => self.policy.initial_capacity + (1.0 - self.policy.initial_capacity) * age,
            _ => 1.0,
        }
    }

    /// Returns the units that the node may be sent within the window of the policy, at this capacity.
    fn allowed_units(&self, capacity: f64) -> f64 {
        self.policy.overload_factor * self.units_per_second * capacity * self.policy.window_us as f64 / 1e6
    }
}

/// Returns the endpoint of the node, ready, with this start time; 0 means that the node started long ago.
fn node_started_at(started_at_us: u64) -> Endpoint {
    endpoint("n", 0, EndpointState::Ready, started_at_us)
}

/// An attempt in the queue of the node.
#[derive(Clone, Copy)]
struct QueuedAttempt {
    gateway: usize,
    request: u32,
    /// When the node completes the attempt.
    served_at_us: u64,
    latency_us: u64,
}

/// The units of one attempt, sent by a gateway that was already notified of the node's latest restart.
#[derive(Clone, Copy)]
struct SentUnits {
    at_us: u64,
    units: f64,
}

/// A node that restarts twice, and the gateways in front of it. Each gateway is notified of a restart up to
/// three seconds after it, and gateways are killed at random. Together they request about twice what the node
/// can serve.
struct RestartingNode {
    settings: SchedulerSettings,
    warm_up: WarmUp,
    random: fastrand::Rng,
    now_us: u64,
    gateways: Vec<Scheduler>,
    /// Events for each gateway's next batch.
    events: Vec<Vec<Event>>,
    /// When the node last started, according to each gateway's endpoint list; 0 if long ago.
    known_start_us: Vec<u64>,
    /// When each gateway is notified of the node's latest restart; empty before the first restart.
    notified_at_us: Vec<u64>,
    /// When the node last started; 0 before its first restart.
    started_at_us: u64,
    /// When the node completes the last attempt in its queue.
    idle_at_us: f64,
    queue: Vec<QueuedAttempt>,
    request_units: BTreeMap<u32, f64>,
    /// Attempts sent within the window of the policy by gateways that were already notified of the latest
    /// restart.
    recently_sent: VecDeque<SentUnits>,
    /// Units sent to the node while it warmed up, except in the first two windows after its start.
    units_sent_after_first_windows: f64,
    /// Units that the node could have served in the period to which `units_sent_after_first_windows` applies.
    servable_units: f64,
}

impl RestartingNode {
    fn new(gateway_count: usize) -> Self {
        let settings = SchedulerSettings { gateway_count, ..settings() };
        let policy = settings.slow_start.expect("a slow start policy");
        RestartingNode {
            warm_up: WarmUp { policy, units_per_second: 60.0 },
            random: fastrand::Rng::with_seed(11),
            now_us: SIMULATION_START_US,
            gateways: schedulers(&settings, 0, SIMULATION_START_US),
            events: vec![vec![cached(vec![node_started_at(0)])]; gateway_count],
            known_start_us: vec![0; gateway_count],
            notified_at_us: Vec::new(),
            started_at_us: 0,
            idle_at_us: SIMULATION_START_US as f64,
            queue: Vec::new(),
            request_units: BTreeMap::new(),
            recently_sent: VecDeque::new(),
            units_sent_after_first_windows: 0.0,
            servable_units: 0.0,
            settings,
        }
    }

    fn run_round(&mut self, round: u32) {
        self.now_us += BATCH_INTERVAL_US;
        if round == 400 || round == 1_000 {
            self.restart_node();
        }
        let capacity = self.capacity();
        for gateway in 0..self.gateways.len() {
            self.notify_of_restart(gateway);
            self.restart_gateway_at_random(gateway);
            self.submit_at_random(gateway, round);
            self.events[gateway].push(Event::TimerFired(0));
            self.answer_served(gateway);
            self.send_attempts(gateway, capacity);
        }
        self.check_load(capacity);
    }

    fn restart_node(&mut self) {
        self.started_at_us = self.now_us;
        self.recently_sent.clear();
        for lost in self.queue.drain(..) {
            let outcome = AttemptOutcome::ConnectionReset;
            self.events[lost.gateway].push(attempt_ended(lost.request, "n", outcome, lost.latency_us));
        }
        self.idle_at_us = self.now_us as f64;
        let now_us = self.now_us;
        let random = &mut self.random;
        self.notified_at_us = self.gateways.iter().map(|_| now_us + random.u64(0..3 * SECOND)).collect();
    }

    fn capacity(&self) -> f64 {
        match self.started_at_us {
            0 => 1.0,
            started_at_us => self.warm_up.capacity_at(self.now_us - started_at_us),
        }
    }

    fn notify_of_restart(&mut self, gateway: usize) {
        let is_due = self.notified_at_us.get(gateway).is_some_and(|at_us| *at_us <= self.now_us);
        if is_due && self.known_start_us[gateway] != self.started_at_us {
            self.known_start_us[gateway] = self.started_at_us;
            self.events[gateway].push(delta(vec![node_started_at(self.started_at_us)]));
        }
    }

    /// Kills and restarts the gateway with a small probability. It receives its latest endpoint list from the
    /// cache, or a list from before the node's restarts.
    fn restart_gateway_at_random(&mut self, gateway: usize) {
        if self.random.u32(0..1_500) != 0 {
            return;
        }
        self.gateways[gateway] = scheduler(&self.settings, gateway, gateway as u64, self.now_us);
        let has_older_list = self.random.bool();
        if has_older_list {
            self.known_start_us[gateway] = 0;
        }
        self.events[gateway] = vec![cached(vec![node_started_at(self.known_start_us[gateway])])];
        self.queue.retain(|attempt| attempt.gateway != gateway);
    }

    /// Submits a request with probability 0.9 / gateway count, so that the fleet submits 0.9 requests per
    /// round on average. Sizes are 1 to 8 units; small sizes are more probable.
    fn submit_at_random(&mut self, gateway: usize, round: u32) {
        let gateways = self.gateways.len();
        if self.random.usize(0..gateways * 10) >= 9 {
            return;
        }
        let id = round * gateways as u32 + gateway as u32;
        let units = f64::from(self.random.u32(1..=8).min(self.random.u32(1..=8)));
        self.request_units.insert(id, units);
        let request = incoming_request(id, 0, 0, self.now_us + SECOND);
        self.events[gateway].push(Event::RequestArrived(IncomingRequest { units, ..request }));
    }

    fn answer_served(&mut self, gateway: usize) {
        let now_us = self.now_us;
        let is_served =
            |attempt: &QueuedAttempt| attempt.gateway == gateway && attempt.served_at_us <= now_us;
        for served in self.queue.iter().filter(|attempt| is_served(attempt)) {
            let outcome = AttemptOutcome::Succeeded;
            self.events[gateway].push(attempt_ended(served.request, "n", outcome, served.latency_us));
        }
        self.queue.retain(|attempt| !is_served(attempt));
    }

    fn send_attempts(&mut self, gateway: usize, capacity: f64) {
        let events = std::mem::take(&mut self.events[gateway]);
        for action in deliver(&mut self.gateways[gateway], self.now_us, &events) {
            if let Action::SendAttempt { request, .. } = action {
                self.queue_attempt(gateway, request.0, capacity);
            }
        }
    }

    fn queue_attempt(&mut self, gateway: usize, request: u32, capacity: f64) {
        let units = self.request_units[&request];
        let rate = self.warm_up.units_per_second * capacity;
        self.idle_at_us = self.idle_at_us.max(self.now_us as f64) + units / rate * 1e6;
        let served_at_us = self.idle_at_us as u64;
        let latency_us = served_at_us - self.now_us;
        self.queue.push(QueuedAttempt { gateway, request, served_at_us, latency_us });
        if capacity < 1.0 && self.is_past_first_windows() {
            self.units_sent_after_first_windows += units;
        }
        if self.started_at_us > 0 && self.known_start_us[gateway] == self.started_at_us {
            self.recently_sent.push_back(SentUnits { at_us: self.now_us, units });
        }
    }

    fn is_past_first_windows(&self) -> bool {
        self.now_us > self.started_at_us + 2 * self.warm_up.policy.window_us
    }

    /// Checks that the gateways that were notified of the latest restart have not sent more units than
    /// allowed.
    fn check_load(&mut self, capacity: f64) {
        let (now_us, window_us) = (self.now_us, self.warm_up.policy.window_us);
        while self.recently_sent.front().is_some_and(|sent| sent.at_us + window_us < now_us) {
            self.recently_sent.pop_front();
        }
        let sent: f64 = self.recently_sent.iter().map(|sent| sent.units).sum();
        if capacity >= 1.0 {
            return;
        }
        let (allowed, gateways) = (self.warm_up.allowed_units(capacity), self.gateways.len());
        assert!(
            sent <= allowed,
            "{gateways} gateways sent {sent} units within the window, {allowed} allowed"
        );
        if self.is_past_first_windows() {
            self.servable_units += self.warm_up.units_per_second * capacity * BATCH_INTERVAL_SECONDS;
        }
    }
}

/// Guards against overloading or idling a node that is warming up, with 3, 45 and 170 gateways. Together they
/// request about twice what the node can serve. They are notified of its restarts at different times, and
/// some of them restart with an older endpoint list. The gateways that were notified must stay within the
/// allowance, and all gateways together must send more than four tenths of the units that the node can serve;
/// with 3 gateways, more than a quarter.
#[test]
fn a_fleet_uses_but_does_not_exceed_the_allowance_of_a_warming_up_node() {
    for gateways in [3usize, 45, 170] {
        let mut simulation = RestartingNode::new(gateways);
        for round in 0u32..1_600 {
            simulation.run_round(round);
        }
        let (sent, servable) = (simulation.units_sent_after_first_windows, simulation.servable_units);
        let min_fraction = if gateways > 3 { 0.4 } else { 0.25 };
        assert!(
            sent > min_fraction * servable,
            "{gateways} gateways sent a warming-up node {sent} units, it could serve {servable}"
        );
    }
}

/// A fleet that is restarted together with its node: the gateways start one second before the node. Each
/// gateway receives requests of a different volume, which stay within the volume's reservation. The node
/// answers each attempt by the next round.
struct FleetRestartedWithNode {
    warm_up: WarmUp,
    gateways: Vec<Scheduler>,
    /// Events for each gateway's next batch.
    events: Vec<Vec<Event>>,
    node_started_at_us: u64,
    /// When each attempt was sent. All attempts are of `REQUEST_UNITS`.
    sent_at_us: Vec<u64>,
    /// Units requested later than two seconds after the node's start.
    requested_units: f64,
}

impl FleetRestartedWithNode {
    /// Size of each request, in units. `incoming_request` sets this size; the constant must match it.
    const REQUEST_UNITS: f64 = 2.0;

    fn new(gateway_count: usize) -> Self {
        let settings = SchedulerSettings { gateway_count, retry_budget: None, ..settings() };
        let policy = settings.slow_start.expect("a slow start policy");
        // The reservations of all volumes amount to six tenths of the rate that the node can serve.
        let units_per_second = gateway_count as f64 * settings.plans[1].reserved_rate / 0.6;
        FleetRestartedWithNode {
            warm_up: WarmUp { policy, units_per_second },
            gateways: schedulers(&settings, 0, SIMULATION_START_US),
            events: vec![vec![cached(vec![node_started_at(0)])]; gateway_count],
            node_started_at_us: SIMULATION_START_US + SECOND,
            sent_at_us: Vec::new(),
            requested_units: 0.0,
        }
    }

    fn run_round(&mut self, round: u32) {
        let now_us = SIMULATION_START_US + u64::from(round) * BATCH_INTERVAL_US;
        let mut answers = Vec::new();
        for gateway in 0..self.gateways.len() {
            if now_us == self.node_started_at_us {
                self.events[gateway].push(delta(vec![node_started_at(now_us)]));
            }
            self.submit_if_due(gateway, round, now_us);
            self.events[gateway].push(Event::TimerFired(0));
            let events = std::mem::take(&mut self.events[gateway]);
            for action in deliver(&mut self.gateways[gateway], now_us, &events) {
                if let Action::SendAttempt { request, .. } = action {
                    answers.push((gateway, request));
                    self.sent_at_us.push(now_us);
                }
            }
        }
        for (gateway, request) in answers {
            let answer = attempt_ended(request.0, "n", AttemptOutcome::Succeeded, BATCH_INTERVAL_US);
            self.events[gateway].push(answer);
        }
        if now_us > self.node_started_at_us {
            self.check_load(now_us);
        }
    }

    /// Submits two requests per second to every gateway.
    fn submit_if_due(&mut self, gateway: usize, round: u32, now_us: u64) {
        if !(round as usize + gateway).is_multiple_of(25) {
            return;
        }
        let id = round * self.gateways.len() as u32 + gateway as u32;
        let request = incoming_request(id, 0, 0, now_us + SECOND);
        let volume = VolumeId(gateway as u64);
        self.events[gateway].push(Event::RequestArrived(IncomingRequest { volume, ..request }));
        if now_us > self.node_started_at_us + 2 * SECOND {
            self.requested_units += Self::REQUEST_UNITS;
        }
    }

    fn check_load(&self, now_us: u64) {
        let started_at_us = self.node_started_at_us;
        let since_us = started_at_us.max(now_us.saturating_sub(self.warm_up.policy.window_us));
        let units = self.units_sent(|at_us| at_us >= since_us);
        let allowed = self.warm_up.allowed_units(self.warm_up.capacity_at(now_us - started_at_us));
        assert!(units <= allowed, "{units} units sent within the window, {allowed} allowed");
    }

    fn units_sent(&self, at: impl Fn(u64) -> bool) -> f64 {
        Self::REQUEST_UNITS * self.sent_at_us.iter().filter(|at_us| at(**at_us)).count() as f64
    }
}

/// Guards against a node that idles after a release has restarted gateways and nodes together. The restarted
/// gateways have not observed the node at its full capacity. The units requested are within the reservations.
/// The gateways must send more than four tenths of them, and together must stay within the allowance.
#[test]
fn restarted_gateways_send_reserved_requests_to_a_warming_up_node() {
    let mut fleet = FleetRestartedWithNode::new(60);
    for round in 0u32..600 {
        fleet.run_round(round);
    }
    let (started_at_us, requested) = (fleet.node_started_at_us, fleet.requested_units);
    let sent = fleet.units_sent(|at_us| at_us > started_at_us + 2 * SECOND);
    assert!(sent > 0.4 * requested, "{sent} units sent, {requested} requested");
}
