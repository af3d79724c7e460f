//! One day with one kind of front: a process for each party, the relay between all of them, and the script.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fs;
use std::net::{SocketAddrV4, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Context, bail};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future;
use ochrelead_config::faults::FaultKind;
use ochrelead_config::scenario::Scenario;
use ochrelead_config::schema;
use ochrelead_core::time::{Moment, Span};
use ochrelead_emulator::network::{Datagram, Network, link_faults};
use ochrelead_host::clock::Clock;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustix::process::{Pid, Signal, kill_process};

use crate::capture::{Sight, Tape};
use crate::party::{Party, Street};

/// Who decides in the fronts of a world.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deciding {
    Module,
    Random,
    Unbounded,
}

impl Deciding {
    pub const ALL: [(&'static str, Deciding); 3] =
        [("module", Deciding::Module), ("random", Deciding::Random), ("unbounded", Deciding::Unbounded)];

    pub fn name(self) -> &'static str {
        Deciding::ALL.iter().find(|(_, own)| *own == self).map_or("", |(name, _)| name)
    }
}

/// All processes are up before the day begins.
const LEAD: Duration = Duration::from_millis(700);
/// After its length a day runs on until the last sessions have their answers.
const TAIL: Span = Span::from_secs(4);

/// Each front is a process with addresses of its own.
const MOST_FRONTS: usize = 200;

/// The domain of the `nth` server's endpoints.
pub fn server_name(nth: usize) -> String {
    format!("s{nth}.line.example")
}

/// What the rig does to a process, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Act {
    Kill(Party),
    Start(Party),
    Halt(Party),
    Resume(Party),
}

/// One world.
pub struct World {
    pub day: Scenario,
    pub day_file: PathBuf,
    /// Where capture, lists and settings go.
    pub out: PathBuf,
    pub street: Street,
    pub deciding: Deciding,
}

struct Rig {
    network: Network<Party>,
    tape: Tape<std::io::BufWriter<fs::File>>,
    /// The relay's sockets: who is seen, by whom.
    sockets: BTreeMap<(Party, Party), Rc<Async<UdpSocket>>>,
    error: Option<anyhow::Error>,
}

impl World {
    fn parties(&self) -> (Vec<Party>, Vec<Party>) {
        let fronts = (0..self.day.fronts).map(|nth| Party::Front(nth as u16)).collect();
        (fronts, (0..self.day.servers.len()).map(|nth| Party::Server(nth as u16)).collect())
    }

    /// Plays the day; `progress` is told how much of it has passed, in milliseconds.
    pub fn play(&self, progress: impl Fn(u64)) -> anyhow::Result<()> {
        if self.day.fronts > MOST_FRONTS {
            bail!("real processes play days of up to {MOST_FRONTS} fronts; ochrelead-sim plays this one");
        }
        if let Some(own) = self.day.faults.iter().find(|own| own.kind.is_emulated_only()) {
            bail!(
                "no real process has such a clock or disk: {}; ochrelead-sim plays this day",
                own.kind.name()
            );
        }
        fs::create_dir_all(&self.out).with_context(|| format!("{}", self.out.display()))?;
        let records = self.out.join("records");
        if records.exists() {
            fs::remove_dir_all(&records)?;
        }
        if self.day_file != day_file(&self.out) {
            fs::copy(&self.day_file, day_file(&self.out))?;
        }
        let clock = Clock::start();
        let start = clock.now() + Span::from_micros(LEAD.as_micros() as u64);
        let mut processes = Processes::default();
        let (fronts, servers) = self.parties();
        for front in &fronts {
            self.settle(*front)?;
        }
        let rig = Rc::new(RefCell::new(self.rig(start)?));
        for party in servers.iter().chain(&fronts).chain([&Party::Gateway]) {
            processes.start(*party, self.command(*party, start, false)?)?;
        }
        let executor = LocalExecutor::new();
        let sockets: Vec<_> =
            rig.borrow().sockets.iter().map(|(key, socket)| (*key, socket.clone())).collect();
        let (wake, woken) = async_channel::bounded(1);
        for ((seen, by), socket) in sockets {
            let (rig, wake) = (rig.clone(), wake.clone());
            executor.spawn(receive(socket, rig, clock, by, seen, self.street.own(by), wake)).detach();
        }
        executor.spawn(deliver(rig.clone(), clock, self.street, woken)).detach();
        if let Some(churn) = &self.day.churn {
            let fleets: anyhow::Result<Vec<Churning>> =
                fronts.iter().map(|front| Churning::new(self, *front)).collect();
            let span = (start, start + self.day.duration);
            let churn = churn.clone();
            executor.spawn(rewrite(churn, fleets?, rig.clone(), clock, span, self.day.seed)).detach();
        }
        let played =
            future::block_on(executor.run(self.follow(start, clock, &rig, &mut processes, progress)));
        processes.end();
        drop(executor);
        let rig = Rc::try_unwrap(rig).ok().context("the relay still runs")?.into_inner();
        rig.tape.finish()?;
        played?;
        rig.error.map_or(Ok(()), Err)
    }

