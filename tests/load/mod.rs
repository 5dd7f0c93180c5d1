//! Runs the platform gateway as a process with given limits, beside many clients and a storage node.

// Each test file uses a part of these functions.
#![allow(dead_code)]

#[path = "../exchange_player/gateway_process.rs"]
mod gateway_process;

use gateway_process::GatewayProcess;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncRead, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// The configuration that is adapted for these tests.
const CONFIGURATION: &str = "tests/exchanges/platform/config.json";
/// The least memory of a gateway that the Terms of service name, in megabytes.
pub const LEAST_MEMORY_MB: u64 = 32;
/// The most descriptors of a gateway that the Terms of service name.
pub const MOST_DESCRIPTORS: u64 = 1024;
/// The empty line that ends the head of an HTTP message.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// The limits in the configuration of a gateway.
#[derive(Clone, Copy)]
pub struct Limits {
    pub memory_mb: u64,
    pub descriptors: u64,
}

/// The least memory together with the most descriptors that the Terms of service name.
pub const TIGHT_LIMITS: Limits = Limits { memory_mb: LEAST_MEMORY_MB, descriptors: MOST_DESCRIPTORS };

/// The position of a gateway in its fleet.
#[derive(Clone, Copy)]
pub struct FleetPosition {
    pub gateway_count: usize,
    pub gateway_index: usize,
}

/// A running gateway.
pub struct Gateway {
    process: GatewayProcess,
    configuration: Value,
    configuration_file: PathBuf,
    pub address: SocketAddr,
}

impl Gateway {
    /// Starts a gateway that is alone in its fleet; see [`start_in_fleet`](Self::start_in_fleet).
    pub fn start(name: &str, limits: Limits, node: SocketAddr) -> Self {
        Gateway::start_in_fleet(name, limits, node, FleetPosition { gateway_count: 1, gateway_index: 0 })
    }

    /// Starts a gateway in this position of its fleet; see [`start_with`](Self::start_with).
    pub fn start_in_fleet(name: &str, limits: Limits, node: SocketAddr, position: FleetPosition) -> Self {
        Gateway::start_with(name, limits, node, |configuration| {
            configuration["settings"]["balancers"] = json!(position.gateway_count);
            configuration["settings"]["index"] = json!(position.gateway_index);
        })
    }

    /// Starts a gateway whose cached endpoint list contains one storage node, and whose discovery is down
    /// unless `edit` changes this in the configuration. `name` must be unique among the tests.
    pub fn start_with(name: &str, limits: Limits, node: SocketAddr, edit: impl FnOnce(&mut Value)) -> Self {
        let mut configuration: Value =
            serde_json::from_str(&std::fs::read_to_string(CONFIGURATION).unwrap()).unwrap();
        let endpoints = configuration["known"]["endpoints"].as_array_mut().unwrap();
        endpoints.truncate(1);
        endpoints[0]["address"] = json!(node.to_string());
        configuration["limits"]["memory_mb"] = json!(limits.memory_mb);
        configuration["limits"]["sockets"] = json!(limits.descriptors);
        configuration["discovery"] = json!("127.0.0.1:1");
        edit(&mut configuration);
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&folder).unwrap();
        let configuration_file = folder.join("config.json");
        std::fs::write(&configuration_file, configuration.to_string()).unwrap();
        let process = GatewayProcess::start(&folder);
        let address = process.client_address().parse().unwrap();
        Gateway { process, configuration, configuration_file, address }
    }

    /// Replaces the address of discovery in the configuration and sends SIGHUP.
    pub fn move_discovery(&mut self, address: SocketAddr) {
        self.configuration["discovery"] = json!(address.to_string());
        std::fs::write(&self.configuration_file, self.configuration.to_string()).unwrap();
        self.process.send_signal("HUP");
    }

    /// Opens a client connection.
    pub async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address).await.unwrap()
    }

    /// Returns the most memory that the process has used so far, in megabytes, rounded up.
    pub fn peak_memory_mb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.process.id()));
        let status = status.expect("the gateway is running");
        let line = status.lines().find(|line| line.starts_with("VmHWM:")).expect("the peak of the memory");
        let kilobytes: u64 = line.split_whitespace().nth(1).unwrap().parse().unwrap();
        kilobytes.div_ceil(1024)
    }
}

