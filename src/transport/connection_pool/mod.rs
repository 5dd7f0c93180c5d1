//! A pool of connections to one storage node, owned by an actor.
//!
//! The actor assigns an idle connection to an exchange, and the exchange returns it afterwards. Each exchange
//! runs in its own task, so that the actor never waits for the network.

use super::exchange::{Exchange, ExchangeEnd, ExchangeEvent, ExchangeFailure, run_exchange};
use super::node_connection::NodeConnection;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time::Instant;

/// Duration for which a connection is not reused after a response. According to the platform, a duplicate
/// response may arrive some milliseconds later. A response does not identify its request, so the duplicate
/// would be taken for the response to the next request on the connection.
const REUSE_DELAY: Duration = Duration::from_millis(20);

/// Limits that apply to the pools of all nodes.
#[derive(Clone)]
pub struct PoolLimits {
    /// One permit for each connection that may be open in all pools together.
    pub permits: Arc<Semaphore>,
    /// Maximum time to establish a connection.
    pub connect_timeout: Duration,
    /// Duration after which an idle connection is closed, well before the node would close it.
    pub idle_timeout: Duration,
}

/// An open connection and its permit, which limits the number of open connections.
struct PooledConnection {
    connection: NodeConnection,
    last_used: Instant,
    _permit: OwnedSemaphorePermit,
}

enum Command {
    Execute(Box<Exchange>),
    Return(PooledConnection),
    /// Closes idle connections that were last used before this time. A connection in use is not closed: the
    /// end of its exchange counts as its last use, so it is returned to the pool afterwards, and is dropped
    /// there only if its exchange ended before this time.
    InvalidateBefore(Instant),
    AddressChanged(SocketAddr),
    NodeRestarted,
}

/// A handle to the actor that owns the connections to one storage node. Clones refer to the same actor.
#[derive(Clone)]
pub struct ConnectionPool(mpsc::UnboundedSender<Command>);

impl ConnectionPool {
    /// Starts the actor, which stops once all handles are dropped. Must be called on a `LocalSet`.
    pub fn start(address: SocketAddr, limits: PoolLimits) -> ConnectionPool {
        let (sender, receiver) = mpsc::unbounded_channel();
        let actor = PoolActor {
            address,
            limits,
            idle: Vec::new(),
            valid_since: Instant::now(),
            commands: sender.downgrade(),
        };
        tokio::task::spawn_local(actor.run(receiver));
        ConnectionPool(sender)
    }

    /// Starts an exchange, whose progress and result are reported to its `on_event`.
    pub fn execute(&self, exchange: Exchange) {
        self.send(Command::Execute(Box::new(exchange)));
    }

    /// Sets the node's new address, and closes the idle connections to the old one. A connection that is in
    /// use is not closed: it is returned to the pool when its exchange ends, and may then be reused.
    pub fn address_changed(&self, address: SocketAddr) {
        self.send(Command::AddressChanged(address));
    }

    /// Closes the idle connections to a node that has restarted, because they belong to its previous process.
    /// A connection that is in use is not closed: it is returned to the pool when its exchange ends, and may
    /// then be reused if it is still open.
    pub fn node_restarted(&self) {
        self.send(Command::NodeRestarted);
    }

    fn send(&self, command: Command) {
        // Sending does not fail: the actor runs as long as a handle to it exists.
        let _ = self.0.send(command);
    }
}

struct PoolActor {
    address: SocketAddr,
    limits: PoolLimits,
    /// Idle connections, ordered by last use from oldest to newest.
    idle: Vec<PooledConnection>,
    /// Connections that were last used before this time must not be reused.
    valid_since: Instant,
    /// Sender through which exchanges return their connections. It is weak so that it does not keep the actor
    /// running.
    commands: mpsc::WeakUnboundedSender<Command>,
}

