//! Stand-ins and helpers of the cases 6 to 10: storage nodes, discovery, clients and the start of gateways.
//! Standard library only; every address is a loopback address.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufWriter, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// A small random number generator (xorshift), seeded for each case.
pub struct Rng(pub u64);

impl Rng {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
    /// A number from 0 to 1.
    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
    /// Time to the next event of a Poisson process.
    pub fn gap(&mut self, rate: f64) -> f64 {
        -(1.0 - self.unit()).ln() / rate
    }
}

/// The record of a case: one line for each event, with seconds since the start of the case.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<BufWriter<File>>)>);

impl Record {
    pub fn create(folder: &Path) -> Record {
        let file = File::create(folder.join("record.txt")).expect("record.txt");
        Record(Arc::new((Instant::now(), Mutex::new(BufWriter::new(file)))))
    }
    pub fn now(&self) -> f64 {
        self.0.0.elapsed().as_secs_f64()
    }
    pub fn start(&self) -> Instant {
        self.0.0
    }
    pub fn line(&self, text: impl AsRef<str>) {
        let _ = writeln!(self.0.1.lock().unwrap(), "{:9.3} {}", self.now(), text.as_ref());
    }
    /// Writes to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
        let _ = self.0.1.lock().unwrap().flush();
    }
}

/// What every case gets: its folder, the project's root, whether the disruption is on, and a temporary folder.
pub struct Case {
    pub root: PathBuf,
    pub trouble: bool,
    pub record: Record,
    pub temp: PathBuf,
}

/// Processes that the case has started, so that the watchdog can end them.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Notes a process for the watchdog, and for run.sh in case this program fails.
fn remember_process(case: &Case, pid: u32) {
    CHILDREN.lock().unwrap().push(pid);
    let mut file = File::options().create(true).append(true).open(case.temp.join("pids")).expect("pids");
    writeln!(file, "{pid}").expect("pids");
}

pub fn signal(pid: u32, name: &str) {
    let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {pid} 2>/dev/null")).status();
}

/// Arguments: the project's root, the case's folder, a temporary folder. Ends the case with 2 after `limit_s`.
pub fn start_case(limit_s: u64) -> Case {
    let arguments: Vec<PathBuf> = std::env::args().skip(1).map(PathBuf::from).collect();
    let [root, folder, temp] = &arguments[..] else { panic!("arguments: ROOT FOLDER TEMP") };
    let record = Record::create(folder);
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(format!("TROUBLE={}", u8::from(trouble)));
    let panicking = record.clone();
    std::panic::set_hook(Box::new(move |panic| {
        panicking.say(format!("the case could not run: {panic}"));
        finish(2);
    }));
    let watchdog = record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(Duration::from_secs(limit_s));
        watchdog.say("the case took too long");
        finish(2);
    });
    Case { root: root.clone(), trouble, record, temp: temp.clone() }
}

/// Ends all started processes and the case.
pub fn finish(code: i32) -> ! {
    if let Ok(mut children) = CHILDREN.try_lock() {
        children.drain(..).for_each(|pid| signal(pid, "KILL"));
    }
    std::process::exit(code)
}

/// A port on 127.0.0.1 that is free at this moment.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port")
}

// ---------------------------------------------------------------- HTTP

/// The head of a message, with lower-case header names.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first_line: String,
    pub headers: HashMap<String, String>,
}

