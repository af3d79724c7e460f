//! How much one front carries on one core, beside a bare relay of the same datagrams in the same run.
//!
//! Sessions come evenly. The time from a caller's datagram to the INVITE that it causes is measured where both
//! are seen, at the sockets of the callers and of the server.

use std::collections::{HashMap, VecDeque};
use std::io::ErrorKind;
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::Context;
use hdrhistogram::Histogram;
use ochrelead_config::schema;
use rustix::process::Pid;
use rustix::thread::{CpuSet, sched_setaffinity};

use crate::party::{Party, Street};

/// Sessions a second at full fleet size, over all fronts.
pub const FLEET: u32 = 720;
/// The 99th percentile that the front is held to.
const BOUND: Duration = Duration::from_millis(1);
/// How long a call stands; short, so that releases are part of the load.
const HOLD: Duration = Duration::from_millis(200);

/// What stands between callers and server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Between {
    Front,
    /// A front that keeps records.
    Recorded,
    Relay,
}

/// One step: a rate, and what became of it.
#[derive(Clone, Debug)]
pub struct Step {
    pub rate: u32,
    pub offered: u64,
    /// Sessions whose INVITE was seen.
    pub invited: u64,
    pub p50: Duration,
    pub p99: Duration,
    /// Processor time of what stands between, in clock ticks, over the whole step.
    pub ticks: u64,
}

impl Step {
    /// Whether the bound was kept by nearly all that was offered.
    pub fn holds(&self) -> bool {
        self.p99 <= BOUND && self.invited * 100 >= self.offered * 99
    }
}

/// Runs the rates in order until one does not hold.
pub fn climb(between: Between, rates: &[u32], seconds: u64, out: &Path) -> anyhow::Result<Vec<Step>> {
    let mut steps = Vec::new();
    for rate in rates {
        let mut rig = Rig::start(between, out)?;
        let step = rig.step(*rate, Duration::from_secs(seconds));
        rig.process.kill()?;
        rig.process.wait()?;
        let step = step?;
        let holds = step.holds();
        steps.push(step);
        if !holds {
            break;
        }
    }
    Ok(steps)
}

struct Rig {
    process: Child,
    subject: SocketAddr,
    callers: UdpSocket,
    server: UdpSocket,
    between: Between,
    asked: u32,
    circuits: u32,
}

impl Rig {
    fn start(between: Between, out: &Path) -> anyhow::Result<Rig> {
        std::fs::create_dir_all(out).with_context(|| format!("{}", out.display()))?;
        let street = Street::new(between as u8);
        let bind = |party| -> anyhow::Result<UdpSocket> {
            let address = street.own(party);
            let socket = UdpSocket::bind(address).with_context(|| format!("listen on {address}"))?;
            socket.set_nonblocking(true)?;
            Ok(socket)
        };
        let (callers, server) = (bind(Party::Gateway)?, bind(Party::Server(0))?);
        let own = street.own(Party::Front(0));
        let mut command = Command::new(std::env::current_exe()?);
        match between {
            Between::Front | Between::Recorded => {
                let settings = out.join("front.textproto");
                std::fs::write(&settings, settings_text(own, street.own(Party::Server(0))))?;
                command
                    .args(["part", "front", "--deciding", "module", "--seed", "1", "--settings"])
                    .arg(&settings);
                if between == Between::Recorded {
                    command.arg("--records").arg(out.join("records"));
                }
            }
            Between::Relay => {
                command.args(["part", "relay", "--listen", &own.to_string()]);
                command.args(["--one", &street.own(Party::Gateway).to_string()]);
                command.args(["--other", &street.own(Party::Server(0)).to_string()]);
            }
        }
        let process = command.stdin(Stdio::null()).spawn()?;
        // One core for what is measured; the rest is the rig's.
        let last = thread::available_parallelism()?.get() - 1;
        let mut one = CpuSet::new();
        one.set(last);
        sched_setaffinity(Pid::from_raw(process.id() as i32), &one)?;
        thread::sleep(Duration::from_millis(300));
        let subject = SocketAddr::V4(own);
        Ok(Rig { process, subject, callers, server, between, asked: 0, circuits: 0 })
    }

