//! Tests that clients which only occupy connections do not keep other clients from being answered. Uses the
//! server of the transport module, real sockets and the real clock.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use hyper::{Request, Response, StatusCode};
use std::cell::Cell;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use storage_gateway::transport::{
    ConnectionLimits, GuardedBody, LifecyclePhase, RequestContext, ResponseBody, full_body, serve,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::{sleep, sleep_until, timeout};

const LIMITS: ConnectionLimits = ConnectionLimits { max_served: 8, max_rejected: 2 };
const MAX_OPEN: usize = LIMITS.max_served + LIMITS.max_rejected;
/// A deadline of 750 ms, the half second after which an unanswered request counts as lost, and 50 ms by which
/// the platform extends every time limit.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(750 + 500 + 50);
/// A client that stops within a request receives an error or is disconnected within 3 s, which the platform
/// extends by 50 ms.
const STOPPED_CLIENT_TIMEOUT: Duration = Duration::from_millis(3_000 + 50);
/// Time for which a client is silent before its first request.
const INITIAL_SILENCE: Duration = Duration::from_secs(2);
/// Time from [`RequestContext::started_at`] after which a front end answers a request whose body stops.
const REQUEST_READ_TIMEOUT: Duration = Duration::from_millis(2_600);
/// Time from the start of [`LifecyclePhase::ClosingIdle`] to the platform's earliest SIGKILL.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(500);
/// Duration after which a client that accepts no byte of its response is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which a client that does not read sends a byte, which is too short for silence.
const BYTE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which a client with an endless head sends more of it.
const HEAD_INTERVAL: Duration = Duration::from_millis(10);

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: gateway\r\n\r\n";
const PARTIAL_HEAD: &[u8] = b"GET / HTTP/1.1\r\nho";
/// A request whose body stops after one byte.
const STOPPED_BODY: &[u8] = b"PUT /stopped HTTP/1.1\r\nhost: gateway\r\ncontent-length: 2\r\n\r\na";
const STOPPED_BODY_PATH: &str = "/stopped";
/// The body of every response.
const BODY: &str = "served";

/// Answers a request with status 200, or with the error that a front end sends if the body of a request
/// stops.
async fn respond(request: Request<Incoming>, context: RequestContext) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(BODY));
    if request.uri().path() == STOPPED_BODY_PATH {
        sleep_until(context.started_at + REQUEST_READ_TIMEOUT).await;
        *response.status_mut() = StatusCode::BAD_REQUEST;
    }
    response
}

struct Server {
    address: SocketAddr,
    phase: watch::Sender<LifecyclePhase>,
    task: JoinHandle<()>,
}

impl Server {
    /// Starts a server that answers requests with [`respond`].
    async fn start() -> Self {
        Server::start_with(respond).await
    }

    async fn start_with<S, F>(service: S) -> Self
    where
        S: Fn(Request<Incoming>, RequestContext) -> F + 'static,
        F: Future<Output = Response<ResponseBody>> + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (phase, receiver) = watch::channel(LifecyclePhase::Serving);
        let task = spawn_local(serve(listener, LIMITS, receiver, service));
        Server { address, phase, task }
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address).await.unwrap()
    }
}

/// Opens a connection whose head exceeds every limit, and waits for the error. After that, the client goes on
/// sending and reading until the server closes the connection.
async fn open_connection_with_endless_head(server: &Server) {
    let (mut reader, mut writer) = server.connect().await.into_split();
    spawn_local(async move {
        let header_lines = "x-filler: 0123456789\r\n".repeat(200);
        let mut sent = writer.write_all(b"GET / HTTP/1.1\r\n").await;
        while sent.is_ok() {
            sleep(HEAD_INTERVAL).await;
            sent = writer.write_all(header_lines.as_bytes()).await;
        }
    });
    let mut buffer = [0; 1024];
    let length = reader.read(&mut buffer).await.unwrap();
    assert!(buffer[..length].starts_with(b"HTTP/1.1 431 "), "{}", String::from_utf8_lossy(&buffer));
    spawn_local(async move { while reader.read(&mut buffer).await.is_ok_and(|length| length > 0) {} });
}

/// Sends a request on a new connection and returns everything that the server sends until it closes it.
async fn send_request(server: &Server) -> String {
    let mut client = server.connect().await;
    client.write_all(b"GET / HTTP/1.1\r\nhost: gateway\r\nconnection: close\r\n\r\n").await.unwrap();
    let mut response = String::new();
    client.read_to_string(&mut response).await.unwrap();
    response
}

