//! Decodes the platform's settings, which are part of the platform's configuration file and of the message
//! with which the simulator starts a scheduler.
//!
//! Most fields have the names of the scheduler's settings; serde attributes state the names on the wire. A
//! field that is missing on the wire has the default value given here, and unknown fields are ignored. Fields
//! that end in `_us` are microseconds, and rates are units per second.

use crate::scheduler::{
    DeduplicationScope, Idempotency, RateLimit, RequestClass, RetryBudget, SchedulerSettings, ServicePlan,
    SlowStartPolicy,
};
use serde::Deserialize;

/// The settings as decoded from the wire; [`PlatformSettings::to_scheduler_settings`] converts them.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub struct PlatformSettings {
    #[serde(rename = "azs")]
    zone_names: Vec<String>,
    #[serde(rename = "balancers")]
    gateway_count: usize,
    classes: Vec<WireClass>,
    discovery: DiscoveryMode,
    #[serde(rename = "familyInfo")]
    workload: WireWorkload,
    #[serde(rename = "index")]
    gateway_index: usize,
    #[serde(rename = "policies")]
    plans: Vec<WirePlan>,
    #[serde(rename = "policyLimits")]
    limits: WireLimits,
    #[serde(rename = "resolutionUs")]
    batch_interval_us: u64,
    rules: WireRules,
}

/// A request class. The deduplication fields (`keyScope`, `repeatWindowUs`) apply only if the class requires
/// idempotency keys.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct WireClass {
    #[serde(rename = "aimStretch")]
    objective_stretch: f64,
    /// 0 if the class has no latency objective.
    #[serde(rename = "promiseUs")]
    latency_objective_us: u64,
    deadline_us: u64,
    idempotency: WireIdempotency,
    key_scope: WireKeyScope,
    /// Whether requests for the same block run one at a time, in order of arrival.
    #[serde(rename = "oneAtATime")]
    ordered_by_block: bool,
    #[serde(rename = "lateValue")]
    late_weight_factor: f64,
    name: String,
    #[serde(rename = "repeatWindowUs")]
    deduplication_window_us: u64,
    #[serde(rename = "worth")]
    priority_weight: f64,
}

impl Default for WireClass {
    fn default() -> Self {
        WireClass {
            objective_stretch: 0.0,
            latency_objective_us: 0,
            deadline_us: 0,
            idempotency: WireIdempotency::default(),
            key_scope: WireKeyScope::default(),
            ordered_by_block: false,
            late_weight_factor: 0.0,
            name: String::new(),
            deduplication_window_us: 0,
            priority_weight: 1.0,
        }
    }
}

/// Whether repetitions of a class's requests are harmless: always, only with the same idempotency key, or
/// never. Any unknown value counts as non-idempotent, which is the safe choice.
#[derive(Clone, Copy, Default, Deserialize)]
#[serde(from = "String")]
enum WireIdempotency {
    Idempotent,
    WithKey,
    #[default]
    NonIdempotent,
}

impl From<String> for WireIdempotency {
    fn from(text: String) -> Self {
        match text.as_str() {
            "read_like" => WireIdempotency::Idempotent,
            "idempotency_key" => WireIdempotency::WithKey,
            _ => WireIdempotency::NonIdempotent,
        }
    }
}

/// Which nodes recognize an idempotency key. Any unknown value counts as the narrowest scope, a shard.
#[derive(Clone, Copy, Default, Deserialize)]
#[serde(from = "String")]
enum WireKeyScope {
    AllNodes,
    Zone,
    #[default]
    Shard,
}

impl From<String> for WireKeyScope {
    fn from(text: String) -> Self {
        match text.as_str() {
            "all" => WireKeyScope::AllNodes,
            "zone" => WireKeyScope::Zone,
            _ => WireKeyScope::Shard,
        }
    }
}

/// How a gateway receives changes to the endpoint list: it polls discovery (`on_request`), or discovery
/// pushes them (any other value).
#[derive(Clone, Copy, Default, PartialEq, Deserialize)]
#[serde(from = "String")]
enum DiscoveryMode {
    OnRequest,
    #[default]
    Pushed,
}

impl From<String> for DiscoveryMode {
    fn from(text: String) -> Self {
        match text.as_str() {
            "on_request" => DiscoveryMode::OnRequest,
            _ => DiscoveryMode::Pushed,
        }
    }
}

