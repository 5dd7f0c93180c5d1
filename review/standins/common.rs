//! Stand-ins for the clients, the storage nodes and the platform of one gateway, on loopback addresses and the
//! real clock. Uses the standard library only.
#![allow(dead_code)]

use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// The record of a run: one line for each event, with the milliseconds since the start of the run.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).unwrap_or_else(|error| cannot_run(&format!("{path:?}: {error}")));
        Record { started: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn now_ms(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1e3
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.1} {text}", self.now_ms());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// Ends a run that cannot take place: the stage unwinds, which ends the gateway, and exits with 2.
pub fn cannot_run(reason: &str) -> ! {
    panic!("cannot run: {reason}");
}

/// Plays a stage and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. `stage`
/// returns the breaks that it saw.
pub fn play(stage: impl FnOnce(&Arguments, &Record, &TemporaryFolder) -> Vec<String> + std::panic::UnwindSafe) -> ! {
    let result = std::panic::catch_unwind(|| {
        let arguments = arguments();
        let record = Record::create(&arguments.record);
        let folder = TemporaryFolder::create();
        record.say(if arguments.trouble { "with the disruption" } else { "without the disruption (TROUBLE=0)" });
        let breaks = stage(&arguments, &record, &folder);
        for text in &breaks {
            record.say(&format!("BREAK {text}"));
        }
        record.say(if breaks.is_empty() { "the rule held" } else { "the rule was broken" });
        breaks.len()
    });
    std::process::exit(match result {
        Ok(0) => 0,
        Ok(_) => 1,
        Err(_) => 2,
    })
}

/// What `run.sh` passes to every stage: the path of the case's `record.txt`, the root of the project, the command `run` of
/// the deploy file, and whether the disruption is played.
pub struct Arguments {
    pub record: PathBuf,
    pub root: PathBuf,
    pub run: String,
    pub trouble: bool,
}

pub fn arguments() -> Arguments {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [record, root, run] = <[String; 3]>::try_from(arguments).unwrap_or_else(|_| cannot_run("three arguments"));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    Arguments { record: record.into(), root: root.into(), run, trouble }
}

/// A folder that is removed at the end.
pub struct TemporaryFolder(pub PathBuf);

impl TemporaryFolder {
    pub fn create() -> TemporaryFolder {
        let path = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), unix_ms()));
        std::fs::create_dir_all(&path).unwrap_or_else(|error| cannot_run(&format!("{path:?}: {error}")));
        TemporaryFolder(path)
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Returns a loopback address whose port was free a moment ago.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).unwrap()
}

/// One gateway, started with the command of the deploy file; killed when dropped.
pub struct Gateway {
    pub child: Child,
    pub address: SocketAddr,
    config: PathBuf,
}

impl Gateway {
    /// Starts the gateway and waits until it is ready. `config` is the content of its configuration file.
    pub fn start(arguments: &Arguments, folder: &TemporaryFolder, address: SocketAddr, config: &str) -> Gateway {
        let path = folder.0.join("config.json");
        std::fs::write(&path, config).unwrap();
        let log = File::create(folder.0.join("gateway.log")).unwrap();
        let child = Command::new("/bin/sh")
            .args(["-c", &arguments.run])
            .current_dir(&arguments.root)
            .env("GW_NAME", "n0")
            .env("GW_LISTEN", address.to_string())
            .env("GW_CONFIG", &path)
            .env("TMPDIR", &folder.0)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| cannot_run(&format!("gateway: {error}")));
        let gateway = Gateway { child, address, config: path };
        for _ in 0..100 {
            if let Ok(mut stream) = TcpStream::connect(address) {
                let _ = stream.set_read_timeout(Some(ms(1000)));
                let _ = stream.write_all(b"GET /health/ready HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n");
                if matches!(read_message(&mut stream, &mut Vec::new()), Ok(Some(answer)) if answer.status() == 200) {
                    return gateway;
                }
            }
            thread::sleep(ms(50));
        }
        drop(gateway);
        cannot_run("the gateway is not ready after 5 s");
    }

    pub fn replace_config(&self, config: &str) {
        let new = self.config.with_extension("new");
        std::fs::write(&new, config).unwrap();
        std::fs::rename(new, &self.config).unwrap();
    }

    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
    }

    /// Returns whether the gateway still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// An HTTP/1.1 message with a body of the stated length.
