//! The scheduler: every decision of the gateway, as a pure function of its settings, its seed and its events.
//!
//! A [`Scheduler`] is fed batches of [`Event`]s and answers with [`Action`]s; it touches no socket, clock,
//! file or thread. `docs/design.md` gives the reasons for what it does.
//!
//! The ordinary path (user disengagement-oriented target enforcement, after the paper): each class keeps
//! recent latencies; a distribution fitted to them gives the mean latency that the class may have, hence how
//! long a request may be queued (`latency_model`). Queued requests of latency-bound classes are sent
//! earliest due first, and share a node's slots with background work by a probability, alpha (`slot_split`,
//! `dispatch`). What departs from that path is marked EXCEPTION; what the platform's rules need is marked
//! RULE.
//!
//! | module | what it decides or keeps |
//! | --- | --- |
//! | `settings`, `event`, `action` | the interface |
//! | `admission` | whether a request that arrives is queued or rejected |
//! | `dispatch` | which queued request is sent next, to which node, with which timeout |
//! | `completion` | what the end of an attempt tells, and what becomes of its request |
//! | `request` | a request and where it stands |
//! | `retry` | idempotency, the retry budget, the order of requests for one block |
//! | `expiry` | what is given up, and its final answer |
//! | `endpoints` | the endpoint list and when it is watched |
//! | `node`, `concurrency_window`, `health`, `fair_queue` | what is known of a node |
//! | `slow_start` | what a node that has just started may be sent |
//! | `volume` | reservation, rate limit and observed rates of a volume |
//! | `latency_model`, `slot_split` | the paper's model |

mod action;
mod admission;
mod completion;
mod concurrency_window;
mod dispatch;
mod endpoints;
mod event;
mod expiry;
mod fair_queue;
mod health;
pub mod latency_model;
mod node;
mod request;
mod retry;
mod settings;
mod slot_split;
mod slow_start;
mod volume;

pub use action::Action;
pub use event::{
    AttemptOutcome, AttemptReport, BlockId, Endpoint, EndpointState, EndpointUpdate, Event, IncomingRequest,
    LoadReport, NodeId, RequestId, ShardId, VolumeId, ZoneId,
};
pub use settings::{
    ClassIndex, DeduplicationScope, Idempotency, PlanIndex, RateLimit, RequestClass, RetryBudget,
    SchedulerSettings, ServicePlan, SlowStartPolicy,
};

use endpoints::EndpointPolling;
use indexmap::IndexMap;
use latency_model::LatencyModel;
use node::NodeState;
use request::Request;
use retry::{OrderingQueues, RetryUsage};
use rustc_hash::{FxBuildHasher, FxHashMap};
use slot_split::SlotSplit;
use slow_start::SlowStart;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use volume::Volume;

/// The smallest priority that others are compared with.
const MIN_PRIORITY: f64 = 1e-9;
/// The token of the only timer that the scheduler sets.
const EXPIRY_TIMER: u64 = 0;

/// The scheduler of one gateway.
pub struct Scheduler {
    settings: SchedulerSettings,
    rng: fastrand::Rng,
    started_at_us: u64,
    now_us: u64,
    /// The latency model of each class.
    latency_models: Vec<LatencyModel>,
    /// Per class, the longest remaining time that a request has arrived with. One that arrives with less is
    /// assumed to have spent the difference at another gateway.
    longest_timeouts_us: Vec<u64>,
    /// The class that yields to the others.
    background_class: ClassIndex,
    /// The tightest objective of all classes.
    tightest_objective_us: f64,
    /// The highest priority that a request can have.
    max_priority: f64,
    slot_split: SlotSplit,
    nodes: Vec<NodeState>,
    slow_start: SlowStart,
    volumes: FxHashMap<VolumeId, Volume>,
    requests: IndexMap<RequestId, Request, FxBuildHasher>,
    /// The requests queued for each shard; may name some that are no longer queued there.
    queues: BTreeMap<ShardId, Vec<RequestId>>,
    ordering: OrderingQueues,
    retry_usage: RetryUsage,
    timer_is_set: bool,
    endpoint_polling: EndpointPolling,
}