/// A service plan. Rates apply to one volume, over all gateways and nodes.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct WirePlan {
    /// 0 or less if the plan has no rate limit; the burst and the overdraft then have no effect.
    #[serde(rename = "cap")]
    rate_limit: f64,
    /// In units.
    #[serde(rename = "capDepth")]
    burst: f64,
    /// In units.
    #[serde(rename = "capSlack")]
    overdraft: f64,
    name: String,
    #[serde(rename = "proportion")]
    weight: f64,
    #[serde(rename = "rate")]
    provisioned_rate: f64,
    #[serde(rename = "reserve")]
    reserved_rate: f64,
    #[serde(rename = "worthFactor")]
    priority_factor: f64,
}

impl Default for WirePlan {
    fn default() -> Self {
        WirePlan {
            rate_limit: 0.0,
            burst: 0.0,
            overdraft: 0.0,
            name: String::new(),
            weight: 1.0,
            provisioned_rate: 0.0,
            reserved_rate: 0.0,
            priority_factor: 1.0,
        }
    }
}

/// Properties of the deployment's requests and storage nodes.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct WireWorkload {
    /// Units that a node that has just started sustains within the slow start window (`fallUs`); `None` if
    /// the platform does not specify a value.
    #[serde(rename = "coldBears")]
    slow_start_units: Option<f64>,
    #[serde(rename = "saysOthers")]
    nodes_report_other_gateways: bool,
    #[serde(rename = "unitsTop")]
    max_request_units: f64,
    /// 0 if nodes do not report the total rate of a volume.
    #[serde(rename = "usePeriodUs")]
    metering_period_us: u64,
    /// Whether the requests of each class are writes, ordered by class index.
    #[serde(rename = "writes")]
    class_writes: Vec<bool>,
    #[serde(rename = "usualUnits")]
    mean_request_units: f64,
    #[serde(rename = "withinShare")]
    unreserved_weight_factor: f64,
}

/// Limits on attempts, connections and retry delays, and optional capabilities: whether storage nodes honor
/// cancellation (`cancel`) and whether clients honor `Retry-After` (`retryAfter`). In `connIdleUs`,
/// `maxAttempts` and `maxRetryAfterUs`, 0 means that the platform does not specify a value.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct WireLimits {
    #[serde(rename = "cancel")]
    nodes_honor_cancellation: bool,
    #[serde(rename = "connIdleUs")]
    node_idle_timeout_us: u64,
    connect_timeout_us: u64,
    max_attempts: u32,
    max_retry_after_us: u64,
    retry_after: bool,
}

/// The deployment's rules on polling, draining, slow start, retries and ordering. An optional value is `None`
/// if the platform does not specify it.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct WireRules {
    #[serde(rename = "askWithinUs")]
    max_poll_interval_us: u64,
    /// Minimum capacity with which a node starts, as a fraction of its full capacity.
    #[serde(rename = "coldFrom")]
    initial_capacity: f64,
    drain_grace_us: u64,
    #[serde(rename = "extraFree")]
    retry_burst: Option<f64>,
    #[serde(rename = "extraRatio")]
    retry_ratio: Option<f64>,
    #[serde(rename = "extraWindowUs")]
    retry_window_us: Option<u64>,
    #[serde(rename = "fallUs")]
    slow_start_window_us: u64,
    #[serde(rename = "graceToAnswerUs")]
    answer_grace_us: u64,
    #[serde(rename = "tipMultiple")]
    overload_factor: Option<f64>,
    #[serde(rename = "turnGapUs")]
    ordering_gap_us: u64,
    warm_up_us: u64,
}

impl PlatformSettings {
    /// Converts the settings to those of the scheduler.
    pub fn to_scheduler_settings(&self) -> SchedulerSettings {
        let PlatformSettings { workload, limits, rules, .. } = self;
        SchedulerSettings {
            classes: self.classes.iter().map(WireClass::to_request_class).collect(),
            plans: self.plans.iter().map(WirePlan::to_service_plan).collect(),
            gateway_index: self.gateway_index,
            gateway_count: self.gateway_count,
            batch_interval_us: self.batch_interval_us,
            max_attempts: (limits.max_attempts > 0).then_some(limits.max_attempts),
            nodes_honor_cancellation: limits.nodes_honor_cancellation,
            connect_timeout_us: limits.connect_timeout_us,
            max_retry_after_us: limits.max_retry_after(),
            answer_grace_us: rules.answer_grace_us,
            endpoints_on_request: self.discovery == DiscoveryMode::OnRequest,
            max_poll_interval_us: rules.max_poll_interval_us,
            drain_grace_us: rules.drain_grace_us,
            slow_start: rules.slow_start_policy(workload),
            retry_budget: rules.retry_budget(),
            ordering_gap_us: rules.ordering_gap_us,
            mean_request_units: workload.mean_request_units,
            max_request_units: workload.max_request_units,
            unreserved_weight_factor: workload.unreserved_weight_factor,
            metering_period_us: nonzero(workload.metering_period_us),
            nodes_report_other_gateways: workload.nodes_report_other_gateways,
            max_tracked_volumes: None,
        }
    }