    fn rig(&self, start: Moment) -> anyhow::Result<Rig> {
        let (fronts, servers) = self.parties();
        let mut sockets = BTreeMap::new();
        for front in &fronts {
            for other in servers.iter().chain([&Party::Gateway]) {
                for (seen, by) in [(*front, *other), (*other, *front)] {
                    let address = self.street.seen(seen, by);
                    let socket = UdpSocket::bind(address).with_context(|| format!("relay on {address}"))?;
                    sockets.insert((seen, by), Rc::new(Async::new(socket)?));
                }
            }
        }
        let faults = link_faults(
            &self.day,
            start,
            |nth| Party::Front(nth as u16),
            |nth| Party::Server(nth as u16),
            Party::Gateway,
        );
        Ok(Rig {
            network: Network::new(self.day.network, faults, self.day.seed),
            tape: Tape::create(&self.out.join("capture.pcap"))?,
            sockets,
            error: None,
        })
    }

    fn settings_file(&self, front: Party) -> PathBuf {
        self.out.join(format!("front-{}.textproto", front.shown().ip().octets()[3]))
    }

    /// Writes a front's settings, with the servers as it sees them.
    fn settle(&self, front: Party) -> anyhow::Result<()> {
        let (_, servers) = self.parties();
        let own = &self.day.front_settings;
        let listed = servers.iter().enumerate().map(|(nth, server)| schema::Server {
            name: Some(server_name(nth)),
            address: Some(self.street.seen(*server, front).to_string()),
            number: Some(nth as u32),
            dialled: Some(format!("{nth:02}")),
            ..schema::Server::default()
        });
        let settings = schema::Front {
            name: Some(format!("f{}.example", front.shown().ip().octets()[3] - 1)),
            listen: Some(self.street.own(front).to_string()),
            server: if self.day.churn.is_some() { Vec::new() } else { listed.collect() },
            ..own.clone()
        };
        if self.day.churn.is_some() {
            Churning::new(self, front)?.write(1, None, false, 0)?;
        }
        let file = self.settings_file(front);
        let state = file.with_extension("state");
        if state.exists() {
            fs::remove_dir_all(&state)?;
        }
        fs::write(&file, ochrelead_config::document::to_text(&settings, "Front"))
            .with_context(|| format!("{}", file.display()))
    }

    fn command(&self, party: Party, start: Moment, fresh: bool) -> anyhow::Result<Command> {
        let mut command = Command::new(std::env::current_exe()?);
        let (fronts, _) = self.parties();
        let day = |command: &mut Command, name: &str| {
            command.args(["part", name, "--day"]).arg(&self.day_file);
            command.args(["--listen", &self.street.own(party).to_string()]);
            command.args(["--start-us", &start.micros().to_string()]);
            for front in &fronts {
                command.args(["--front", &self.street.seen(*front, party).to_string()]);
            }
        };
        match party {
            Party::Front(nth) => {
                let settings = self.settings_file(party);
                let seed = self.day.seed ^ (u64::from(nth) << 32) ^ u64::from(fresh);
                command.args(["part", "front", "--settings"]).arg(&settings);
                command.arg("--records").arg(self.out.join("records"));
                command.arg("--state").arg(settings.with_extension("state"));
                if self.day.churn.is_some() {
                    command.arg("--fleet").arg(settings.with_extension("fleet"));
                }
                command.args(["--deciding", self.deciding.name(), "--seed", &seed.to_string()]);
            }
            Party::Server(nth) => {
                day(&mut command, "server");
                command.args(["--nth", &nth.to_string()]);
                if fresh {
                    command.arg("--fresh");
                }
            }
            Party::Gateway => day(&mut command, "callers"),
            Party::Rig => bail!("the rig is no process of its own"),
        }
        command.stdin(Stdio::null());
        Ok(command)
    }

    /// What the rig does to processes, in order.
    fn script(&self, start: Moment) -> Vec<(Moment, Act)> {
        let mut script = Vec::new();
        for trouble in &self.day.faults {
            let (begins, ends) = (start + trouble.start, start + trouble.start + trouble.duration);
            for which in &trouble.targets {
                let (front, server) = (Party::Front(*which as u16), Party::Server(*which as u16));
                match trouble.kind {
                    FaultKind::FrontKilled => {
                        script.extend([(begins, Act::Kill(front)), (ends, Act::Start(front))])
                    }
                    FaultKind::FrontStall => {
                        script.extend([(begins, Act::Halt(front)), (ends, Act::Resume(front))])
                    }
                    FaultKind::Crash => {
                        script.extend([(begins, Act::Kill(server)), (ends, Act::Start(server))])
                    }
                    _ => {}
                }
            }
        }
        script.sort_by_key(|(moment, _)| *moment);
        script
    }

