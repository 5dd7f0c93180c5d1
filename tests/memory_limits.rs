//! Tests that the gateway stays within the memory of its configuration, whatever its clients send.

mod load;

use load::{
    Gateway, LEAST_MEMORY_MB, Limits, TIGHT_LIMITS, read_head, send_until_closed, start_hanging_node,
    start_node, start_slow_node, write_head,
};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::{JoinSet, LocalSet};

/// A request that stops is answered with an error within 3 s, which the platform extends by 50 ms.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(3_050);

/// Bodies in chunks of one byte occupied 32 bytes of memory and more for each of their chunks.
#[tokio::test]
async fn bodies_in_tiny_chunks_do_not_exceed_the_memory() {
    const TINY_CHUNK_CLIENTS: usize = 60;
    let test = async {
        let (node, _) = start_node(b"").await;
        let limits = Limits { memory_mb: LEAST_MEMORY_MB, descriptors: 384 };
        let gateway = Gateway::start("memory_tiny_chunks", limits, node);
        let chunks = b"1\r\nx\r\n".repeat(64 * 1024);
        let mut clients = JoinSet::new();
        for number in 0..TINY_CHUNK_CLIENTS {
            let head = write_head(&format!("{number:016x}")) + "Transfer-Encoding: chunked\r\n\r\n";
            let request = [head.as_bytes(), &chunks].concat();
            let stream = gateway.connect().await;
            clients.spawn_local(async move { send_until_closed(stream, &request, ANSWER_TIMEOUT).await });
        }
        clients.join_all().await;
        let peak = gateway.peak_memory_mb();
        assert!(peak <= LEAST_MEMORY_MB, "the gateway used {peak} MB of memory");
    };
    LocalSet::new().run_until(test).await;
}

/// The number of clients that are connected at once. It exceeds the gateway's limit on client connections.
const CLIENTS: usize = 600;
const MAX_BODY_LEN: usize = 64 * 1024;

/// Lets all clients send their bytes at the same time, and stay connected.
async fn send_from_all_clients(gateway: &Gateway, bytes: impl Fn(usize) -> Vec<u8>) {
    let mut clients = JoinSet::new();
    for number in 0..CLIENTS {
        let (stream, bytes) = (gateway.connect().await, bytes(number));
        clients.spawn_local(async move { send_until_closed(stream, &bytes, ANSWER_TIMEOUT).await });
    }
    clients.join_all().await;
}

/// Starts a gateway with the tightest limits and lets all clients send their bytes. `name` must be unique among
/// the tests.
async fn assert_clients_stay_within_memory(name: &str, node: SocketAddr, bytes: impl Fn(usize) -> Vec<u8>) {
    let gateway = Gateway::start(&format!("memory_{name}"), TIGHT_LIMITS, node);
    send_from_all_clients(&gateway, bytes).await;
    assert_memory_within_limit(&gateway, name);
}

fn assert_memory_within_limit(gateway: &Gateway, clients: &str) {
    let peak = gateway.peak_memory_mb();
    assert!(peak <= LEAST_MEMORY_MB, "{clients}: the gateway used {peak} MB of memory");
}

/// Clients that stopped within a large request each held its memory until their time was over.
#[tokio::test]
async fn clients_that_stop_within_a_request_do_not_exceed_the_memory() {
    let test = async {
        assert_clients_stay_within_memory("bodies_that_stop", start_hanging_node().await, |number| {
            let head = write_head(&format!("{number:016x}"));
            let body = vec![b'x'; MAX_BODY_LEN - 1];
            [format!("{head}Content-Length: {MAX_BODY_LEN}\r\n\r\n").into_bytes(), body].concat()
        })
        .await;
    };
    LocalSet::new().run_until(test).await;
}

/// Large requests that wait for a node that hangs were not limited in their sum.
#[tokio::test]
async fn complete_large_requests_do_not_exceed_the_memory() {
    let test = async {
        assert_clients_stay_within_memory("complete_bodies", start_hanging_node().await, |number| {
            let head = write_head(&format!("{number:016x}"));
            let body = vec![b'x'; MAX_BODY_LEN];
            [format!("{head}Content-Length: {MAX_BODY_LEN}\r\n\r\n").into_bytes(), body].concat()
        })
        .await;
    };
    LocalSet::new().run_until(test).await;
}

