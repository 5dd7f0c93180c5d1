//! Parses test scripts.
//!
//! A script starts with free text, which is ignored, followed by steps. A step is a line with `== ` and a
//! command from the table below, followed by the step's content: the lines up to the next command. In a
//! command, `C` is the name of a client, and `N` is the name of a storage node or discovery.
//!
//! The content of a message or a file may contain placeholders: `{n1}`, `{n2}` and `{discovery}` are the
//! addresses of the two storage nodes and of discovery, `{upload}` is the first upload identifier that a
//! client has received, and `{len}` in the head of a message is the length of the body in bytes.
//!
//! | command | effect |
//! | --- | --- |
//! | `client C sends` | the client connects if necessary and sends the content as an HTTP message |
//! | `client C adds` | the client connects if necessary and sends the content unchanged |
//! | `client C adds chunk` | the client sends the content as a chunk; an empty chunk ends the body |
//! | `client C gets` | the client reads a message |
//! | `client C gets head` | the client reads the head of a message |
//! | `client C gets all` | the client reads until the gateway closes the connection |
//! | `client C leaves` | the client disconnects |
//! | `clients COUNT are silent` | clients `silent-0`, `silent-1` and so on connect and send nothing |
//! | `node N gets` | the node reads a message |
//! | `node N sends` | the node sends the content as an HTTP message |
//! | `node N adds` | the node sends the content unchanged |
//! | `node N closes` | the node closes its current connection |
//! | `node N dies` | the node closes all connections and its listening socket |
//! | `node N is left` | checks that the gateway closes the current connection without sending more |
//! | `node N has nothing` | checks that the node has no unread bytes from the gateway |
//! | `node N is full` | fills the node's backlog: new connections are not established |
//! | `node N comes up` | frees the node's backlog: new connections are established again |
//! | `node N is tried` | waits until the gateway is connecting to the node |
//! | `node N is tried or C answered` | as `node N is tried`, or until C is answered or disconnected |
//! | `node N is reached` | waits until a new connection from the gateway is established |
//! | `node is told at most MS` | checks that the last `Req-Deadline` that a node has read is at most MS ms |
//! | `file NAME` | writes the content to a file of the configuration |
//! | `file NAME names TO for FROM` | replaces the first occurrence of the address FROM in the file with TO |
//! | `wait MS` | pauses the script for MS milliseconds |
//! | `log` | reads a line of the gateway's log |
//! | `signal NAME` | sends the gateway the signal |
//! | `program exits` | waits until the gateway exits, and reads its exit status and the rest of its log |

use std::time::Duration;

/// Start of a command line; separates the steps of a script.
const STEP_DELIMITER: &str = "\n== ";

/// A parsed step of a script.
pub struct ScriptStep {
    /// The command without the leading `== `; the transcript repeats it.
    pub command: String,
    pub action: Action,
    /// The lines between this command and the next, without trailing line breaks.
    pub content: String,
}

/// The action of a step. The command table in the module documentation describes each action.
pub enum Action {
    Client {
        name: String,
        action: ClientAction,
    },
    /// Opens this number of client connections, which then send nothing.
    ConnectSilentClients {
        count: usize,
    },
    Node {
        name: String,
        action: NodeAction,
    },
    /// Checks that the last `Req-Deadline` recorded is at most this long.
    CheckDeadline {
        at_most: Duration,
    },
    /// Writes the content to a file of the configuration.
    WriteFile {
        name: String,
    },
    /// Replaces the first occurrence of the address `from` in a file of the configuration with `to`.
    ReplaceAddress {
        file: String,
        from: String,
        to: String,
    },
    Wait(Duration),
    ReadLogLine,
    /// Sends the gateway a signal, named without `SIG`.
    Signal {
        name: String,
    },
    /// Waits until the gateway exits, and records its exit status and the rest of its log.
    AwaitExit,
}

/// An action of a `client C` command.
pub enum ClientAction {
    /// Sends an HTTP message; in the content, an empty line separates the head from the body.
    SendMessage,
    /// Sends the content unchanged, without adding the empty line that ends a head.
    SendBytes,
    /// Sends the content as a chunk of a body; an empty chunk ends the body.
    SendChunk,
    Read(ReadUntil),
    Disconnect,
}

