//! What the gateways of a fleet together send a node that has just started.

mod common;
use common::*;
use std::collections::{BTreeMap, VecDeque};
use storage_gateway::scheduler::*;

/// The time between two batches of a gateway, in microseconds.
const ROUND_US: u64 = 20_000;
/// The same in seconds.
const ROUND_SECONDS: f64 = 0.02;

/// How a node's capacity grows after its start.
#[derive(Clone, Copy)]
struct WarmUp {
    policy: SlowStartPolicy,
    /// What the node serves in a second once it has warmed up.
    units_per_second: f64,
}

impl WarmUp {
    /// The fraction of its capacity that the node has at this age.
    fn capacity_at(&self, age_us: u64) -> f64 {
        match age_us as f64 / self.policy.warm_up_us as f64 {
            age if age < 1.0 => self.policy.initial_capacity + (1.0 - self.policy.initial_capacity) * age,
            _ => 1.0,
        }
    }

    /// The units that the node may be sent within the window of the policy.
    fn allowed_units(&self, capacity: f64) -> f64 {
        self.policy.overload_factor * self.units_per_second * capacity * self.policy.window_us as f64 / 1e6
    }
}

/// The node, ready, as started at this time; long ago if that is 0.
fn node_started_at(started_at_us: u64) -> Endpoint {
    endpoint("n", 0, EndpointState::Ready, started_at_us)
}

/// An attempt that the node will have served at some time.
#[derive(Clone, Copy)]
struct QueuedAttempt {
    gateway: usize,
    request: u32,
    served_at_us: u64,
    latency_us: u64,
}

/// Units sent at some time by a gateway that knew of the node's start.
#[derive(Clone, Copy)]
struct SentUnits {
    at_us: u64,
    units: f64,
}

/// A node that restarts twice, in front of it gateways that are notified of it seconds apart and that are
/// killed now and then. All of them together request twice what the node can serve.
struct RestartingNode {
    settings: SchedulerSettings,
    warm_up: WarmUp,
    random: fastrand::Rng,
    now_us: u64,
    gateways: Vec<Scheduler>,
    /// Events for each gateway's next batch.
    events: Vec<Vec<Event>>,
    /// When the node last started, as far as each gateway knows.
    known_start_us: Vec<u64>,
    /// When each gateway is notified of the node's last restart.
    notified_at_us: Vec<u64>,
    /// When the node last started; 0 before its first restart.
    started_at_us: u64,
    /// When the node will have served its queue.
    idle_at_us: f64,
    queue: Vec<QueuedAttempt>,
    request_units: BTreeMap<u32, f64>,
    /// What was sent within the window of the policy.
    recently_sent: VecDeque<SentUnits>,
    /// Units served while warming up, past the first two windows.
    served_units: f64,
    /// Units that the node could have served in that time.
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
            served_units: 0.0,
            servable_units: 0.0,
            settings,
        }
    }

    fn run_round(&mut self, round: u32) {
        self.now_us += ROUND_US;
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

    /// A killed gateway comes back with the list that it had, or with an older one.
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
            self.served_units += units;
        }
        if self.started_at_us > 0 && self.known_start_us[gateway] == self.started_at_us {
            self.recently_sent.push_back(SentUnits { at_us: self.now_us, units });
        }
    }

    fn is_past_first_windows(&self) -> bool {
        self.now_us > self.started_at_us + 2 * self.warm_up.policy.window_us
    }

    /// Gateways that know of the restart have sent no more than the node may be sent.
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
        assert!(sent <= allowed, "{gateways} gateways sent {sent} of {allowed} within the window");
        if self.is_past_first_windows() {
            self.servable_units += self.warm_up.units_per_second * capacity * ROUND_SECONDS;
        }
    }
}

/// A node restarts twice; gateways are notified of it seconds apart, some restart with an older list. What
/// those that were notified send within the window stays within the node's allowance, though all of them
/// request twice what it can serve, whatever the number of gateways. They also use a good part of it.
#[test]
fn a_fleet_uses_the_allowance_of_a_warming_up_node_and_stays_within_it() {
    for gateways in [3usize, 45, 170] {
        let mut simulation = RestartingNode::new(gateways);
        for round in 0u32..1_600 {
            simulation.run_round(round);
        }
        let (served, servable) = (simulation.served_units, simulation.servable_units);
        let min_fraction = if gateways > 3 { 0.4 } else { 0.25 };
        assert!(
            served > min_fraction * servable,
            "{gateways} gateways sent a warming-up node {served} units of {servable}"
        );
    }
}

/// Gateways that restarted together with their node; each serves a volume of its own within the volume's
/// reservation. The node answers everything within one round.
struct RestartedFleet {
    warm_up: WarmUp,
    gateways: Vec<Scheduler>,
    /// Events for each gateway's next batch.
    events: Vec<Vec<Event>>,
    node_started_at_us: u64,
    /// When each attempt was sent, of two units each.
    sent_at_us: Vec<u64>,
    /// Units requested once the first two seconds after the node's start are over.
    requested_units: f64,
}

impl RestartedFleet {
    /// The units of each request.
    const REQUEST_UNITS: f64 = 2.0;

    fn new(gateway_count: usize) -> Self {
        let settings = SchedulerSettings { gateway_count, retry_budget: None, ..settings() };
        let policy = settings.slow_start.expect("a slow start policy");
        // The reservations are six tenths of what the node can serve.
        let units_per_second = gateway_count as f64 * settings.plans[1].reserved_rate / 0.6;
        RestartedFleet {
            warm_up: WarmUp { policy, units_per_second },
            gateways: schedulers(&settings, 0, SIMULATION_START_US),
            events: vec![vec![cached(vec![node_started_at(0)])]; gateway_count],
            node_started_at_us: SIMULATION_START_US + SECOND,
            sent_at_us: Vec::new(),
            requested_units: 0.0,
        }
    }

    fn run_round(&mut self, round: u32) {
        let now_us = SIMULATION_START_US + u64::from(round) * ROUND_US;
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
            let answer = attempt_ended(request.0, "n", AttemptOutcome::Succeeded, ROUND_US);
            self.events[gateway].push(answer);
        }
        if now_us > self.node_started_at_us {
            self.check_load(now_us);
        }
    }

    /// Every gateway gets two requests a second.
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
        assert!(units <= allowed, "{units} units of {allowed} within the window");
    }

    fn units_sent(&self, at: impl Fn(u64) -> bool) -> f64 {
        Self::REQUEST_UNITS * self.sent_at_us.iter().filter(|at_us| at(**at_us)).count() as f64
    }
}

/// A release stops gateways and nodes together: the gateways that come back have never seen the node at its
/// full capacity. They send it a good part of what is requested within the reservations, and all of them
/// together stay within its allowance.
#[test]
fn restarted_gateways_serve_reservations_at_a_warming_up_node() {
    let mut fleet = RestartedFleet::new(60);
    for round in 0u32..600 {
        fleet.run_round(round);
    }
    let (started_at_us, requested) = (fleet.node_started_at_us, fleet.requested_units);
    let served = fleet.units_sent(|at_us| at_us > started_at_us + 2 * SECOND);
    assert!(served > 0.4 * requested, "{served} units sent of {requested}");
}
