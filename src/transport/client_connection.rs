//! Serves the requests of one client connection until it is closed.

use super::client_stream::{ClientStream, READ_BUFFER_LEN, ReadAhead};
use super::connection_slot::{BodyReception, ConnectionSlot, StartedRequest};
use super::connection_table::ConnectionTable;
use super::lifecycle::LifecyclePhase;
use super::socket::SharedSocket;
use super::{GuardedBody, ResponseBody};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue, TRANSFER_ENCODING};
use hyper::server::conn::http1;
use hyper::service::{HttpService, service_fn};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, Interval, MissedTickBehavior};

/// Maximum duration of a lingering close, in which bytes from the client are read and discarded before its
/// connection is closed.
const LINGER_TIMEOUT: Duration = Duration::from_secs(3);
/// Duration without input from the client after which lingering ends early.
const LINGER_SILENCE_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum duration of a lingering close during a graceful shutdown, from [`LifecyclePhase::FinalResponses`]
/// on.
const SHUTDOWN_LINGER_TIMEOUT: Duration = Duration::from_millis(100);
/// Interval at which a client is checked for a disconnect while the read-ahead buffer is full. The buffer
/// contains bytes of the request's body that hyper has not read yet, bytes that follow the request, or both.
/// The platform requires that nothing is forwarded more than 0.1 s after a client has disconnected.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Properties of a request that its connection determines.
#[derive(Clone)]
pub struct RequestContext {
    /// Whether the request is served or is rejected because too many connections are open.
    pub admission: Admission,
    /// Time at which hyper read the first byte of the request. If bytes of the request arrived before the
    /// previous response ended (pipelining), it is the time of hyper's first read after that response. If
    /// hyper had already read the complete head by then, it is the time at which the processing of the
    /// request started. The first request of a connection counts as started 200 ms after the connection was
    /// accepted at the latest.
    pub started_at: Instant,
    /// Whether the request has both `Transfer-Encoding` and `Content-Length`.
    pub conflicting_length: bool,
    /// Reports the end of the body to the connection, and whether the rest of the body is still awaited.
    pub body: BodyReception,
}

/// Whether a request is served or is rejected because too many connections are open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request must be served.
    Admitted,
    /// Too many connections are open; the request must be rejected.
    Overloaded,
}

/// How serving requests on a connection ended.
enum ConnectionEnd {
    /// The last response was written, or the connection failed. The connection lingers before it is closed.
    Finished,
    /// The client disconnected during a request, or the connection timed out or was evicted. The connection
    /// is closed at once.
    Aborted,
}

/// A connection from a client, from its acceptance until it is closed.
pub(super) struct ClientConnection<S> {
    read_ahead: Rc<ReadAhead>,
    slot: Arc<ConnectionSlot>,
    table: Rc<ConnectionTable>,
    phase: watch::Receiver<LifecyclePhase>,
    service: Rc<S>,
    /// Whether a request has started on the connection.
    has_started_request: Cell<bool>,
}