/// An action of a `node N` command. `N` is a storage node or discovery; both are called nodes here.
pub enum NodeAction {
    ReadMessage,
    /// Sends an HTTP message; in the content, an empty line separates the head from the body.
    SendMessage,
    /// Sends the content unchanged.
    SendBytes,
    CloseConnection,
    /// Closes all connections and the listening socket.
    Terminate,
    /// Checks that the gateway closes the current connection without sending more bytes on it.
    ExpectClosed,
    /// Checks that no connection has unread bytes.
    ExpectNothing,
    /// Fills the backlog, so that new connections are not established.
    FillBacklog,
    /// Frees the backlog, so that new connections are established again.
    FreeBacklog,
    /// Waits until the gateway is connecting to the node.
    AwaitConnectionAttempt,
    /// Waits until the gateway is connecting to the node, or has answered or disconnected the client.
    AwaitConnectionAttemptOrAnswer {
        client: String,
    },
    /// Waits until a new connection is established.
    AwaitConnection,
}

/// Where reading from a connection ends.
#[derive(Clone, Copy, PartialEq)]
pub enum ReadUntil {
    HeadEnd,
    MessageEnd,
    Closed,
}

/// Parses the steps of a script. The text above the first step is ignored.
pub fn parse(text: &str) -> Vec<ScriptStep> {
    text.split(STEP_DELIMITER).skip(1).map(parse_step).collect()
}

fn parse_step(text: &str) -> ScriptStep {
    let (command, content) = text.split_once('\n').unwrap_or((text, ""));
    let words: Vec<&str> = command.split(' ').collect();
    let action = parse_command(&words).unwrap_or_else(|| panic!("unknown command {command:?}"));
    ScriptStep { command: command.into(), action, content: content.trim_end_matches('\n').into() }
}

fn parse_command(words: &[&str]) -> Option<Action> {
    Some(match *words {
        ["client", name, ref action @ ..] => {
            Action::Client { name: name.into(), action: parse_client_action(action)? }
        }
        ["clients", count, "are", "silent"] => Action::ConnectSilentClients { count: count.parse().ok()? },
        ["node", "is", "told", "at", "most", time] => Action::CheckDeadline { at_most: parse_ms(time)? },
        ["node", name, ref action @ ..] => {
            Action::Node { name: name.into(), action: parse_node_action(action)? }
        }
        ["file", name] => Action::WriteFile { name: name.into() },
        ["file", file, "names", to, "for", from] => {
            Action::ReplaceAddress { file: file.into(), from: from.into(), to: to.into() }
        }
        ["wait", time] => Action::Wait(parse_ms(time)?),
        ["log"] => Action::ReadLogLine,
        ["signal", name] => Action::Signal { name: name.into() },
        ["program", "exits"] => Action::AwaitExit,
        _ => return None,
    })
}

fn parse_client_action(words: &[&str]) -> Option<ClientAction> {
    Some(match *words {
        ["sends"] => ClientAction::SendMessage,
        ["adds"] => ClientAction::SendBytes,
        ["adds", "chunk"] => ClientAction::SendChunk,
        ["gets"] => ClientAction::Read(ReadUntil::MessageEnd),
        ["gets", "head"] => ClientAction::Read(ReadUntil::HeadEnd),
        ["gets", "all"] => ClientAction::Read(ReadUntil::Closed),
        ["leaves"] => ClientAction::Disconnect,
        _ => return None,
    })
}

fn parse_node_action(words: &[&str]) -> Option<NodeAction> {
    Some(match *words {
        ["gets"] => NodeAction::ReadMessage,
        ["sends"] => NodeAction::SendMessage,
        ["adds"] => NodeAction::SendBytes,
        ["closes"] => NodeAction::CloseConnection,
        ["dies"] => NodeAction::Terminate,
        ["is", "left"] => NodeAction::ExpectClosed,
        ["has", "nothing"] => NodeAction::ExpectNothing,
        ["is", "full"] => NodeAction::FillBacklog,
        ["comes", "up"] => NodeAction::FreeBacklog,
        ["is", "tried"] => NodeAction::AwaitConnectionAttempt,
        ["is", "tried", "or", client, "answered"] => {
            NodeAction::AwaitConnectionAttemptOrAnswer { client: client.into() }
        }
        ["is", "reached"] => NodeAction::AwaitConnection,
        _ => return None,
    })
}

fn parse_ms(word: &str) -> Option<Duration> {
    word.parse().ok().map(Duration::from_millis)
}
