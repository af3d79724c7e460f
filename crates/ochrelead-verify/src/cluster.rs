//! Several processes of the program with faults between them, judged by what reached a server of the test's own. No
//! front is asked what it believes.
//!
//! Each front runs as a node of the operators' platform, with its peers configured. All datagrams between fronts go
//! through a [`relay`], which knows the sender and the recipient of each. The [`fenced_server`] accepts connections and
//! says nothing, so that one front of the fleet tests it under a lease. A [`deployment`] has servers that answer, and
//! callers.
//!
//! - [`fault_run`]: faults drawn from a seed, one after the other.
//! - [`error`]: what goes wrong, and what does not hold.

pub mod deployment;
pub mod error;
pub mod fault_run;
pub mod fenced_server;
pub mod relay;

use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use ochrelead_lease::electorate::{DEFAULT_SIZE, Electorate};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

pub use error::ClusterError;

use fenced_server::{FencedServer, RecordedAct};
use relay::Relay;

/// Where fronts listen for each other.
const PEER_PORT: u16 = 7946;
/// Where fronts listen for their callers.
const CALLER_PORT: u16 = 5080;
/// How long a front that leaves service may take.
const MAX_LEAVE_TIME: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// What one front is started with.
#[derive(Clone, Debug, Default)]
pub struct FrontSetup {
    /// Command-line arguments beside the usual ones.
    pub arguments: Vec<String>,
    /// The servers as the platform lists them.
    pub endpoints: Vec<Value>,
    /// Settings beside the usual ones: a JSON object, or null.
    pub settings: Value,
}

/// What a cluster is made from.
#[derive(Clone, Debug)]
pub struct ClusterConfig<'a> {
    /// The program.
    pub binary: &'a Path,
    /// A folder for configurations and logs. What it had is removed.
    pub folder: &'a Path,
    /// Fronts have the addresses 127.a.b.1, 127.a.b.2 and so on; each cluster needs a subnet of its own.
    pub subnet: [u8; 2],
    /// Fronts gossip and hold leases; else they do only what their own arguments say.
    pub has_gossip: bool,
    /// The fronts.
    pub fronts: Vec<FrontSetup>,
}

/// A fleet of processes.
pub struct TestCluster {
    /// What is between the fronts.
    pub relay: Relay,
    /// What the fronts test.
    pub server: FencedServer,
    binary: PathBuf,
    folder: PathBuf,
    has_gossip: bool,
    listen: Vec<SocketAddr>,
    processes: Vec<Option<Child>>,
    arguments: Vec<Vec<String>>,
}

/// A front's address.
fn address([a, b]: [u8; 2], front: u32, port: u16) -> SocketAddr {
    let host = u8::try_from(front + 1).expect("a cluster has a few fronts");
    SocketAddr::from((Ipv4Addr::new(127, a, b, host), port))
}

/// A front's configuration, as the platform gives it.
fn platform_config(config: &ClusterConfig<'_>, front: u32, peers: &[String]) -> Value {
    let FrontSetup { endpoints, settings: more, .. } = &config.fronts[front as usize];
    let known = json!({"index": 1, "endpoints": {"generation": 1, "reset": true, "instances": endpoints}});
    let class = json!({"name": "voice", "deadlineMs": 9000, "targetMs": 1500, "worth": 1});
    let mut settings = json!({
        "balancers": config.fronts.len(), "index": front, "requestClasses": [class], "tickMs": 5,
        "limits": {"peers": true, "connectTimeoutMs": 500},
    });
    for (name, value) in more.as_object().into_iter().flatten() {
        settings[name] = value.clone();
    }
    json!({
        "name": format!("n{front}"),
        "listen": address(config.subnet, front, CALLER_PORT).to_string(),
        "seed": format!("{:x}", 77 + front),
        "limits": {"memory_mb": 32, "sockets": 256},
        "peer_listen": address(config.subnet, front, PEER_PORT).to_string(),
        "peers": peers,
        "known": {"index": 1, "updates": [known]},
        "settings": settings,
    })
}

impl TestCluster {
    /// Starts a cluster whose fronts know the fenced server, each with arguments of its own.
    ///
    /// # Errors
    ///
    /// Where sockets, files or processes can't be made.
    pub fn start(
        binary: &Path,
        folder: &Path,
        subnet: [u8; 2],
        arguments: Vec<Vec<String>>,
    ) -> io::Result<TestCluster> {
        let server = FencedServer::start()?;
        let endpoint = json!({"instanceId": "s-0", "hostPort": server.address().to_string(), "cell": 0,
            "lifecycle": "up", "weight": 1, "startedAtMs": 0});
        let front =
            |arguments| FrontSetup { arguments, endpoints: vec![endpoint.clone()], settings: Value::Null };
        let fronts = arguments.into_iter().map(front).collect();
        TestCluster::start_with(ClusterConfig { binary, folder, subnet, has_gossip: true, fronts }, server)
    }

