//! Sockets, clock, signals and the list's file. It owns them and nothing else.

use std::fs;
use std::io::{self, ErrorKind, Write};
use std::net::UdpSocket;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use futures_lite::{StreamExt, future, stream};
use ochrelead_core::time::Moment;
use ochrelead_settings::commission;
use tracing::{info, warn};

use crate::engine::Engine;
use crate::judge::Judge;
use crate::note::{Note, Step};

/// So many datagrams are taken before the next turn.
const MOST_AT_ONCE: usize = 512;

/// Microseconds since 1970, from a clock that never goes back while the process runs.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    born: Instant,
    then: u64,
}

impl Clock {
    pub fn start() -> Clock {
        let then = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { born: Instant::now(), then: then.as_micros() as u64 }
    }

    pub fn now(&self) -> Moment {
        Moment::from_micros(self.then + self.born.elapsed().as_micros() as u64)
    }

    /// The timer that fires at `moment`; one that never does where there is none.
    pub fn timer(&self, moment: Option<Moment>) -> Timer {
        match moment {
            Some(moment) => Timer::after(Duration::from_micros(moment.since(self.now()).micros())),
            None => Timer::never(),
        }
    }
}

enum Event {
    Datagrams,
    Leave,
    Tick,
}

/// Runs a front until it has left service.
///
/// # Errors
///
/// Where signals or the socket fail for good.
pub async fn serve<J: Judge>(
    mut engine: Engine<J>,
    socket: Async<UdpSocket>,
    clock: Clock,
    list: Option<PathBuf>,
) -> io::Result<()> {
    let leave = Signals::new([Signal::Term, Signal::Int])?.map(|_| Event::Leave);
    let readable = stream::unfold(&socket, |socket| async move {
        socket.readable().await.ok()?;
        Some((Event::Datagrams, socket))
    });
    let events = stream::or(leave, readable);
    futures_lite::pin!(events);
    let mut datagram = vec![0; 65_536];
    while !engine.is_closed() {
        take_all(&mut engine, &socket, &clock, &mut datagram);
        engine.turn(clock.now());
        while let Some((to, bytes)) = engine.next_datagram() {
            if let Err(error) = send(&socket, &bytes, to).await {
                warn!(%to, %error, "a datagram could not leave");
                engine.undeliverable(clock.now(), to);
            }
        }
        while let Some(note) = engine.next_note() {
            write_down(note, list.as_deref());
        }
        let alarm = clock.timer(engine.wake());
        let tick = async {
            alarm.await;
            Some(Event::Tick)
        };
        if let Some(Event::Leave) = future::or(events.next(), tick).await {
            info!("leaving service");
            engine.leave(clock.now());
        }
    }
    info!("out of service");
    Ok(())
}

fn take_all<J: Judge>(engine: &mut Engine<J>, socket: &Async<UdpSocket>, clock: &Clock, buffer: &mut [u8]) {
    for _ in 0..MOST_AT_ONCE {
        match socket.get_ref().recv_from(buffer) {
            Ok((length, from)) => engine.take(clock.now(), from, &buffer[..length]),
            Err(error) if error.kind() == ErrorKind::WouldBlock => return,
            // Some systems tell here that an earlier datagram met a closed port; repeats deal with that.
            Err(_) => {}
        }
    }
}

async fn send(socket: &Async<UdpSocket>, bytes: &[u8], to: std::net::SocketAddr) -> io::Result<usize> {
    match socket.get_ref().send_to(bytes, to) {
        Err(error) if error.kind() == ErrorKind::WouldBlock => socket.send_to(bytes, to).await,
        done => done,
    }
}

fn write_down(note: Note, list: Option<&Path>) {
    match note {
        Note::Session { tried, what } => match what {
            Step::Taken => info!(tried, "taken"),
            Step::Invited { server, nth } => info!(tried, server, nth, "INVITE"),
            Step::InviteEnded { server, ending } => info!(tried, server, ?ending, "INVITE ended"),
            Step::Stands { server } => info!(tried, server, "stands"),
            Step::Refused { come_back_ms } => info!(tried, come_back_ms, "refused"),
            Step::Failed => info!(tried, "failed"),
            Step::HungUp => info!(tried, "caller hung up"),
            Step::Cut => info!(tried, "cut"),
            Step::Released => info!(tried, "released"),
            Step::TakenDown { server } => info!(tried, server, "taken down: nobody claims it"),
        },
        Note::Server { name, what } => info!(server = name, what, "server"),
        Note::PassedOver { from, why } => warn!(from, why, "passed over"),
        Note::List(posts) => {
            if let Some(path) = list
                && let Err(error) = keep(path, &commission::roster_text(&posts))
            {
                warn!(path = %path.display(), %error, "the list could not be kept");
            }
        }
    }
}

/// Replaces a file whole: a reader sees the old text or the new one.
fn keep(path: &Path, text: &str) -> io::Result<()> {
    let beside = path.with_extension("new");
    let mut file = fs::File::create(&beside)?;
    file.write_all(text.as_bytes())?;
    file.sync_all()?;
    fs::rename(&beside, path)
}
