//! The connections to one storage node, owned by an actor.
//!
//! The actor hands out idle connections and takes them back. Each exchange runs in a task of its own, so that
//! the actor never waits for the network.

use super::exchange::{Exchange, ExchangeEnd, ExchangeEvent, ExchangeFailure, run_exchange};
use super::node_connection::NodeConnection;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time::Instant;

/// A connection that has brought a response stays unused for this long before it carries the next request. A
/// second response may come some milliseconds late, as the platform says, and nothing in it tells which
/// request it belongs to: it would be taken for the response to the next one.
const REUSE_DELAY: Duration = Duration::from_millis(20);

/// What the pools of all nodes share.
#[derive(Clone)]
pub struct PoolLimits {
    /// A permit for each connection that may be open in all.
    pub permits: Arc<Semaphore>,
    /// A connection not open by then has failed.
    pub connect_timeout: Duration,
    /// An idle connection is closed after this, well before the node would do it.
    pub idle_timeout: Duration,
}

/// An open connection, and its permit to be open.
struct PooledConnection {
    connection: NodeConnection,
    last_used: Instant,
    _permit: OwnedSemaphorePermit,
}

enum Command {
    Execute(Box<Exchange>),
    Return(PooledConnection),
    /// Connections last used before this are not to be used again.
    InvalidateBefore(Instant),
    AddressChanged(SocketAddr),
    NodeRestarted,
}

/// A handle to the actor that owns the connections to one node.
#[derive(Clone)]
pub struct ConnectionPool(mpsc::UnboundedSender<Command>);

impl ConnectionPool {
    /// Starts the actor, which ends once all handles are dropped. Must be called on a `LocalSet`.
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

    /// Runs an exchange; its `on_event` receives what becomes of it.
    pub fn execute(&self, exchange: Exchange) {
        self.send(Command::Execute(Box::new(exchange)));
    }

    /// From now on the node is reached at another address.
    pub fn address_changed(&self, address: SocketAddr) {
        self.send(Command::AddressChanged(address));
    }

    /// The node's process is a new one: connections to the old one are dead.
    pub fn node_restarted(&self) {
        self.send(Command::NodeRestarted);
    }

    fn send(&self, command: Command) {
        // The actor lives as long as there is a handle to it.
        let _ = self.0.send(command);
    }
}

struct PoolActor {
    address: SocketAddr,
    limits: PoolLimits,
    /// In order of last use.
    idle: Vec<PooledConnection>,
    /// Connections last used before this are not to be used again.
    valid_since: Instant,
    /// For exchanges to give their connections back.
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
        tokio::task::spawn_local(execute(exchange, pooled, self.address, limits, commands));
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

/// The most recently used connection that may carry a request again. Those found broken are dropped.
fn take_reusable(idle: &mut Vec<PooledConnection>) -> Option<PooledConnection> {
    loop {
        let position = idle.iter().rposition(|pooled| pooled.last_used.elapsed() >= REUSE_DELAY)?;
        let pooled = idle.remove(position);
        if pooled.connection.is_reusable() {
            return Some(pooled);
        }
    }
}

/// Runs an exchange on the connection given, or on a new one, and gives the connection back.
async fn execute(
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
        // The connection is as good as before.
        None => ExchangeEnd {
            event: ExchangeEvent::Failed(ExchangeFailure::NotStarted),
            connection_reusable: true,
        },
    };
    if let Some(commands) = commands.upgrade() {
        if connection_reusable {
            pooled.last_used = Instant::now();
            let _ = commands.send(Command::Return(pooled));
        } else if casts_doubt_on_idle_connections(&event) {
            let _ = commands.send(Command::InvalidateBefore(started_at));
        }
    }
    (exchange.on_event)(event);
}

/// Opens a connection for an exchange. A failure means that the exchange never began.
async fn open_connection(
    exchange: &mut Exchange,
    address: SocketAddr,
    limits: &PoolLimits,
    started_at: Instant,
) -> Result<PooledConnection, ExchangeFailure> {
    let Ok(permit) = limits.permits.clone().try_acquire_owned() else {
        return Err(ExchangeFailure::DescriptorsExhausted);
    };
    let connect_deadline = exchange.deadline.min(started_at + limits.connect_timeout);
    let connected = tokio::select! {
        biased;
        _ = &mut exchange.cancelled => return Err(ExchangeFailure::NotStarted),
        connected = tokio::time::timeout_at(connect_deadline, NodeConnection::connect(address)) => connected,
    };
    match connected {
        Ok(Ok(connection)) => Ok(PooledConnection { connection, last_used: started_at, _permit: permit }),
        Ok(Err(_)) | Err(_) => Err(ExchangeFailure::NotDelivered),
    }
}

/// Whether an idle connection last used before this exchange may lead to the same dead machine: a request
/// written to it would be lost as well.
fn casts_doubt_on_idle_connections(event: &ExchangeEvent) -> bool {
    use ExchangeFailure::{ConnectionReset, NotDelivered, TimedOut};
    matches!(event, ExchangeEvent::Failed(TimedOut | ConnectionReset | NotDelivered))
}

#[cfg(test)]
mod tests;
