//! Clusters of real front processes with faults between them, judged by the requests that reach test servers and by
//! the messages that callers receive, never by what a front reports about itself.
//!
//! Each front runs as a node of the operators' platform, with its peers configured. All datagrams between fronts go
//! through a [`relay`], which knows the sender and the recipient of each. The [`fenced_server`] accepts connections
//! and answers no health checks, so that the fleet elects one front, by a lease, to check it. A [`deployment`] adds
//! servers that answer, and callers.
//!
//! - [`fault_run`]: faults drawn from a seed, one after the other.
//! - [`error`]: failures of a run, and violated rules.

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

/// UDP port on which fronts listen for each other.
const PEER_PORT: u16 = 7946;
/// TCP port on which fronts listen for callers.
const CALLER_PORT: u16 = 5080;
/// Time limit for a front to leave service and exit.
const MAX_LEAVE_TIME: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The configuration of one front.
#[derive(Clone, Debug, Default)]
pub struct FrontSetup {
    /// Command-line arguments in addition to those that all fronts get.
    pub arguments: Vec<String>,
    /// The endpoint list that the platform gives to the front.
    pub endpoints: Vec<Value>,
    /// A JSON object of settings that are added to those of all fronts or replace them, or null.
    pub settings: Value,
}

/// The configuration of a cluster.
#[derive(Clone, Debug)]
pub struct ClusterConfig<'a> {
    /// Path of the program `ochrelead-front`.
    pub binary: &'a Path,
    /// Folder for configurations and logs. Its former contents are removed.
    pub folder: &'a Path,
    /// The bytes a and b of the fronts' addresses 127.a.b.1, 127.a.b.2 and so on. Clusters that run at the same time
    /// need different subnets.
    pub subnet: [u8; 2],
    /// Whether fronts run with `--peers`, which turns on gossip and leases.
    pub has_gossip: bool,
    /// The fronts.
    pub fronts: Vec<FrontSetup>,
}

/// A fleet of front processes. Dropping it kills them.
pub struct TestCluster {
    /// The relay for all datagrams between the fronts.
    pub relay: Relay,
    /// The server that the holder of the lease checks.
    pub server: FencedServer,
    binary: PathBuf,
    folder: PathBuf,
    has_gossip: bool,
    listen: Vec<SocketAddr>,
    processes: Vec<Option<Child>>,
    arguments: Vec<Vec<String>>,
}

/// The address of a front for a port.
fn front_address([a, b]: [u8; 2], front: u32, port: u16) -> SocketAddr {
    let host = u8::try_from(front + 1).expect("a cluster has at most 255 fronts");
    SocketAddr::from((Ipv4Addr::new(127, a, b, host), port))
}

/// The configuration that the platform gives to a front.
fn platform_config(config: &ClusterConfig<'_>, front: u32, peers: &[String]) -> Value {
    let FrontSetup { endpoints, settings: extra_settings, .. } = &config.fronts[front as usize];
    let known = json!({"index": 1, "endpoints": {"generation": 1, "reset": true, "instances": endpoints}});
    let class = json!({"name": "voice", "deadlineMs": 9000, "targetMs": 1500, "worth": 1});
    let mut settings = json!({
        "balancers": config.fronts.len(), "index": front, "requestClasses": [class], "tickMs": 5,
        "limits": {"peers": true, "connectTimeoutMs": 500},
    });
    for (name, value) in extra_settings.as_object().into_iter().flatten() {
        settings[name] = value.clone();
    }
    json!({
        "name": format!("n{front}"),
        "listen": front_address(config.subnet, front, CALLER_PORT).to_string(),
        "seed": format!("{:x}", 77 + front),
        "limits": {"memory_mb": 32, "sockets": 256},
        "peer_listen": front_address(config.subnet, front, PEER_PORT).to_string(),
        "peers": peers,
        "known": {"index": 1, "updates": [known]},
        "settings": settings,
    })
}