impl Scheduler {
    /// A scheduler that starts now and knows nothing but its settings. Equal seeds and events lead to equal
    /// actions.
    pub fn new(settings: SchedulerSettings, seed: u64, now_us: u64) -> Self {
        let class_count = settings.classes.len();
        let objectives = settings.classes.iter().filter_map(|class| class.latency_objective_us);
        Scheduler {
            rng: fastrand::Rng::with_seed(seed),
            started_at_us: now_us,
            now_us,
            latency_models: (0..class_count).map(|_| LatencyModel::default()).collect(),
            longest_timeouts_us: vec![0; class_count],
            background_class: background_class(&settings),
            tightest_objective_us: objectives.min().unwrap_or(u64::MAX / 2) as f64,
            max_priority: max_priority(&settings),
            slot_split: SlotSplit::new(),
            nodes: Vec::new(),
            slow_start: SlowStart::new(&settings, now_us),
            volumes: FxHashMap::default(),
            requests: IndexMap::default(),
            queues: BTreeMap::new(),
            ordering: OrderingQueues::default(),
            retry_usage: RetryUsage::new(settings.retry_budget),
            timer_is_set: false,
            endpoint_polling: EndpointPolling::new(&settings, now_us),
            settings,
        }
    }

    /// Handles a batch of events and appends what is decided. What is sent is decided after the whole batch
    /// is seen.
    pub fn handle(&mut self, now_us: u64, events: &[Event], actions: &mut Vec<Action>) {
        self.now_us = now_us;
        for event in events {
            self.handle_event(event, actions);
        }
        self.expire_requests(actions);
        self.mark_lost_attempts();
        self.retune();
        self.dispatch(actions);
        self.poll_endpoints(actions);
        self.set_timer(actions);
    }

    fn handle_event(&mut self, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointsUpdated(update) => self.update_endpoints(update),
            Event::RequestArrived(request) => self.admit(request, actions),
            Event::ResponseStarted(id) => {
                if let Some(request) = self.requests.get_mut(id) {
                    request.response_started = true;
                }
            }
            Event::AttemptEnded(report) => self.end_attempt(report, actions),
            Event::ClientDisconnected(id) => self.abandon(*id, actions),
            Event::TimerFired(_) => self.timer_is_set = false,
            Event::HealthCheckCompleted { .. } | Event::GossipReceived { .. } => {}
        }
    }

    /// Ends a request whose client has disconnected. Its attempt is cancelled if nodes honour that, to save
    /// the work.
    fn abandon(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let request = self.requests.get(&id).filter(|request| request.attempt_in_flight().is_some());
        if let Some(request) = request.filter(|_| self.settings.cancellation) {
            actions.push(Action::CancelAttempt { request: id, attempt: request.attempts - 1 });
        }
        self.finish(id);
    }

    /// Keeps a timer set while requests are known or a poll is scheduled.
    fn set_timer(&mut self, actions: &mut Vec<Action>) {
        let is_needed = !self.requests.is_empty() || self.endpoint_polling.is_scheduled();
        if is_needed && !self.timer_is_set {
            self.timer_is_set = true;
            actions.push(Action::SetTimer { after_us: self.expiry_interval_us(), token: EXPIRY_TIMER });
        }
    }
}

/// The background class. Prefers a class with no objective before its deadline; among equals, the lowest
/// weight, then the longest objective, then one without any.
fn background_class(settings: &SchedulerSettings) -> ClassIndex {
    let order = |class: &RequestClass| {
        let objective_us = class.latency_objective_us;
        let is_latency_bound = objective_us.is_some_and(|objective_us| objective_us < class.deadline_us);
        // `to_bits` orders floating-point numbers that are not negative.
        (is_latency_bound, class.priority_weight.max(0.0).to_bits(), Reverse(objective_us))
    };
    let classes = 0..settings.classes.len();
    ClassIndex(classes.min_by_key(|class| order(&settings.classes[*class])).unwrap_or(0))
}

/// The highest priority that a request can have.
fn max_priority(settings: &SchedulerSettings) -> f64 {
    let weights = settings.classes.iter().map(|class| class.priority_weight);
    let factors = settings.plans.iter().map(|plan| plan.priority_factor);
    weights.fold(MIN_PRIORITY, f64::max) * factors.fold(MIN_PRIORITY, f64::max)
}
