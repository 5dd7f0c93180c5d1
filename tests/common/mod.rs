//! A hand-driven world: it delivers events to schedulers and checks every action against the rules.
#![allow(dead_code)]

use std::collections::BTreeMap;
use storage_gateway::scheduler::*;

pub const TICK: u64 = 2_000;
pub const SECOND: u64 = 1_000_000;

pub fn class(
    latency_objective_us: u64,
    deadline_us: u64,
    priority_weight: f64,
    idempotency: Idempotency,
) -> RequestClass {
    RequestClass {
        latency_objective_us: Some(latency_objective_us),
        deadline_us,
        priority_weight,
        late_weight_factor: 0.1,
        idempotency,
        ordered_by_key: false,
        objective_stretch: 0.0,
    }
}

/// Three classes (idempotent, with an idempotency key recognized by a shard's nodes, non-idempotent and
/// ordered), two plans (limited and reserved), all rules.
pub fn settings() -> SchedulerSettings {
    let plan = |reserved_rate, weight, rate_limit| ServicePlan {
        provisioned_rate: 6.0,
        reserved_rate,
        weight,
        priority_factor: 1.0,
        rate_limit,
    };
    let limit = RateLimit { rate: 36.0, burst: 54.0, overdraft: 8.0 };
    let with_key = Idempotency::WithKey { scope: DeduplicationScope::Shard, window_us: SECOND };
    SchedulerSettings {
        classes: vec![
            class(200_000, SECOND, 2.0, Idempotency::Idempotent),
            class(300_000, 2 * SECOND, 2.0, with_key),
            RequestClass {
                ordered_by_key: true,
                ..class(800_000, 2_500_000, 1.0, Idempotency::NonIdempotent)
            },
        ],
        plans: vec![plan(0.0, 1.0, Some(limit)), plan(6.0, 3.0, None)],
        gateway_index: 0,
        gateway_count: 3,
        batch_interval_us: TICK,
        max_attempts: Some(3),
        cancellation: true,
        connect_timeout_us: 250_000,
        max_retry_after_us: Some(2 * SECOND),
        answer_grace_us: 8_000,
        endpoints_on_request: false,
        max_poll_interval_us: 10 * SECOND,
        drain_grace_us: 0,
        slow_start: Some(SlowStartPolicy {
            guaranteed_units: 18.0,
            window_us: 2 * SECOND,
            initial_capacity: 0.2,
            warm_up_us: 14 * SECOND,
            overload_factor: 2.5,
        }),
        retry_budget: Some(RetryBudget { burst: 3.0, ratio: 0.1, window_us: 5 * SECOND }),
        ordering_gap_us: 100_000,
        mean_request_units: 2.0,
        max_request_units: 8.0,
        fair_share_weight_factor: 0.3,
        metering_period_us: None,
        reports_other_gateways: false,
    }
}

/// An endpoint in zone 0 or 1; it started at the given time, or long ago if that is 0.
pub fn endpoint(name: &str, shard: u32, state: EndpointState, started_at_us: u64) -> Endpoint {
    Endpoint {
        node: name.into(),
        zone: ZoneId(shard % 2),
        shard: ShardId(shard),
        state,
        started_at_us: (started_at_us > 0).then_some(started_at_us),
    }
}

pub fn snapshot(endpoints: Vec<Endpoint>) -> Event {
    Event::EndpointsUpdated(EndpointUpdate::Snapshot(endpoints))
}

pub fn delta(endpoints: Vec<Endpoint>) -> Event {
    Event::EndpointsUpdated(EndpointUpdate::Delta(endpoints))
}

pub fn cached(endpoints: Vec<Endpoint>) -> Event {
    Event::EndpointsUpdated(EndpointUpdate::Cached(endpoints))
}

pub fn poll_failed() -> Event {
    Event::EndpointsUpdated(EndpointUpdate::PollFailed)
}

/// A request for a block and of a volume of its own.
pub fn incoming_request(id: u32, class: usize, shard: u32, expires_at_us: u64) -> IncomingRequest {
    IncomingRequest {
        id: RequestId(id),
        class,
        plan: 1,
        volume: VolumeId(u64::from(id)),
        volume_gateways: 1.0,
        block: Some(BlockId(u64::from(id))),
        shard: Some(ShardId(shard)),
        units: 2.0,
        expires_at_us,
    }
}

pub fn attempt_report(request: u32, node: &str, outcome: AttemptOutcome, latency_us: u64) -> AttemptReport {
    AttemptReport {
        request: RequestId(request),
        outcome,
        latency_us,
        complete: outcome == AttemptOutcome::Succeeded,
        node: node.into(),
        volume_rate_percent: None,
        units_via_other_gateways: 0.0,
        load: LoadReport::default(),
    }
}

