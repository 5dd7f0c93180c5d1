use super::*;

#[test]
fn a_declined_request_is_rejected_and_a_plain_503_may_have_run() {
    let mut headers = HeaderMap::new();
    let served = |s: StatusCode| s == StatusCode::OK;
    let outcome =
        |headers: &HeaderMap| parse_response_head(StatusCode::SERVICE_UNAVAILABLE, headers, served).outcome;
    assert_eq!(outcome(&headers), AttemptOutcome::Failed);
    headers.insert("Srv-Declined", "1".parse().unwrap());
    assert_eq!(outcome(&headers), AttemptOutcome::Rejected);
    headers.insert("Srv-Load", "TEXT inflight=7, latency_ms=14.5, novel=x".parse().unwrap());
    headers.insert("Volume-Load", "0".parse().unwrap());
    let answer = parse_response_head(StatusCode::OK, &headers, served);
    assert_eq!((answer.load.in_flight, answer.load.service_ms), (Some(7.0), Some(14.5)));
    assert_eq!((answer.outcome, answer.volume_rate_percent), (AttemptOutcome::Succeeded, Some(0.0)));
}

#[test]
fn malformed_numbers_are_none_and_invalidate_no_response() {
    for bad in ["-3", "NaN", "1e300", "inf", "much", ""] {
        let mut headers = HeaderMap::new();
        for name in ["Volume-Load", "Other-Hosts"] {
            headers.insert(name, bad.parse().unwrap());
        }
        headers.insert("Srv-Load", format!("TEXT inflight={bad}, latency_ms=2").parse().unwrap());
        let answer = parse_response_head(StatusCode::OK, &headers, |s| s == StatusCode::OK);
        assert_eq!(
            (answer.outcome, answer.volume_rate_percent, answer.units_via_other_gateways),
            (AttemptOutcome::Succeeded, None, 0.0),
            "{bad}"
        );
        assert_eq!((answer.load.in_flight, answer.load.service_ms), (None, Some(2.0)), "{bad}");
    }
}