#[derive(Debug)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// When the first byte of the message was read.
    pub first_byte: Instant,
    /// When its last byte was read.
    pub last_byte: Instant,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(other, _)| other.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// The status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// The target of a request.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads one message. `rest` holds bytes that were read beyond the previous one. Returns `None` if the
/// connection ends before the first byte of a message.
pub fn read_message(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let mut chunk = [0; 16384];
    let mut first_byte = (!rest.is_empty()).then(Instant::now);
    let head_len = loop {
        if let Some(position) = rest.windows(4).position(|window| window == b"\r\n\r\n") {
            break position + 4;
        }
        let length = stream.read(&mut chunk)?;
        if length == 0 && rest.is_empty() {
            return Ok(None);
        }
        if length == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        first_byte.get_or_insert_with(Instant::now);
        rest.extend_from_slice(&chunk[..length]);
    };
    let head = String::from_utf8_lossy(&rest[..head_len]).into_owned();
    let mut lines = head.split("\r\n");
    let first_line = lines.next().unwrap_or("").to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
        .collect();
    let length = headers
        .iter()
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
        .and_then(|(_, value)| value.parse::<usize>().ok())
        .unwrap_or(0);
    while rest.len() < head_len + length {
        let read = stream.read(&mut chunk)?;
        if read == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        rest.extend_from_slice(&chunk[..read]);
    }
    let body = rest[head_len..head_len + length].to_vec();
    rest.drain(..head_len + length);
    let first_byte = first_byte.unwrap_or_else(Instant::now);
    Ok(Some(Message { first_line, headers, body, first_byte, last_byte: Instant::now() }))
}

/// Writes a complete response.
pub fn write_response(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
    let mut bytes =
        format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// A storage node, which hands every request to `serve` in the thread of its connection. `serve` writes the
/// response and returns whether the connection stays open.
pub struct StorageNode {
    pub address: SocketAddr,
}

impl StorageNode {
    pub fn start(serve: impl Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static) -> StorageNode {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let serve = Arc::new(serve);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(mut stream) = stream else { continue };
                let serve = serve.clone();
                thread::spawn(move || {
                    let _ = stream.set_nodelay(true);
                    let mut rest = Vec::new();
                    while let Ok(Some(request)) = read_message(&mut stream, &mut rest) {
                        if !serve(&request, &mut stream) {
                            return;
                        }
                    }
                });
            }
        });
        StorageNode { address }
    }
}

/// An entry of the list of storage nodes.
#[derive(Clone)]
pub struct Entry {
    pub name: &'static str,
    pub address: SocketAddr,
    pub group: u32,
    pub status: &'static str,
}

impl Entry {
    pub fn json(&self) -> String {
        format!(
            r#"{{"name":"{}","address":"{}","zone":"thamel-room","type":"small-2core","group":{},"status":"{}","weight":1.0,"since_ms":0}}"#,
            self.name, self.address, self.group, self.status
        )
    }
}

pub fn list_json(index: u64, snapshot: bool, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    format!(r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#, entries.join(","))
}

/// The state of discovery.
pub struct DiscoveryState {
    pub index: u64,
    /// All entries, each with the version in which it last changed.
    pub entries: Vec<(u64, Entry)>,
    /// Whether discovery is down.
    pub down: bool,
    /// The number of calls that are to be refused with 503 because discovery is crowded.
    pub refuse: u32,
    /// When a list that contains a draining node was first written to the gateway.
    pub drain_told: Option<Instant>,
    /// Open connections, which are shut when discovery goes down.
    connections: Vec<TcpStream>,
}

/// Discovery at one address: the whole list, and watches, as on the Protocol page.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    pub state: Arc<(Mutex<DiscoveryState>, Condvar)>,
    record: Record,
}