#[derive(Clone, Debug)]
pub struct Attempt {
    pub node: NodeId,
    pub at: u64,
    pub shard: ShardId,
    /// Not known to be proven never to have run.
    pub may_have_run: bool,
    pub out: bool,
}

#[derive(Clone, Debug)]
pub struct Taken {
    pub gateway: usize,
    pub arrival: IncomingRequest,
    pub taken: u64,
    pub finished: bool,
    pub attempts: Vec<Attempt>,
}

/// Which kind of update a list of endpoints makes.
pub type UpdateKind = fn(Vec<Endpoint>) -> EndpointUpdate;

/// Several gateways before the same nodes.
pub struct World {
    pub set: SchedulerSettings,
    pub now: u64,
    pub gateways: Vec<Scheduler>,
    pub requests: BTreeMap<u32, Taken>,
    pub sends: Vec<(u64, u32, NodeId)>,
    /// The time-out that each attempt was given.
    pub timeouts: Vec<(u32, Option<u64>)>,
    pub refused: Vec<u32>,
    pub failed: Vec<u32>,
    pub watches: Vec<u64>,
    timers: Vec<(u64, usize, u64)>,
    waiting: Vec<Vec<Event>>,
    started: Vec<u64>,
    /// What each gateway was told of each node: stop time (draining or gone).
    told: BTreeMap<(usize, NodeId), u64>,
    shards: BTreeMap<NodeId, ShardId>,
    births: BTreeMap<NodeId, Option<u64>>,
    node_units: Vec<(u64, NodeId, f64)>,
    further: Vec<(u64, usize)>,
    limits: BTreeMap<VolumeId, (f64, u64)>,
    gaps: BTreeMap<(usize, BlockId), u64>,
    pub drain_grace: u64,
}

impl World {
    pub fn new(set: SchedulerSettings) -> Self {
        let now = 1_000 * SECOND;
        let gateways: Vec<_> = (0..set.gateway_count)
            .map(|gateway| {
                Scheduler::new(
                    SchedulerSettings { gateway_index: gateway, ..set.clone() },
                    gateway as u64 + 7,
                    now,
                )
            })
            .collect();
        World {
            now,
            waiting: vec![Vec::new(); gateways.len()],
            started: vec![now; gateways.len()],
            gateways,
            set,
            requests: BTreeMap::new(),
            sends: Vec::new(),
            timeouts: Vec::new(),
            refused: Vec::new(),
            failed: Vec::new(),
            watches: Vec::new(),
            timers: Vec::new(),
            told: BTreeMap::new(),
            shards: BTreeMap::new(),
            births: BTreeMap::new(),
            node_units: Vec::new(),
            further: Vec::new(),
            limits: BTreeMap::new(),
            gaps: BTreeMap::new(),
            drain_grace: 0,
        }
    }

    /// Queues an event for the gateway's next batch.
    pub fn hear(&mut self, gateway: usize, event: Event) {
        self.waiting[gateway].push(event);
    }

    pub fn list(&mut self, gateway: usize, update: UpdateKind, entries: &[Endpoint]) {
        let update = update(entries.to_vec());
        if matches!(update, EndpointUpdate::Snapshot(_) | EndpointUpdate::Cached(_)) {
            let names: Vec<_> = self.shards.keys().cloned().collect();
            for n in names.iter().filter(|n| !entries.iter().any(|e| e.node == **n)) {
                self.told.entry((gateway, n.clone())).or_insert(self.now);
            }
        }
        for e in entries {
            self.shards.insert(e.node.clone(), e.shard);
            self.births.insert(e.node.clone(), e.started_at_us);
            if e.state == EndpointState::Ready {
                self.told.remove(&(gateway, e.node.clone()));
            } else {
                self.told.entry((gateway, e.node.clone())).or_insert(self.now);
            }
        }
        self.hear(gateway, Event::EndpointsUpdated(update));
    }

    pub fn list_all(&mut self, update: UpdateKind, entries: &[Endpoint]) {
        for gateway in 0..self.gateways.len() {
            self.list(gateway, update, entries);
        }
    }

    /// Every gateway's poll of the endpoint list fails.
    pub fn fail_polls(&mut self) {
        for gateway in 0..self.gateways.len() {
            self.hear(gateway, Event::EndpointsUpdated(EndpointUpdate::PollFailed));
        }
    }