    fn step(&mut self, rate: u32, length: Duration) -> anyhow::Result<Step> {
        // A tenth of the time to warm up: a front that has just started knows no answer times.
        let warm = length / 5;
        let begins = Instant::now();
        let gap = Duration::from_secs(1) / rate;
        let mut next = begins;
        let mut times = Histogram::<u64>::new(3)?;
        let mut out: HashMap<String, Instant> = HashMap::new();
        let mut standing: VecDeque<(Instant, String)> = VecDeque::new();
        let (mut offered, mut invited, mut nth) = (0, 0, 0u32);
        let mut buffer = [0; 4_096];
        let ends = begins + warm + length;
        while Instant::now() < ends + Duration::from_millis(100) {
            let now = Instant::now();
            if now >= next && now < ends {
                next += gap;
                nth += 1;
                let tried = format!("{nth:08X}");
                offered += u64::from(now >= begins + warm);
                self.asked += 1;
                let text = format!(
                    "NTFY {} m/{nth}@g MGCP 1.0\r\nX: 0\r\nX-Try: {tried}\r\nI: h{nth}\r\n\
                     O: L/hd, D/1, D/0, D/0, D/{}, D/{}, D/{}\r\n",
                    self.asked,
                    nth / 100 % 10,
                    nth / 10 % 10,
                    nth % 10
                );
                out.insert(tried, Instant::now());
                self.callers.send_to(text.as_bytes(), self.subject)?;
            }
            while standing.front().is_some_and(|(then, _)| *then <= now) {
                let Some((_, tried)) = standing.pop_front() else { break };
                self.asked += 1;
                let text = format!(
                    "NTFY {} m/{tried}@g MGCP 1.0\r\nX: 0\r\nX-Try: {tried}\r\nO: L/hu\r\n",
                    self.asked
                );
                self.callers.send_to(text.as_bytes(), self.subject)?;
            }
            while let Some(text) = received(&self.server, &mut buffer)? {
                let first = text.split(' ').next().unwrap_or("");
                let set_up = if self.between == Between::Relay { "NTFY" } else { "CRCX" };
                let tried = field(&text, "X-Try: ").to_owned();
                let transaction = text.split(' ').nth(1).unwrap_or("0");
                if first == set_up
                    && let Some(then) = out.remove(&tried)
                {
                    if then >= begins + warm {
                        invited += 1;
                        times.record(then.elapsed().as_micros() as u64)?;
                    }
                    self.circuits += 1;
                    let answer = format!(
                        "200 {transaction} OK\r\nI: c{0}\r\nZ: trunk/{0}@s0\r\nX-Lines: 900000/1000000\r\nX-Try: {tried}\r\n",
                        self.circuits
                    );
                    self.server.send_to(answer.as_bytes(), self.subject)?;
                } else if first == "DLCX" || first == "NTFY" {
                    let answer = format!("250 {transaction} OK\r\nX-Lines: 900000/1000000\r\n");
                    self.server.send_to(answer.as_bytes(), self.subject)?;
                }
            }
            while let Some(text) = received(&self.callers, &mut buffer)? {
                let connects = match self.between {
                    Between::Front | Between::Recorded => text.starts_with("MDCX"),
                    Between::Relay => text.starts_with("200"),
                };
                if connects || text.starts_with("RQNT") {
                    let transaction = text.split(' ').nth(1).unwrap_or("0");
                    self.callers.send_to(format!("200 {transaction} OK\r\n").as_bytes(), self.subject)?;
                }
                if connects {
                    standing.push_back((now + HOLD, field(&text, "X-Try: ").to_owned()));
                }
            }
        }
        let quantile = |share| Duration::from_micros(times.value_at_quantile(share));
        let ticks = processor_ticks(self.process.id());
        Ok(Step { rate, offered, invited, p50: quantile(0.5), p99: quantile(0.99), ticks })
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// User and system time of a process (proc(5), fields 14 and 15 of `stat`); 0 where the system tells none.
fn processor_ticks(pid: u32) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let behind_name = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    behind_name.split_whitespace().skip(11).take(2).filter_map(|field| field.parse::<u64>().ok()).sum()
}

fn received(socket: &UdpSocket, buffer: &mut [u8]) -> anyhow::Result<Option<String>> {
    match socket.recv_from(buffer) {
        Ok((length, _)) => Ok(Some(String::from_utf8_lossy(&buffer[..length]).into_owned())),
        Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(None),
        Err(error) => Err(error.into()),
    }
}

fn field<'a>(text: &'a str, name: &str) -> &'a str {
    text.split_once(name).map_or("", |(_, rest)| rest.lines().next().unwrap_or("").trim())
}

fn settings_text(own: SocketAddrV4, server: SocketAddrV4) -> String {
    let settings = schema::Front {
        name: Some("front.example".to_owned()),
        listen: Some(own.to_string()),
        fronts: Some(1),
        release_wait_ms: Some(200),
        service: vec![schema::Service {
            name: Some("check".to_owned()),
            dialled: Some("1".to_owned()),
            value: Some(1.0),
            post_dial_target_ms: Some(1_500),
            timer_limit_ms: Some(9_000),
            ..schema::Service::default()
        }],
        server: vec![schema::Server {
            name: Some("s0".to_owned()),
            address: Some(server.to_string()),
            number: Some(0),
            dialled: Some("00".to_owned()),
            ..schema::Server::default()
        }],
        ..schema::Front::default()
    };
    ochrelead_config::document::to_text(&settings, "Front")
}

/// A bare relay: what comes from one goes to the other.
pub fn relay(listen: SocketAddrV4, one: SocketAddrV4, other: SocketAddrV4) -> anyhow::Result<()> {
    let socket = UdpSocket::bind(listen).with_context(|| format!("listen on {listen}"))?;
    let mut buffer = [0; 65_536];
    loop {
        let (length, from) = socket.recv_from(&mut buffer)?;
        let to = if from == SocketAddr::V4(one) { other } else { one };
        socket.send_to(&buffer[..length], to)?;
    }
}