impl<S, F> ClientConnection<S>
where
    S: Fn(Request<Incoming>, RequestContext) -> F,
    F: Future<Output = Response<ResponseBody>>,
{
    /// Creates the connection for a socket that has just been accepted.
    pub(super) fn new(
        stream: TcpStream,
        slot: Arc<ConnectionSlot>,
        table: Rc<ConnectionTable>,
        phase: watch::Receiver<LifecyclePhase>,
        service: Rc<S>,
    ) -> Self {
        // A failure is ignored: without TCP_NODELAY, responses are only slower.
        let _ = stream.set_nodelay(true);
        ClientConnection {
            read_ahead: Rc::new(ReadAhead::new(stream)),
            slot,
            table,
            phase,
            service,
            has_started_request: Cell::new(false),
        }
    }

    /// Serves requests until the connection ends, and then lingers unless it must be closed at once.
    pub(super) async fn serve(&self) {
        let io = TokioIo::new(ClientStream::new(self.read_ahead.clone(), self.slot.clone()));
        let connection = http1::Builder::new()
            .header_read_timeout(None)
            .max_buf_size(READ_BUFFER_LEN)
            .serve_connection(io, service_fn(|request| self.respond(request)));
        match self.drive(connection).await {
            ConnectionEnd::Finished => self.linger().await,
            ConnectionEnd::Aborted => {}
        }
    }

    /// Passes one request to the service, and adds `Connection: close` to the response if the connection must
    /// not be reused.
    fn respond(
        &self,
        request: Request<Incoming>,
    ) -> Pin<Box<impl Future<Output = Result<Response<ResponseBody>, Infallible>> + use<'_, S, F>>> {
        let StartedRequest { started_at, guard } = self.slot.start_request(!request.body().is_end_stream());
        let admission =
            if self.table.try_admit(&self.slot) { Admission::Admitted } else { Admission::Overloaded };
        let has_transfer_encoding = request.headers().contains_key(TRANSFER_ENCODING);
        let conflicting_length = has_transfer_encoding && self.read_ahead.conflicting_length();
        let body = BodyReception::new(self.slot.clone());
        let context = RequestContext { admission, started_at, conflicting_length, body };
        let is_first = !self.has_started_request.replace(true);
        Box::pin(async move {
            if !is_first {
                // Other connections take their turns between two requests of one connection. The runtime also
                // reports whether the previous response has reached a client that has closed its connection:
                // behind many unread bytes, the close itself cannot be seen.
                tokio::task::yield_now().await;
            }
            if self.read_ahead.is_closed_by_client() {
                // `drive` closes the connection.
                std::future::pending::<()>().await;
            }
            let mut response = (self.service)(request, context).await;
            // A request with `Transfer-Encoding` closes the connection because an intermediary may treat
            // bytes that follow a body without `Content-Length` as the rest of that body.
            if has_transfer_encoding || admission == Admission::Overloaded || self.responses_are_final() {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok(response.map(|body| GuardedBody::new(body, guard).boxed()))
        })
    }

    fn responses_are_final(&self) -> bool {
        *self.phase.borrow() >= LifecyclePhase::FinalResponses
    }

    /// Runs hyper's connection until it ends. Also ends it if the client disconnects during a request, if the
    /// connection times out or is evicted, or, from [`LifecyclePhase::ClosingIdle`] on, once it is idle. A
    /// request that is still in progress then is cancelled.
    async fn drive<H>(&self, mut connection: http1::Connection<TokioIo<ClientStream>, H>) -> ConnectionEnd
    where
        H: HttpService<Incoming, ResBody = ResponseBody, Error = Infallible> + Unpin,
        H::Future: Unpin,
    {
        let mut check_interval = tokio::time::interval(DISCONNECT_CHECK_INTERVAL);
        check_interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut phase = self.phase.clone();
        let mut closing = false;
        loop {
            tokio::select! {
                biased;
                // hyper has finished: the last response was written, or the connection failed.
                _ = poll_fn(|cx| connection.poll_without_shutdown(cx)) => return ConnectionEnd::Finished,
                // The client disconnected, and hyper has not detected it.
                () = poll_fn(|cx| self.poll_client_closed(cx, &mut check_interval)) => {
                    return ConnectionEnd::Aborted;
                }
                _ = phase.wait_for(|phase| *phase == LifecyclePhase::ClosingIdle), if !closing => {
                    closing = true;
                    // hyper considers a connection idle even if part of its next request has arrived. Such a
                    // request is still served, and its response closes the connection.
                    if !self.slot.is_reading_head() {
                        Pin::new(&mut connection).graceful_shutdown();
                    }
                }
                () = self.slot.must_close() => {
                    // Bytes of a request may have arrived that the runtime has not reported yet, in
                    // particular if the process was held up.
                    let keep = self.read_ahead.has_unread_bytes() && self.slot.revoke_eviction();
                    if !keep {
                        return ConnectionEnd::Aborted;
                    }
                }
            }
        }
    }

    /// Returns ready once the client has closed the connection during a request.
    fn poll_client_closed(&self, cx: &mut Context<'_>, check_interval: &mut Interval) -> Poll<()> {
        if self.slot.is_serving_request() {
            self.read_ahead.poll_closed(cx, check_interval)
        } else {
            Poll::Pending
        }
    }

    /// Performs a lingering close: gives the client time to read its response before the socket is closed.
    async fn linger(&self) {
        self.slot.start_lingering();
        tokio::select! {
            // An error is ignored: the connection is closed in any case.
            _ = discard_until_closed(self.read_ahead.stream()) => {}
            () = tokio::time::sleep(LINGER_TIMEOUT) => {}
            () = self.shutdown_linger_timeout() => {}
            () = self.slot.evicted() => {}
        }
    }

    /// Resolves [`SHUTDOWN_LINGER_TIMEOUT`] after [`LifecyclePhase::FinalResponses`] has been reached, or
    /// after the call if that is later.
    async fn shutdown_linger_timeout(&self) {
        let mut phase = self.phase.clone();
        // Waiting fails only if the sender has been dropped, which happens only when the program exits.
        let _ = phase.wait_for(|phase| *phase >= LifecyclePhase::FinalResponses).await;
        tokio::time::sleep(SHUTDOWN_LINGER_TIMEOUT).await;
    }
}

/// Shuts down the sending half of the connection, and discards input until the client closes its half or
/// sends nothing for [`LINGER_SILENCE_TIMEOUT`].
///
/// Closing a socket with unread input resets the connection, which could discard the response before the
/// client has read it.
async fn discard_until_closed(stream: &TcpStream) -> io::Result<()> {
    stream.shutdown_write()?;
    loop {
        let read = poll_fn(|cx| stream.poll_read_with(cx, discard_available));
        if tokio::time::timeout(LINGER_SILENCE_TIMEOUT, read).await?? == 0 {
            return Ok(());
        }
        // A client that sends at full speed must not keep the thread from other connections.
        tokio::task::yield_now().await;
    }
}

thread_local! {
    /// The buffer into which all lingering connections discard their input.
    static DISCARDED: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_BUFFER_LEN]);
}

/// Reads available input and discards it. Returns the number of bytes read; 0 if the client has closed its
/// half of the connection.
fn discard_available(stream: &TcpStream) -> io::Result<usize> {
    DISCARDED.with_borrow_mut(|buffer| stream.try_read(buffer))
}