/// A client that keeps sending after its error occupied its connection for 3 s, and was not taken into
/// account when silent connections were evicted: no connection was accepted until then.
#[tokio::test]
async fn clients_that_keep_sending_after_an_error_do_not_block_other_clients() {
    let test = async {
        for (endless_heads, silent_clients) in [(3, 2 * MAX_OPEN), (MAX_OPEN, 0), (MAX_OPEN, 2 * MAX_OPEN)] {
            let server = Server::start().await;
            for _ in 0..endless_heads {
                open_connection_with_endless_head(&server).await;
            }
            let mut silent = Vec::new();
            for _ in 0..silent_clients {
                silent.push(server.connect().await);
            }
            let response = timeout(ANSWER_TIMEOUT, send_request(&server)).await;
            let response = response.unwrap_or_else(|_| {
                panic!("no answer beside {endless_heads} endless heads and {silent_clients} silent clients")
            });
            assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
        }
    };
    LocalSet::new().run_until(test).await;
}

/// Sends a part of a head, and goes on with a byte of a header in each interval, if there is one.
fn send_partial_head(mut client: TcpStream, byte_interval: Option<Duration>) {
    spawn_local(async move {
        let mut sent = client.write_all(PARTIAL_HEAD).await;
        while sent.is_ok() {
            sleep(byte_interval.unwrap_or(WRITE_TIMEOUT)).await;
            sent = client.write_all(b"x").await;
        }
    });
}

/// Each filling of the table with incomplete heads occupied it for a second, while requests on new
/// connections waited to be accepted.
#[tokio::test]
async fn incomplete_heads_do_not_keep_new_clients_waiting() {
    let test = async {
        for byte_interval in [None, Some(HEAD_INTERVAL)] {
            let server = Server::start().await;
            for _ in 0..4 * MAX_OPEN {
                send_partial_head(server.connect().await, byte_interval);
            }
            let response = timeout(ANSWER_TIMEOUT, send_request(&server)).await;
            let response = response.unwrap_or_else(|_| panic!("no answer beside heads of {byte_interval:?}"));
            assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
        }
    };
    LocalSet::new().run_until(test).await;
}

/// Requests that arrive slowly were given up at the serving limit, although no other client needed a
/// connection.
#[tokio::test]
async fn slow_requests_are_served_at_the_serving_limit_if_no_client_waits() {
    let test = async {
        let server = Server::start().await;
        let mut kept = Vec::new();
        for _ in 0..LIMITS.max_served - 1 {
            kept.push(exchange(server.connect().await, REQUEST).await);
        }
        let mut client = server.connect().await;
        for piece in REQUEST.chunks(REQUEST.len().div_ceil(3)) {
            client.write_all(piece).await.unwrap();
            sleep(10 * HEAD_INTERVAL).await;
        }
        exchange(client, b"").await;
    };
    LocalSet::new().run_until(test).await;
}

/// Clients that stopped within a body occupied their connections for over two seconds, while requests on new
/// connections waited to be accepted.
#[tokio::test]
async fn incomplete_bodies_do_not_keep_new_clients_waiting() {
    let test = async {
        let server = Server::start().await;
        for _ in 0..4 * MAX_OPEN {
            let mut client = server.connect().await;
            spawn_local(async move {
                client.write_all(STOPPED_BODY).await.unwrap();
                let _ = client.read_to_end(&mut Vec::new()).await;
            });
        }
        sleep(HEAD_INTERVAL).await;
        let response = timeout(ANSWER_TIMEOUT, send_request(&server)).await;
        let response = response.expect("no answer beside incomplete bodies");
        assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    };
    LocalSet::new().run_until(test).await;
}

/// A usual client whose head arrives in pieces is not evicted for those that have stopped within theirs.
#[tokio::test]
async fn a_head_that_arrives_in_pieces_is_served_beside_stalled_heads() {
    let test = async {
        let server = Server::start().await;
        for _ in 0..LIMITS.max_served - 1 {
            send_partial_head(server.connect().await, None);
        }
        sleep(10 * HEAD_INTERVAL).await;
        let mut client = server.connect().await;
        for piece in REQUEST.chunks(4) {
            client.write_all(piece).await.unwrap();
            send_partial_head(server.connect().await, None);
            sleep(HEAD_INTERVAL).await;
        }
        exchange(client, b"").await;
    };
    LocalSet::new().run_until(test).await;
}

