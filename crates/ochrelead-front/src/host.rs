//! Sockets, clock, signals, and the files of the fleet. It owns them and nothing else.

use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::sync::mpsc::Sender;
use std::thread::JoinHandle;

use async_channel::Receiver;
use async_io::Async;
use async_signal::{Signal, Signals};
use futures_lite::{StreamExt, future, stream};
use ochrelead_config::front_config::FrontConfig;
use ochrelead_core::time::{Moment, Span};
use ochrelead_discovery::keeper::{Keeper, Outcome};
use ochrelead_discovery::sheet::Page;
use ochrelead_discovery::store::{self, Folder, Kept};
use ochrelead_discovery::watch;
use ochrelead_event_log::schema::event::What;
use ochrelead_event_log::writer::{Bounds, Recorder};
use ochrelead_host::clock::Clock;
use tracing::{info, warn};

use crate::engine::Engine;
use crate::event_recording;
use crate::events::{EngineEvent, SessionStep};
use crate::state_writer::{self, StateWrite};

/// So many datagrams are taken before the next turn.
const MOST_AT_ONCE: usize = 512;
/// A status that is so late tells that the front stood still.
const STALL: Span = Span::from_millis(250);
/// Records are handed to the disk so often while anything happens, and with each status.
const FLUSH_GAP: Span = Span::from_millis(200);
/// How often the status is written.
const STATUS_GAP: Span = Span::from_secs(1);

/// Where a front has its fleet from, and where it keeps what it must not forget.
#[derive(Clone, Debug, Default)]
pub struct FrontPaths {
    /// A fleet file or a folder of them; without, the settings' servers are the list.
    pub fleet: Option<PathBuf>,
    pub state: Option<PathBuf>,
    /// The folder of the event log.
    pub event_log: Option<PathBuf>,
}

enum Event {
    Datagrams,
    Fleet(Vec<Page>),
    Leave,
    Tick,
}

/// What goes to disk, and when.
struct Books {
    out: Option<(Sender<StateWrite>, JoinHandle<()>)>,
    records: Option<Recorder>,
    clock: Clock,
    next_status: Moment,
    next_flush: Moment,
    /// A pause was recorded in this turn.
    paused: bool,
}