    /// Starts a cluster.
    ///
    /// # Errors
    ///
    /// Where sockets, files or processes can't be made.
    pub fn start_with(config: ClusterConfig<'_>, server: FencedServer) -> io::Result<TestCluster> {
        let _ = fs::remove_dir_all(config.folder);
        fs::create_dir_all(config.folder)?;
        let fronts = 0..config.fronts.len() as u32;
        let relay = Relay::start(fronts.end, |front| address(config.subnet, front, PEER_PORT))?;
        for front in fronts.clone() {
            let peer = |other: u32| match other {
                _ if other == front => address(config.subnet, front, PEER_PORT).to_string(),
                _ => relay.address(front, other).to_string(),
            };
            let peers: Vec<String> = fronts.clone().map(peer).collect();
            let platform = platform_config(&config, front, &peers);
            fs::write(config.folder.join(format!("n{front}.json")), platform.to_string())?;
        }
        let mut cluster = TestCluster {
            relay,
            server,
            binary: config.binary.to_owned(),
            folder: config.folder.to_owned(),
            has_gossip: config.has_gossip,
            listen: fronts.clone().map(|front| address(config.subnet, front, CALLER_PORT)).collect(),
            processes: fronts.clone().map(|_| None).collect(),
            arguments: config.fronts.into_iter().map(|front| front.arguments).collect(),
        };
        fronts.clone().try_for_each(|front| cluster.start_front(front))?;
        Ok(cluster)
    }

    /// Where configurations and logs are.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Where a front listens for its callers.
    pub fn caller_address(&self, front: u32) -> SocketAddr {
        self.listen[front as usize]
    }

    /// Gives a front other arguments, from its next start on.
    pub fn set_arguments(&mut self, front: u32, arguments: Vec<String>) {
        self.arguments[front as usize] = arguments;
    }

    /// Starts a front's process.
    ///
    /// # Errors
    ///
    /// Where it can't be started.
    pub fn start_front(&mut self, front: u32) -> io::Result<()> {
        let log = fs::File::create(self.folder.join(format!("n{front}.log")))?;
        let child = Command::new(&self.binary)
            .args(["node", "--log", "warn"])
            .args(self.has_gossip.then_some("--peers"))
            .args(&self.arguments[front as usize])
            .env("ROUTER_CONFIG", self.folder.join(format!("n{front}.json")))
            .stdin(Stdio::null())
            .stderr(log)
            .spawn()?;
        self.processes[front as usize] = Some(child);
        Ok(())
    }

    /// Starts the processes of all fronts that have none.
    ///
    /// # Errors
    ///
    /// Where one can't be started.
    pub fn start_missing_fronts(&mut self) -> io::Result<()> {
        for front in 0..self.fronts() {
            if self.processes[front as usize].is_none() {
                self.start_front(front)?;
            }
        }
        Ok(())
    }

    /// How many fronts there are.
    pub fn fronts(&self) -> u32 {
        self.processes.len() as u32
    }

    /// The fronts that vote, as the fronts themselves derive it.
    pub fn voters(&self) -> Vec<u32> {
        Electorate::evenly_spaced(1, self.fronts(), DEFAULT_SIZE).voters().into_iter().collect()
    }

    fn signal(&self, front: u32, signal: Signal) {
        if let Some(child) = &self.processes[front as usize] {
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// Kills a front's process.
    pub fn kill(&mut self, front: u32) {
        if let Some(mut child) = self.processes[front as usize].take() {
            end(&mut child);
        }
    }

    /// Tells a front to leave service, and waits for its process to end.
    ///
    /// # Errors
    ///
    /// Where it has not ended within half a minute.
    pub fn leave(&mut self, front: u32) -> Result<(), ClusterError> {
        self.signal(front, Signal::TERM);
        let Some(mut child) = self.processes[front as usize].take() else { return Ok(()) };
        let deadline = Instant::now() + MAX_LEAVE_TIME;
        while Instant::now() < deadline {
            if child.try_wait().is_ok_and(|status| status.is_some()) {
                return Ok(());
            }
            thread::sleep(POLL_INTERVAL);
        }
        end(&mut child);
        Err(ClusterError::NotEnded { front })
    }

    /// Makes a front's process stand still.
    pub fn pause(&self, front: u32) {
        self.signal(front, Signal::STOP);
    }

    /// Lets a front's process run again.
    pub fn resume(&self, front: u32) {
        self.signal(front, Signal::CONT);
    }

    /// Whether each process that was started still runs.
    pub fn all_run(&mut self) -> bool {
        let mut children = self.processes.iter_mut().flatten();
        children.all(|child| child.try_wait().is_ok_and(|status| status.is_none()))
    }

    /// Waits for an accepted act that fits, among those that come from now on.
    ///
    /// # Errors
    ///
    /// Where none came in time.
    pub fn wait_for_act(
        &self,
        timeout: Duration,
        fits: impl Fn(&RecordedAct) -> bool,
    ) -> Result<RecordedAct, ClusterError> {
        let (seen, deadline) = (self.server.acts().len(), Instant::now() + timeout);
        while Instant::now() < deadline {
            let acts = self.server.acts();
            if let Some(act) = acts.iter().skip(seen).find(|act| !act.is_refused && fits(act)) {
                return Ok(act.clone());
            }
            thread::sleep(POLL_INTERVAL);
        }
        Err(ClusterError::NoAct { timeout, acts: self.server.acts().len() })
    }
}

/// Ends a process, also one that stands still.
fn end(child: &mut Child) {
    let _ = child.kill();
    let _ = child.wait();
}

impl Drop for TestCluster {
    fn drop(&mut self) {
        self.processes.iter_mut().flatten().for_each(end);
    }
}
