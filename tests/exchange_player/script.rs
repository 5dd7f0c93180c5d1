//! The parser of scripts.
//!
//! A script is a comment followed by steps. A step is a head, `== ` and the words of the table, and the lines
//! below it, its content. In contents `{n1}`, `{n2}` and `{discovery}` stand for the addresses of the nodes
//! and of discovery, `{upload}` for the identifier of the last upload, and `{len}` in the head of a message
//! for the length of its body. `node N` means a storage node or discovery.
//!
//! | head | what happens |
//! | --- | --- |
//! | `client C sends` | the client sends the content as a message; it connects first if it has not yet |
//! | `client C adds` | it sends the content as it stands, without the end of a head |
//! | `client C adds chunk` | it sends the content as a chunk of a body; an empty chunk ends the body |
//! | `client C gets` | it reads a message |
//! | `client C gets head` | it reads the head of a message |
//! | `client C gets all` | it reads until the gateway closes the connection |
//! | `client C leaves` | it disconnects |
//! | `clients COUNT are silent` | clients `silent-0`, `silent-1` and so on connect and send nothing |
//! | `node N gets` | the node reads a message |
//! | `node N sends` | it sends the content as a message |
//! | `node N adds` | it sends the content as it stands |
//! | `node N closes` | it closes its connection |
//! | `node N dies` | it closes all connections and listens no longer |
//! | `node N is left` | the gateway closes its connection, with nothing more sent on it |
//! | `node N has nothing` | the gateway has sent it nothing that is still unread |
//! | `node N is full` | its backlog is filled: new connections are not established |
//! | `node N comes up` | its backlog is freed: new connections are established again |
//! | `node N is tried` | the gateway is connecting to it |
//! | `node N is tried or C answered` | the gateway is connecting to it, or has answered client C |
//! | `node N is reached` | the gateway is connected to it |
//! | `node is told at most MS` | the last `Req-Deadline` sent to a node leaves it at most MS milliseconds |
//! | `file NAME` | the content is written to a file of the configuration |
//! | `file NAME names TO for FROM` | in the file, the address TO replaces the first FROM |
//! | `wait MS` | nothing for MS milliseconds |
//! | `log` | a line of the gateway's log is read |
//! | `signal NAME` | the gateway is sent the signal |
//! | `program exits` | the gateway exits; its exit status and the rest of its log are read |

use std::time::Duration;

/// Begins the head of each step.
const STEP_MARK: &str = "\n== ";

/// A step as it stands in a script.
pub struct ScriptStep {
    /// The head, as it is repeated in the transcript.
    pub head: String,
    pub step: Step,
    /// What stands below the head.
    pub content: String,
}

/// What a step does.
pub enum Step {
    Client {
        name: String,
        action: ClientAction,
    },
    /// Clients connect and send nothing.
    ConnectSilentClients {
        count: usize,
    },
    Node {
        name: String,
        action: NodeAction,
    },
    /// Checks the time that the request read last leaves the node.
    CheckTimeLeft {
        at_most: Duration,
    },
    /// Writes the content to a file of the configuration.
    WriteFile {
        name: String,
    },
    /// Puts one address in the place of another.
    ReplaceAddress {
        file: String,
        from: String,
        to: String,
    },
    Wait(Duration),
    ReadLogLine,
    /// Sends the gateway a signal.
    Signal {
        name: String,
    },
    /// Waits until the gateway exits.
    AwaitExit,
}

/// What a client does.
pub enum ClientAction {
    /// Sends a message: a head, and a body after an empty line.
    SendMessage,
    /// Sends bytes as they stand, without the end of a head.
    SendBytes,
    /// Sends a chunk of a body; an empty one is its end.
    SendChunk,
    Read(ReadUntil),
    Disconnect,
}

/// What a storage node or discovery does.
pub enum NodeAction {
    ReadMessage,
    /// Sends a message: a head, and a body after an empty line.
    SendMessage,
    /// Sends bytes as they stand.
    SendBytes,
    CloseConnection,
    /// Closes all connections and listens no longer.
    Die,
    /// Checks that the gateway closes the connection.
    ExpectClosed,
    /// Checks that no bytes have come.
    ExpectNothing,
    /// Fills the backlog, so that new connections are not established.
    FillBacklog,
    /// Lets new connections be established again.
    FreeBacklog,
    /// Waits until the gateway tries to connect.
    AwaitConnecting,
    /// Waits until the gateway tries to connect or answers the client.
    AwaitConnectingOrAnswer {
        client: String,
    },
    /// Waits until a connection is established.
    AwaitConnection,
}

/// How far a connection is read.
#[derive(Clone, Copy, PartialEq)]
pub enum ReadUntil {
    HeadEnd,
    MessageEnd,
    Closed,
}

/// The steps of a script; what stands above the first is a comment.
pub fn parse(text: &str) -> Vec<ScriptStep> {
    text.split(STEP_MARK).skip(1).map(parse_step).collect()
}

fn parse_step(text: &str) -> ScriptStep {
    let (head, content) = text.split_once('\n').unwrap_or((text, ""));
    let words: Vec<&str> = head.split(' ').collect();
    let step = parse_head(&words).unwrap_or_else(|| panic!("unknown step {head:?}"));
    ScriptStep { head: head.into(), step, content: content.trim_end_matches('\n').into() }
}

fn parse_head(words: &[&str]) -> Option<Step> {
    Some(match *words {
        ["client", name, ref action @ ..] => {
            Step::Client { name: name.into(), action: parse_client_action(action)? }
        }
        ["clients", count, "are", "silent"] => Step::ConnectSilentClients { count: count.parse().ok()? },
        ["node", "is", "told", "at", "most", time] => Step::CheckTimeLeft { at_most: milliseconds(time)? },
        ["node", name, ref action @ ..] => {
            Step::Node { name: name.into(), action: parse_node_action(action)? }
        }
        ["file", name] => Step::WriteFile { name: name.into() },
        ["file", file, "names", to, "for", from] => {
            Step::ReplaceAddress { file: file.into(), from: from.into(), to: to.into() }
        }
        ["wait", time] => Step::Wait(milliseconds(time)?),
        ["log"] => Step::ReadLogLine,
        ["signal", name] => Step::Signal { name: name.into() },
        ["program", "exits"] => Step::AwaitExit,
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
        ["dies"] => NodeAction::Die,
        ["is", "left"] => NodeAction::ExpectClosed,
        ["has", "nothing"] => NodeAction::ExpectNothing,
        ["is", "full"] => NodeAction::FillBacklog,
        ["comes", "up"] => NodeAction::FreeBacklog,
        ["is", "tried"] => NodeAction::AwaitConnecting,
        ["is", "tried", "or", client, "answered"] => {
            NodeAction::AwaitConnectingOrAnswer { client: client.into() }
        }
        ["is", "reached"] => NodeAction::AwaitConnection,
        _ => return None,
    })
}

fn milliseconds(word: &str) -> Option<Duration> {
    word.parse().ok().map(Duration::from_millis)
}
