//! The way to the coordinator: connected, followed from the last event known, and begun anew where it breaks off or
//! falls silent. It only says what is to be done.

use std::net::SocketAddr;

use ochrelead_core::time::{Moment, Span};
use ochrelead_platform::events::{EndpointChange, EventCursor, EventOutcome};
use ochrelead_platform::line_splitter::LineSplitter;

use crate::bounds::platform;

/// So many shares of a wait are told apart.
const SHARES: u64 = 1 << 10;

/// A connection to the coordinator, counted; never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct WatchId(pub u64);

/// What the host is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    Connect { watch: WatchId, to: SocketAddr },
    Ask { watch: WatchId, line: String },
    Close { watch: WatchId },
}

#[derive(Debug)]
enum Way {
    /// Not before this moment.
    Down(Moment),
    Dialing(Moment),
    /// Heard last at this moment, and whether anything came on it yet.
    Up(Moment, bool),
}

pub struct Watch {
    to: Option<SocketAddr>,
    followed: EventCursor,
    lines: LineSplitter,
    watch: WatchId,
    way: Way,
    connect: Span,
    /// Fronts that lost their coordinator together come back spread: each after its own share of a wait.
    share: f64,
    /// Answers in a row that were of no use.
    useless: u32,
}

impl Watch {
    pub fn new(
        to: Option<SocketAddr>,
        followed: EventCursor,
        connect: Span,
        seed: u64,
        now: Moment,
    ) -> Watch {
        let share = 0.5 + (seed % SHARES) as f64 / SHARES as f64;
        let (lines, watch, way) = (LineSplitter::default(), WatchId(0), Way::Down(now));
        Watch { to, followed, lines, watch, way, connect, share, useless: 0 }
    }

    /// How long it waits after a failure; longer with each answer in a row that was of no use, as each costs a list.
    fn pause(&self) -> Span {
        let pause = self.connect / 5 * (1 << self.useless.min(8));
        pause.min(platform::WATCH_PULSE).scaled(self.share)
    }

    /// A new address: the old one tells nothing more.
    pub fn redirect(&mut self, to: SocketAddr, now: Moment) -> Option<Step> {
        if self.to.replace(to) == Some(to) && !matches!(self.way, Way::Down(_)) {
            return None;
        }
        self.end(now)
    }

    fn end(&mut self, now: Moment) -> Option<Step> {
        self.lines = LineSplitter::default();
        let open = !matches!(self.way, Way::Down(_));
        self.way = Way::Down(now);
        open.then_some(Step::Close { watch: self.watch })
    }

    pub fn connected(&mut self, watch: WatchId, now: Moment) -> Option<Step> {
        if watch != self.watch || !matches!(self.way, Way::Dialing(_)) {
            return None;
        }
        self.way = Way::Up(now, false);
        Some(Step::Ask { watch, line: self.followed.request() })
    }

    /// It has ended, or never came up: asked again at once after an end, a little later after a failure.
    pub fn closed(&mut self, watch: WatchId, now: Moment) {
        if watch == self.watch {
            let failed = !matches!(self.way, Way::Up(_, true));
            self.lines = LineSplitter::default();
            self.way = Way::Down(if failed { now + self.pause() } else { now });
        }
    }

    /// What came; a line that is not whole or not readable ends the connection.
    pub fn heard(
        &mut self,
        watch: WatchId,
        bytes: &[u8],
        now: Moment,
    ) -> (Vec<EndpointChange>, Option<Step>) {
        let mut changes = Vec::new();
        if watch != self.watch || !matches!(self.way, Way::Up(..)) {
            return (changes, None);
        }
        let (lines, result) = self.lines.push(bytes);
        if !lines.is_empty() {
            // A line that trickles in and never ends is silence.
            self.way = Way::Up(now, true);
        }
        let mut sound = result.is_ok();
        for line in lines {
            match self.followed.handle_line(&line) {
                Ok(EventOutcome::Changed(change)) => {
                    self.useless = 0;
                    changes.push(change);
                }
                Ok(EventOutcome::Unchanged) => {}
                Ok(EventOutcome::Gap) | Err(_) => {
                    sound = false;
                    break;
                }
            }
        }
        if sound {
            return (changes, None);
        }
        let pause = self.pause();
        self.useless = self.useless.saturating_add(1);
        let step = self.end(now + pause);
        (changes, step)
    }

    /// What is due.
    pub fn turn(&mut self, now: Moment) -> Option<Step> {
        match self.way {
            Way::Down(at) if at <= now => {
                let to = self.to?;
                self.watch = WatchId(self.watch.0 + 1);
                self.way = Way::Dialing(now);
                Some(Step::Connect { watch: self.watch, to })
            }
            Way::Dialing(_) | Way::Up(..) if self.wake().is_some_and(|at| at <= now) => self.end(now),
            _ => None,
        }
    }

    pub fn wake(&self) -> Option<Moment> {
        match self.way {
            Way::Down(at) => self.to.map(|_| at),
            Way::Dialing(since) => Some(since + self.connect),
            Way::Up(heard, _) => Some(heard + platform::WATCH_PULSE.scaled(1.6)),
        }
    }
}
