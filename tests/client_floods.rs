//! Tests that clients which send at full speed do not keep the gateway's thread from other clients.

mod load;

use load::{
    Gateway, LEAST_MEMORY_MB, TIGHT_LIMITS, read_head, read_message, send_until_closed, start_node,
    start_slow_node, write_head,
};
use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::{JoinSet, LocalSet};
use tokio::time::{Instant, sleep};

/// A deadline of 750 ms, the half second after which an unanswered request counts as lost, and 50 ms by which
/// the platform extends every time limit.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(750 + 500 + 50);
/// Time for which the clients of a flood send.
const FLOOD_TIME: Duration = Duration::from_secs(3);
/// The maximum number of threads that send a flood, so that the gateway is the bottleneck.
const FLOOD_THREADS: usize = 4;
/// Interval between two checks for the event that a test waits for.
const CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// Time between two requests of the usual client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// Starts threads in which `clients` clients in all send the bytes at full speed.
fn start_flood(gateway: SocketAddr, clients: usize, bytes: &'static [u8]) -> Vec<JoinHandle<()>> {
    let threads = FLOOD_THREADS.min(clients);
    let send = async move || {
        let mut tasks = JoinSet::new();
        for _ in 0..clients / threads {
            let stream = TcpStream::connect(gateway).await.unwrap();
            tasks.spawn_local(async move { send_until_closed(stream, bytes, FLOOD_TIME).await });
        }
        tasks.join_all().await;
    };
    let run = move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        LocalSet::new().block_on(&runtime, send());
    };
    (0..threads).map(|_| std::thread::spawn(run)).collect()
}

/// Sends requests until the end of the flood, and returns the longest time to an answer.
async fn longest_answer_time(gateway: &Gateway) -> Duration {
    let started_at = Instant::now();
    let mut client = gateway.connect().await;
    let mut longest = Duration::ZERO;
    let mut number = 0;
    while started_at.elapsed() < FLOOD_TIME {
        let sent_at = Instant::now();
        client.write_all(format!("{}\r\n", read_head(&format!("{number:016x}"))).as_bytes()).await.unwrap();
        read_message(&mut client).await.expect("an answer");
        longest = longest.max(sent_at.elapsed());
        number += 1;
        sleep(REQUEST_INTERVAL).await;
    }
    longest
}

/// The gateway read up to 2 MB from each client that went on sending after an error, before other clients had
/// their turn.
#[tokio::test]
async fn clients_that_send_long_bodies_do_not_delay_answers() {
    const CLIENTS: usize = 480;
    const BODY_LEN: usize = 60_000_000;
    let test = async {
        let (node, _) = start_node(b"data").await;
        let gateway = Gateway::start("flood_long_bodies", TIGHT_LIMITS, node);
        let head = format!("{}Content-Length: {BODY_LEN}\r\n\r\n", write_head("0123456789abcdef"));
        let request: &'static [u8] = [head.as_bytes(), &vec![b'x'; BODY_LEN]].concat().leak();
        let flood = start_flood(gateway.address, CLIENTS, request);
        let longest = longest_answer_time(&gateway).await;
        flood.into_iter().for_each(|thread| thread.join().unwrap());
        assert!(longest <= ANSWER_TIMEOUT, "an answer took {longest:?}");
    };
    LocalSet::new().run_until(test).await;
}

/// Returns requests with ever new ids, blocks and volumes, for shards that `shard` chooses.
fn requests_with_new_names(count: usize, shard: impl Fn(usize) -> usize) -> &'static [u8] {
    let request = |number: usize| {
        let (id, shard) = (0xf00d_0000_0000_0000 + number, shard(number));
        format!(
            "GET /api/{number:016x} HTTP/1.1\r\nReq-Id: {id:016x}\r\nReq-Kind: dossier-read\r\nTier: basic\r\n\
             Req-Deadline: 4900m\r\nIO-Info: volume={number:016x},units=2,shard={shard},hosts=3\r\n\r\n"
        )
    };
    (0..count).map(request).collect::<String>().into_bytes().leak()
}

/// One client sends requests at full speed on one connection, under names that are always new. The state of
/// the gateway grew with each name, and other clients waited.
#[tokio::test]
async fn one_client_with_ever_new_names_delays_no_answers_and_fills_no_memory() {
    const REQUESTS: usize = 300_000;
    let test = async {
        let (node, _) = start_node(b"data").await;
        for (name, shard) in [("shards", (|number| 1000 + number) as fn(usize) -> usize), ("volumes", |_| 3)]
        {
            let gateway = Gateway::start(&format!("flood_new_{name}"), TIGHT_LIMITS, node);
            let flood = start_flood(gateway.address, 1, requests_with_new_names(REQUESTS, shard));
            let longest = longest_answer_time(&gateway).await;
            flood.into_iter().for_each(|thread| thread.join().unwrap());
            let peak = gateway.peak_memory_mb();
            assert!(longest <= ANSWER_TIMEOUT, "new {name}: an answer took {longest:?}");
            assert!(peak <= LEAST_MEMORY_MB, "new {name}: the gateway used {peak} MB of memory");
        }
    };
    LocalSet::new().run_until(test).await;
}

/// A client that rejected requests at full speed made the gateway forget used ids. A request whose client had
/// left ran again when it came again.
#[tokio::test]
async fn an_id_does_not_run_twice_after_a_flood_of_new_ids() {
    const REQUESTS: usize = 300_000;
    const ID: &str = "0123456789abcdef";
    let test = async {
        let (node, ids) = start_node(b"data").await;
        let gateway = Gateway::start("flood_repeated_id", TIGHT_LIMITS, node);
        let request = format!("{}\r\n", read_head(ID));
        let mut client = gateway.connect().await;
        client.write_all(request.as_bytes()).await.unwrap();
        read_message(&mut client).await.expect("an answer");
        drop(client);
        let names = requests_with_new_names(REQUESTS, |number| 1000 + number);
        let flood = start_flood(gateway.address, 1, names);
        longest_answer_time(&gateway).await;
        flood.into_iter().for_each(|thread| thread.join().unwrap());
        let mut client = gateway.connect().await;
        client.write_all(request.as_bytes()).await.unwrap();
        let answer = read_message(&mut client).await.expect("an answer");
        assert!(answer.starts_with("HTTP/1.1 409 "), "{answer}");
        assert_eq!(ids.borrow().iter().filter(|id| *id == ID).count(), 1);
    };
    LocalSet::new().run_until(test).await;
}

/// A client sent many requests at once and closed its connection while the first one was in progress. The
/// close could not be seen behind the unread requests, and the next one was sent on once the first was
/// answered.
#[tokio::test]
async fn requests_of_a_client_that_has_closed_its_connection_are_not_sent_on() {
    const REQUESTS: usize = 8_000;
    const SERVICE_TIME: Duration = Duration::from_millis(500);
    let test = async {
        let (node, ids) = start_slow_node(b"data", SERVICE_TIME).await;
        let gateway = Gateway::start("flood_closed", TIGHT_LIMITS, node);
        let request = |number: usize| format!("{}\r\n", read_head(&format!("{number:016x}")));
        let all: String = (0..REQUESTS).map(request).collect();
        let mut client = gateway.connect().await;
        client.write_all(all.as_bytes()).await.unwrap();
        while ids.borrow().is_empty() {
            sleep(CHECK_INTERVAL).await;
        }
        drop(client);
        sleep(FLOOD_TIME).await;
        let ids = ids.borrow();
        assert_eq!(ids.len(), 1, "requests were sent on after the close: {ids:?}");
    };
    LocalSet::new().run_until(test).await;
}
