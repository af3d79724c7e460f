//! A front's process: the engine as it ships, and around it what its host would do.

use std::collections::VecDeque;
use std::net::SocketAddr;

use ochrelead_config::front_config::FrontConfig;
use ochrelead_core::time::{Moment, Span};
use ochrelead_discovery::persistence::PersistedEndpoints;
use ochrelead_discovery::store;
use ochrelead_event_log::reader::{FrontIncarnation, Log, Record};
use ochrelead_event_log::schema::{Event, event::What};
use ochrelead_front::engine::Engine;
use ochrelead_front::event_recording;
use ochrelead_front::events::EngineEvent;
use ochrelead_host::call_policy::CallPolicy;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::books::Books;
use crate::clock::{ProcessClock, SystemClock};
use crate::disk::MemoryDisk;

/// The writing thread comes to a list after so long.
const WRITES_AFTER: Span = Span::from_millis(2);
/// The status, and what is held of each server, is recorded so often.
const STATUS_GAP: Span = Span::from_secs(1);
/// Datagrams that a socket holds while nobody reads it.
const SOCKET: usize = 512;
/// INVITEs of one session where the settings name none, and at the most (docs/design.md).
const USUAL_INVITES: u32 = 3;
/// A session waits for its release, and a little for a server that is cold; then it has its answer.
const WAITS: Span = Span::from_millis(500);
/// So many turns at one moment are a loop without end.
const SPIN: u32 = 2_000;

/// A process while it runs.
pub struct Process {
    pub engine: Engine,
    pub clock: ProcessClock,
    pub books: Books,
    /// The list that is to be written, and when.
    writing: Option<(Moment, PersistedEndpoints)>,
    next_status: Moment,
    turned: (Moment, u32),
    life: FrontIncarnation,
    nth: u64,
}

/// One front's machine.
pub struct Machine {
    pub name: String,
    pub commission: FrontConfig,
    pub system: SystemClock,
    pub disk: MemoryDisk,
    /// A kill tears what is being written.
    pub tears: bool,
    pub process: Option<Process>,
    /// Processes that ran here.
    pub lives: u32,
    /// It stands still: nothing is read until it goes on.
    pub halted: bool,
    socket: VecDeque<(SocketAddr, Vec<u8>)>,
    /// The records of all lives, where they are kept.
    pub logs: Option<Vec<(FrontIncarnation, Vec<Record>)>>,
    /// Lists that could not be kept.
    pub unkept: u64,
}

impl Machine {
    pub fn new(commission: FrontConfig, recorded: bool) -> Machine {
        Machine {
            name: commission.name.clone(),
            commission,
            system: SystemClock::default(),
            disk: MemoryDisk::default(),
            tears: false,
            process: None,
            lives: 0,
            halted: false,
            socket: VecDeque::new(),
            logs: recorded.then(Vec::new),
            unkept: 0,
        }
    }

    /// Starts a process. `recall`: what it makes of what it finds on its disk.
    pub fn start(
        &mut self,
        now: Moment,
        judge: impl FnOnce(&FrontConfig, Moment) -> Box<dyn CallPolicy + Send>,
        recall: impl FnOnce(Option<PersistedEndpoints>) -> Option<PersistedEndpoints>,
        chance: &mut Pcg64Mcg,
    ) {
        self.disk.revive();
        self.lives += 1;
        self.socket.clear();
        self.halted = false;
        let clock = self.system.process(now);
        let shows = clock.shows(now);
        self.commission.controller.seed = chance.random();
        let judge = judge(&self.commission, shows);
        let mut engine = Engine::new(self.commission.clone(), judge, chance.random(), shows);
        let kept = store::load(&self.disk).ok().and_then(|loaded| loaded.endpoints);
        if let Some(kept) = recall(kept) {
            engine.restore_self_reports(shows, &kept.servers);
        }
        let life = FrontIncarnation { front: self.name.clone(), started_us: shows.micros() };
        if let Some(logs) = &mut self.logs {
            logs.push((life.clone(), Vec::new()));
        }
        let mut process = Process {
            engine,
            clock,
            books: Books::default(),
            writing: None,
            next_status: shows,
            turned: (now, 0),
            life,
            nth: 0,
        };
        process.record(&mut self.logs, shows, What::Life("start".to_owned()));
        self.process = Some(process);
    }