    /// Returns the names of the request classes, ordered by class index.
    pub fn class_names(&self) -> Vec<String> {
        self.classes.iter().map(|class| class.name.clone()).collect()
    }

    /// Returns the names of the service plans, ordered by plan index.
    pub fn plan_names(&self) -> Vec<String> {
        self.plans.iter().map(|plan| plan.name.clone()).collect()
    }

    /// Returns whether the requests of each class are writes, ordered by class index. The list is shorter
    /// than the list of classes, or empty, if the settings do not specify this for all classes.
    pub fn class_writes(&self) -> Vec<bool> {
        self.workload.class_writes.clone()
    }

    /// Returns the names of the zones, ordered by zone number.
    pub fn zone_names(&self) -> Vec<String> {
        self.zone_names.clone()
    }

    /// Returns the time after which a storage node closes an idle connection, in microseconds; `None` if the
    /// settings do not specify it.
    pub fn node_idle_timeout_us(&self) -> Option<u64> {
        nonzero(self.limits.node_idle_timeout_us)
    }
}

impl WireClass {
    fn to_request_class(&self) -> RequestClass {
        RequestClass {
            latency_objective_us: nonzero(self.latency_objective_us),
            deadline_us: self.deadline_us,
            priority_weight: self.priority_weight,
            late_weight_factor: self.late_weight_factor,
            idempotency: self.to_idempotency(),
            ordered_by_block: self.ordered_by_block,
            objective_stretch: self.objective_stretch,
        }
    }

    fn to_idempotency(&self) -> Idempotency {
        match self.idempotency {
            WireIdempotency::Idempotent => Idempotency::Idempotent,
            WireIdempotency::WithKey => Idempotency::WithKey {
                scope: self.key_scope.into(),
                deduplication_window_us: self.deduplication_window_us,
            },
            WireIdempotency::NonIdempotent => Idempotency::NonIdempotent,
        }
    }
}

impl From<WireKeyScope> for DeduplicationScope {
    fn from(scope: WireKeyScope) -> Self {
        match scope {
            WireKeyScope::AllNodes => DeduplicationScope::AllNodes,
            WireKeyScope::Zone => DeduplicationScope::Zone,
            WireKeyScope::Shard => DeduplicationScope::Shard,
        }
    }
}

impl WirePlan {
    fn to_service_plan(&self) -> ServicePlan {
        let rate_limit = RateLimit { rate: self.rate_limit, burst: self.burst, overdraft: self.overdraft };
        ServicePlan {
            provisioned_rate: self.provisioned_rate,
            reserved_rate: self.reserved_rate,
            weight: self.weight,
            priority_factor: self.priority_factor,
            rate_limit: (self.rate_limit > 0.0).then_some(rate_limit),
        }
    }
}

impl WireLimits {
    fn max_retry_after(&self) -> Option<u64> {
        if self.retry_after { nonzero(self.max_retry_after_us) } else { None }
    }
}

impl WireRules {
    /// Returns `None` unless the settings specify both the units that a node that has just started sustains
    /// (`coldBears`) and the overload factor (`tipMultiple`). A node is overloaded by more than this multiple
    /// of its current capacity over the slow start window.
    fn slow_start_policy(&self, workload: &WireWorkload) -> Option<SlowStartPolicy> {
        Some(SlowStartPolicy {
            guaranteed_units: workload.slow_start_units?,
            window_us: self.slow_start_window_us,
            initial_capacity: self.initial_capacity,
            warm_up_us: self.warm_up_us,
            overload_factor: self.overload_factor?,
        })
    }

    /// Returns `None` unless the settings specify both the retry ratio (`extraRatio`) and the retry window
    /// (`extraWindowUs`).
    fn retry_budget(&self) -> Option<RetryBudget> {
        Some(RetryBudget {
            burst: self.retry_burst.unwrap_or(0.0),
            ratio: self.retry_ratio?,
            window_us: self.retry_window_us?,
        })
    }
}

/// Returns `None` if the number is 0, which means on the wire that the platform does not specify it.
fn nonzero(number: u64) -> Option<u64> {
    (number > 0).then_some(number)
}
