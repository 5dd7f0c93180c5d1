//! Plays the clients, storage nodes and discovery of a script against the gateway, over real sockets.
//!
//! A script starts with free text, which is ignored, followed by steps. Each step starts with a command
//! such as `== client a sends` or `== node n1 gets`; the lines below a sending command are the data to send.
//! The data that the gateway sends is recorded in a transcript, which the test compares with a snapshot.
//!
//! Steps that read from a connection wait until the data arrives, at most [`STEP_TIMEOUT`]. Tests do not
//! check how long a step takes.

mod gateway_process;
mod peers;
mod script;
mod transcript;

use gateway_process::GatewayProcess;
use peers::{ClientPeer, NodePeer, read};
use script::{Action, ClientAction, NodeAction, ReadUntil, ScriptStep};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use transcript::{Placeholders, Transcript};

/// Maximum time that a step waits for an event, or for the next bytes from a connection. Steps that read the
/// gateway's log or wait for its exit have no time limit.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between two checks for the event that a step expects.
const CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// The peers that accept connections: two storage nodes and discovery, which scripts also address as a node.
/// Scripts and configurations refer to their addresses as `{n1}`, `{n2}` and `{discovery}`.
const NODES: [&str; 3] = ["n1", "n2", "discovery"];
/// Name of the client that connects to the admin API; all other clients connect to the client address.
const ADMIN_CLIENT: &str = "admin";

/// Plays the script `tests/exchanges/NAME.txt` and returns the transcript. The part of NAME before the first
/// underscore names the folder below `tests/exchanges/` that contains the gateway's configuration.
pub fn play_script(name: &str) -> String {
    let text = std::fs::read_to_string(format!("tests/exchanges/{name}.txt")).unwrap();
    let configuration = name.split('_').next().unwrap();
    let mut player = ExchangePlayer::start(configuration, name);
    for step in script::parse(&text) {
        player.transcript.start_step(&step.command);
        player.run_step(step);
    }
    player.transcript.into_text()
}

/// The gateway under test and its peers.
struct ExchangePlayer {
    /// The gateway's working directory, with its configuration.
    folder: PathBuf,
    gateway: GatewayProcess,
    nodes: BTreeMap<String, NodePeer>,
    clients: BTreeMap<String, ClientPeer>,
    transcript: Transcript,
}

impl ExchangePlayer {
    fn start(configuration: &str, name: &str) -> Self {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        let (mut nodes, mut placeholders) = (BTreeMap::new(), Placeholders::default());
        for name in NODES {
            let node = NodePeer::listen();
            placeholders.add(format!("{{{name}}}"), node.address().to_string());
            nodes.insert(name.to_string(), node);
        }
        copy_configuration(&Path::new("tests/exchanges").join(configuration), &folder, &placeholders);
        let gateway = GatewayProcess::start(&folder);
        let transcript = Transcript::new(placeholders);
        ExchangePlayer { folder, gateway, nodes, clients: BTreeMap::new(), transcript }
    }

    fn run_step(&mut self, step: ScriptStep) {
        let content = step.content;
        match step.action {
            Action::Client { name, action } => self.run_client_action(&name, action, &content),
            Action::ConnectSilentClients { count } => self.connect_silent_clients(count),
            Action::Node { name, action } => self.run_node_action(&name, action, &content),
            Action::CheckDeadline { at_most } => {
                let remaining = self.transcript.remaining_time().expect("a request with a valid deadline");
                assert!(remaining <= at_most, "the node received a deadline of {remaining:?}");
            }
            Action::WriteFile { name } => {
                let text = self.transcript.placeholders.fill_in(&content);
                std::fs::write(self.folder.join(name), text).unwrap();
            }
            Action::ReplaceAddress { file, from, to } => self.replace_address(&file, &from, &to),
            Action::Wait(duration) => std::thread::sleep(duration),
            Action::ReadLogLine => {
                let line = self.gateway.read_log_line();
                self.transcript.record(line.as_bytes());
            }
            Action::Signal { name } => self.gateway.send_signal(&name),
            Action::AwaitExit => {
                let exit = self.gateway.wait_for_exit();
                self.transcript.push_unmasked(&exit);
            }
        }
    }

    fn run_client_action(&mut self, name: &str, action: ClientAction, content: &str) {
        match action {
            ClientAction::SendMessage => {
                let message = self.transcript.placeholders.encode_message(content);
                self.connected_client(name).send(&message);
            }
            ClientAction::SendBytes => self.connected_client(name).send(content.as_bytes()),
            ClientAction::SendChunk => {
                let chunk = format!("{:x}\r\n{content}\r\n", content.len());
                self.client(name).send(chunk.as_bytes());
            }
            ClientAction::Read(until) => {
                let bytes = self.client(name).read(until);
                self.transcript.capture_upload_id(&bytes);
                self.transcript.record(&bytes);
            }
            ClientAction::Disconnect => drop(self.clients.remove(name)),
        }
    }