impl PoolActor {
    async fn run(mut self, mut commands: mpsc::UnboundedReceiver<Command>) {
        loop {
            let next_expiry = self.idle.first().map(|pooled| pooled.last_used + self.limits.idle_timeout);
            tokio::select! {
                command = commands.recv() => match command {
                    None => return,
                    Some(command) => self.handle_command(command),
                },
                () = sleep_until_some(next_expiry) => self.close_expired(),
            }
        }
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::Execute(exchange) => self.start_exchange(*exchange),
            Command::Return(pooled) => {
                if pooled.last_used >= self.valid_since {
                    self.idle.push(pooled);
                }
            }
            Command::InvalidateBefore(time) => {
                self.valid_since = self.valid_since.max(time);
                self.idle.retain(|pooled| pooled.last_used >= self.valid_since);
            }
            Command::AddressChanged(address) => {
                self.address = address;
                self.invalidate_all();
            }
            Command::NodeRestarted => self.invalidate_all(),
        }
    }

    fn start_exchange(&mut self, exchange: Exchange) {
        self.close_expired();
        let pooled = take_reusable(&mut self.idle);
        let (limits, commands) = (self.limits.clone(), self.commands.clone());
        tokio::task::spawn_local(run_in_task(exchange, pooled, self.address, limits, commands));
    }

    fn close_expired(&mut self) {
        self.idle.retain(|pooled| pooled.last_used.elapsed() < self.limits.idle_timeout);
    }

    fn invalidate_all(&mut self) {
        self.valid_since = Instant::now();
        self.idle.clear();
    }
}

async fn sleep_until_some(time: Option<Instant>) {
    match time {
        Some(time) => tokio::time::sleep_until(time).await,
        None => std::future::pending().await,
    }
}

/// Takes the most recently used connection that can be reused. Drops each connection that is found to be
/// unusable during the search.
fn take_reusable(idle: &mut Vec<PooledConnection>) -> Option<PooledConnection> {
    loop {
        let position = idle.iter().rposition(|pooled| pooled.last_used.elapsed() >= REUSE_DELAY)?;
        let pooled = idle.remove(position);
        if pooled.connection.is_reusable() {
            return Some(pooled);
        }
    }
}

/// Runs an exchange on `pooled`, or on a new connection if `pooled` is `None`. Returns the connection to the
/// pool if it can be reused.
async fn run_in_task(
    mut exchange: Exchange,
    pooled: Option<PooledConnection>,
    address: SocketAddr,
    limits: PoolLimits,
    commands: mpsc::WeakUnboundedSender<Command>,
) {
    let started_at = Instant::now();
    let mut pooled = match pooled {
        Some(pooled) => pooled,
        None => match open_connection(&mut exchange, address, &limits, started_at).await {
            Ok(pooled) => pooled,
            Err(failure) => return (exchange.on_event)(ExchangeEvent::Failed(failure)),
        },
    };
    let ExchangeEnd { event, connection_reusable } = match (exchange.build_request)() {
        Some(request) => run_exchange(&mut exchange, &mut pooled.connection, request).await,
        // The connection has not been used, so it remains reusable.
        None => ExchangeEnd {
            event: ExchangeEvent::Failed(ExchangeFailure::CancelledBeforeSent),
            connection_reusable: true,
        },
    };
    if let Some(commands) = commands.upgrade() {
        if connection_reusable {
            pooled.last_used = Instant::now();
            let _ = commands.send(Command::Return(pooled));
        } else if invalidates_idle_connections(&event) {
            let _ = commands.send(Command::InvalidateBefore(started_at));
        }
    }
    (exchange.on_event)(event);
}

/// Opens a connection for an exchange. If this fails, the node has not received the request.
async fn open_connection(
    exchange: &mut Exchange,
    address: SocketAddr,
    limits: &PoolLimits,
    started_at: Instant,
) -> Result<PooledConnection, ExchangeFailure> {
    let Ok(permit) = limits.permits.clone().try_acquire_owned() else {
        return Err(ExchangeFailure::ConnectionLimitReached);
    };
    let connect_deadline = exchange.deadline.min(started_at + limits.connect_timeout);
    let connected = tokio::select! {
        biased;
        _ = &mut exchange.cancelled => return Err(ExchangeFailure::CancelledBeforeSent),
        connected = tokio::time::timeout_at(connect_deadline, NodeConnection::connect(address)) => connected,
    };
    match connected {
        Ok(Ok(connection)) => Ok(PooledConnection { connection, last_used: started_at, _permit: permit }),
        Ok(Err(_)) | Err(_) => Err(ExchangeFailure::RequestNotWritten),
    }
}

/// Returns whether the end of an exchange suggests that the node's machine has failed. Requests written to
/// idle connections that were last used before this exchange would then be lost as well.
fn invalidates_idle_connections(event: &ExchangeEvent) -> bool {
    use ExchangeFailure::{ConnectionReset, RequestNotWritten, TimedOut};
    matches!(event, ExchangeEvent::Failed(TimedOut | ConnectionReset | RequestNotWritten))
}

#[cfg(test)]
mod tests;