    async fn follow(
        &self,
        start: Moment,
        clock: Clock,
        rig: &RefCell<Rig>,
        processes: &mut Processes,
        progress: impl Fn(u64),
    ) -> anyhow::Result<()> {
        let mark = |text: String| {
            let mut rig = rig.borrow_mut();
            let (at, from, to) = (clock.now(), Party::Rig, Party::Rig);
            rig.tape.put(&Sight { at, from, to, reached: false, bytes: text.into_bytes() })
        };
        mark(format!("start {}", start.micros()))?;
        let ends = start + self.day.duration + TAIL;
        let mut script = self.script(start).into_iter().peekable();
        while clock.now() < ends {
            let next =
                script.peek().map_or(ends, |(moment, _)| *moment).min(clock.now() + Span::from_millis(200));
            clock.timer(Some(next)).await;
            progress(clock.now().since(start).micros() / 1_000);
            if let Some(error) = rig.borrow_mut().error.take() {
                return Err(error);
            }
            while let Some((_, act)) = script.next_if(|(moment, _)| *moment <= clock.now()) {
                match act {
                    Act::Kill(party) => {
                        processes.kill(party)?;
                        mark(format!("kill {}", party.shown()))?;
                    }
                    Act::Start(party) => {
                        mark(format!("begin {}", party.shown()))?;
                        processes.start(party, self.command(party, start, true)?)?;
                    }
                    Act::Halt(party) => {
                        mark(format!("halt {}", party.shown()))?;
                        processes.signal(party, Signal::STOP)?;
                    }
                    Act::Resume(party) => {
                        processes.signal(party, Signal::CONT)?;
                        mark(format!("resume {}", party.shown()))?;
                    }
                }
            }
            processes.check()?;
        }
        mark("end".to_owned())?;
        self.leave(processes).await
    }

    /// Fronts leave service by SIGTERM, with nothing owed.
    async fn leave(&self, processes: &mut Processes) -> anyhow::Result<()> {
        let (fronts, _) = self.parties();
        for front in &fronts {
            processes.signal(*front, Signal::TERM)?;
        }
        for _ in 0..100 {
            if fronts.iter().all(|front| processes.has_ended(*front)) {
                break;
            }
            Timer::after(Duration::from_millis(50)).await;
        }
        Ok(())
    }
}

/// The fleet file of one front.
struct Churning {
    front: Party,
    folder: PathBuf,
    servers: Vec<schema::Server>,
}

impl Churning {
    fn new(world: &World, front: Party) -> anyhow::Result<Churning> {
        let folder = world.settings_file(front).with_extension("fleet");
        fs::create_dir_all(&folder).with_context(|| format!("{}", folder.display()))?;
        let weights = world.day.churn.iter().flat_map(|churn| &churn.weights);
        let server = |(nth, weight): (usize, &f64)| schema::Server {
            name: Some(server_name(nth)),
            address: Some(world.street.seen(Party::Server(nth as u16), front).to_string()),
            number: Some(nth as u32),
            dialled: Some(format!("{nth:02}")),
            weight: Some(*weight),
            ..schema::Server::default()
        };
        Ok(Churning { front, folder, servers: weights.enumerate().map(server).collect() })
    }

    /// Writes a generation in which one server drains: whole and sound, or `broken` in some way. In place or
    /// beside and renamed, in turn.
    fn write(&self, generation: u64, drains: Option<usize>, broken: bool, luck: u64) -> anyhow::Result<()> {
        let mut servers = self.servers.clone();
        if let Some(server) = drains.and_then(|nth| servers.get_mut(nth)) {
            server.draining = Some(true);
        }
        if broken && luck % 3 == 0 {
            servers[0].weight = Some(0.0);
        }
        let fleet =
            schema::Fleet { generation: Some(generation), server: servers, ..schema::Fleet::default() };
        let mut text = ochrelead_config::document::to_text(&fleet, "Fleet");
        text.push_str(&format!("\nend: {generation}\n"));
        if broken && luck % 3 == 1 {
            text.truncate(luck as usize % text.len());
        }
        if broken && luck % 3 == 2 {
            text.push_str("server {");
        }
        let file = self.folder.join("fleet.textproto");
        if generation % 2 == 0 {
            return Ok(fs::write(file, text)?);
        }
        let beside = self.folder.join(".next");
        fs::write(&beside, text)?;
        Ok(fs::rename(beside, file)?)
    }
}

