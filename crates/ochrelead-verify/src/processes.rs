//! Several processes of the program with faults between them, judged from the acts that reached a server of the rig's
//! own. No front is asked what it believes.
//!
//! Each front runs as a node of the operators' platform with its peers on. All datagrams between fronts go through a
//! [`relay`], which knows the pair and the direction of each; the [`server`] takes connections and says nothing, so
//! that one front of the fleet sounds it under a lease. A [`town`] has servers that answer, and callers.

pub mod relay;
pub mod server;
pub mod town;

use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

use crate::processes::relay::{Faults, Relay};
use crate::processes::server::{Server, Taken};

/// A fleet of processes.
pub struct Rig {
    pub relay: Relay,
    pub server: Server,
    binary: PathBuf,
    pub folder: PathBuf,
    listen: Vec<SocketAddr>,
    fronts: Vec<Option<Child>>,
    /// Fronts talk of who is there and hold leases; else only what their own arguments say.
    pub talks: bool,
    /// More arguments of each front, from its next start on.
    pub more: Vec<Vec<String>>,
}

/// Plays faults drawn from a seed, one after the other, with a verdict after each.
///
/// # Errors
///
/// In the words of a finding.
pub fn play(rig: &mut Rig, seed: u64, faults: u32) -> Result<(), String> {
    let fronts = rig.fronts();
    let mut chance = Pcg64Mcg::seed_from_u64(seed);
    let long = Duration::from_secs(90);
    let (mut halted, mut gaps) = (Vec::new(), Vec::new());
    for nth in 0..faults {
        let last = rig.until_act(long, |_| true)?;
        let (holder, begun) = (last.number.holder.front, Instant::now());
        let some = chance.random_range(0..fronts);
        let bad = Faults { loss: chance.random_range(0.0..0.4), doubled: 0.2, ..Faults::default() };
        rig.relay.set(Faults { delay: Duration::from_millis(chance.random_range(0..300)), ..bad });
        let kind = chance.random_range(0..6);
        let what = [
            "killed",
            "stands still",
            "hands back",
            "cut off",
            "a front started anew",
            "voters started anew",
        ][kind];
        match kind {
            0 => rig.kill(holder),
            1 => {
                halted.push(holder);
                rig.halt(holder);
            }
            2 => rig.leave(holder)?,
            3 => {
                let cut = (0..fronts).flat_map(|other| [(holder, other), (other, holder)]).collect();
                rig.relay.set(Faults { cut, ..Faults::default() });
            }
            4 => rig.kill(some),
            _ => rig.voters().into_iter().for_each(|voter| rig.kill(voter)),
        }
        if kind < 4 {
            let next = rig
                .until_act(long, |act| act.number > last.number && act.number.holder != last.number.holder)?;
            gaps.push((what, next.at.saturating_duration_since(begun).as_millis()));
        }
        rig.go_on(holder);
        rig.relay.set(Faults::default());
        for front in 0..fronts {
            if rig.fronts[front as usize].is_none() {
                rig.run(front).map_err(|error| error.to_string())?;
            }
        }
        rig.server.verdict()?;
        let overlap = server::overlap(&rig.server.acts(), &halted);
        println!("{nth}: {what}: kept; {} acts, overlap {overlap} ms", rig.server.acts().len());
        if overlap > 2_000 {
            return Err(format!("two acted in turns for {overlap} ms"));
        }
    }
    for kind in ["killed", "stands still", "hands back", "cut off"] {
        let mut own: Vec<u128> = gaps.iter().filter(|(what, _)| *what == kind).map(|(_, gap)| *gap).collect();
        own.sort_unstable();
        println!(
            "{kind}: until another acted, ms: median {:?}, worst of {} {:?}",
            own.get(own.len() / 2),
            own.len(),
            own.last()
        );
    }
    let [count, bytes, longest] = rig.relay.seen();
    println!("{count} datagrams, {bytes} bytes, the longest {longest}");
    Ok(())
}

