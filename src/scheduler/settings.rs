//! The settings of a scheduler: request classes, service plans, and the rules of the deployment.
//!
//! Every field is derived from the platform's settings, or from the operator's file and the constants of the
//! object gateway. A rule or feature that none of these sources states is disabled. Fields that end in `_us`
//! are microseconds.

/// The index of a request class in [`SchedulerSettings::classes`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassIndex(pub usize);

/// The index of a service plan in [`SchedulerSettings::plans`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlanIndex(pub usize);

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may be executed any number of times.
    Idempotent,
    /// The request has an idempotency key: nodes within the scope discard repetitions of the request that
    /// arrive within the deduplication window.
    WithKey {
        /// Which nodes recognize the key: all nodes, or those in the same zone or shard as the node that may
        /// have executed the request.
        scope: DeduplicationScope,
        /// The deduplication window: how long the nodes recognize the key, in microseconds. The scheduler
        /// counts the window from the sending of the first attempt that may have executed the request.
        deduplication_window_us: u64,
    },
    /// The request must never be executed twice.
    NonIdempotent,
}

/// The nodes that recognize the idempotency key of an earlier attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All nodes recognize the key, whichever node the earlier attempt was sent to.
    AllNodes,
    /// Only nodes in the same zone as the earlier attempt's node recognize the key.
    Zone,
    /// Only nodes that hold the same shard as the earlier attempt's node recognize the key.
    Shard,
}

/// A class of requests that share a latency objective, a priority, and rules for retries and ordering.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// The time within which an answer earns the full priority weight; `None` if the class has no objective.
    pub latency_objective_us: Option<u64>,
    /// The total time that a client waits for an answer, at all gateways together.
    pub deadline_us: u64,
    /// The weight of a served request, relative to other classes.
    pub priority_weight: f64,
    /// The fraction of the priority weight that an answer past the objective earns. If it is 0, queued
    /// requests are rejected or failed once they are past their objective.
    pub late_weight_factor: f64,
    /// Whether requests of the class may be executed more than once.
    pub idempotency: Idempotency,
    /// Whether requests for the same block are executed one at a time, in order of arrival.
    pub ordered_by_block: bool,
    /// The multiple of the request's service time by which the objective is extended. The service time is
    /// computed as the request's units times the service time per unit of the first node in the scheduler's
    /// list.
    pub objective_stretch: f64,
}

/// A token bucket that limits the rate of a volume. Each gateway enforces an even share of the limit.
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    /// The fill rate of the bucket, in units per second.
    pub rate: f64,
    /// The capacity of the bucket, in units.
    pub burst: f64,
    /// How far below zero the level of the bucket may fall, in units.
    pub overdraft: f64,
}

/// The service plan of a volume. All rates are units per second for one volume, over all gateways and nodes.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// The provisioned rate. Nodes report the volume's metered rate as a percentage of the provisioned rate.
    /// To divide the reservation among the gateways, a fixed fraction of the provisioned rate is assumed as
    /// additional traffic. This traffic is divided evenly among the volume's gateways and added to the
    /// observed rates, so that a gateway without observed requests still gets a share.
    pub provisioned_rate: f64,
    /// The rate up to which the volume's requests earn their full priority weight.
    pub reserved_rate: f64,
    /// The volume's weight in the fair queue, which divides slots among the volumes. The fair queue orders
    /// reserved background requests as well as requests beyond the reservations.
    pub weight: f64,
    /// The factor by which the priority weight of the volume's requests is multiplied.
    pub priority_factor: f64,
    /// The rate limit of the volume; `None` if the plan has no limit.
    pub rate_limit: Option<RateLimit>,
}

/// How much work a node that has just started may be sent.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartPolicy {
    /// The total units from all gateways that a newly started node is guaranteed to sustain in any slow-start
    /// window.
    pub guaranteed_units: f64,
    /// The slow-start window, over which a node's load is summed.
    pub window_us: u64,
    /// The minimum capacity with which a node starts, as a fraction of its full capacity.
    pub initial_capacity: f64,
    /// The time after which a node has its full capacity; 0 if nodes have it from the start.
    pub warm_up_us: u64,
    /// The load, averaged over the slow-start window, above which a node is overloaded, as a multiple of its
    /// current capacity.
    pub overload_factor: f64,
}

