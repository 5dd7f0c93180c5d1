use super::{Pooled, rested};
use crate::transport::NodeConnection;
use std::io::Write;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::task::LocalSet;
use tokio::time::Instant;

/// Connections that have just answered, and the peer's ends of them. The clock stands still.
async fn answered(count: usize) -> (Vec<Pooled>, Vec<std::net::TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let permits = Arc::new(Semaphore::new(count));
    let (mut idle, mut ends) = (Vec::new(), Vec::new());
    for _ in 0..count {
        let conn = NodeConnection::connect(listener.local_addr().unwrap()).await.unwrap();
        ends.push(listener.accept().unwrap().0);
        let permit = permits.clone().try_acquire_owned().unwrap();
        idle.push(Pooled { conn, used: Instant::now(), _permit: permit });
    }
    tokio::time::pause();
    idle.iter_mut().for_each(|p| p.used = Instant::now());
    (idle, ends)
}

#[tokio::test]
async fn a_connection_rests_while_a_second_answer_may_come() {
    let test = async {
        let (mut idle, mut ends) = answered(2).await;
        // Some milliseconds on the second answer may still be on its way.
        tokio::time::advance(Duration::from_millis(9)).await;
        assert!(rested(&mut idle).is_none(), "it would be taken for the answer to the next request");
        ends[1].write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").unwrap();
        tokio::time::advance(Duration::from_millis(11)).await;
        let first = rested(&mut idle).expect("the one on which nothing came");
        assert!(idle.is_empty(), "the other is of no more use");
        drop(first);
    };
    LocalSet::new().run_until(test).await;
}
