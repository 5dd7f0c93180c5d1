//! Tests the simulator adapter of the scheduler with hand-written lines of its wire format.

use std::io::Write;
use std::process::{Command, Output, Stdio};

/// The settings of an instance: three gateways, one class and one plan. The unknown names `novel` and
/// `unheard` check that the adapter ignores settings that it does not support.
const OPTIONS: &str = r#"{"balancers":3,"classes":[{"deadlineUs":1000000,"idempotency":"read_like","keyScope":"all","promiseUs":200000,"worth":2.0,"novel":1}],"discovery":"on_request","familyInfo":{"unitsTop":8,"usualUnits":2.0},"policies":[{"cap":0.0,"proportion":1.0,"rate":4.0,"reserve":1.0}],"policyLimits":{"maxAttempts":3},"resolutionUs":2000,"rules":{"graceToAnswerUs":8000,"askWithinUs":10000000},"unheard":[1]}"#;

/// Runs the adapter with these input lines, and returns its output and exit status.
fn run_adapter(lines: &[String]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_scheduler-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut input = child.stdin.take().unwrap();
    for line in lines {
        // A malformed line ends the adapter, which may then close its input before all lines are written.
        if writeln!(input, "{line}").is_err() {
            break;
        }
    }
    drop(input);
    child.wait_with_output().unwrap()
}

/// Returns a batch that starts an instance with one node in its cached endpoint list.
fn instance_start_batch(instance: u32, now_us: u64) -> Vec<String> {
    vec![
        format!(r#"{{"sync":{{"timeUs":{now_us}}}}}"#),
        format!(r#"{{"enlist":{{"who":{instance},"seed":9,"options":{OPTIONS}}}}}"#),
        r#"{"list":{"table":0,"items":[{"server":"server-a","zone":0,"sku":0,"pod":0,"readiness":"live","nominal":1}]}}"#.into(),
        format!(r#"{{"members":{{"who":{instance},"form":"cached","table":0,"version":1}}}}"#),
        r#"{"end":{}}"#.into(),
    ]
}

/// Returns a batch in which a request arrives at an instance and expires 900 ms later.
fn request_batch(instance: u32, id: u32, now_us: u64) -> Vec<String> {
    vec![
        format!(r#"{{"sync":{{"timeUs":{now_us}}}}}"#),
        format!(
            r#"{{"inbound":{{"who":{instance},"ref":{id},"contract":0,"nHosts":3,"blockKey":"91f03b7c55d20a64","expiresUs":{},"groupNo":0,"weight":2,"tierClass":0,"vol":"2b8e6401d9f37c10","later":true}}}}"#,
            now_us + 900_000
        ),
        r#"{"end":{}}"#.into(),
    ]
}

fn replies(output: &Output) -> Vec<String> {
    String::from_utf8(output.stdout.clone()).unwrap().lines().map(String::from).collect()
}

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    let output = run_adapter(&[r#"{"sync":{"timeUs":1}}"#.into(), r#"{"end":{}}"#.into()]);
    assert!(output.status.success());
    assert_eq!(replies(&output), [r#"{"eor":{}}"#]);
}

#[test]
fn requests_are_forwarded_and_their_answers_accepted() {
    let mut lines = instance_start_batch(3, 5_000_000);
    lines.extend(request_batch(3, 41, 5_002_000));
    lines.push(r#"{"sync":{"timeUs":5010000}}"#.into());
    lines.push(r#"{"reply":{"who":3,"ref":41,"rc":"OK","waitTimeUs":8000,"complete":true,"used":86,"server":"server-a","shot":0,"load":{"cpu_share":0.6,"odd":"text"}}}"#.into());
    lines.push(r#"{"aborted":{"who":3,"ref":41}}"#.into());
    lines.push(r#"{"neverHeardOf":{"who":3}}"#.into());
    lines.push(r#"{"end":{}}"#.into());
    let output = run_adapter(&lines);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let replies = replies(&output);
    assert!(replies[0].contains(r#""observe""#), "endpoint list is not watched: {}", replies[0]);
    let forwarded: Vec<_> = replies.iter().filter(|line| line.contains("forward")).collect();
    assert_eq!(forwarded.len(), 1);
    let value: serde_json::Value = serde_json::from_str(forwarded[0]).unwrap();
    assert_eq!(value["forward"]["ref"], 41);
    assert_eq!(value["forward"]["who"], 3);
    assert_eq!(value["forward"]["server"], "server-a");
    assert_eq!(replies.iter().filter(|line| line.contains("eor")).count(), 3);
}

#[test]
fn killed_instances_send_nothing_until_they_restart() {
    let mut lines = instance_start_batch(3, 5_000_000);
    lines.extend(request_batch(3, 41, 5_002_000));
    let end_of_batch = lines.len() - 1;
    lines.insert(end_of_batch, r#"{"kill":{"who":3}}"#.into());
    lines.extend(instance_start_batch(3, 6_000_000));
    lines.extend(request_batch(3, 42, 6_002_000));
    let replies = replies(&run_adapter(&lines)).join("\n");
    assert!(!replies.contains("41"), "{replies}");
    assert!(replies.contains(r#""ref":42"#), "{replies}");
}

#[test]
fn instances_decide_independently_of_each_other() {
    let mut both = instance_start_batch(3, 5_000_000);
    both.extend(instance_start_batch(4, 5_000_000));
    both.extend(request_batch(3, 41, 5_002_000));
    both.extend(request_batch(4, 42, 5_002_000));
    let mut alone = instance_start_batch(4, 5_000_000);
    alone.extend(request_batch(4, 42, 5_002_000));
    let replies_of_4 = |lines: &[String]| -> Vec<String> {
        replies(&run_adapter(lines)).into_iter().filter(|line| line.contains(r#""who":4"#)).collect()
    };
    let expected = replies_of_4(&alone);
    assert!(!expected.is_empty());
    assert_eq!(replies_of_4(&both), expected);
}

#[test]
fn malformed_lines_end_the_adapter_with_an_error_message() {
    for (line, expected) in [
        ("{not json", "malformed line"),
        ("[1,2]", "malformed line"),
        ("{}", "malformed line"),
        (r#"{"inbound":{"who":3,"ref":1}}"#, "expiresUs"),
        (r#"{"reply":{"who":3,"ref":1,"server":"server-a"}}"#, "rc"),
        (r#"{"inbound":{"who":3,"ref":1,"expiresUs":9,"vol":"zz"}}"#, "zz"),
        (r#"{"members":{"who":3,"form":"full","table":7,"version":2}}"#, "no such list"),
    ] {
        let mut lines = instance_start_batch(3, 5_000_000);
        lines.push(r#"{"sync":{"timeUs":5010000}}"#.into());
        lines.push(line.into());
        lines.push(r#"{"end":{}}"#.into());
        let output = run_adapter(&lines);
        assert!(!output.status.success(), "{line} was accepted");
        let message = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(message.contains(expected), "{line}: {message}");
    }
}