/// The ids of the requests that a storage node has received, in order.
pub type ReceivedIds = Rc<RefCell<Vec<String>>>;

/// Starts a storage node that answers each request with this body, and records the ids of
/// the requests. Must be called
/// on a `LocalSet`.
pub async fn start_node(body: &'static [u8]) -> (SocketAddr, ReceivedIds) {
    start_slow_node(body, Duration::ZERO).await
}

/// Like [`start_node`], but the node answers only after the service time.
pub async fn start_slow_node(body: &'static [u8], service_time: Duration) -> (SocketAddr, ReceivedIds) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let ids = ReceivedIds::default();
    let recorded = ids.clone();
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(serve_node(stream, body, service_time, recorded.clone()));
        }
    });
    (address, ids)
}

async fn serve_node(mut stream: TcpStream, body: &'static [u8], service_time: Duration, ids: ReceivedIds) {
    let response_head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    let response = [response_head.as_bytes(), body].concat();
    while let Some(message) = read_message(&mut stream).await {
        ids.borrow_mut().push(header(&message, "req-id").to_string());
        sleep(service_time).await;
        if stream.write_all(&response).await.is_err() {
            return;
        }
    }
}

/// Starts a storage node that reads requests and never answers. Must be called on a `LocalSet`.
pub async fn start_hanging_node() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            spawn_local(async move { while read_message(&mut stream).await.is_some() {} });
        }
    });
    address
}

/// Reads the next message, and returns its head; `None` if the connection ends before.
pub async fn read_message(stream: &mut (impl AsyncRead + Unpin)) -> Option<String> {
    let mut reader = BufReader::new(stream);
    let mut head = String::new();
    while !head.as_bytes().ends_with(HEAD_END) {
        if reader.read_line(&mut head).await.ok()? == 0 {
            return None;
        }
    }
    let mut body = vec![0; header(&head, "content-length").parse().unwrap_or(0)];
    reader.read_exact(&mut body).await.ok()?;
    Some(head)
}

/// Returns the value of a header; empty if the head does not contain it.
fn header<'h>(head: &'h str, name: &str) -> &'h str {
    let mut lines = head.lines().filter_map(|line| line.split_once(": "));
    lines.find(|(other, _)| other.eq_ignore_ascii_case(name)).map_or("", |(_, value)| value)
}

/// Returns the head of a read with this id, without the empty line at its end.
pub fn read_head(id: &str) -> String {
    format!(
        "GET /api/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {id}\r\nReq-Kind: dossier-read\r\n\
         Tier: basic\r\nReq-Deadline: 4900m\r\nIO-Info: volume=00000003b4d60021,units=2,shard=3,hosts=3\r\n"
    )
}

/// Returns the head of a write with this id, without the header that states its length.
pub fn write_head(id: &str) -> String {
    let read = read_head(id).replacen("GET", "PUT", 1).replacen("dossier-read", "upload-write", 1);
    format!("{read}Idempotency-Key: {id}\r\n")
}

/// Sends the bytes in pieces of 4 KB until all are sent, the gateway closes the connection, or the time is
/// over. Reads and discards what the gateway sends.
pub async fn send_until_closed(stream: TcpStream, bytes: &[u8], time: Duration) {
    let (mut reader, mut writer) = stream.into_split();
    let read = async {
        let mut discarded = [0; 4096];
        while reader.read(&mut discarded).await.is_ok_and(|length| length > 0) {}
    };
    let send = async {
        for piece in bytes.chunks(4096) {
            if writer.write_all(piece).await.is_err() {
                return;
            }
        }
    };
    let _ = timeout(time, async { tokio::join!(read, send) }).await;
}