    pub fn arrive(&mut self, gateway: usize, a: IncomingRequest) {
        let taken = Taken { gateway, arrival: a.clone(), taken: self.now, finished: false, attempts: vec![] };
        assert!(self.requests.insert(a.id.0, taken).is_none());
        self.hear(gateway, Event::RequestArrived(a));
    }

    pub fn outstanding(&self) -> Vec<(u32, NodeId, u64)> {
        let out = |(id, t): (&u32, &Taken)| {
            t.attempts.last().filter(|a| a.out).map(|a| (*id, a.node.clone(), a.at))
        };
        self.requests.iter().filter_map(out).collect()
    }

    /// Ends the attempt that is out.
    pub fn end(&mut self, id: u32, ending: AttemptOutcome) {
        let now = self.now;
        let gap = self.set.ordering_gap_us;
        let t = self.requests.get_mut(&id).expect("a request");
        let attempt = t.attempts.last_mut().expect("an attempt");
        assert!(attempt.out);
        attempt.out = false;
        attempt.may_have_run = !matches!(
            ending,
            AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent
        );
        let ordered = self.set.classes[t.arrival.class].ordered_by_key;
        if ordered
            && matches!(
                ending,
                AttemptOutcome::TimedOut | AttemptOutcome::ConnectionReset | AttemptOutcome::Cancelled
            )
            && let Some(key) = t.arrival.block
        {
            self.gaps.insert((t.gateway, key), now + gap);
        }
        t.finished |= ending == AttemptOutcome::Succeeded;
        let mut o = attempt_report(id, &attempt.node, ending, now - attempt.at);
        o.complete = t.finished;
        let gateway = t.gateway;
        self.hear(gateway, Event::AttemptEnded(o));
    }

    /// Kills a gateway: what it held is gone; it starts anew with the list given.
    pub fn restart(&mut self, gateway: usize, cached: &[Endpoint]) {
        self.gateways[gateway] = Scheduler::new(
            SchedulerSettings { gateway_index: gateway, ..self.set.clone() },
            self.now,
            self.now,
        );
        self.started[gateway] = self.now;
        self.waiting[gateway].clear();
        self.timers.retain(|t| t.1 != gateway);
        self.requests.retain(|_, t| t.gateway != gateway);
        self.further.retain(|f| f.1 != gateway);
        self.told.retain(|k, _| k.0 != gateway);
        self.gaps.retain(|k, _| k.0 != gateway);
        self.list(gateway, EndpointUpdate::Cached, cached);
    }

    /// Moves on by one tick, delivers what is due and checks the actions.
    pub fn step(&mut self) {
        for (id, _, _) in self.outstanding() {
            if self.requests[&id].arrival.expires_at_us <= self.now {
                self.end(id, AttemptOutcome::TimedOut);
            }
        }
        for gateway in 0..self.gateways.len() {
            let now = self.now;
            let mut events = std::mem::take(&mut self.waiting[gateway]);
            let due = self.timers.iter().filter(|t| t.1 == gateway && t.0 <= now);
            events.extend(due.map(|t| Event::TimerFired(t.2)));
            self.timers.retain(|t| t.1 != gateway || t.0 > now);
            if events.is_empty() {
                continue;
            }
            let mut actions = Vec::new();
            self.gateways[gateway].handle(now, &events, &mut actions);
            for action in actions {
                self.check(gateway, action);
            }
        }
        let grace = self.set.answer_grace_us;
        for (id, t) in &self.requests {
            assert!(
                t.finished || self.now <= t.arrival.expires_at_us + grace,
                "request {id} was not answered"
            );
        }
        self.now += TICK;
    }

    pub fn run(&mut self, time: u64) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// As `run`, with every attempt answered after the given time.
    pub fn serve(&mut self, time: u64, latency: u64) {
        let end = self.now + time;
        while self.now < end {
            for (id, _, at) in self.outstanding() {
                if at + latency <= self.now {
                    self.end(id, AttemptOutcome::Succeeded);
                }
            }
            self.step();
        }
    }

    fn class_of(&self, id: u32) -> RequestClass {
        self.set.classes[self.requests[&id].arrival.class].clone()
    }

