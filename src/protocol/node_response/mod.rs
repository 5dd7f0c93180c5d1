//! Parses the heads of storage nodes' responses, which are the same in the platform's protocol and the object
//! API.

#[cfg(test)]
mod tests;

use crate::scheduler::{AttemptOutcome, LoadReport};
use hyper::{HeaderMap, StatusCode};

/// Maximum number that a node may report. Larger numbers would mislead the scheduler and are ignored.
const MAX_REPORTED_NUMBER: f64 = 1e6;

/// The information for the scheduler in the head of a storage node's response.
#[derive(Clone, Debug)]
pub struct NodeResponseHead {
    /// Outcome of the attempt: succeeded if the node served the request, rejected if it declined the request,
    /// and failed otherwise.
    pub outcome: AttemptOutcome,
    /// The volume's metered rate in percent of its plan's provisioned rate, from `Volume-Load`; `None` if not
    /// reported.
    pub volume_rate_percent: Option<f64>,
    /// Units that the node has served for the volume through other gateways, from `Other-Hosts`; 0 if not
    /// reported.
    pub units_via_other_gateways: f64,
    /// The node's load report, from `Srv-Load`; each value is `None` if not reported.
    pub load: LoadReport,
}

/// Parses the head of a response. `is_served` returns whether a status means that the node has served the
/// request.
pub fn parse_response_head(
    status: StatusCode,
    headers: &HeaderMap,
    is_served: impl Fn(StatusCode) -> bool,
) -> NodeResponseHead {
    let number = |name: &str| header_text(headers, name).and_then(parse_bounded_number);
    NodeResponseHead {
        outcome: parse_outcome(status, headers, is_served),
        volume_rate_percent: number("volume-load"),
        units_via_other_gateways: number("other-hosts").unwrap_or(0.0),
        load: header_text(headers, "srv-load").map(parse_load_report).unwrap_or_default(),
    }
}

fn parse_outcome(
    status: StatusCode,
    headers: &HeaderMap,
    is_served: impl Fn(StatusCode) -> bool,
) -> AttemptOutcome {
    let is_declined = header_text(headers, "srv-declined").is_some_and(|value| value.trim() == "1");
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if is_declined => {
            AttemptOutcome::Rejected
        }
        _ if is_served(status) => AttemptOutcome::Succeeded,
        // Any other request may have run: only a declined request is known not to have run.
        _ => AttemptOutcome::Failed,
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Parses a number; returns `None` if it is malformed, negative or above [`MAX_REPORTED_NUMBER`]. A malformed
/// report must neither invalidate the response that contains it nor mislead the scheduler.
fn parse_bounded_number(text: &str) -> Option<f64> {
    text.trim().parse::<f64>().ok().filter(|number| (0.0..=MAX_REPORTED_NUMBER).contains(number))
}

/// Parses a load report such as `TEXT inflight=7, latency_ms=14.5`; unknown fields are ignored.
fn parse_load_report(text: &str) -> LoadReport {
    let mut report = LoadReport::default();
    let fields = text.trim().strip_prefix("TEXT").unwrap_or_default();
    for (name, value) in fields.split(',').filter_map(|field| field.split_once('=')) {
        let value = parse_bounded_number(value);
        match name.trim() {
            "inflight" | "busy_reqs" => report.in_flight = value,
            "queue" | "pending" => report.queued = value,
            "util" | "cpu_share" => report.utilization = value,
            "latency_ms" | "svc_ms" => report.service_ms = value,
            _ => {}
        }
    }
    report
}