impl Head {
    pub fn get(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
    /// A field of `IO-Info`.
    pub fn io_info(&self, name: &str) -> String {
        let mut fields = self.get("io-info").split(',').filter_map(|field| field.split_once('='));
        fields.find(|(key, _)| key.trim() == name).map_or(String::new(), |(_, value)| value.trim().to_owned())
    }
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message with `Content-Length` framing. `None`: the connection ended or failed.
/// `on_first_byte` is called when the first byte of the message has arrived.
pub fn read_message(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    mut on_first_byte: impl FnMut(),
) -> Option<(Head, Vec<u8>)> {
    let mut chunk = [0; 16384];
    let mut first = true;
    if !buffer.is_empty() {
        on_first_byte();
        first = false;
    }
    let end = loop {
        if let Some(position) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break position;
        }
        let length = stream.read(&mut chunk).ok().filter(|length| *length > 0)?;
        if first {
            on_first_byte();
            first = false;
        }
        buffer.extend_from_slice(&chunk[..length]);
    };
    let text = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let mut lines = text.split("\r\n");
    let mut head = Head { first_line: lines.next()?.to_owned(), ..Head::default() };
    for (name, value) in lines.filter_map(|line| line.split_once(':')) {
        head.headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
    }
    let length: usize = head.get("content-length").parse().unwrap_or(0);
    while buffer.len() < end + 4 + length {
        let read = stream.read(&mut chunk).ok().filter(|length| *length > 0)?;
        buffer.extend_from_slice(&chunk[..read]);
    }
    let body = buffer[end + 4..end + 4 + length].to_vec();
    buffer.drain(..end + 4 + length);
    Some((head, body))
}

pub fn answer(status: &str, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

// ---------------------------------------------------------------- requests of clients

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A request as the Protocol page shows it.
#[derive(Clone)]
pub struct Request {
    pub id: String,
    pub class: &'static str,
    pub write: bool,
    pub tier: &'static str,
    pub deadline_ms: u64,
    pub volume: u64,
    pub units: u32,
    pub shard: u32,
    pub hosts: u32,
    pub block: u64,
}

impl Request {
    pub fn read(deadline_ms: u64, volume: u64, shard: u32, block: u64) -> Request {
        let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
        Request {
            id: format!("{:016x}", (u64::from(std::process::id()) << 32) | number),
            class: "order-read",
            write: false,
            tier: "standard",
            deadline_ms,
            volume,
            units: 2,
            shard,
            hosts: 3,
            block,
        }
    }
    pub fn bytes(&self) -> Vec<u8> {
        let method = if self.write { "PUT" } else { "GET" };
        let length = if self.write { "Content-Length: 4\r\n" } else { "" };
        let body = if self.write { "data" } else { "" };
        format!(
            "{method} /api/{:016x} HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {}\r\nReq-Kind: {}\r\nTier: {}\r\n\
             Req-Deadline: {}m\r\n{length}IO-Info: volume={:016x},units={},shard={},hosts={}\r\n\r\n{body}",
            self.block,
            self.id,
            self.class,
            self.tier,
            self.deadline_ms,
            self.volume,
            self.units,
            self.shard,
            self.hosts
        )
        .into_bytes()
    }
}

// ---------------------------------------------------------------- gateways

/// The settings of the Wire page's example (`ktm-main`'s classes and rules), with the given differences.
pub struct Settings {
    pub gateways: usize,
    pub index: usize,
    pub cold_bears: f64,
    pub cold_from: f64,
    pub write_effect: &'static str,
    pub discovery: &'static str,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            gateways: 3,
            index: 0,
            cold_bears: 43.0,
            cold_from: 0.19,
            write_effect: "read_like",
            discovery: "on_request",
        }
    }
}

impl Settings {
    pub fn json(&self) -> String {
        let class = |name: &str, effect: &str, aim: u32, deadline: u32, late: f64, worth: f64| {
            format!(
                r#"{{"deadlineUs":{deadline},"idempotency":"{effect}","keyScope":"all","lateValue":{late},"name":"{name}","promiseUs":{aim},"repeatWindowUs":5000000,"stream":false,"worth":{worth}}}"#
            )
        };
        let classes = [
            class("order-read", "read_like", 150_000, 750_000, 0.15, 3.0),
            class("order-write", self.write_effect, 250_000, 1_500_000, 0.1, 2.0),
            class("report-read", "read_like", 1_200_000, 4_000_000, 0.2, 1.0),
        ]
        .join(",");
        format!(
            r#"{{"azs":["thamel-room"],"balancers":{},"classes":[{classes}],"clients":{{"marksRetry":false}},
"costs":{{"connection":0.0,"crossZone":0.0,"discovery":0.0043,"handshake":0.0,"lateFail":0.0,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.0,"waste":0.05}},
"discovery":"{}","family":"stores",
"familyInfo":{{"coldBears":{},"saysOthers":true,"shards":9,"spareWorth":0.1,"unitsTop":8,"usePeriodUs":0,"usualUnits":2.16,"withinShare":0.35,"writes":[false,true,false]}},
"goal":{{"whole":0.8,"worstClass":0.1,"worstTenant":0.0,"worstWindow":0.1}},"index":{},"layers":["order-store"],
"policies":[{{"cap":0.0,"capDepth":0.0,"capSlack":0.0,"name":"basic","proportion":1.0,"rate":8.4,"reserve":0.0,"worthFactor":0.72}},
{{"cap":0.0,"capDepth":0.0,"capSlack":0.0,"name":"standard","proportion":2.0,"rate":17.0,"reserve":14.0,"worthFactor":1.2}},
{{"cap":0.0,"capDepth":0.0,"capSlack":0.0,"name":"priority","proportion":6.0,"rate":34.0,"reserve":27.0,"worthFactor":1.4}}],
"policyLimits":{{"cancel":true,"connIdleUs":15000000,"connectTimeoutUs":250000,"cpuUsPerRequest":0.0,"cpuUsPerS":387273,"maxAttempts":3,"maxOpen":25818,"maxRetryAfterUs":500000,"mayDuplicate":false,"mayTell":false,"probes":false,"retryAfter":true,"streamsPerConn":32}},
"report":{{"fields":["pending","cpu_share"],"how":"inline"}},"resolutionUs":2000,
"rules":{{"askWithinUs":10000000,"coldFrom":{},"drainGraceUs":2000000,"fallUs":1000000,"graceToAnswerUs":8000,"tipMultiple":4.0,"warmUpUs":16000000}},
"shapes":["small-2core"],"tier":0,"weightSource":"nominal","zone":0}}"#,
            self.gateways, self.discovery, self.cold_bears, self.index, self.cold_from
        )
    }
}