impl Drop for Rig {
    fn drop(&mut self) {
        for child in self.fronts.iter_mut().flatten() {
            // One that stands still ends too.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Rig {
    /// Starts `fronts` processes of `binary`. `net` and `host` make their addresses, 127.net.host.n, the rig's own;
    /// `arguments` are what each is given besides.
    ///
    /// # Errors
    ///
    /// Where sockets, files or processes can't be made.
    pub fn start(
        binary: &Path,
        folder: &Path,
        fronts: u32,
        [net, host]: [u8; 2],
        arguments: impl Fn(u32) -> Vec<String>,
    ) -> io::Result<Rig> {
        let server = Server::start()?;
        let instance = json!({"instanceId": "s-0", "hostPort": server.address().to_string(), "cell": 0,
            "lifecycle": "up", "weight": 1, "startedAtMs": 0});
        let listed = |_| (vec![instance.clone()], json!({}));
        Rig::start_with([binary, folder], fronts, [net, host], arguments, server, true, listed)
    }

    /// The same with other servers: `listed` gives each front's list, and settings beside the usual ones.
    ///
    /// # Errors
    ///
    /// As [`Rig::start`].
    pub fn start_with(
        [binary, folder]: [&Path; 2],
        fronts: u32,
        [net, host]: [u8; 2],
        arguments: impl Fn(u32) -> Vec<String>,
        server: Server,
        talks: bool,
        listed: impl Fn(u32) -> (Vec<Value>, Value),
    ) -> io::Result<Rig> {
        let _ = fs::remove_dir_all(folder);
        fs::create_dir_all(folder)?;
        let at =
            |front: u32, port: u16| SocketAddr::from((Ipv4Addr::new(127, net, host, front as u8 + 1), port));
        let relay = Relay::start(fronts, |front| at(front, 7946))?;
        for front in 0..fronts {
            let mut peers: Vec<String> =
                (0..fronts).map(|other| relay.address(front, other).to_string()).collect();
            peers[front as usize] = at(front, 7946).to_string();
            let (instances, more) = listed(front);
            let known =
                json!({"index": 1, "endpoints": {"generation": 1, "reset": true, "instances": instances}});
            let class = json!({"name": "voice", "deadlineMs": 9000, "targetMs": 1500, "worth": 1});
            let mut settings = json!({"balancers": fronts, "index": front, "requestClasses": [class], "tickMs": 5,
                "limits": {"peers": true, "connectTimeoutMs": 500}});
            for (name, value) in more.as_object().into_iter().flatten() {
                settings[name] = value.clone();
            }
            let config = json!({
                "name": format!("n{front}"), "listen": at(front, 5080).to_string(), "seed": format!("{:x}", 77 + front),
                "limits": {"memory_mb": 32, "sockets": 256},
                "peer_listen": at(front, 7946).to_string(), "peers": peers,
                "known": {"index": 1, "updates": [known]},
                "settings": settings,
            });
            fs::write(folder.join(format!("n{front}.json")), config.to_string())?;
        }
        let (binary, folder) = (binary.to_owned(), folder.to_owned());
        let more = (0..fronts).map(&arguments).collect();
        let own = (0..fronts).map(|_| None).collect();
        let listen = (0..fronts).map(|front| at(front, 5080)).collect();
        let mut rig = Rig { relay, server, binary, folder, listen, fronts: own, talks, more };
        (0..fronts).try_for_each(|front| rig.run(front))?;
        Ok(rig)
    }

    /// Where a front listens for its callers.
    pub fn listens(&self, front: u32) -> SocketAddr {
        self.listen[front as usize]
    }

    /// Starts a front's process.
    ///
    /// # Errors
    ///
    /// Where it can't be started.
    pub fn run(&mut self, front: u32) -> io::Result<()> {
        let log = fs::File::create(self.folder.join(format!("n{front}.log")))?;
        let child = Command::new(&self.binary)
            .args(["node", "--log", "warn"])
            .args(if self.talks { &["--peers"][..] } else { &[] })
            .args(&self.more[front as usize])
            .env("ROUTER_CONFIG", self.folder.join(format!("n{front}.json")))
            .stdin(Stdio::null())
            .stderr(log)
            .spawn()?;
        self.fronts[front as usize] = Some(child);
        Ok(())
    }

    pub fn fronts(&self) -> u32 {
        self.fronts.len() as u32
    }

    /// Fronts that vote, as the fronts themselves derive it.
    pub fn voters(&self) -> Vec<u32> {
        let electorate = ochrelead_lease::electorate::Electorate::evenly_spaced(
            1,
            self.fronts(),
            ochrelead_lease::electorate::DEFAULT_SIZE,
        );
        electorate.voters().into_iter().collect()
    }

    fn signal(&self, front: u32, signal: Signal) {
        if let Some(child) = &self.fronts[front as usize] {
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    pub fn kill(&mut self, front: u32) {
        if let Some(mut child) = self.fronts[front as usize].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Tells a front to leave service, and waits for its process to end.
    ///
    /// # Errors
    ///
    /// Where it has not ended within half a minute.
    pub fn leave(&mut self, front: u32) -> Result<(), String> {
        self.signal(front, Signal::TERM);
        let Some(mut child) = self.fronts[front as usize].take() else { return Ok(()) };
        let until = Instant::now() + Duration::from_secs(30);
        while Instant::now() < until {
            if child.try_wait().is_ok_and(|status| status.is_some()) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(10));
        }
        let _ = child.kill();
        let _ = child.wait();
        Err(format!("front {front} has not ended"))
    }

    pub fn halt(&self, front: u32) {
        self.signal(front, Signal::STOP);
    }

    pub fn go_on(&self, front: u32) {
        self.signal(front, Signal::CONT);
    }

    /// Whether each process that was started still runs.
    pub fn all_run(&mut self) -> bool {
        self.fronts.iter_mut().flatten().all(|child| child.try_wait().is_ok_and(|status| status.is_none()))
    }

    /// Waits for an act that fits, among those that come from now on.
    ///
    /// # Errors
    ///
    /// Where none came in `most`.
    pub fn until_act(&self, most: Duration, fits: impl Fn(&Taken) -> bool) -> Result<Taken, String> {
        let (from, until) = (self.server.acts().len(), Instant::now() + most);
        while Instant::now() < until {
            if let Some(act) = self.server.acts().iter().skip(from).find(|act| !act.refused && fits(act)) {
                return Ok(act.clone());
            }
            thread::sleep(Duration::from_millis(10));
        }
        Err(format!("no such act in {most:?}; {} acts came", self.server.acts().len()))
    }
}