    fn run_node_action(&mut self, name: &str, action: NodeAction, content: &str) {
        match action {
            NodeAction::ReadMessage => {
                self.wait_for_node(name, "bytes", |node| node.poll_for_bytes());
                let bytes = read(self.node(name).connection(), ReadUntil::MessageEnd);
                self.transcript.record(&bytes);
            }
            NodeAction::SendMessage => {
                let message = self.transcript.placeholders.encode_message(content);
                self.node(name).send(&message);
            }
            NodeAction::SendBytes => self.node(name).send(content.as_bytes()),
            NodeAction::CloseConnection => self.node(name).close_connection(),
            NodeAction::Terminate => self.node(name).terminate(),
            NodeAction::ExpectClosed => {
                assert_eq!(read(self.node(name).connection(), ReadUntil::Closed), b"");
            }
            NodeAction::ExpectNothing => {
                assert!(!self.node(name).poll_for_bytes(), "{name} has received unexpected bytes");
            }
            NodeAction::FillBacklog => self.node(name).fill_backlog(),
            NodeAction::FreeBacklog => self.node(name).free_backlog(),
            NodeAction::AwaitConnectionAttempt => {
                self.wait_for_node(name, "a connection attempt", |node| node.is_being_connected_to());
            }
            NodeAction::AwaitConnectionAttemptOrAnswer { client } => {
                self.wait_for_connection_attempt_or_answer(name, &client);
            }
            NodeAction::AwaitConnection => self.wait_for_connection(name),
        }
    }

    fn client(&mut self, name: &str) -> &mut ClientPeer {
        self.clients.get_mut(name).unwrap()
    }

    /// Returns the client, and connects it first if it is not connected.
    fn connected_client(&mut self, name: &str) -> &mut ClientPeer {
        let gateway = &self.gateway;
        let address =
            || if name == ADMIN_CLIENT { gateway.admin_address() } else { gateway.client_address() };
        self.clients.entry(name.into()).or_insert_with(|| ClientPeer::connect(address()))
    }

    fn connect_silent_clients(&mut self, count: usize) {
        for number in 0..count {
            let client = ClientPeer::connect(self.gateway.client_address());
            self.clients.insert(format!("silent-{number}"), client);
        }
    }

    fn node(&mut self, name: &str) -> &mut NodePeer {
        self.nodes.get_mut(name).unwrap()
    }

    fn wait_for_node(&mut self, name: &str, event: &str, mut occurred: impl FnMut(&mut NodePeer) -> bool) {
        let node = self.nodes.get_mut(name).unwrap();
        wait_until(&format!("{event} at {name}"), &self.transcript, || occurred(node));
    }

    fn wait_for_connection(&mut self, name: &str) {
        let before = self.node(name).connection_count();
        self.wait_for_node(name, "a connection", |node| {
            node.poll_for_bytes();
            node.connection_count() > before
        });
    }

    fn wait_for_connection_attempt_or_answer(&mut self, node: &str, client: &str) {
        let (node, client) = (&self.nodes[node], &self.clients[client]);
        wait_until("a connection attempt or an answer", &self.transcript, || {
            node.is_being_connected_to() || client.has_answer()
        });
    }

    /// Replaces the first occurrence of the address `from` in a file with `to`; either may be a placeholder.
    fn replace_address(&self, file: &str, from: &str, to: &str) {
        let placeholders = &self.transcript.placeholders;
        let (from, to) = (placeholders.fill_in(from), placeholders.fill_in(to));
        let path = self.folder.join(file);
        let text = std::fs::read_to_string(&path).unwrap();
        assert!(text.contains(&from), "{from}");
        std::fs::write(path, text.replacen(&from, &to, 1)).unwrap();
    }
}

/// Copies the files of a configuration and replaces the placeholders in them with the peers' addresses.
fn copy_configuration(from: &Path, to: &Path, placeholders: &Placeholders) {
    std::fs::create_dir_all(to).unwrap();
    for file in std::fs::read_dir(from).unwrap().map(|file| file.unwrap()) {
        let text = std::fs::read_to_string(file.path()).unwrap();
        std::fs::write(to.join(file.file_name()), placeholders.fill_in(&text)).unwrap();
    }
}

/// Waits until the event has occurred; fails the test after [`STEP_TIMEOUT`].
fn wait_until(event: &str, transcript: &Transcript, mut occurred: impl FnMut() -> bool) {
    let end = Instant::now() + STEP_TIMEOUT;
    while !occurred() {
        assert!(Instant::now() < end, "timed out waiting for {event}; transcript:\n{}", transcript.text());
        std::thread::sleep(CHECK_INTERVAL);
    }
}
