//! The scheduler makes every decision of the gateway, as a pure function of its settings, seed and events.
//!
//! A [`Scheduler`] receives batches of [`Event`]s and responds with [`Action`]s. It uses no socket, clock,
//! file or thread. `docs/design.md` gives the reasons for its design.
//!
//! The scheduling model is that of the paper, user disengagement-oriented target enforcement. Each class
//! records its recent latencies. A distribution fitted to them determines the mean latency that the class may
//! have, and from that how long its requests may be queued (`latency_model`). Queued requests of
//! latency-bound classes are sent in order of their queueing deadlines. They share the slots of a node with
//! background work: a probability, alpha, decides which of the two a free slot goes to (`slot_split`,
//! `dispatch`).
//!
//! Comments use two marks:
//!
//! - `Deviation from the paper:` marks a departure from the paper's model, and gives the reason.
//! - `Platform rule (x):` marks code that a rule of the platform requires; `x` names the rule.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `settings`, `event`, `action` | defines the interface of the scheduler |
//! | `admission` | decides whether an incoming request is queued or rejected |
//! | `dispatch` | decides which queued request is sent next, to which node, and with which timeout |
//! | `completion` | handles the end of an attempt: updates statistics, then ends or retries the request |
//! | `request` | tracks the state of a request |
//! | `retry` | enforces idempotency, the retry budget, and the order of requests for one block |
//! | `expiry` | decides which requests expire, and sends final answers |
//! | `endpoints` | applies the endpoint list and schedules its polls |
//! | `node`, `concurrency_window`, `health`, `fair_queue` | tracks the state of a node |
//! | `slow_start` | limits the load of nodes that have just started |
//! | `volume` | tracks a volume's reservation, rate limit and observed rates |
//! | `volume_table` | limits the number of volumes whose state is kept |
//! | `latency_model`, `slot_split` | implements the paper's model |

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
mod volume_table;

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
use rustc_hash::FxBuildHasher;
use slot_split::SlotSplit;
use slow_start::SlowStart;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use volume_table::VolumeTable;

/// The lower bound of both factors of the maximum priority. Keeps the maximum priority above 0, because other
/// priorities are divided by it.
const MIN_PRIORITY: f64 = 1e-9;
/// The token of the scheduler's timer. The scheduler sets only this one.
const EXPIRY_TIMER_TOKEN: u64 = 0;

/// The scheduler of one gateway.
pub struct Scheduler {
    settings: SchedulerSettings,
    rng: fastrand::Rng,
    started_at_us: u64,
    now_us: u64,
    /// The latency models, indexed by class.
    latency_models: Vec<LatencyModel>,
    /// The longest time to expiry with which a request of each class has arrived, at most the deadline of the
    /// class. A request that arrives with less time is assumed to have spent the difference at another
    /// gateway.
    longest_timeouts_us: Vec<u64>,
    /// The class that is treated as background work; all other classes are latency-bound. See
    /// [`background_class()`].
    background_class: ClassIndex,
    /// The shortest latency objective of all classes.
    tightest_objective_us: f64,
    /// The highest priority that a request can have; above 0.
    max_priority: f64,
    slot_split: SlotSplit,
    nodes: Vec<NodeState>,
    slow_start: SlowStart,
    volumes: VolumeTable,
    requests: IndexMap<RequestId, Request, FxBuildHasher>,
    /// The requests queued for each shard. May contain requests that are no longer queued for that shard;
    /// `dispatch` removes them.
    queues: BTreeMap<ShardId, Vec<RequestId>>,
    ordering: OrderingQueues,
    retry_usage: RetryUsage,
    timer_is_set: bool,
    endpoint_polling: EndpointPolling,
}

impl Scheduler {
    /// Creates a scheduler that starts at `now_us` without any nodes, volumes or requests. Equal settings,
    /// seeds and events lead to equal actions.
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
            volumes: VolumeTable::new(settings.max_tracked_volumes),
            requests: IndexMap::default(),
            queues: BTreeMap::new(),
            ordering: OrderingQueues::default(),
            retry_usage: RetryUsage::new(settings.retry_budget),
            timer_is_set: false,
            endpoint_polling: EndpointPolling::new(&settings, now_us),
            settings,
        }
    }

    /// Handles a batch of events and appends the resulting actions. Requests are dispatched only after all
    /// events of the batch have been handled.
    pub fn handle(&mut self, now_us: u64, events: &[Event], actions: &mut Vec<Action>) {
        self.now_us = now_us;
        for event in events {
            self.handle_event(event, actions);
        }
        self.expire_requests(actions);
        self.mark_lost_attempts();
        self.refit_models_and_update_alpha();
        self.dispatch(actions);
        self.poll_endpoints(actions);
        self.set_timer(actions);
    }

    /// Returns the number of volumes, shards and blocks whose state is kept because requests have named them.
    pub fn tracked_names(&self) -> usize {
        let fair_queues: usize = self.nodes.iter().map(|node| node.fair_queue.len()).sum();
        let shards = self.queues.len() + self.slow_start.requested_shards();
        self.volumes.len() + fair_queues + shards + self.ordering.len()
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
            Event::ClientDisconnected(id) => self.handle_client_disconnect(*id, actions),
            Event::TimerFired(_) => self.timer_is_set = false,
            Event::HealthCheckCompleted { .. } | Event::GossipReceived { .. } => {}
        }
    }

    /// Ends a request whose client has disconnected. If nodes honor cancellation, cancels the attempt in
    /// flight to save the node's work.
    fn handle_client_disconnect(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let request = self.requests.get(&id).filter(|request| request.attempt_in_flight().is_some());
        if let Some(request) = request.filter(|_| self.settings.nodes_honor_cancellation) {
            actions.push(Action::CancelAttempt { request: id, attempt_index: request.attempts - 1 });
        }
        self.finish(id);
    }

    /// Sets the timer unless it is already set, as long as there are requests or a poll is scheduled.
    fn set_timer(&mut self, actions: &mut Vec<Action>) {
        let is_needed = !self.requests.is_empty() || self.endpoint_polling.is_scheduled();
        if is_needed && !self.timer_is_set {
            self.timer_is_set = true;
            actions.push(Action::SetTimer { after_us: self.expiry_interval_us(), token: EXPIRY_TIMER_TOKEN });
        }
    }
}

/// Returns the background class: preferably a class without an objective that is shorter than its deadline.
/// Among such classes, or among all classes if there are none, it is the one with the lowest priority weight.
/// Ties go to the class with the longest objective, and last to a class without an objective.
fn background_class(settings: &SchedulerSettings) -> ClassIndex {
    let order = |class: &RequestClass| {
        let objective_us = class.latency_objective_us;
        let is_latency_bound = objective_us.is_some_and(|objective_us| objective_us < class.deadline_us);
        // The bit patterns of non-negative floating-point numbers have the same order as the numbers.
        (is_latency_bound, class.priority_weight.max(0.0).to_bits(), Reverse(objective_us))
    };
    let classes = 0..settings.classes.len();
    ClassIndex(classes.min_by_key(|class| order(&settings.classes[*class])).unwrap_or(0))
}

/// Returns the highest priority that a request can have: the highest priority weight of a class times the
/// highest priority factor of a plan.
fn max_priority(settings: &SchedulerSettings) -> f64 {
    let weights = settings.classes.iter().map(|class| class.priority_weight);
    let factors = settings.plans.iter().map(|plan| plan.priority_factor);
    weights.fold(MIN_PRIORITY, f64::max) * factors.fold(MIN_PRIORITY, f64::max)
}