/// Rewrites all fleet files, and marks in the capture what each sound one says.
async fn rewrite(
    churn: ochrelead_config::scenario::EndpointChurn,
    fleets: Vec<Churning>,
    rig: Rc<RefCell<Rig>>,
    clock: Clock,
    (start, ends): (Moment, Moment),
    seed: u64,
) {
    let mut chance = Pcg64Mcg::seed_from_u64(seed);
    let mut generation = 1;
    let mut next = start;
    while next < ends {
        clock.timer(Some(next)).await;
        next = next + churn.interval;
        generation += 1;
        let turn = (clock.now().since(start).micros() / churn.drain_time.micros()) as usize;
        let drains = (turn % 2 == 1).then_some(turn / 2 % churn.weights.len());
        for fleet in &fleets {
            let broken = chance.random::<f64>() < churn.broken_share;
            let written = fleet.write(generation, drains, broken, chance.random::<u32>().into());
            let mut rig = rig.borrow_mut();
            if let Err(error) = written {
                rig.error = Some(error);
            } else if !broken {
                let said = drains.map_or("-".to_owned(), |nth| nth.to_string());
                let text = format!("fleet {} {said}", fleet.front.shown());
                let sight = Sight {
                    at: clock.now(),
                    from: Party::Rig,
                    to: Party::Rig,
                    reached: false,
                    bytes: text.into_bytes(),
                };
                rig.error = rig.tape.put(&sight).err().or(rig.error.take());
            }
        }
    }
}

/// Takes what `by` sends to `seen`.
async fn receive(
    socket: Rc<Async<UdpSocket>>,
    rig: Rc<RefCell<Rig>>,
    clock: Clock,
    by: Party,
    seen: Party,
    own: SocketAddrV4,
    wake: Sender<()>,
) {
    let mut buffer = vec![0; 65_536];
    while let Ok((length, from)) = socket.recv_from(&mut buffer).await {
        if from != std::net::SocketAddr::V4(own) {
            continue;
        }
        let mut rig = rig.borrow_mut();
        let (at, bytes) = (clock.now(), buffer[..length].to_vec());
        rig.network.send(at, by, seen, &bytes);
        let put = rig.tape.put(&Sight { at, from: by, to: seen, reached: false, bytes });
        rig.error = put.err().or(rig.error.take());
        // One note is enough for any number of datagrams.
        let _ = wake.try_send(());
    }
}

/// Hands over what has arrived.
async fn deliver(rig: Rc<RefCell<Rig>>, clock: Clock, street: Street, woken: Receiver<()>) {
    loop {
        let next = {
            let mut rig = rig.borrow_mut();
            while let Some(Datagram { from, to, bytes }) = rig.network.poll_arrival(clock.now()) {
                let at = clock.now();
                let put = rig.tape.put(&Sight { at, from, to, reached: true, bytes: bytes.clone() });
                rig.error = put.err().or(rig.error.take());
                // A receiver that is not there loses it.
                if let Some(socket) = rig.sockets.get(&(from, to)) {
                    let _ = socket.get_ref().send_to(&bytes, street.own(to));
                }
            }
            rig.network.poll_timeout()
        };
        let alarm = clock.timer(next);
        future::or(
            async {
                let _ = alarm.await;
            },
            async {
                let _ = woken.recv().await;
            },
        )
        .await;
    }
}

/// The processes of a world; all are ended with it.
#[derive(Default)]
struct Processes {
    running: BTreeMap<Party, Child>,
}

impl Processes {
    fn start(&mut self, party: Party, mut command: Command) -> anyhow::Result<()> {
        let child = command.spawn().with_context(|| format!("start {party:?}"))?;
        self.running.insert(party, child);
        Ok(())
    }

    fn kill(&mut self, party: Party) -> anyhow::Result<()> {
        if let Some(mut child) = self.running.remove(&party) {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    fn signal(&mut self, party: Party, signal: Signal) -> anyhow::Result<()> {
        if let Some(child) = self.running.get(&party)
            && let Some(pid) = Pid::from_raw(child.id() as i32)
        {
            kill_process(pid, signal)?;
        }
        Ok(())
    }

    fn has_ended(&mut self, party: Party) -> bool {
        self.running.get_mut(&party).is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// No process may end by itself.
    fn check(&mut self) -> anyhow::Result<()> {
        for (party, child) in &mut self.running {
            if let Some(status) = child.try_wait()? {
                bail!("{party:?} ended by itself: {status}");
            }
        }
        Ok(())
    }

    fn end(&mut self) {
        for child in self.running.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        self.end();
    }
}

/// The capture of a world.
pub fn capture_file(out: &Path) -> PathBuf {
    out.join("capture.pcap")
}

/// The day that was played into a folder.
pub fn day_file(out: &Path) -> PathBuf {
    out.join("day.textproto")
}