pub struct Gateway {
    pub child: Child,
    pub listen: SocketAddr,
    pub config: PathBuf,
    known: String,
    settings: String,
    sockets: usize,
    memory_mb: usize,
    index: usize,
}

/// The `run` command of deploy/balancer.toml.
fn run_command(root: &Path) -> String {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("deploy/balancer.toml");
    let line = text.lines().find(|line| line.starts_with("run")).expect("run in the deploy file");
    line.split('"').nth(1).expect("run = \"...\"").to_owned()
}

impl Gateway {
    /// Starts a gateway by the deploy file's `run`, and waits until it answers 200 to `GET /health/ready`.
    pub fn start(
        case: &Case,
        settings: &Settings,
        discovery: SocketAddr,
        known: &str,
        sockets: usize,
        memory_mb: usize,
    ) -> Gateway {
        let index = settings.index;
        let listen = free_address();
        let config = case.temp.join(format!("gateway-{index}.json"));
        let text =
            ConfigText { index, listen, discovery, sockets, memory_mb, known, settings: &settings.json() }
                .text();
        std::fs::write(&config, text).expect("configuration");
        let log = File::create(case.temp.join(format!("gateway-{index}.log"))).expect("log");
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(run_command(&case.root))
            .current_dir(&case.root)
            .env("GW_NAME", format!("n{index}"))
            .env("GW_LISTEN", listen.to_string())
            .env("GW_DISCOVERY", discovery.to_string())
            .env("GW_CONFIG", &config)
            .env("TMPDIR", &case.temp)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log)
            .spawn()
            .expect("a gateway");
        remember_process(case, child.id());
        let gateway = Gateway {
            child,
            listen,
            config,
            known: known.to_owned(),
            settings: settings.json(),
            sockets,
            memory_mb,
            index,
        };
        let begun = Instant::now();
        while begun.elapsed() < Duration::from_secs(20) {
            if let Ok(mut stream) = TcpStream::connect(listen) {
                let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
                let _ = stream.write_all(b"GET /health/ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n");
                if read_message(&mut stream, &mut Vec::new(), || ())
                    .is_some_and(|(head, _)| head.status() == 200)
                {
                    case.record
                        .line(format!("gateway n{index} ready at {listen}, process {}", gateway.child.id()));
                    return gateway;
                }
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        case.record.say(format!("gateway n{index} did not become ready"));
        finish(2)
    }

    /// Replaces the configuration file by one with another discovery address.
    pub fn write_config(&self, discovery: SocketAddr) {
        let text = ConfigText {
            index: self.index,
            listen: self.listen,
            discovery,
            sockets: self.sockets,
            memory_mb: self.memory_mb,
            known: &self.known,
            settings: &self.settings,
        }
        .text();
        let next = self.config.with_extension("next");
        std::fs::write(&next, text).expect("configuration");
        std::fs::rename(&next, &self.config).expect("configuration");
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

/// The share of a core that the configurations state; `limit_cpu` enforces it.
pub static CORES: Mutex<f64> = Mutex::new(1.0);

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

/// The platform's limit on processor time: in each 100 ms, a process that has used its share is stopped until the
/// end of that time.
pub fn limit_cpu(record: &Record, pid: u32, cores: f64) {
    const PERIOD: Duration = Duration::from_millis(100);
    // Nanoseconds that the process's threads have run.
    let used = move || -> Option<u64> {
        let tasks = std::fs::read_dir(format!("/proc/{pid}/task")).ok()?;
        let times =
            tasks.flatten().filter_map(|task| std::fs::read_to_string(task.path().join("schedstat")).ok());
        Some(times.filter_map(|text| text.split(' ').next()?.parse::<u64>().ok()).sum())
    };
    let quota = (PERIOD.as_nanos() as f64 * cores) as u64;
    let record = record.clone();
    std::thread::spawn(move || {
        let mut stops = 0u64;
        loop {
            let begun = Instant::now();
            let Some(before) = used() else { return };
            while begun.elapsed() < PERIOD {
                if used().is_none_or(|now| now.saturating_sub(before) >= quota) {
                    unsafe { kill(pid as i32, SIGSTOP) };
                    std::thread::sleep(PERIOD.saturating_sub(begun.elapsed()));
                    unsafe { kill(pid as i32, SIGCONT) };
                    stops += 1;
                    if stops % 10 == 0 {
                        record.line(format!(
                            "the gateway has used its share of {cores} core in {stops} times of 100 ms"
                        ));
                    }
                    break;
                }
                std::thread::sleep(Duration::from_millis(1));
            }
        }
    });
}

struct ConfigText<'a> {
    index: usize,
    listen: SocketAddr,
    discovery: SocketAddr,
    sockets: usize,
    memory_mb: usize,
    known: &'a str,
    settings: &'a str,
}

impl ConfigText<'_> {
    fn text(&self) -> String {
        format!(
            r#"{{"name":"n{}","listen":"{}","discovery":"{}","seed":"{:016x}","limits":{{"cores":{},"memory_mb":{},"sockets":{}}},"known":{},"settings":{}}}"#,
            self.index,
            self.listen,
            self.discovery,
            0x8c1f_30d2_7a5b_e964u64.wrapping_add(self.index as u64 * 0x1234_5677),
            CORES.lock().unwrap(),
            self.memory_mb,
            self.sockets,
            self.known,
            self.settings
        )
    }
}

// ---------------------------------------------------------------- discovery

#[derive(Clone)]
pub struct Endpoint {
    pub name: String,
    pub address: SocketAddr,
    pub group: u32,
    pub status: &'static str,
    pub since_ms: u64,
}

impl Endpoint {
    fn json(&self) -> String {
        format!(
            r#"{{"name":"{}","address":"{}","zone":"thamel-room","type":"m2","group":{},"status":"{}","weight":1.0,"since_ms":{}}}"#,
            self.name, self.address, self.group, self.status, self.since_ms
        )
    }
}

pub struct DiscoveryState {
    pub index: u64,
    /// Each endpoint with the version of its last change.
    pub endpoints: Vec<(u64, Endpoint)>,
    /// Calls that arrive before this time wait and then get 503.
    pub crowded_until: Option<Instant>,
    /// How long a call waits in a crowded discovery before it gets 503.
    pub crowded_wait: Duration,
}

/// Discovery as the Protocol page describes it: whole lists, and watches that wait for changes.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    pub state: Arc<(Mutex<DiscoveryState>, Condvar)>,
    retired: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Discovery {
    pub fn start(record: &Record, name: &'static str, endpoints: Vec<Endpoint>, index: u64) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("discovery");
        let address = listener.local_addr().unwrap();
        let state = DiscoveryState {
            index,
            endpoints: endpoints.into_iter().map(|endpoint| (index, endpoint)).collect(),
            crowded_until: None,
            crowded_wait: Duration::from_secs(2),
        };
        let state = Arc::new((Mutex::new(state), Condvar::new()));
        let discovery = Discovery { address, state, retired: Arc::default(), open: Arc::default() };
        let (accepting, record) = (discovery.clone(), record.clone());
        listener.set_nonblocking(true).expect("discovery");
        std::thread::spawn(move || {
            while !accepting.retired.load(Ordering::Relaxed) {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(Duration::from_millis(2));
                    continue;
                };
                stream.set_nonblocking(false).expect("a blocking socket");
                accepting.open.lock().unwrap().push(stream.try_clone().expect("a socket"));
                let (discovery, record) = (accepting.clone(), record.clone());
                std::thread::spawn(move || discovery.serve(stream, &record, name));
            }
        });
        discovery
    }

