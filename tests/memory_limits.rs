//! Tests that the gateway stays within the memory of its configuration, whatever its clients send.

mod load;

use load::{Gateway, LEAST_MEMORY_MB, Limits, send_until_closed, start_node, write_head};
use std::time::Duration;
use tokio::task::{JoinSet, LocalSet};

/// A request that stops is answered with an error within 3 s, which the platform extends by 50 ms.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(3_050);

/// Bodies in chunks of one byte occupied 32 bytes of memory and more for each of their chunks.
#[tokio::test]
async fn bodies_in_tiny_chunks_do_not_exceed_the_memory() {
    const CLIENTS: usize = 60;
    let test = async {
        let (node, _) = start_node(b"").await;
        let limits = Limits { memory_mb: LEAST_MEMORY_MB, descriptors: 384 };
        let gateway = Gateway::start("memory_tiny_chunks", limits, node);
        let chunks = b"1\r\nx\r\n".repeat(64 * 1024);
        let mut clients = JoinSet::new();
        for number in 0..CLIENTS {
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