    /// The process is killed, at any point of what its writing thread does.
    pub fn kill(&mut self, chance: &mut Pcg64Mcg) {
        let Some(process) = self.process.take() else { return };
        if let Some((_, kept)) = process.writing.filter(|_| self.tears) {
            self.disk.fail_after(chance.random_range(0..4));
            let _ = store::save(&mut self.disk, &kept);
        }
        self.halted = false;
        self.socket.clear();
    }

    /// Whether a datagram would be kept: it waits in the socket while the process stands still, and is lost where
    /// there is none or the socket is full.
    pub fn has_room(&self) -> bool {
        self.process.is_some() && self.socket.len() < SOCKET
    }

    pub fn arrives(&mut self, from: SocketAddr, bytes: Vec<u8>) {
        self.socket.push_back((from, bytes));
    }

    /// Reads what has come, does what is due. What may not be is said, with of whom.
    pub fn turn(&mut self, now: Moment) -> Result<(), (String, String)> {
        let Some(process) = self.process.as_mut().filter(|_| !self.halted) else { return Ok(()) };
        let shows = process.clock.shows(now);
        while let Some((from, bytes)) = self.socket.pop_front() {
            process.engine.handle_datagram(shows, from, &bytes);
        }
        process.engine.process(shows);
        let most_invites = match self.commission.controller.max_invites {
            0 => USUAL_INVITES,
            most => most.min(USUAL_INVITES),
        };
        let mut wrong = Ok(());
        while let Some(note) = process.engine.poll_event() {
            if let EngineEvent::EndpointsChanged(servers) = &note {
                let kept = PersistedEndpoints { files: Vec::new(), servers: servers.clone() };
                process.writing = Some((shows + WRITES_AFTER, kept));
            }
            if let Some(what) = event_recording::to_record(&note, 0) {
                process.record(&mut self.logs, shows, what);
            }
            if let EngineEvent::Session { attempt: tried, step: what } = &note {
                let noted = process.books.note(shows, tried, what, most_invites);
                wrong = wrong.and(noted.map_err(|how| (tried.clone(), how)));
            }
        }
        if let Some((_, kept)) = process.writing.take_if(|(at, _)| *at <= shows) {
            self.unkept += u64::from(store::save(&mut self.disk, &kept).is_err());
        }
        if shows >= process.next_status {
            process.next_status = shows + STATUS_GAP;
            if self.logs.is_some() {
                for report in process.engine.server_reports() {
                    process.record(&mut self.logs, shows, event_recording::server_record(report));
                }
            }
        }
        process.turned = if process.turned.0 == now { (now, process.turned.1 + 1) } else { (now, 0) };
        let own = || self.name.clone();
        if process.turned.1 > SPIN {
            return Err((own(), format!("{SPIN} turns at one moment")));
        }
        let most = self.commission.controller.resend_delay * 2 + WAITS;
        if let Some(tried) = process.books.forgotten(shows, most) {
            return Err((
                tried.to_owned(),
                format!("nothing is under way for it for {} ms", most.micros() / 1_000),
            ));
        }
        let (held, engine) = (process.books.held(), process.engine.load().sessions);
        if held != engine {
            return Err((own(), format!("{engine} sessions held where the notes say {held}")));
        }
        wrong
    }

    /// The true moment at which it wants to be called.
    pub fn wake(&self, now: Moment) -> Option<Moment> {
        let process = self.process.as_ref().filter(|_| !self.halted)?;
        let writes = process.writing.as_ref().map(|(at, _)| *at);
        let alarms = [process.engine.poll_timeout(), writes, Some(process.next_status)];
        alarms.into_iter().flatten().min().map(|at| process.clock.when(at, now))
    }

    /// The records as logs.
    pub fn into_logs(self) -> Vec<Log> {
        self.logs.into_iter().flatten().map(|(life, records)| Log::from_records(life, records)).collect()
    }
}

impl Process {
    fn record(&mut self, logs: &mut Option<Vec<(FrontIncarnation, Vec<Record>)>>, shows: Moment, what: What) {
        let Some((life, records)) = logs.as_mut().and_then(|logs| logs.last_mut()) else { return };
        let event = Event { at_us: shows.micros(), nth: self.nth, what: Some(what) };
        self.nth += 1;
        debug_assert_eq!(*life, self.life);
        records.push(Record { incarnation: self.life.clone(), event, unknown_fields: 0 });
    }
}
