//! The settings a scheduler is started with: request classes, service plans, and the rules of the deployment.
//!
//! Every field follows from the platform's settings or from the operator's file; a rule or ability that these
//! do not name is absent. Fields that end in `_us` are microseconds.

/// The number of a request class: its index in [`SchedulerSettings::classes`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassIndex(pub usize);

/// The number of a service plan: its index in [`SchedulerSettings::plans`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlanIndex(pub usize);

/// Which repetitions of a request are harmless.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// May run any number of times.
    Idempotent,
    /// Carries an idempotency key: nodes within the scope drop repetitions that arrive within the window.
    WithKey {
        /// The nodes that recognize the key.
        scope: DeduplicationScope,
        /// How long they recognize it, counted from the first attempt, in microseconds.
        window_us: u64,
    },
    /// Must never run twice.
    NonIdempotent,
}

/// Which nodes recognize the idempotency key of an earlier attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All nodes.
    AllNodes,
    /// The nodes of one zone.
    Zone,
    /// The nodes that hold one shard.
    Shard,
}

/// A class of requests that share a latency objective, a priority and an effect.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// An answer within this time earns the full priority weight; none if the class states no objective.
    pub latency_objective_us: Option<u64>,
    /// The time that a client waits in all.
    pub deadline_us: u64,
    /// The weight of a served request, relative to other classes.
    pub priority_weight: f64,
    /// The fraction of the priority weight that an answer past the objective earns.
    pub late_weight_factor: f64,
    /// Which repetitions are harmless.
    pub idempotency: Idempotency,
    /// Requests for one block run one at a time, in order of arrival.
    pub ordered_by_key: bool,
    /// The objective grows by this multiple of the request's own service time.
    pub objective_stretch: f64,
}

/// A token bucket that limits a volume.
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    /// Units per second that flow into the bucket.
    pub rate: f64,
    /// The most units that the bucket holds.
    pub burst: f64,
    /// How far below zero the bucket may fall.
    pub overdraft: f64,
}

/// The service plan of a volume. All rates are units per second for one volume, over all gateways and nodes.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// The rate that the volume is sized for.
    pub provisioned_rate: f64,
    /// The rate that earns its full priority weight.
    pub reserved_rate: f64,
    /// The volume's weight in what is left beyond the reservations.
    pub weight: f64,
    /// A factor on the priority weight of the volume's requests.
    pub priority_factor: f64,
    /// The limit, if the plan has one.
    pub rate_limit: Option<RateLimit>,
}

/// What a node that has just started may be sent.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartPolicy {
    /// Units that a node bears within the window at any time, from all gateways.
    pub guaranteed_units: f64,
    /// The window over which a node's load is summed.
    pub window_us: u64,
    /// The fraction of its capacity that a node starts with, at least.
    pub initial_capacity: f64,
    /// The time after which a node has its full capacity.
    pub warm_up_us: u64,
    /// The multiple of its present capacity that a node bears over the window.
    pub overload_factor: f64,
}

/// The budget of attempts beyond each request's first.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Retries allowed in the window whatever the traffic.
    pub burst: f64,
    /// Retries allowed for each request received in the window.
    pub ratio: f64,
    /// The window.
    pub window_us: u64,
}

/// The settings of a scheduler.
#[derive(Clone, Debug, Default)]
pub struct SchedulerSettings {
    /// The request classes; requests name them by index.
    pub classes: Vec<RequestClass>,
    /// The service plans; requests name them by index.
    pub plans: Vec<ServicePlan>,
    /// This gateway's number among all gateways, from 0.
    pub gateway_index: usize,
    /// How many gateways there are.
    pub gateway_count: usize,
    /// The shortest gap between batches of events.
    pub batch_interval_us: u64,
    /// The most attempts for one request, if stated.
    pub max_attempts: Option<u32>,
    /// A connection that is not established by then has failed.
    pub connect_timeout_us: u64,
    /// Whether attempts can be cancelled.
    pub cancellation: bool,
    /// The longest `Retry-After` that a rejected client follows; none if it follows none.
    pub max_retry_after_us: Option<u64>,
    /// A final answer counts until this long after the client's deadline.
    pub answer_grace_us: u64,
    /// Whether the endpoint list has to be requested, rather than being pushed.
    pub endpoints_on_request: bool,
    /// Where the endpoint list has to be requested: the longest time between two polls.
    pub max_poll_interval_us: u64,
    /// How long after a node was announced as draining it may still be sent work.
    pub drain_grace_us: u64,
    /// What nodes that have just started may be sent, if restricted.
    pub slow_start: Option<SlowStartPolicy>,
    /// The budget of retries, if restricted.
    pub retry_budget: Option<RetryBudget>,
    /// How long an ordered block waits after an attempt that may still run.
    pub ordering_gap_us: u64,
    /// The mean size of a request in units.
    pub mean_request_units: f64,
    /// The largest size of a request in units.
    pub max_request_units: f64,
    /// The fraction of its priority weight that a unit beyond the reservation, but within the fair share,
    /// earns.
    pub fair_share_weight_factor: f64,
    /// The period over which nodes meter a volume's rate everywhere, if they report it.
    pub metering_period_us: Option<u64>,
    /// Whether answers report what a node served the volume through other gateways.
    pub reports_other_gateways: bool,
}

impl SchedulerSettings {
    /// Whether there are such a class and such a plan.
    pub(super) fn know(&self, class: ClassIndex, plan: PlanIndex) -> bool {
        class.0 < self.classes.len() && plan.0 < self.plans.len()
    }

    /// The class with this number, which must be known.
    pub(super) fn class(&self, class: ClassIndex) -> &RequestClass {
        &self.classes[class.0]
    }

    /// The plan with this number, which must be known.
    pub(super) fn plan(&self, plan: PlanIndex) -> &ServicePlan {
        &self.plans[plan.0]
    }
}