    fn serve(&self, mut stream: TcpStream, record: &Record, name: &str) {
        let _ = stream.set_nodelay(true);
        let peer = stream.peer_addr().map_or(0, |peer| peer.port());
        let mut buffer = Vec::new();
        while let Some((head, _)) = read_message(&mut stream, &mut buffer, || ()) {
            let target = head.first_line.split(' ').nth(1).unwrap_or("").to_owned();
            record.line(format!("discovery {name} from port {peer}: {target}"));
            let query = target.split_once('?').map_or("", |(_, query)| query).to_owned();
            let number = |key: &str| {
                let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                pairs.find(|(name, _)| *name == key).and_then(|(_, value)| value.parse::<u64>().ok())
            };
            let crowded = {
                let state = self.state.0.lock().unwrap();
                state.crowded_until.is_some_and(|until| Instant::now() < until).then_some(state.crowded_wait)
            };
            if let Some(wait) = crowded {
                std::thread::sleep(wait);
                record.line(format!("discovery {name} to port {peer}: 503 after {wait:?} of waiting"));
                if stream.write_all(&answer("503 Service Unavailable", "", "")).is_err() {
                    return;
                }
                continue;
            }
            let body = match number("after") {
                None => self.state.0.lock().unwrap().whole(),
                Some(after) => {
                    let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
                    let mut state = self.state.0.lock().unwrap();
                    while state.index <= after && Instant::now() < until {
                        let left = until.saturating_duration_since(Instant::now());
                        state = self.state.1.wait_timeout(state, left).unwrap().0;
                    }
                    state.changes_after(after)
                }
            };
            if stream.write_all(&answer("200 OK", "Content-Type: application/json\r\n", &body)).is_err() {
                return;
            }
            record.line(format!("discovery {name} to port {peer}: {body}"));
        }
    }