impl TestCluster {
    /// Starts a cluster with gossip whose fronts have the fenced server as their only endpoint. `arguments` has the
    /// extra command-line arguments of each front.
    ///
    /// # Errors
    ///
    /// Returns an error if a socket, file or process can't be created.
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
    /// Returns an error if a socket, file or process can't be created.
    pub fn start_with(config: ClusterConfig<'_>, server: FencedServer) -> io::Result<TestCluster> {
        let _ = fs::remove_dir_all(config.folder);
        fs::create_dir_all(config.folder)?;
        let fronts = 0..config.fronts.len() as u32;
        let relay = Relay::start(fronts.end, |front| front_address(config.subnet, front, PEER_PORT))?;
        for front in fronts.clone() {
            let peer = |other: u32| match other {
                _ if other == front => front_address(config.subnet, front, PEER_PORT).to_string(),
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
            listen: fronts.clone().map(|front| front_address(config.subnet, front, CALLER_PORT)).collect(),
            processes: fronts.clone().map(|_| None).collect(),
            arguments: config.fronts.into_iter().map(|front| front.arguments).collect(),
        };
        fronts.clone().try_for_each(|front| cluster.start_front(front))?;
        Ok(cluster)
    }

    /// The folder of configurations and logs.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// The address on which a front listens for callers.
    pub fn caller_address(&self, front: u32) -> SocketAddr {
        self.listen[front as usize]
    }

    /// Replaces a front's extra command-line arguments. Takes effect when the front next starts.
    pub fn set_arguments(&mut self, front: u32, arguments: Vec<String>) {
        self.arguments[front as usize] = arguments;
    }

    /// Starts a front's process.
    ///
    /// # Errors
    ///
    /// Returns an error if the log file can't be created or the process can't be started.
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

    /// Starts all fronts that have no process.
    ///
    /// # Errors
    ///
    /// Returns an error if a log file can't be created or a process can't be started.
    pub fn start_missing_fronts(&mut self) -> io::Result<()> {
        for front in 0..self.fronts() {
            if self.processes[front as usize].is_none() {
                self.start_front(front)?;
            }
        }
        Ok(())
    }

    /// Number of fronts, running or not.
    pub fn fronts(&self) -> u32 {
        self.processes.len() as u32
    }

    /// The voters that fronts derive when no arguments name them.
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
            kill_and_wait(&mut child);
        }
    }

    /// Sends SIGTERM to a front, so that it leaves service, and waits for its process to exit.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has not exited within 30 s. The process is killed then.
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
        kill_and_wait(&mut child);
        Err(ClusterError::LeaveTimedOut { front })
    }

    /// Pauses a front's process.
    pub fn pause(&self, front: u32) {
        self.signal(front, Signal::STOP);
    }

    /// Resumes a paused process.
    pub fn resume(&self, front: u32) {
        self.signal(front, Signal::CONT);
    }

    /// Whether all processes still run, except those that [`kill`](Self::kill) or [`leave`](Self::leave) ended.
    pub fn all_run(&mut self) -> bool {
        let mut children = self.processes.iter_mut().flatten();
        children.all(|child| child.try_wait().is_ok_and(|status| status.is_none()))
    }

    /// Waits for an accepted act that matches. Ignores the acts that the server has already recorded.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such act within `timeout`.
    pub fn wait_for_act(
        &self,
        timeout: Duration,
        matches: impl Fn(&RecordedAct) -> bool,
    ) -> Result<RecordedAct, ClusterError> {
        let (seen, deadline) = (self.server.acts().len(), Instant::now() + timeout);
        while Instant::now() < deadline {
            let acts = self.server.acts();
            if let Some(act) = acts.iter().skip(seen).find(|act| !act.is_refused && matches(act)) {
                return Ok(act.clone());
            }
            thread::sleep(POLL_INTERVAL);
        }
        Err(ClusterError::NoAct { timeout, acts: self.server.acts().len() })
    }
}

/// Kills a process, also a paused one, and waits for it.
fn kill_and_wait(child: &mut Child) {
    let _ = child.kill();
    let _ = child.wait();
}

impl Drop for TestCluster {
    fn drop(&mut self) {
        self.processes.iter_mut().flatten().for_each(kill_and_wait);
    }
}
