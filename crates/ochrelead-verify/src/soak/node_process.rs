//! A node's process: writes its configuration, starts it, signals it, and waits for its exit.

use std::fs::{self, File};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

/// Interval at which a process that is waited for is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// A node that does not listen within this time has failed to start.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// The limit on open files of a node's process, which its configuration states as its limit on sockets.
const SOCKETS: u32 = 256;
const MEMORY_MB: u32 = 48;

/// Settings that all nodes of a trial share and keep.
#[derive(Clone, Copy, Debug)]
pub struct NodeSettings {
    /// The number of nodes.
    pub nodes: usize,
    /// The longest time for which a caller waits.
    pub deadline: Duration,
    /// How long a draining server may still get new calls.
    pub drain_grace: Duration,
    /// Time after which servers close idle connections.
    pub idle_limit: Duration,
    /// Delay of a re-send after a reset or cancel.
    pub resend_delay: Duration,
}

/// The part of a node's configuration that differs between nodes or changes during a trial.
pub struct NodeConfiguration {
    /// The number of the node.
    pub node: usize,
    /// Where it listens.
    pub listen: SocketAddr,
    /// The address of its coordinator.
    pub coordinator: SocketAddr,
    /// The server list at its start.
    pub known: Value,
    /// The seed of its random generator.
    pub seed: u64,
}

impl NodeConfiguration {
    /// Returns the text of the configuration file.
    pub fn to_text(&self, settings: &NodeSettings) -> String {
        let deadline_ms = settings.deadline.as_millis() as u64;
        let class = json!({"name": "voice", "deadlineMs": deadline_ms, "targetMs": deadline_ms / 4, "worth": 1,
            "lateShare": 0.25, "semantics": "free"});
        let idle_ms = settings.idle_limit.as_millis() as u64;
        let limits = json!({"maxAttempts": 4, "maxRetryAfterMs": 2000, "retryAfter": true, "connectTimeoutMs": 500,
            "connIdleMs": idle_ms, "peers": false, "mayCancel": true, "mostHeld": 20000});
        let rules = json!({"coldFrom": 0.85, "coldMs": 1000, "overloadFactor": 2.5, "tipAfterMs": 1000,
            "stopSendingWithinMs": settings.drain_grace.as_millis() as u64, "graceToAnswerMs": 5});
        let family = json!({"guardMs": settings.resend_delay.as_millis() as u64, "classHoldMs": [900], "topology": "pools"});
        let platform = json!({"balancers": settings.nodes, "index": self.node, "az": 0, "zones": ["east", "west"],
            "requestClasses": [class], "limits": limits, "rules": rules, "familyInfo": family, "tickMs": 1,
            "discovery": "pushed", "orgs": []});
        json!({"name": format!("n{}", self.node), "listen": self.listen, "seed": format!("{:016x}", self.seed),
            "limits": {"cores": 0.5, "memory_mb": MEMORY_MB, "sockets": SOCKETS}, "coordinator": self.coordinator,
            "known": self.known, "settings": platform})
        .to_string()
    }
}

/// A running node.
pub struct NodeProcess {
    child: Child,
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // Fails if the process has exited, which is harmless.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The files of a node.
#[derive(Clone, Debug)]
pub struct NodeFiles {
    /// Its configuration.
    pub configuration: PathBuf,
    /// Its log.
    pub log: PathBuf,
}

impl NodeFiles {
    /// Returns the paths of a node's files in a folder.
    pub fn in_folder(folder: &Path, node: usize) -> NodeFiles {
        NodeFiles {
            configuration: folder.join(format!("n{node}.json")),
            log: folder.join(format!("n{node}.log")),
        }
    }

    /// Replaces the configuration file atomically.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be written.
    pub fn write_configuration(&self, text: &str) -> io::Result<()> {
        let next = self.configuration.with_extension("next");
        fs::write(&next, text)?;
        fs::rename(next, &self.configuration)
    }
}

impl NodeProcess {
    /// Starts the program's `node` command with a limit on open files.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be started or its log can't be opened.
    pub fn start(program: &Path, files: &NodeFiles, log_level: &str) -> io::Result<NodeProcess> {
        let log = File::options().create(true).append(true).open(&files.log)?;
        let run = format!("ulimit -n {SOCKETS} && exec \"$0\" node --log {log_level}");
        let child = Command::new("sh")
            .args(["-c", &run])
            .arg(program)
            .env("ROUTER_CONFIG", &files.configuration)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        Ok(NodeProcess { child })
    }

    /// Waits until the node listens.
    ///
    /// # Errors
    ///
    /// Returns the last connection error if the node does not listen in time.
    pub fn await_ready(listen: SocketAddr) -> io::Result<()> {
        let until = Instant::now() + START_TIMEOUT;
        while let Err(error) = TcpStream::connect(listen) {
            if Instant::now() > until {
                return Err(error);
            }
            thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has exited.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        Ok(kill_process(Pid::from_child(&self.child), signal)?)
    }

    /// Returns the exit status if the process has exited.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be waited for.
    pub fn try_wait(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }

    /// Waits for the exit of the process; returns `None` if it still runs at the given time.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be waited for.
    pub fn wait_until(&mut self, until: Instant) -> io::Result<Option<ExitStatus>> {
        loop {
            let status = self.child.try_wait()?;
            if status.is_some() || Instant::now() >= until {
                return Ok(status);
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Kills the process and waits for its exit.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be killed or waited for.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(drop)
    }
}