/// Runs a front until it has left service. `engine` makes one of the settings.
///
/// # Errors
///
/// Where signals, the socket or the folder of the state fail for good.
pub async fn serve(
    commission: FrontConfig,
    engine: impl FnOnce(FrontConfig) -> Engine,
    socket: Async<UdpSocket>,
    clock: Clock,
    places: FrontPaths,
) -> io::Result<()> {
    let kept = recall(&places)?;
    let (services, name) = (commission.service_names.clone(), commission.name.clone());
    let mut engine = engine(commission);
    let mut keeper = None;
    let (readings, watched) = match &places.fleet {
        Some(path) => {
            let fleet = kept.as_ref().and_then(Kept::fleet);
            if let Some(fleet) = &fleet {
                info!(generation = fleet.generation(), "the fleet that was kept is in force");
                engine.update_endpoints(clock.now(), &fleet.servers);
            }
            keeper = Some(Keeper::new(services, fleet));
            (watch::start(path.clone())?, true)
        }
        None => (async_channel::unbounded().1, false),
    };
    if let Some(kept) = &kept {
        engine.restore_self_reports(clock.now(), &kept.servers);
    }
    let out = places.state.as_deref().map(state_writer::start).transpose()?;
    let records = places.event_log.as_deref().map(|folder| {
        let complain = |error| warn!(%error, "the records can't be written");
        Recorder::start(folder, &name, clock.now().micros(), Bounds::default(), complain)
    });
    let mut books = Books {
        out,
        records: records.transpose()?,
        clock,
        next_status: clock.now(),
        next_flush: clock.now(),
        paused: false,
    };
    books.record(What::Life("start".to_owned()));
    let leave = Signals::new([Signal::Term, Signal::Int])?.map(|_| Event::Leave);
    let readable = stream::unfold(&socket, |socket| async move {
        socket.readable().await.ok()?;
        Some((Event::Datagrams, socket))
    });
    let fleets = pages(readings, watched);
    let events = stream::or(leave, stream::or(fleets, readable));
    futures_lite::pin!(events);
    let mut datagram = vec![0; 65_536];
    while !engine.is_drained() {
        take_all(&mut engine, &socket, &clock, &mut datagram);
        engine.process(clock.now());
        while let Some((to, bytes)) = engine.poll_datagram() {
            if let Err(error) = send(&socket, &bytes, to).await {
                warn!(%to, %error, "a datagram could not leave");
                engine.on_send_failed(clock.now(), to);
            }
        }
        while let Some(note) = engine.poll_event() {
            books.write_down(note, keeper.as_ref());
        }
        books.status(clock.now(), &engine, keeper.as_ref());
        let alarms = [engine.poll_timeout(), keeper.as_ref().and_then(Keeper::wake), books.wake()];
        let alarm = clock.timer(alarms.into_iter().flatten().min());
        let tick = async {
            alarm.await;
            Some(Event::Tick)
        };
        let event = future::or(events.next(), tick).await;
        let outcome = match (event, keeper.as_mut()) {
            (Some(Event::Leave), _) => {
                info!("leaving service");
                books.record(What::Life("drain".to_owned()));
                engine.drain(clock.now());
                None
            }
            (Some(Event::Fleet(pages)), Some(keeper)) => keeper.read(clock.now(), pages),
            (_, Some(keeper)) => keeper.told(clock.now()),
            _ => None,
        };
        match outcome {
            Some(Outcome::Adopt { servers, generation, changes }) => {
                engine.update_endpoints(clock.now(), &servers);
                let changes: Vec<String> =
                    changes.iter().map(|(name, change)| format!("{name} {}", change.name())).collect();
                info!(generation, changes = changes.join(", "), "fleet adopted");
            }
            Some(Outcome::Complain(why)) => warn!(why, "the fleet in force stands"),
            None => {}
        }
    }
    books.record(What::Life("stop".to_owned()));
    books.close();
    info!("out of service");
    Ok(())
}

/// Readings as a stream; one that never yields where nothing is watched.
fn pages(readings: Receiver<Vec<Page>>, watched: bool) -> impl stream::Stream<Item = Event> {
    stream::unfold(readings, move |readings| async move {
        if !watched {
            future::pending::<()>().await;
        }
        let mut pages = readings.recv().await.ok()?;
        // Files that change faster than they can be read: only the newest reading matters.
        while let Ok(newer) = readings.try_recv() {
            pages = newer;
        }
        Some((Event::Fleet(pages), readings))
    })
}

fn recall(places: &FrontPaths) -> io::Result<Option<Kept>> {
    let Some(path) = &places.state else { return Ok(None) };
    let (kept, passed_over) = store::load(&Folder::open(path)?)?;
    for why in passed_over {
        warn!(why, "passed over in the state's folder");
    }
    Ok(kept)
}

fn take_all(engine: &mut Engine, socket: &Async<UdpSocket>, clock: &Clock, buffer: &mut [u8]) {
    for _ in 0..MOST_AT_ONCE {
        match socket.get_ref().recv_from(buffer) {
            Ok((length, from)) => engine.handle_datagram(clock.now(), from, &buffer[..length]),
            Err(error) if error.kind() == ErrorKind::WouldBlock => return,
            // Some systems tell here that an earlier datagram met a closed port; repeats deal with that.
            Err(_) => {}
        }
    }
}

async fn send(socket: &Async<UdpSocket>, bytes: &[u8], to: SocketAddr) -> io::Result<usize> {
    match socket.get_ref().send_to(bytes, to) {
        Err(error) if error.kind() == ErrorKind::WouldBlock => socket.send_to(bytes, to).await,
        done => done,
    }
}

impl Books {
    fn write(&self, writing: StateWrite) {
        if let Some((out, _)) = &self.out {
            // The thread lives as long as its sender.
            let _ = out.send(writing);
        }
    }