/// Sends the bytes, reads one response, and returns the connection.
async fn exchange(mut client: TcpStream, bytes: &[u8]) -> TcpStream {
    client.write_all(bytes).await.unwrap();
    let mut response = Vec::new();
    while !response.ends_with(BODY.as_bytes()) {
        assert!(client.read_buf(&mut response).await.unwrap() > 0, "closed without a response");
    }
    client
}

/// Sends a part of a head and waits until the server disconnects the client.
async fn stop_within_head(mut client: TcpStream) {
    client.write_all(PARTIAL_HEAD).await.unwrap();
    let mut response = Vec::new();
    client.read_to_end(&mut response).await.unwrap();
}

/// On a kept connection, the timeout of an incomplete head took effect only once the idle timeout of 20 s had
/// passed, or not at all if the head had begun before the previous response.
#[tokio::test]
async fn clients_that_stop_within_a_later_head_are_disconnected() {
    let test = async {
        let server = Server::start().await;
        let kept = async {
            let client = exchange(server.connect().await, REQUEST).await;
            timeout(STOPPED_CLIENT_TIMEOUT, stop_within_head(client)).await.expect("head after a response");
        };
        let pipelined = async {
            let bytes = [REQUEST, PARTIAL_HEAD].concat();
            let mut client = exchange(server.connect().await, &bytes).await;
            let closed = client.read_u8();
            let end = timeout(STOPPED_CLIENT_TIMEOUT, closed).await.expect("head before a response");
            assert_eq!(end.unwrap_err().kind(), ErrorKind::UnexpectedEof);
        };
        tokio::join!(kept, pipelined);
    };
    LocalSet::new().run_until(test).await;
}

/// The time for the first request of a connection began at its first byte, so that a client that was silent
/// before could take almost twice the time.
#[tokio::test]
async fn initial_silence_counts_towards_the_time_for_the_first_request() {
    let test = async {
        let server = Server::start().await;
        let remaining = STOPPED_CLIENT_TIMEOUT.saturating_sub(INITIAL_SILENCE);
        let head = async {
            let client = server.connect().await;
            sleep(INITIAL_SILENCE).await;
            timeout(remaining, stop_within_head(client)).await.expect("a head that stops");
        };
        let body = async {
            let client = server.connect().await;
            sleep(INITIAL_SILENCE).await;
            timeout(remaining, exchange(client, STOPPED_BODY)).await.expect("a body that stops");
        };
        tokio::join!(head, body);
    };
    LocalSet::new().run_until(test).await;
}

/// A connection that had begun to linger before a shutdown delayed the end of the gateway by up to 3 s.
#[tokio::test]
async fn lingering_connections_do_not_delay_a_shutdown() {
    let test = async {
        let server = Server::start().await;
        open_connection_with_endless_head(&server).await;
        server.phase.send_replace(LifecyclePhase::ClosingIdle);
        let ended = timeout(SHUTDOWN_TIMEOUT, server.task).await;
        ended.expect("the server waits for a lingering connection").unwrap();
    };
    LocalSet::new().run_until(test).await;
}

/// A response body that never ends.
struct EndlessBody;

impl Body for EndlessBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        Poll::Ready(Some(Ok(Frame::data(Bytes::from_static(&[0; 16 * 1024])))))
    }
}

/// If a response could not be written and its client went on sending, the request remained in progress while
/// the connection lingered. The paused clock advances whenever all tasks wait.
#[tokio::test(start_paused = true)]
async fn a_request_is_cancelled_before_its_connection_lingers() {
    let test = async {
        let (guard, mut guards) = mpsc::unbounded_channel::<()>();
        let guard = Cell::new(Some(guard));
        let server = Server::start_with(move |_, _| {
            let body = GuardedBody::new(EndlessBody.boxed_unsync(), guard.take());
            async { Response::new(body.boxed()) }
        })
        .await;
        let mut client = server.connect().await;
        client.write_all(REQUEST).await.unwrap();
        spawn_local(async move {
            while client.write_all(b"x").await.is_ok() {
                sleep(BYTE_INTERVAL).await;
            }
        });
        let cancelled = timeout(WRITE_TIMEOUT + 2 * BYTE_INTERVAL, guards.recv()).await;
        assert_eq!(cancelled.expect("the request is still in progress"), None);
    };
    LocalSet::new().run_until(test).await;
}
