//! Bad clients send long bodies in chunks of one byte; the gateway's memory passes its limit.

#[path = "../stand-ins-2/rig.rs"]
mod rig;

use rig::{
    Discovery, Endpoint, Gateway, Head, Record, Request, Settings, answer, finish, read_message, signal,
    start_case, start_node,
};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Descriptors and memory of a gateway, as in a report of the user's (inc6056).
const SOCKETS: usize = 384;
const MEMORY_MB: usize = 48;
/// Connections of usual clients, and of bad clients in one wave.
const USUAL: u64 = 20;
const BAD: u64 = 60;
const WAVES: usize = 3;
/// Length of a bad client's body, in bytes of data.
const BODY: usize = 60_000_000;

/// A line of the process's status, in kB; 0 if the process is gone.
fn memory_kb(pid: u32, name: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with(name));
    line.and_then(|line| line.split_whitespace().nth(1)).and_then(|kb| kb.parse().ok()).unwrap_or(0)
}

fn usual_client(gateway: SocketAddr, number: u64, record: Record, unanswered: Arc<AtomicU64>) {
    let Ok(mut stream) = TcpStream::connect(gateway) else { return };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(1300)));
    let mut buffer = Vec::new();
    for block in 0.. {
        let request = Request::read(750, number, (number % 9) as u32, block);
        record.line(format!("usual client {number}: sends request {}", request.id));
        if stream.write_all(&request.bytes()).is_err() {
            return;
        }
        let sent = Instant::now();
        let Some((head, _)) = read_message(&mut stream, &mut buffer, || ()) else {
            unanswered.fetch_add(1, Ordering::Relaxed);
            record.line(format!(
                "usual client {number}, request {}: NO ANSWER, connection ended or silent after {} ms",
                request.id,
                sent.elapsed().as_millis()
            ));
            return;
        };
        record.line(format!(
            "usual client {number}, request {}: {} in {} ms",
            request.id,
            head.status(),
            sent.elapsed().as_millis()
        ));
        sleep(Duration::from_millis(150));
    }
}

fn bad_client(gateway: SocketAddr, wave: usize, number: u64, record: Record) {
    let Ok(mut stream) = TcpStream::connect_timeout(&gateway, Duration::from_secs(1)) else { return };
    let request = Request::read(1500, number, (number % 9) as u32, number);
    let head = format!(
        "PUT /api/{number:016x} HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {}\r\nReq-Kind: order-write\r\nTier: basic\r\n\
         Req-Deadline: 1500m\r\nTransfer-Encoding: chunked\r\nIO-Info: volume={number:016x},units=8,shard={},hosts=3\r\n\r\n",
        request.id, request.shard
    );
    let begun = Instant::now();
    let mut reader = stream.try_clone().expect("a socket");
    // It reads whatever is sent to it.
    let reading = spawn(move || {
        let mut chunk = [0; 4096];
        let mut first = String::new();
        while let Ok(length) = reader.read(&mut chunk) {
            if length == 0 {
                break;
            }
            if first.is_empty() {
                first =
                    String::from_utf8_lossy(&chunk[..length.min(60)]).lines().next().unwrap_or("").to_owned();
            }
        }
        first
    });
    let chunks = b"1\r\nx\r\n".repeat(1000);
    let mut sent = 0;
    if stream.write_all(head.as_bytes()).is_ok() {
        while sent < BODY && begun.elapsed() < Duration::from_secs(6) && stream.write_all(&chunks).is_ok() {
            sent += 1000;
        }
    }
    let _ = stream.shutdown(std::net::Shutdown::Both);
    let first = reading.join().unwrap_or_default();
    record.line(format!(
        "bad client {wave}/{number}: {sent} chunks sent in {} ms; answer: {first}",
        begun.elapsed().as_millis()
    ));
}

fn main() {
    let case = start_case(60);
    let record = case.record.clone();
    let nodes: Vec<Endpoint> = (0..9)
        .map(|group| {
            let record = record.clone();
            let node = Arc::new(move |head: &Head, _: f64| {
                record.line(format!("s-{group}: runs request {}", head.get("req-id")));
                sleep(Duration::from_millis(10));
                answer("200 OK", "", "order")
            });
            Endpoint {
                name: format!("s-{group}"),
                address: start_node(&case.record, node),
                group,
                status: "Ready",
                since_ms: 0,
            }
        })
        .collect();
    let discovery = Discovery::start(&record, "A", nodes, 41);
    let gateway = Gateway::start(
        &case,
        &Settings::default(),
        discovery.address,
        &discovery.known(),
        SOCKETS,
        MEMORY_MB,
    );
    let (listen, pid) = (gateway.listen, gateway.child.id());
    let (killed, unanswered) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    // The platform: a gateway over its limit of memory is killed. Counts anonymous memory alone.
    {
        let (record, killed) = (record.clone(), killed.clone());
        spawn(move || {
            let mut peak = 0;
            loop {
                let kb = memory_kb(pid, "RssAnon");
                if kb > peak + 4096 {
                    peak = kb;
                    record.line(format!("gateway: {kb} kB of anonymous memory"));
                }
                if kb > MEMORY_MB as u64 * 1024 {
                    record.say(format!(
                        "gateway: {kb} kB of memory, over the limit of {MEMORY_MB} MB: killed by the platform"
                    ));
                    killed.store(true, Ordering::Relaxed);
                    signal(pid, "KILL");
                    return;
                }
                sleep(Duration::from_millis(5));
            }
        });
    }
    for number in 0..USUAL {
        let (record, unanswered) = (record.clone(), unanswered.clone());
        spawn(move || usual_client(listen, number, record, unanswered));
    }
    sleep(Duration::from_secs(2));
    for wave in 0..WAVES {
        if case.trouble && !killed.load(Ordering::Relaxed) {
            record.line(format!(
                "wave {wave}: {BAD} bad clients send bodies of {BODY} bytes in chunks of one byte"
            ));
            let clients: Vec<_> = (0..BAD)
                .map(|number| {
                    let record = record.clone();
                    spawn(move || bad_client(listen, wave, number, record))
                })
                .collect();
            clients.into_iter().for_each(|client| client.join().unwrap());
        }
        sleep(Duration::from_secs(2));
    }
    let killed = killed.load(Ordering::Relaxed);
    record.say(format!(
        "most memory (VmHWM): {} kB; killed: {killed}; requests of usual clients without an answer: {}",
        memory_kb(pid, "VmHWM"),
        unanswered.load(Ordering::Relaxed)
    ));
    finish(i32::from(killed))
}
