use super::{PooledConnection, take_reusable};
use crate::transport::NodeConnection;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::task::LocalSet;
use tokio::time::Instant;

/// Opens connections that count as just used, and returns them with the node's ends. Pauses the clock.
async fn just_used_connections(count: usize) -> (Vec<PooledConnection>, Vec<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let permits = Arc::new(Semaphore::new(count));
    let (mut idle, mut node_ends) = (Vec::new(), Vec::new());
    for _ in 0..count {
        let connection = NodeConnection::connect(listener.local_addr().unwrap()).await.unwrap();
        node_ends.push(listener.accept().unwrap().0);
        let permit = permits.clone().try_acquire_owned().unwrap();
        idle.push(PooledConnection { connection, last_used: Instant::now(), _permit: permit });
    }
    tokio::time::pause();
    for pooled in &mut idle {
        pooled.last_used = Instant::now();
    }
    (idle, node_ends)
}

#[tokio::test]
async fn connection_is_not_reused_while_a_duplicate_response_may_come() {
    let test = async {
        let (mut idle, mut node_ends) = just_used_connections(2).await;
        // Less than the reuse delay has passed. A duplicate response that arrives now would be taken for the
        // response to the next request.
        tokio::time::advance(Duration::from_millis(9)).await;
        assert!(take_reusable(&mut idle).is_none(), "a duplicate response may still arrive");
        node_ends[1].write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").unwrap();
        tokio::time::advance(Duration::from_millis(11)).await;
        let first = take_reusable(&mut idle).expect("no duplicate response on this connection");
        assert!(idle.is_empty(), "the connection with the duplicate is dropped");
        drop(first);
    };
    LocalSet::new().run_until(test).await;
}
