//! Plays a script of clients, storage nodes and discovery against the gateway, over real sockets.
//!
//! A script is a text file of steps, each headed by a line such as `== client a sends` or `== node n1 gets`;
//! what is sent stands below it. The transcript of all that came back is compared with a snapshot. Nothing
//! here asserts on time: a step waits until its bytes are there, and only a test that has failed already
//! waits until [`STEP_TIMEOUT`].

mod gateway_process;
mod peers;
mod script;
mod transcript;

use gateway_process::GatewayProcess;
use peers::{ClientPeer, NodePeer, read};
use script::{ClientAction, NodeAction, ReadUntil, ScriptStep, Step};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use transcript::{Placeholders, Transcript};

/// How long a step waits for what it expects.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);
/// How often a step looks for what it expects.
const CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// The peers that listen; scripts and configurations name their addresses `{n1}` and so on.
const NODES: [&str; 3] = ["n1", "n2", "discovery"];
/// The client of this name connects to the admin API.
const ADMIN_CLIENT: &str = "admin";

/// Plays the script `tests/exchanges/NAME.txt` and returns the transcript. The part of the name before the
/// first underscore is the folder with the gateway's configuration.
pub fn play_script(name: &str) -> String {
    let text = std::fs::read_to_string(format!("tests/exchanges/{name}.txt")).unwrap();
    let configuration = name.split('_').next().unwrap();
    let mut player = ExchangePlayer::start(configuration, name);
    for step in script::parse(&text) {
        player.transcript.start_step(&step.head);
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
        match step.step {
            Step::Client { name, action } => self.run_client_action(&name, action, &content),
            Step::ConnectSilentClients { count } => self.connect_silent_clients(count),
            Step::Node { name, action } => self.run_node_action(&name, action, &content),
            Step::CheckTimeLeft { at_most } => {
                let time_left = self.transcript.time_left().expect("a request with a deadline");
                assert!(time_left <= at_most, "the node was given {time_left:?}");
            }
            Step::WriteFile { name } => {
                let text = self.transcript.placeholders.fill_in(&content);
                std::fs::write(self.folder.join(name), text).unwrap();
            }
            Step::ReplaceAddress { file, from, to } => self.replace_address(&file, &from, &to),
            Step::Wait(duration) => std::thread::sleep(duration),
            Step::ReadLogLine => {
                let line = self.gateway.read_log_line();
                self.transcript.record(line.as_bytes());
            }
            Step::Signal { name } => self.gateway.send_signal(&name),
            Step::AwaitExit => {
                let exit = self.gateway.wait_for_exit();
                self.transcript.push_unmasked(&exit);
            }
        }
    }

    fn run_client_action(&mut self, name: &str, action: ClientAction, content: &str) {
        match action {
            ClientAction::SendMessage => {
                let message = self.transcript.placeholders.message(content);
                self.connected_client(name).send(&message);
            }
            ClientAction::SendBytes => self.connected_client(name).send(content.as_bytes()),
            ClientAction::SendChunk => {
                let chunk = format!("{:x}\r\n{content}\r\n", content.len());
                self.client(name).send(chunk.as_bytes());
            }
            ClientAction::Read(until) => {
                let bytes = self.client(name).read(until);
                self.transcript.note_upload_id(&bytes);
                self.transcript.record(&bytes);
            }
            ClientAction::Disconnect => drop(self.clients.remove(name)),
        }
    }

    fn run_node_action(&mut self, name: &str, action: NodeAction, content: &str) {
        match action {
            NodeAction::ReadMessage => {
                self.wait_for_node(name, "bytes", |node| node.has_bytes());
                let bytes = read(self.node(name).connection(), ReadUntil::MessageEnd);
                self.transcript.record(&bytes);
            }
            NodeAction::SendMessage => {
                let message = self.transcript.placeholders.message(content);
                self.node(name).send(&message);
            }
            NodeAction::SendBytes => self.node(name).send(content.as_bytes()),
            NodeAction::CloseConnection => self.node(name).close_connection(),
            NodeAction::Die => self.node(name).die(),
            NodeAction::ExpectClosed => {
                assert_eq!(read(self.node(name).connection(), ReadUntil::Closed), b"");
            }
            NodeAction::ExpectNothing => {
                assert!(!self.node(name).has_bytes(), "{name} was sent something");
            }
            NodeAction::FillBacklog => self.node(name).fill_backlog(),
            NodeAction::FreeBacklog => self.node(name).free_backlog(),
            NodeAction::AwaitConnecting => {
                self.wait_for_node(name, "a connection attempt", |node| node.is_being_connected_to());
            }
            NodeAction::AwaitConnectingOrAnswer { client } => {
                self.wait_for_connecting_or_answer(name, &client);
            }
            NodeAction::AwaitConnection => self.wait_for_connection(name),
        }
    }

    fn client(&mut self, name: &str) -> &mut ClientPeer {
        self.clients.get_mut(name).unwrap()
    }

    /// The client, connected if it is not yet.
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

    fn wait_for_node(&mut self, name: &str, what: &str, mut done: impl FnMut(&mut NodePeer) -> bool) {
        let node = self.nodes.get_mut(name).unwrap();
        wait_until(&format!("{what} at {name}"), &self.transcript, || done(node));
    }

    fn wait_for_connection(&mut self, name: &str) {
        let before = self.node(name).connection_count();
        self.wait_for_node(name, "a connection", |node| {
            node.has_bytes();
            node.connection_count() > before
        });
    }

    fn wait_for_connecting_or_answer(&mut self, node: &str, client: &str) {
        let (node, client) = (&self.nodes[node], &self.clients[client]);
        wait_until("a connection attempt or an answer", &self.transcript, || {
            node.is_being_connected_to() || client.has_answer()
        });
    }

    /// Replaces the first occurrence of an address in a file.
    fn replace_address(&self, file: &str, from: &str, to: &str) {
        let placeholders = &self.transcript.placeholders;
        let (from, to) = (placeholders.fill_in(from), placeholders.fill_in(to));
        let path = self.folder.join(file);
        let text = std::fs::read_to_string(&path).unwrap();
        assert!(text.contains(&from), "{from}");
        std::fs::write(path, text.replacen(&from, &to, 1)).unwrap();
    }
}

/// Copies the files of a configuration, with the addresses of the peers filled in.
fn copy_configuration(from: &Path, to: &Path, placeholders: &Placeholders) {
    std::fs::create_dir_all(to).unwrap();
    for file in std::fs::read_dir(from).unwrap().map(|file| file.unwrap()) {
        let text = std::fs::read_to_string(file.path()).unwrap();
        std::fs::write(to.join(file.file_name()), placeholders.fill_in(&text)).unwrap();
    }
}

fn wait_until(what: &str, transcript: &Transcript, mut done: impl FnMut() -> bool) {
    let end = Instant::now() + STEP_TIMEOUT;
    while !done() {
        assert!(Instant::now() < end, "waited for {what}; so far:\n{}", transcript.text());
        std::thread::sleep(CHECK_INTERVAL);
    }
}
