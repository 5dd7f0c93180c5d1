//! Derives the scheduler's settings for the object API from the operator's configuration file.
//!
//! Settings that the file does not contain are fixed. The named constants have the values of the Wire page's
//! example, unless a comment names another source.

use super::file::{ClassSection, ObjectConfigFile, PlanSection};
use crate::scheduler::{DeduplicationScope, Idempotency, RequestClass, SchedulerSettings, ServicePlan};

/// Maximum size of a request in units: 4 MiB at the default unit size. Larger requests count as this many
/// units. The gateway defines this limit, not the platform.
pub const MAX_REQUEST_UNITS: u64 = 64;
/// Mean size of a request in units, close to `usualUnits` in the Wire page's example (2.16).
const MEAN_REQUEST_UNITS: f64 = 2.0;
/// Minimum time between two batches of events: `resolutionUs` in the Wire page's example.
const BATCH_INTERVAL_US: u64 = 2_000;
/// Maximum number of attempts for one request: `maxAttempts` in `examples/platform.json`.
const MAX_ATTEMPTS: u32 = 4;
/// Time after which an attempt to connect to a node has failed: `connectTimeoutUs` in the Wire page's
/// example.
const CONNECT_TIMEOUT_US: u64 = 250_000;
/// Maximum `Retry-After` that clients are expected to honor. The object API sends it in whole seconds. The
/// gateway defines this value, not the platform.
const MAX_RETRY_AFTER_US: u64 = 5_000_000;
/// Time after the client's deadline during which a final answer is still accepted: `graceToAnswerUs` in the
/// Wire page's example.
const ANSWER_GRACE_US: u64 = 8_000;
/// Fraction of the priority weight that an answer past the latency objective earns: the smallest `lateValue`
/// in the Wire page's example.
const LATE_WEIGHT_FACTOR: f64 = 0.1;
/// Factor on the priority weight of all requests beyond the volume's reservation: `withinShare` in the Wire
/// page's example. That setting is meant only for units that exceed the reservation but not the fair share.
const UNRESERVED_WEIGHT_FACTOR: f64 = 0.35;

/// Returns the scheduler's settings for a file that has been validated.
pub fn scheduler_settings(file: &ObjectConfigFile) -> SchedulerSettings {
    let write = &file.classes.write;
    let write_idempotency = Idempotency::WithKey {
        scope: DeduplicationScope::Shard,
        deduplication_window_us: write.deduplication_window_ms * 1_000,
    };
    SchedulerSettings {
        // In the order of `ObjectClass`, whose values are the indices of the classes.
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
        nodes_honor_cancellation: true,
        max_retry_after_us: Some(MAX_RETRY_AFTER_US),
        answer_grace_us: ANSWER_GRACE_US,
        // The inventory actor pushes changes to the endpoint list.
        endpoints_on_request: false,
        max_poll_interval_us: 0,
        // A node receives no new attempts once an operator drains it.
        drain_grace_us: 0,
        slow_start: None,
        retry_budget: None,
        ordering_gap_us: 0,
        mean_request_units: MEAN_REQUEST_UNITS,
        max_request_units: MAX_REQUEST_UNITS as f64,
        unreserved_weight_factor: UNRESERVED_WEIGHT_FACTOR,
        metering_period_us: None,
        nodes_report_other_gateways: false,
        max_tracked_volumes: None,
    }
}

fn request_class(class: &ClassSection, idempotency: Idempotency) -> RequestClass {
    RequestClass {
        latency_objective_us: Some(class.latency_objective_ms * 1_000),
        deadline_us: class.deadline_ms * 1_000,
        priority_weight: class.priority_weight,
        late_weight_factor: LATE_WEIGHT_FACTOR,
        idempotency,
        ordered_by_block: false,
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
