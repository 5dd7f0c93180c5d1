//! Discovery is down for 8 s, is crowded when it returns and refuses one call. A storage node begins to drain
//! at its return.

mod common;
use common::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The number of gateways that the settings state; one of them is played.
const GATEWAYS: u32 = 24;
const OUTAGE: Duration = Duration::from_secs(8);
/// `rules.drainGraceUs` of `ktm-main`.
const DRAIN_GRACE: Duration = Duration::from_millis(2000);
/// A change counts as told at the latest so long after discovery had it and could be reached.
const TOLD_AFTER: Duration = Duration::from_millis(6000);
/// Every time limit of the rules is longer by this.
const SLACK: Duration = Duration::from_millis(50);

fn node(name: &'static str, record: &Record) -> (StorageNode, Arc<Mutex<Vec<Instant>>>) {
    let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let (record, arrivals_of_node) = (record.clone(), arrivals.clone());
    let node = StorageNode::start(move |request, stream| {
        let id = request.header("Req-Id").unwrap_or("-");
        arrivals_of_node.lock().unwrap().push(request.first_byte);
        record.line(&format!("{name} runs {} id {id}", request.first_line));
        thread::sleep(ms(20));
        let body = format!("{name} stored {id}\n");
        write_response(stream, "200 OK", "Srv-Load: TEXT queue=0, util=0.10\r\n", body.as_bytes()).is_ok()
    });
    (node, arrivals)
}

fn main() {
    play(|arguments, record, folder| {
        let (old, arrivals) = node("s-old", record);
        let (new, _) = node("s-new", record);
        let entries = vec![Entry { name: "s-old", address: old.address, group: 0, status: "Ready" }];
        let discovery = Discovery::new(record, free_address(), entries);
        discovery.up();
        let address = free_address();
        let config = ktm_main(address, discovery.address, &discovery.json(), 1024, GATEWAYS);
        let mut gateway = Gateway::start(arguments, folder, address, &config);

        let stop = Arc::new(AtomicBool::new(false));
        let client = {
            let (record, stop) = (record.clone(), stop.clone());
            thread::spawn(move || {
                let mut stream = TcpStream::connect(address).unwrap();
                let _ = stream.set_nodelay(true);
                let (mut id, mut rest) = (0x9b1f_03aa_0000_0000, Vec::new());
                while !stop.load(SeqCst) {
                    id += 1;
                    let mut request = request_head(id, "order-write", 1500, 0, Some(5)).into_bytes();
                    request.extend_from_slice(b"order");
                    if stream.write_all(&request).is_err() {
                        cannot_run("client: the connection broke");
                    }
                    match read_message(&mut stream, &mut rest) {
                        Ok(Some(answer)) => record.line(&format!("client, id {id:016x}: {} {}", answer.first_line, String::from_utf8_lossy(&answer.body).trim())),
                        other => cannot_run(&format!("client: {other:?}")),
                    }
                    thread::sleep(ms(30));
                }
            })
        };

        // The outage ends 0.1 s after a multiple of 4.5 s of Unix time. Its start follows from its length.
        let lead = Duration::from_secs(6) + OUTAGE;
        let earliest = unix_ms() + lead.as_millis() as u64;
        let returns_at = (earliest / 4500 + 1) * 4500 + 100;
        let sleep_until = |at: u64| thread::sleep(ms(at.saturating_sub(unix_ms())));
        sleep_until(returns_at - OUTAGE.as_millis() as u64);
        if arguments.trouble {
            discovery.down();
        }
        sleep_until(returns_at);
        if arguments.trouble {
            discovery.state.0.lock().unwrap().refuse = 1;
            discovery.up();
        }
        let changed_at = Instant::now();
        discovery.replace("s-old", Entry { name: "s-new", address: new.address, group: 0, status: "Ready" });
        thread::sleep(ms(12_000));
        stop.store(true, SeqCst);
        if client.join().is_err() || !gateway.is_running() {
            cannot_run("the client or the gateway has ended");
        }
        let written = discovery.state.0.lock().unwrap().drain_told;
        let told_at = written.map_or(changed_at + TOLD_AFTER, |written| written.min(changed_at + TOLD_AFTER));
        let limit = told_at + SLACK + DRAIN_GRACE + SLACK;
        let arrivals = arrivals.lock().unwrap();
        let late: Vec<f64> = arrivals.iter().filter(|at| **at > limit).map(|at| (*at - limit).as_secs_f64() * 1e3).collect();
        let last = late.iter().copied().fold(0.0, f64::max);
        record.say(&format!("the change was told {:.0} ms after it was made", (told_at - changed_at).as_secs_f64() * 1e3));
        if late.is_empty() { Vec::new() } else { vec![format!("{} requests reached the draining node after the limit, the last one {last:.0} ms after it", late.len())] }
    })
}
