//! The gateway's counters, which the administration API and the log give out.

use super::log;
use crate::routing::{Counter, RequestMetrics};
use std::collections::BTreeMap;
use std::rc::Rc;

/// What the gateway counts, beside what its router counts.
#[derive(Debug, Default)]
pub struct GatewayMetrics {
    /// The router's counters.
    pub requests: Rc<RequestMetrics>,
    /// Requests rejected as malformed, unauthorized, duplicate or with an incomplete body. The object API
    /// does not count unknown buckets and uploads, a missing Content-Length, or a malformed Req-Deadline.
    pub bad_requests: Counter,
    /// Bodies that were too large.
    pub bodies_too_large: Counter,
    /// Requests rejected for want of descriptors or buffer memory.
    pub overload: Counter,
    /// Polls and watches of the endpoint list.
    pub list_calls: Counter,
    /// Those that failed.
    pub list_failures: Counter,
    /// Endpoint lists that could not be decoded; the previous one stayed in effect.
    pub list_malformed: Counter,
    /// Endpoints that the lists named, in all.
    pub list_entries: Counter,
    /// SIGHUP reloads that took effect.
    pub reloads: Counter,
    /// SIGHUP reloads that failed; the previous configuration or inventory stayed in effect.
    pub reloads_failed: Counter,
}

impl GatewayMetrics {
    /// All counters by the names that the administration API and the log give them.
    pub fn by_name(&self) -> BTreeMap<&'static str, u64> {
        let mut all = self.requests.by_name();
        all.extend([
            ("bad_requests", self.bad_requests.get()),
            ("bodies_too_large", self.bodies_too_large.get()),
            ("overload", self.overload.get()),
            ("list_calls", self.list_calls.get()),
            ("list_failures", self.list_failures.get()),
            ("list_malformed", self.list_malformed.get()),
            ("list_lines", self.list_entries.get()),
            ("reloads", self.reloads.get()),
            ("reloads_failed", self.reloads_failed.get()),
        ]);
        all
    }

    /// Writes all counters to the log, in one line.
    pub fn log(&self) {
        let fields: Vec<String> =
            self.by_name().iter().map(|(name, value)| format!("{name}={value}")).collect();
        log::write(fields.join(" "));
    }
}