/// Requests with many short header fields held a table of all of them.
#[tokio::test]
async fn heads_of_many_short_fields_do_not_exceed_the_memory() {
    let test = async {
        let fields: String = (0..88).map(|number| format!("a{number}:\r\n")).collect();
        assert_clients_stay_within_memory("complete_heads", start_hanging_node().await, |number| {
            format!("{}{fields}\r\n", read_head(&format!("{number:016x}"))).into_bytes()
        })
        .await;
        let fields: String = (0..2500).map(|_| "a:\r\n").collect();
        assert_clients_stay_within_memory("incomplete_heads", start_hanging_node().await, |number| {
            format!("{}{fields}", read_head(&format!("{number:016x}"))).into_bytes()
        })
        .await;
    };
    LocalSet::new().run_until(test).await;
}

/// Each connection read up to 32 KB ahead of the request in progress.
#[tokio::test]
async fn pipelined_requests_do_not_exceed_the_memory() {
    let test = async {
        assert_clients_stay_within_memory("pipelined_requests", start_hanging_node().await, |number| {
            let request = format!("{}\r\n", read_head(&format!("{number:016x}")));
            request.repeat(400).into_bytes()
        })
        .await;
    };
    LocalSet::new().run_until(test).await;
}

/// Large responses were not limited in their sum.
#[tokio::test]
async fn large_responses_do_not_exceed_the_memory() {
    let test = async {
        let response: &'static [u8] = vec![b'x'; MAX_BODY_LEN].leak();
        let (node, _) = start_node(response).await;
        assert_clients_stay_within_memory("large_responses", node, |number| {
            (0..20)
                .map(|part| format!("{}\r\n", read_head(&format!("{:016x}", number * 100 + part))))
                .collect::<String>()
                .into_bytes()
        })
        .await;
    };
    LocalSet::new().run_until(test).await;
}

/// Each connection that lingers after an error had a buffer for the input that it discards.
#[tokio::test]
async fn clients_that_keep_sending_after_an_error_do_not_exceed_the_memory() {
    let test = async {
        assert_clients_stay_within_memory("clients_after_an_error", start_hanging_node().await, |_| {
            b"not a request \r\n".repeat(100_000)
        })
        .await;
    };
    LocalSet::new().run_until(test).await;
}

/// The limits of requests, responses and connections hold together, not only each for itself.
#[tokio::test]
async fn clients_of_all_kinds_together_do_not_exceed_the_memory() {
    let test = async {
        let response: &'static [u8] = vec![b'x'; MAX_BODY_LEN].leak();
        let (node, _) = start_node(response).await;
        let gateway = Gateway::start("memory_all_kinds", TIGHT_LIMITS, node);
        let fields: String = (0..2500).map(|_| "a:\r\n").collect();
        send_from_all_clients(&gateway, |number| {
            let id = format!("{:016x}", number * 100);
            let length = format!("Content-Length: {MAX_BODY_LEN}\r\n\r\n");
            let body = || vec![b'x'; MAX_BODY_LEN];
            match number % 4 {
                0 => [format!("{}{length}", write_head(&id)).into_bytes(), body()[1..].to_vec()].concat(),
                1 => [format!("{}{length}", write_head(&id)).into_bytes(), body()].concat(),
                2 => format!("{}{fields}", read_head(&id)).into_bytes(),
                _ => (0..60)
                    .map(|part| format!("{}\r\n", read_head(&format!("{:016x}", number * 100 + part))))
                    .collect::<String>()
                    .into_bytes(),
            }
        })
        .await;
        assert_memory_within_limit(&gateway, "clients of all kinds");
    };
    LocalSet::new().run_until(test).await;
}

/// Every connection holds as much as it may without a reservation, and the budgets are used up besides.
#[tokio::test]
async fn connections_that_hold_all_they_may_do_not_exceed_the_memory() {
    const LONG_VALUE: usize = 13_000;
    const SHORT_BODY_LEN: usize = 3_500;
    let test = async {
        let response: &'static [u8] = vec![b'x'; MAX_BODY_LEN].leak();
        let (node, _) = start_slow_node(response, Duration::from_millis(300)).await;
        assert_clients_stay_within_memory("full_connections", node, |number| {
            let head = write_head(&format!("{:016x}", number * 100));
            let (long_value, next) = ("v".repeat(LONG_VALUE), read_head("ff00").repeat(30));
            let body_len = if number % 3 == 0 { MAX_BODY_LEN } else { SHORT_BODY_LEN };
            let head = format!("{head}X-Long: {long_value}\r\nContent-Length: {body_len}\r\n\r\n");
            [head.into_bytes(), vec![b'x'; body_len], next.into_bytes()].concat()
        })
        .await;
    };
    LocalSet::new().run_until(test).await;
}
