use super::*;

#[test]
fn only_a_declined_503_proves_that_the_request_did_not_run() {
    let mut headers = HeaderMap::new();
    let served = |s: StatusCode| s == StatusCode::OK;
    let outcome =
        |headers: &HeaderMap| parse_response_head(StatusCode::SERVICE_UNAVAILABLE, headers, served).outcome;
    assert_eq!(outcome(&headers), AttemptOutcome::Failed);
    headers.insert("Srv-Declined", "1".parse().unwrap());
    assert_eq!(outcome(&headers), AttemptOutcome::Rejected);
    headers.insert("Srv-Load", "TEXT inflight=7, latency_ms=14.5, novel=x".parse().unwrap());
    headers.insert("Volume-Load", "0".parse().unwrap());
    let head = parse_response_head(StatusCode::OK, &headers, served);
    assert_eq!((head.load.in_flight, head.load.service_ms), (Some(7.0), Some(14.5)));
    assert_eq!((head.outcome, head.volume_rate_percent), (AttemptOutcome::Succeeded, Some(0.0)));
}

#[test]
fn malformed_numbers_are_ignored_and_the_response_stays_valid() {
    for bad in ["-3", "NaN", "1e300", "inf", "much", ""] {
        let mut headers = HeaderMap::new();
        for name in ["Volume-Load", "Other-Hosts"] {
            headers.insert(name, bad.parse().unwrap());
        }
        headers.insert("Srv-Load", format!("TEXT inflight={bad}, latency_ms=2").parse().unwrap());
        let head = parse_response_head(StatusCode::OK, &headers, |s| s == StatusCode::OK);
        assert_eq!(
            (head.outcome, head.volume_rate_percent, head.units_via_other_gateways),
            (AttemptOutcome::Succeeded, None, 0.0),
            "{bad}"
        );
        assert_eq!((head.load.in_flight, head.load.service_ms), (None, Some(2.0)), "{bad}");
    }
}
