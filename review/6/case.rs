//! Bad clients stop in the middle of a request's head; requests of usual clients on new connections are not answered.

#[path = "../stand-ins-2/rig.rs"]
mod rig;

use rig::{
    Discovery, Endpoint, Gateway, Record, Request, Settings, answer, finish, read_message, start_case,
    start_node,
};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Descriptors and memory of a gateway, within the ranges of the Terms page (256 to 1,024, 32 to 192 MB).
const SOCKETS: usize = 256;
const MEMORY_MB: usize = 48;
/// Connections on which usual clients send requests all the time: under a third of the descriptors.
const USUAL: usize = 70;
/// Connections of bad clients in one wave.
const BAD: usize = 140;
const WAVES: usize = 3;
/// Requests of usual clients on new connections in one wave; with the resting ones under a third of the descriptors.
const NEW: u64 = 12;
/// `order-read`: its deadline, the half second in which an answer only earns nothing, and the slack of 50 ms.
const DEADLINE_MS: u64 = 750;
const OVERTIME_MS: u64 = 550;

enum End {
    Answered { status: u16, ms: u64 },
    Closed { ms: u64 },
    Silent,
    NotAccepted,
}

/// Sends one request on a new connection and waits until half a second after its time.
fn ask_on_new_connection(gateway: SocketAddr, request: &Request) -> End {
    let Ok(mut stream) = TcpStream::connect_timeout(&gateway, Duration::from_millis(100)) else {
        return End::NotAccepted;
    };
    let _ = stream.set_nodelay(true);
    if stream.write_all(&request.bytes()).is_err() {
        return End::Closed { ms: 0 };
    }
    let sent = Instant::now();
    let _ = stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS + OVERTIME_MS)));
    let answer = read_message(&mut stream, &mut Vec::new(), || ());
    let ms = sent.elapsed().as_millis() as u64;
    match answer {
        Some((head, _)) => End::Answered { status: head.status(), ms },
        None if ms >= DEADLINE_MS + OVERTIME_MS => End::Silent,
        None => End::Closed { ms },
    }
}

fn usual_client(gateway: SocketAddr, number: u64, record: Record) {
    let Ok(mut stream) = TcpStream::connect(gateway) else { return };
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    for block in 0.. {
        let request = Request::read(DEADLINE_MS, number % 40, (number % 9) as u32, block);
        let sent = Instant::now();
        if stream.write_all(&request.bytes()).is_err() {
            return;
        }
        let Some((head, _)) = read_message(&mut stream, &mut buffer, || ()) else { return };
        record.line(format!(
            "resting client {number}, request {}: {} in {} ms",
            request.id,
            head.status(),
            sent.elapsed().as_millis()
        ));
        sleep(Duration::from_millis(500 + (number * 37 + block * 91) % 1000));
    }
}

fn bad_client(gateway: SocketAddr, wave: usize, number: usize, record: Record) {
    let Ok(mut stream) = TcpStream::connect_timeout(&gateway, Duration::from_secs(3)) else { return };
    let _ = stream.write_all(b"GET /api/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: 9b1f03aa");
    let sent = Instant::now();
    // It reads what is sent to it, and stays until the gateway closes.
    let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
    let mut chunk = [0; 4096];
    while stream.read(&mut chunk).is_ok_and(|length| length > 0) {}
    record.line(format!("bad client {wave}/{number}: closed after {} ms", sent.elapsed().as_millis()));
}

fn main() {
    let case = start_case(60);
    let record = case.record.clone();
    let nodes: Vec<Endpoint> = (0..9)
        .map(|group| {
            let running = record.clone();
            let node = Arc::new(move |head: &rig::Head, _: f64| {
                running.line(format!("s-{group}: runs request {}", head.get("req-id")));
                sleep(Duration::from_millis(15));
                answer("200 OK", "", "order")
            });
            let address = start_node(&record, node);
            Endpoint { name: format!("s-{group}"), address, group, status: "Ready", since_ms: 0 }
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
    let listen = gateway.listen;
    for number in 0..USUAL as u64 {
        let record = record.clone();
        spawn(move || usual_client(listen, number, record));
        sleep(Duration::from_millis(5));
    }
    sleep(Duration::from_secs(2));
    let lost = Arc::new(Mutex::new((0, 0, 0)));
    for wave in 0..WAVES {
        if case.trouble {
            record.line(format!("wave {wave}: {BAD} bad clients send half a head and stay"));
            for number in 0..BAD {
                let record = record.clone();
                spawn(move || bad_client(listen, wave, number, record));
            }
        }
        let mut clients = Vec::new();
        for number in 0..NEW {
            sleep(Duration::from_millis(50));
            let (record, lost) = (record.clone(), lost.clone());
            clients.push(spawn(move || {
                let request = Request::read(DEADLINE_MS, number % 40, (number % 9) as u32, 1_000_000 + number);
                let id = request.id.clone();
                record.line(format!("wave {wave}, new client {number}: connects and sends request {id}"));
                let end = ask_on_new_connection(listen, &request);
                let mut counts = lost.lock().unwrap();
                match end {
                    End::Answered { status, ms } => {
                        counts.0 += 1;
                        record.line(format!("wave {wave}, new client {number}, request {id}: {status} after {ms} ms"));
                    }
                    End::Closed { ms } => {
                        counts.1 += 1;
                        record.line(format!("wave {wave}, new client {number}, request {id}: closed after {ms} ms"));
                    }
                    End::Silent => {
                        counts.2 += 1;
                        record.line(format!("wave {wave}, new client {number}, request {id}: NO ANSWER and no close in {} ms", DEADLINE_MS + OVERTIME_MS));
                    }
                    End::NotAccepted => {
                        record.line(format!("wave {wave}, new client {number}, request {id}: connection not accepted, not sent"));
                    }
                }
            }));
        }
        clients.into_iter().for_each(|client| client.join().unwrap());
        sleep(Duration::from_millis(4000));
    }
    let (answered, closed, silent) = *lost.lock().unwrap();
    record.say(format!("requests on new connections: {answered} answered, {closed} closed, {silent} neither answered nor closed by half a second after their time"));
    finish(i32::from(silent > 0))
}