    /// Makes changes known: entries replace those of the same name.
    pub fn change(&self, changed: &[Endpoint]) {
        let mut state = self.state.0.lock().unwrap();
        state.index += 1;
        let index = state.index;
        for endpoint in changed {
            state.endpoints.retain(|(_, other)| other.name != endpoint.name);
            state.endpoints.push((index, endpoint.clone()));
        }
        self.state.1.notify_all();
    }

    /// Discovery has moved away: accepts no new connection, and closes the open ones after 1.5 s.
    pub fn retire(&self) {
        self.retired.store(true, Ordering::Relaxed);
        let open = self.open.clone();
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(1500));
            open.lock().unwrap().iter().for_each(|stream| drop(stream.shutdown(std::net::Shutdown::Both)));
        });
    }

    pub fn known(&self) -> String {
        self.state.0.lock().unwrap().whole()
    }
}

impl DiscoveryState {
    fn list(&self, snapshot: bool, entries: Vec<String>) -> String {
        format!(r#"{{"index":{},"snapshot":{snapshot},"endpoints":[{}]}}"#, self.index, entries.join(","))
    }
    fn whole(&self) -> String {
        let present = self.endpoints.iter().filter(|(_, endpoint)| endpoint.status != "Gone");
        self.list(true, present.map(|(_, endpoint)| endpoint.json()).collect())
    }
    fn changes_after(&self, after: u64) -> String {
        let changed = self.endpoints.iter().filter(|(version, _)| *version > after);
        self.list(false, changed.map(|(_, endpoint)| endpoint.json()).collect())
    }
}

// ---------------------------------------------------------------- storage nodes

/// What a storage node does with a request: called once the last byte has arrived; `begun` is the time of its
/// first byte. Returns the answer.
pub type Serve = dyn Fn(&Head, f64) -> Vec<u8> + Send + Sync;

/// Starts a storage node that listens on a free port and serves each connection in a thread of its own.
pub fn start_node(record: &Record, serve: Arc<Serve>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a storage node");
    let address = listener.local_addr().unwrap();
    let record = record.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (serve, record) = (serve.clone(), record.clone());
            std::thread::spawn(move || {
                let mut stream = stream;
                let _ = stream.set_nodelay(true);
                let mut buffer = Vec::new();
                loop {
                    let mut begun = 0.0;
                    let Some((head, _)) = read_message(&mut stream, &mut buffer, || begun = record.now())
                    else {
                        return;
                    };
                    let answer = serve(&head, begun);
                    if answer.is_empty() || stream.write_all(&answer).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}
