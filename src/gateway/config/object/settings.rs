//! The scheduler's settings for the object API. What the operator's file does not state is fixed here; the
//! values that the platform would state follow the settings in the Wire page's example.

use super::file::{ClassSection, ObjectConfigFile, PlanSection};
use crate::scheduler::{DeduplicationScope, Idempotency, RequestClass, SchedulerSettings, ServicePlan};

/// The largest size of a request in units: 4 MiB at the default length of a unit. Larger bodies count as
/// this. The limit is the gateway's own.
pub const MAX_REQUEST_UNITS: u64 = 64;
/// The mean size of a request in units, close to `usualUnits` of the Wire page's example (2.16).
const MEAN_REQUEST_UNITS: f64 = 2.0;
/// `resolutionUs` of the Wire page's example.
const BATCH_INTERVAL_US: u64 = 2_000;
/// The most attempts for one request, as `maxAttempts` in `examples/platform.json`.
const MAX_ATTEMPTS: u32 = 4;
/// `connectTimeoutUs` of the Wire page's example.
const CONNECT_TIMEOUT_US: u64 = 250_000;
/// The longest `Retry-After` that clients are expected to follow. The object API gives it in whole seconds.
/// The value is the gateway's own.
const MAX_RETRY_AFTER_US: u64 = 5_000_000;
/// `graceToAnswerUs` of the Wire page's example.
const ANSWER_GRACE_US: u64 = 8_000;
/// The smallest `lateValue` of the Wire page's example.
const LATE_WEIGHT_FACTOR: f64 = 0.1;
/// `withinShare` of the Wire page's example.
const FAIR_SHARE_WEIGHT_FACTOR: f64 = 0.35;

/// The scheduler's settings that follow from a valid file.
pub fn scheduler_settings(file: &ObjectConfigFile) -> SchedulerSettings {
    let write = &file.classes.write;
    let write_idempotency = Idempotency::WithKey {
        scope: DeduplicationScope::Shard,
        window_us: write.deduplication_window_ms * 1_000,
    };
    SchedulerSettings {
        // In the order of `ObjectClass`.
        classes: vec![
            request_class(&file.classes.read, Idempotency::Idempotent),
            request_class(write, write_idempotency),
        ],
        plans: file.plans.iter().map(service_plan).collect(),
        gateway_index: file.gateway.index,
        gateway_count: file.gateway.count,
        batch_interval_us: BATCH_INTERVAL_US,
        max_attempts: Some(MAX_ATTEMPTS),
        connect_timeout_us: CONNECT_TIMEOUT_US,
        cancellation: true,
        max_retry_after_us: Some(MAX_RETRY_AFTER_US),
        answer_grace_us: ANSWER_GRACE_US,
        // The inventory's actor pushes changes.
        endpoints_on_request: false,
        max_poll_interval_us: 0,
        // A node that an operator drains is sent nothing new.
        drain_grace_us: 0,
        slow_start: None,
        retry_budget: None,
        ordering_gap_us: 0,
        mean_request_units: MEAN_REQUEST_UNITS,
        max_request_units: MAX_REQUEST_UNITS as f64,
        fair_share_weight_factor: FAIR_SHARE_WEIGHT_FACTOR,
        metering_period_us: None,
        reports_other_gateways: false,
    }
}

fn request_class(class: &ClassSection, idempotency: Idempotency) -> RequestClass {
    RequestClass {
        latency_objective_us: Some(class.latency_objective_ms * 1_000),
        deadline_us: class.deadline_ms * 1_000,
        priority_weight: class.priority_weight,
        late_weight_factor: LATE_WEIGHT_FACTOR,
        idempotency,
        ordered_by_key: false,
        objective_stretch: 0.0,
    }
}

fn service_plan(plan: &PlanSection) -> ServicePlan {
    ServicePlan {
        provisioned_rate: plan.provisioned_rate,
        reserved_rate: plan.reserved_rate,
        weight: plan.weight,
        priority_factor: plan.priority_factor,
        rate_limit: None,
    }
}