    fn status(&mut self, now: Moment, engine: &Engine, keeper: Option<&Keeper>) {
        if now >= self.next_flush
            && let Some(records) = &mut self.records
        {
            self.next_flush = now + FLUSH_GAP;
            records.flush();
        }
        if now < self.next_status {
            return;
        }
        // Nothing else may have been due: then only this is late.
        let late = now.since(self.next_status);
        if late > STALL && !std::mem::take(&mut self.paused) {
            self.record(What::PausedUs(late.micros()));
        }
        self.paused = false;
        self.next_status = now + STATUS_GAP;
        if self.records.is_some() {
            for (server, held, unheard) in engine.server_snapshots() {
                self.record(event_recording::outlook(server, held, unheard));
            }
        }
        if let Some(records) = &mut self.records {
            records.flush();
        }
        if self.out.is_none() {
            return;
        }
        let (held, open) = engine.load();
        let mut status =
            format!("written_us: {}\nsessions held: {held}, commands open: {open}\n", now.micros());
        if let Some(keeper) = keeper {
            let generation = keeper.in_force().generation();
            let age = keeper.age(now).map_or("kept from before".to_owned(), |age| {
                format!("adopted {} s ago", age.micros() / 1_000_000)
            });
            status.push_str(&format!("fleet generation {generation}, {age}\n"));
        }
        for line in engine.status() {
            status.push_str(&line);
            status.push('\n');
        }
        let counters = keeper.map_or(String::new(), |keeper| {
            keeper.tallies().text(keeper.in_force().generation(), keeper.age(now))
        });
        self.write(StateWrite::Status { status, counters });
    }

    fn wake(&self) -> Option<Moment> {
        (self.out.is_some() || self.records.is_some()).then_some(self.next_status)
    }

    fn record(&mut self, what: What) {
        if let Some(records) = &mut self.records {
            records.put(self.clock.now().micros(), what);
        }
    }

    fn write_down(&mut self, note: EngineEvent, keeper: Option<&Keeper>) {
        if self.records.is_some() {
            let generation = keeper.map_or(0, |keeper| keeper.in_force().generation());
            if let Some(what) = event_recording::record(&note, generation) {
                self.record(what);
            }
        }
        match note {
            EngineEvent::Session { attempt: tried, step: what } => match what {
                SessionStep::Accepted { called_number: called, .. } => info!(tried, called, "taken"),
                SessionStep::Invited { server, attempt: nth, reason: why } => {
                    info!(tried, server, nth, ?why, "INVITE")
                }
                SessionStep::InviteEnded { server, outcome: ending, .. } => {
                    info!(tried, server, ?ending, "INVITE ended")
                }
                SessionStep::Established { server, .. } => info!(tried, server, "stands"),
                SessionStep::Rejected { cause: denial, refused, retry_after_ms: come_back_ms } => {
                    info!(tried, ?denial, refused, come_back_ms, "given up");
                }
                SessionStep::CallerGone { .. } => info!(tried, "caller hung up"),
                SessionStep::CutByServer { server } => info!(tried, server, "cut"),
                SessionStep::Released { server, confirmed } => info!(tried, server, confirmed, "released"),
                SessionStep::UnclaimedCallReleased { server } => {
                    info!(tried, server, "taken down: nobody claims it")
                }
            },
            EngineEvent::ServerRestart { name, state: what } => info!(server = name, what, "server"),
            EngineEvent::Lines { .. } => {}
            EngineEvent::Stalled(span) => {
                self.paused = true;
                warn!(ms = span.micros() / 1_000, "this front stood still");
            }
            EngineEvent::MessageIgnored { from, reason: why } => warn!(from, why, "passed over"),
            EngineEvent::EndpointsChanged(servers) if servers.is_empty() => {}
            EngineEvent::EndpointsChanged(servers) => {
                let files = keeper.map(|keeper| &keeper.in_force().files).into_iter().flatten();
                let files = files.map(|(name, (generation, _))| (name.clone(), *generation)).collect();
                self.write(StateWrite::Kept(Kept { files, servers }));
            }
        }
    }

    /// Waits until all is on disk.
    fn close(self) {
        if let Some((out, thread)) = self.out {
            drop(out);
            let _ = thread.join();
        }
    }
}
