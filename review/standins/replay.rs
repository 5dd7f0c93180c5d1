//! Case 1: a bad client sends the id of a request that another client has open, and sends the same request
//! again as soon as it is turned away.

mod common;
use common::*;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How many payments the usual client makes, one after the other.
const PAYMENTS: u64 = 20;
/// How long the storage node works on a payment.
const WORK: Duration = Duration::from_millis(120);
/// How long a bad client goes on: it is owed an error or a close within 3 s of connecting.
const BAD_CLIENT_STAYS: Duration = Duration::from_millis(1000);

/// The settings of `pokhara-lake`, in the form of the Wire page's example.
fn pokhara_lake(listen: SocketAddr, discovery: SocketAddr, known: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"known":{known},
"settings":{{"azs":["thamel-room"],"balancers":3,
"classes":[
{{"deadlineUs":900000,"idempotency":"read_like","keyScope":"all","lateValue":0.12,"name":"room-search","promiseUs":210000,"repeatWindowUs":5000000,"stream":false,"worth":2.0}},
{{"deadlineUs":1800000,"idempotency":"idempotency_key","keyScope":"cell","lateValue":0.15,"name":"booking-put","promiseUs":340000,"repeatWindowUs":1300000,"stream":false,"worth":4.0}},
{{"deadlineUs":2200000,"idempotency":"non_idempotent","keyScope":"all","lateValue":0.25,"name":"payment-post","promiseUs":420000,"repeatWindowUs":5000000,"stream":false,"worth":5.0}},
{{"deadlineUs":3500000,"idempotency":"read_like","keyScope":"all","lateValue":0.3,"name":"audit-scan","promiseUs":1000000,"repeatWindowUs":5000000,"stream":false,"worth":1.0}}],
"clients":{{"marksRetry":false}},"discovery":"on_request","family":"stores",
"familyInfo":{{"coldBears":43.0,"saysOthers":true,"shards":9,"spareWorth":0.05,"unitsTop":6,"usePeriodUs":0,"usualUnits":2.16,"withinShare":0.4,"writes":[false,true,true,false]}},
"index":0,"layers":["booking-store"],
"policies":[
{{"cap":0.0,"capDepth":0.0,"capSlack":0.0,"name":"guest","proportion":1.0,"rate":8.4,"reserve":2.5,"worthFactor":0.8}},
{{"cap":0.0,"capDepth":0.0,"capSlack":0.0,"name":"partner","proportion":4.0,"rate":25.0,"reserve":17.5,"worthFactor":1.3}}],
"policyLimits":{{"cancel":true,"connIdleUs":11000000,"connectTimeoutUs":320000,"cpuUsPerRequest":0.0,"cpuUsPerS":387273,"maxAttempts":4,"maxOpen":25818,"maxRetryAfterUs":900000,"mayDuplicate":false,"mayTell":false,"probes":false,"retryAfter":true,"streamsPerConn":32}},
"report":{{"fields":["pending","cpu_share"],"how":"inline"}},"resolutionUs":2000,
"rules":{{"askWithinUs":10000000,"coldFrom":0.19,"drainGraceUs":1500000,"fallUs":1400000,"graceToAnswerUs":8000,"tipMultiple":3.0,"warmUpUs":16000000}},
"shapes":["medium-2core"],"tier":0,"weightSource":"nominal","zone":0}}}}"#
    )
}

fn payment(id: u64) -> Vec<u8> {
    let body = format!("{{\"payment\":\"{id:016x}\",\"amount\":1250}}");
    let mut bytes = format!(
        "PUT /api/7f3a9c21e0b4{:04x} HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {id:016x}\r\nReq-Kind: payment-post\r\nTier: partner\r\nReq-Deadline: 2200m\r\nContent-Length: {}\r\nIO-Info: volume=00000003b4d60021,units=2,shard=0,hosts=3\r\n\r\n",
        id & 0xffff,
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body.as_bytes());
    bytes
}

/// The bad client: a copy of the request, sent again at once whenever it is turned away.
fn bad_client(gateway: SocketAddr, id: u64, record: &Record) {
    let Ok(mut stream) = TcpStream::connect(gateway) else { return };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
    record.line(&format!("bad client, id {id:016x}: sends a copy, and again whenever it is turned away"));
    let (started, mut rest, mut turned_away) = (Instant::now(), Vec::new(), 0);
    while started.elapsed() < BAD_CLIENT_STAYS {
        if stream.write_all(&payment(id)).is_err() {
            break;
        }
        match read_message(&mut stream, &mut rest) {
            Ok(Some(answer)) if answer.status() == 409 => turned_away += 1,
            Ok(Some(answer)) => {
                let text = format!("bad client, id {id:016x}: turned away {turned_away} times, then {}", answer.first_line);
                return record.line(&text);
            }
            Ok(None) | Err(_) => break,
        }
    }
    record.line(&format!("bad client, id {id:016x}: turned away {turned_away} times, then no answer"));
}

fn main() {
    play(|arguments, record, folder| {
        let runs: Arc<Mutex<BTreeMap<String, u32>>> = Arc::default();
        let (runs_of_node, record_of_node) = (runs.clone(), record.clone());
        let node = StorageNode::start(move |request, stream| {
            let id = request.header("Req-Id").unwrap_or("-").to_owned();
            let count = {
                let mut runs = runs_of_node.lock().unwrap();
                let count = runs.entry(id.clone()).or_default();
                *count += 1;
                *count
            };
            record_of_node.line(&format!("node runs {} id {id}, run {count}", request.first_line));
            thread::sleep(WORK);
            let body = format!("payment {id} done\n");
            write_response(stream, "200 OK", "Srv-Load: TEXT queue=0, util=0.10\r\n", body.as_bytes()).is_ok()
        });
        let entries = vec![Entry { name: "s-a", address: node.address, group: 0, status: "Ready" }];
        let discovery = Discovery::new(record, free_address(), entries);
        discovery.up();
        let address = free_address();
        let config = pokhara_lake(address, discovery.address, &discovery.json());
        let mut gateway = Gateway::start(arguments, folder, address, &config);
        let mut usual = TcpStream::connect(address).unwrap();
        let _ = usual.set_nodelay(true);
        let _ = usual.set_read_timeout(Some(Duration::from_secs(3)));
        let mut rest = Vec::new();
        for number in 0..PAYMENTS {
            let id = 0x9b1f_03aa_5c7e_2d00 + number;
            usual.write_all(&payment(id)).unwrap_or_else(|error| cannot_run(&format!("usual client: {error}")));
            record.line(&format!("usual client sends payment {id:016x}"));
            let bad = arguments.trouble.then(|| {
                let record = record.clone();
                thread::spawn(move || {
                    thread::sleep(ms(40));
                    bad_client(address, id, &record);
                })
            });
            match read_message(&mut usual, &mut rest) {
                Ok(Some(answer)) => record.line(&format!("usual client, id {id:016x}: {}", answer.first_line)),
                other => cannot_run(&format!("usual client: {other:?}")),
            }
            bad.map(|bad| bad.join());
            thread::sleep(ms(50));
        }
        if !gateway.is_running() {
            cannot_run("the gateway has ended");
        }
        let runs = runs.lock().unwrap();
        let breaks = runs.iter().filter(|(_, count)| **count > 1);
        breaks.map(|(id, count)| format!("payment {id} of class payment-post (non_idempotent) ran {count} times")).collect()
    })
}