impl Discovery {
    pub fn new(record: &Record, address: SocketAddr, entries: Vec<Entry>) -> Discovery {
        let entries = entries.into_iter().map(|entry| (41, entry)).collect();
        let state =
            DiscoveryState { index: 41, entries, down: true, refuse: 0, drain_told: None, connections: Vec::new() };
        Discovery { address, state: Arc::new((Mutex::new(state), Condvar::new())), record: record.clone() }
    }

    /// Accepts calls from now on.
    pub fn up(&self) {
        let listener = TcpListener::bind(self.address).unwrap_or_else(|error| cannot_run(&format!("discovery: {error}")));
        self.state.0.lock().unwrap().down = false;
        self.record.line("discovery is up");
        listener.set_nonblocking(true).unwrap();
        let discovery = self.clone();
        thread::spawn(move || {
            loop {
                if discovery.state.0.lock().unwrap().down {
                    return;
                }
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let mut state = discovery.state.0.lock().unwrap();
                        state.connections.extend(stream.try_clone());
                        drop(state);
                        let discovery = discovery.clone();
                        thread::spawn(move || discovery.serve(stream));
                    }
                    Err(_) => thread::sleep(ms(2)),
                }
            }
        });
    }

    /// Goes down: watches end, and new connections are refused.
    pub fn down(&self) {
        self.record.line("discovery is down");
        let mut state = self.state.0.lock().unwrap();
        state.down = true;
        for connection in state.connections.drain(..) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
        drop(state);
        self.state.1.notify_all();
        // The listener ends within 2 ms of its next look at the state.
        thread::sleep(ms(10));
    }

    /// Replaces a storage node: the old one begins to drain, the new one joins.
    pub fn replace(&self, old: &str, new: Entry) {
        let mut state = self.state.0.lock().unwrap();
        state.index += 1;
        let index = state.index;
        for (changed, entry) in &mut state.entries {
            if entry.name == old {
                (*changed, entry.status) = (index, "Terminating");
            }
        }
        self.record.line(&format!("discovery has version {index}: {old} drains, {} joins", new.name));
        state.entries.push((index, new));
        drop(state);
        self.state.1.notify_all();
    }

    pub fn json(&self) -> String {
        let state = self.state.0.lock().unwrap();
        let entries: Vec<Entry> = state.entries.iter().map(|(_, entry)| entry.clone()).collect();
        list_json(state.index, true, &entries)
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut rest = Vec::new();
        while let Ok(Some(request)) = read_message(&mut stream, &mut rest) {
            let target = request.target().to_owned();
            self.record.line(&format!("discovery is called: {target}"));
            let number = |name: &str| {
                let query = target.split_once('?').map_or("", |(_, query)| query);
                let value = query.split('&').find_map(|part| part.strip_prefix(name));
                value.and_then(|value| value.parse::<u64>().ok())
            };
            let after = number("after=");
            let deadline = Instant::now() + ms(number("wait_ms=").unwrap_or(0).min(60_000));
            let (lock, changed) = &*self.state;
            let mut state = lock.lock().unwrap();
            if !state.down && state.refuse > 0 {
                state.refuse -= 1;
                drop(state);
                self.record.line("discovery refuses the call: 503");
                if write_response(&mut stream, "503 Service Unavailable", "", b"").is_err() {
                    return;
                }
                continue;
            }
            while !state.down && after.is_some_and(|after| state.index <= after) && Instant::now() < deadline {
                state = changed.wait_timeout(state, deadline - Instant::now()).unwrap().0;
            }
            if state.down {
                return;
            }
            let entries: Vec<Entry> = state
                .entries
                .iter()
                .filter(|(version, _)| after.is_none_or(|after| *version > after))
                .map(|(_, entry)| entry.clone())
                .collect();
            let list = list_json(state.index, after.is_none(), &entries);
            if entries.iter().any(|entry| entry.status == "Terminating") {
                state.drain_told.get_or_insert_with(Instant::now);
            }
            drop(state);
            self.record.line(&format!("discovery answers: {list}"));
            if write_response(&mut stream, "200 OK", "Content-Type: application/json\r\n", list.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// The settings of `ktm-main`, in the form of the Wire page's example, for a fleet of this many gateways.
pub fn ktm_main(
    listen: SocketAddr,
    discovery: SocketAddr,
    known: &str,
    sockets: u32,
    gateways: u32,
) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},
"known":{known},
"settings":{{"azs":["thamel-room"],"balancers":{gateways},
"classes":[
{{"deadlineUs":750000,"idempotency":"read_like","keyScope":"all","lateValue":0.15,"name":"order-read","promiseUs":150000,"repeatWindowUs":5000000,"stream":false,"worth":3.0}},
{{"deadlineUs":1500000,"idempotency":"read_like","keyScope":"all","lateValue":0.1,"name":"order-write","promiseUs":250000,"repeatWindowUs":5000000,"stream":false,"worth":2.0}},
{{"deadlineUs":4000000,"idempotency":"read_like","keyScope":"all","lateValue":0.2,"name":"report-read","promiseUs":1200000,"repeatWindowUs":5000000,"stream":false,"worth":1.0}}],
"clients":{{"marksRetry":false}},
"costs":{{"connection":0.0,"crossZone":0.0,"discovery":0.0043,"handshake":0.0,"lateFail":0.0,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.0,"waste":0.05}},
"discovery":"on_request","family":"stores",
"familyInfo":{{"coldBears":43.0,"saysOthers":true,"shards":9,"spareWorth":0.1,"unitsTop":8,"usePeriodUs":0,"usualUnits":2.16,"withinShare":0.35,"writes":[false,true,false]}},
"goal":{{"whole":0.8,"worstClass":0.1,"worstTenant":0.0,"worstWindow":0.1}},
"index":0,"layers":["order-store"],
"policies":[
{{"cap":0.0,"capDepth":0.0,"capSlack":0.0,"name":"basic","proportion":1.0,"rate":8.4,"reserve":0.0,"worthFactor":0.72}},
{{"cap":0.0,"capDepth":0.0,"capSlack":0.0,"name":"standard","proportion":2.0,"rate":17.0,"reserve":14.0,"worthFactor":1.2}},
{{"cap":0.0,"capDepth":0.0,"capSlack":0.0,"name":"priority","proportion":6.0,"rate":34.0,"reserve":27.0,"worthFactor":1.4}}],
"policyLimits":{{"cancel":true,"connIdleUs":15000000,"connectTimeoutUs":250000,"cpuUsPerRequest":0.0,"cpuUsPerS":387273,"maxAttempts":3,"maxOpen":25818,"maxRetryAfterUs":500000,"mayDuplicate":false,"mayTell":false,"probes":false,"retryAfter":true,"streamsPerConn":32}},
"report":{{"fields":["pending","cpu_share"],"how":"inline"}},"resolutionUs":2000,
"rules":{{"askWithinUs":10000000,"coldFrom":0.19,"drainGraceUs":2000000,"fallUs":1000000,"graceToAnswerUs":8000,"tipMultiple":4.0,"warmUpUs":16000000}},
"shapes":["small-2core"],"tier":0,"weightSource":"nominal","zone":0}}}}"#
    )
}

/// The head of a request as on the Protocol page.
pub fn request_head(id: u64, kind: &str, deadline_ms: u64, group: u32, body_len: Option<usize>) -> String {
    let method = if body_len.is_some() { "PUT" } else { "GET" };
    let length = body_len.map_or(String::new(), |length| format!("Content-Length: {length}\r\n"));
    format!(
        "{method} /api/7f3a9c21e0b4{:04x} HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {id:016x}\r\nReq-Kind: {kind}\r\nTier: priority\r\nReq-Deadline: {deadline_ms}m\r\n{length}IO-Info: volume=00000003b4d60021,units=2,shard={group},hosts=1\r\n\r\n",
        id & 0xffff
    )
}
