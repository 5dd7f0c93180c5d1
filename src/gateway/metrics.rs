//! The gateway's counters, which the administration API and the log report.

use super::log;
use crate::routing::{Counter, RequestMetrics};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Counters of the gateway, including those of its router.
#[derive(Debug, Default)]
pub struct GatewayMetrics {
    /// Counters of the requests and attempts that the router handled.
    pub requests: Rc<RequestMetrics>,
    /// Requests rejected because they are malformed, unauthorized or duplicates, or have an incomplete body.
    /// Requests to the object API with an unknown bucket or upload, without `Content-Length`, or with a
    /// malformed `Req-Deadline` are not counted.
    pub bad_requests: Counter,
    /// Requests rejected because their id has been used, which are also counted in `bad_requests`.
    pub duplicate_ids: Counter,
    /// Requests rejected because their body is too large.
    pub bodies_too_large: Counter,
    /// Requests rejected because too many connections are open, which the limit on file descriptors
    /// determines, or because too much memory is reserved for bodies.
    pub overload: Counter,
    /// Polls of the endpoint list, including watches.
    pub list_calls: Counter,
    /// Polls that failed or timed out, not including those that returned a malformed list.
    pub list_failures: Counter,
    /// Endpoint lists that could not be decoded; the previous list stayed in effect.
    pub list_malformed: Counter,
    /// Total number of entries in all endpoint lists received from discovery.
    pub list_entries: Counter,
    /// SIGHUP reloads that took effect.
    pub reloads: Counter,
    /// SIGHUP reloads that failed; the previous configuration or inventory stayed in effect.
    pub reloads_failed: Counter,
}

impl GatewayMetrics {
    /// Returns all counters by the names under which the administration API and the log report them.
    pub fn by_name(&self) -> BTreeMap<&'static str, u64> {
        let mut all = self.requests.by_name();
        all.extend([
            ("bad_requests", self.bad_requests.get()),
            ("duplicate_ids", self.duplicate_ids.get()),
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

    /// Writes all counters to the log, on one line.
    pub fn log(&self) {
        let fields: Vec<String> =
            self.by_name().iter().map(|(name, value)| format!("{name}={value}")).collect();
        log::write(fields.join(" "));
    }
}