/// The retry budget: how many attempts may be sent in addition to the first attempt of each request.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// The number of retries allowed in the retry window regardless of the traffic.
    pub burst: f64,
    /// The number of further retries allowed for each request received in the retry window.
    pub ratio: f64,
    /// The retry window, over which requests and retries are counted.
    pub window_us: u64,
}

/// The settings of a [`Scheduler`](super::Scheduler), which are fixed when it is created.
#[derive(Clone, Debug, Default)]
pub struct SchedulerSettings {
    /// The request classes; [`ClassIndex`] is the position in this list.
    pub classes: Vec<RequestClass>,
    /// The service plans; [`PlanIndex`] is the position in this list.
    pub plans: Vec<ServicePlan>,
    /// The index of this gateway among all gateways, from 0.
    pub gateway_index: usize,
    /// The number of gateways in the fleet.
    pub gateway_count: usize,
    /// The minimum time between two batches of events.
    pub batch_interval_us: u64,
    /// The maximum number of attempts for one request; `None` if there is no limit.
    pub max_attempts: Option<u32>,
    /// The time after which an attempt to connect to a node has failed.
    pub connect_timeout_us: u64,
    /// Whether nodes honor the cancellation of attempts.
    pub nodes_honor_cancellation: bool,
    /// The longest `Retry-After` that a rejected client honors; `None` if clients ignore the header, which is
    /// then not sent.
    pub max_retry_after_us: Option<u64>,
    /// How long after the client's deadline a final answer is still accepted.
    pub answer_grace_us: u64,
    /// Whether the gateway has to request the endpoint list; if not, the list is pushed to it.
    pub endpoints_on_request: bool,
    /// The maximum time between two polls of the endpoint list, if the gateway has to request it.
    pub max_poll_interval_us: u64,
    /// How long a node may still be sent work after it was announced as draining.
    pub drain_grace_us: u64,
    /// The limits for nodes that have just started; `None` if there are no such limits.
    pub slow_start: Option<SlowStartPolicy>,
    /// The retry budget; `None` if the number of retries is not limited.
    pub retry_budget: Option<RetryBudget>,
    /// How long the next request for an ordered block is delayed after an attempt that may still be
    /// executing.
    pub ordering_gap_us: u64,
    /// The mean size of a request in units. Expected waits and the minimum capacity of slow-start buckets are
    /// computed for requests of this size.
    pub mean_request_units: f64,
    /// The largest size of a request in units.
    pub max_request_units: f64,
    /// The factor on the priority weight of requests beyond their volume's reservation. The platform defines
    /// this factor for units beyond the reservation but within the volume's fair share. The scheduler
    /// simplifies: it applies the factor to every request beyond the reservation.
    pub unreserved_weight_factor: f64,
    /// The period over which nodes meter the total rate of a volume; `None` if they do not report it.
    pub metering_period_us: Option<u64>,
    /// Whether nodes report how many units they served for a volume through other gateways.
    pub nodes_report_other_gateways: bool,
    /// The maximum number of volumes whose state is kept; `None` for the scheduler's own limit.
    pub max_tracked_volumes: Option<usize>,
}

impl SchedulerSettings {
    /// Returns whether the settings contain this class and this plan.
    pub(super) fn contains(&self, class: ClassIndex, plan: PlanIndex) -> bool {
        class.0 < self.classes.len() && plan.0 < self.plans.len()
    }

    /// Returns the class with this index, which must exist.
    pub(super) fn class(&self, class: ClassIndex) -> &RequestClass {
        &self.classes[class.0]
    }

    /// Returns the plan with this index, which must exist.
    pub(super) fn plan(&self, plan: PlanIndex) -> &ServicePlan {
        &self.plans[plan.0]
    }
}