    fn check(&mut self, gateway: usize, action: Action) {
        match action {
            Action::SendAttempt { request, node, timeout_us } => {
                self.timeouts.push((request.0, timeout_us));
                self.check_send(gateway, request.0, node);
            }
            Action::Reject { request: RequestId(request), .. } => {
                let idempotency = self.class_of(request).idempotency;
                let t = self.requests.get_mut(&request).expect("a request held");
                assert!(!t.finished, "second answer for {request}");
                let harmless = t.attempts.iter().all(|a| !a.may_have_run);
                assert!(
                    harmless
                        || matches!(
                            idempotency,
                            Idempotency::Idempotent
                                | Idempotency::WithKey { scope: DeduplicationScope::AllNodes, .. }
                        ),
                    "refused {request}, which may have run"
                );
                t.finished = true;
                self.refused.push(request);
            }
            Action::Fail { request: RequestId(request) } => {
                let t = self.requests.get_mut(&request).expect("a request held");
                assert!(!t.finished, "second answer for {request}");
                t.finished = true;
                self.failed.push(request);
            }
            Action::SetTimer { after_us: after, token } => {
                assert!(after > 0);
                self.timers.push((self.now + after, gateway, token));
            }
            Action::WatchEndpoints => self.watches.push(self.now),
            Action::CancelAttempt { .. } => {}
        }
    }

    fn check_send(&mut self, gateway: usize, id: u32, node: NodeId) {
        let (now, set, class) = (self.now, self.set.clone(), self.class_of(id));
        let shard = self.shards[&node];
        let t = &self.requests[&id];
        let units = t.arrival.units;
        assert!(!t.finished, "{id} was finished");
        assert_eq!(t.gateway, gateway);
        assert!(t.arrival.shard.is_none_or(|s| s == shard), "{id} sent to another shard");
        assert!(t.attempts.iter().all(|a| !a.out), "two attempts of {id} out");
        for a in t.attempts.iter().filter(|a| a.may_have_run) {
            match class.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => panic!("{id} may have run and must not again"),
                Idempotency::WithKey { scope, window_us } => {
                    assert!(now <= a.at + window_us, "{id} repeated too late");
                    assert!(
                        scope == DeduplicationScope::AllNodes || a.shard == shard,
                        "{id} repeated elsewhere"
                    );
                }
            }
        }
        if let Some(at) = self.told.get(&(gateway, node.clone())) {
            assert!(now <= at + self.drain_grace, "sent to a node that drains or is gone");
        }
        if class.ordered_by_key
            && let Some(key) = t.arrival.block
        {
            for (other, o) in self.requests.range(..id) {
                let same = o.gateway == gateway && o.arrival.block == Some(key);
                let open = !o.finished || o.attempts.last().is_some_and(|a| a.out);
                let ordered = set.classes[o.arrival.class].ordered_by_key;
                assert!(!(same && open && ordered), "{id} sent before {other}, which had its turn");
            }
            if t.attempts.is_empty() {
                let ready = self.gaps.get(&(gateway, key)).copied().unwrap_or(0);
                assert!(now >= ready, "{id} sent within the gap of its key");
            }
        }
        if let (false, Some(budget)) = (t.attempts.is_empty(), set.retry_budget) {
            self.further.push((now, gateway));
            let made = self.further.iter().filter(|f| f.1 == gateway && f.0 + budget.window_us >= now).count()
                as f64;
            let taken =
                self.requests.values().filter(|t| t.gateway == gateway && t.taken + budget.window_us > now);
            let allowed = budget.burst + budget.ratio * taken.count() as f64;
            assert!(made <= allowed + 1e-9, "{made} further attempts, {allowed} allowed");
        }
        let plan = &set.plans[t.arrival.plan];
        if let Some(limit) = plan.rate_limit.filter(|_| t.attempts.is_empty()) {
            let begun = 1_000 * SECOND;
            let store = self.limits.entry(t.arrival.volume).or_insert((limit.burst, begun));
            let filled = store.0 + limit.rate * (now - store.1) as f64 / 1e6;
            *store = (filled.min(limit.burst) - units, now);
            assert!(store.0 >= -limit.overdraft - 1e-6, "a volume went beyond its limit: {}", store.0);
        }
        self.node_units.push((now, node.clone(), units));
        let born = self.births[&node];
        let warming_up = set.slow_start.zip(born).filter(|(policy, born)| now < born + policy.warm_up_us);
        if let Some((cold, born)) = warming_up {
            let age = (now.saturating_sub(born)) as f64 / cold.warm_up_us as f64;
            let bears = cold.guaranteed_units * (cold.initial_capacity + (1.0 - cold.initial_capacity) * age)
                / cold.initial_capacity;
            let since = born.max(now.saturating_sub(cold.window_us));
            let sent: f64 = self.node_units.iter().filter(|s| s.1 == node && s.0 >= since).map(|s| s.2).sum();
            assert!(sent <= bears + 1e-6, "cold node sent {sent} of {bears}");
        }
        let attempt = Attempt { node: node.clone(), at: now, shard, may_have_run: true, out: true };
        self.requests.get_mut(&id).expect("held").attempts.push(attempt);
        self.sends.push((now, id, node));
    }
}
