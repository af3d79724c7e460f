//! The way to the coordinator: connected, followed from the last event known, and begun anew where it breaks off or
//! falls silent. It only says what is to be done.

use std::net::SocketAddr;

use ochrelead_core::time::{Moment, Span};
use ochrelead_platform::events::{Change, Followed, Heard};
use ochrelead_platform::lines::Lines;

use crate::bounds::platform;

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
    followed: Followed,
    lines: Lines,
    watch: WatchId,
    way: Way,
    connect: Span,
}

impl Watch {
    pub fn new(to: Option<SocketAddr>, followed: Followed, connect: Span, now: Moment) -> Watch {
        Watch { to, followed, lines: Lines::default(), watch: WatchId(0), way: Way::Down(now), connect }
    }

    /// A new address: the old one tells nothing more.
    pub fn redirect(&mut self, to: SocketAddr, now: Moment) -> Option<Step> {
        self.to = Some(to);
        self.end(now)
    }

    fn end(&mut self, now: Moment) -> Option<Step> {
        self.lines = Lines::default();
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
            self.lines = Lines::default();
            self.way = Way::Down(if failed { now + self.connect / 5 } else { now });
        }
    }

    /// What came; a line that is not whole or not readable ends the connection.
    pub fn heard(&mut self, watch: WatchId, bytes: &[u8], now: Moment) -> (Vec<Change>, Option<Step>) {
        let mut changes = Vec::new();
        if watch != self.watch || !matches!(self.way, Way::Up(..)) {
            return (changes, None);
        }
        self.way = Way::Up(now, true);
        let (lines, result) = self.lines.cut(bytes);
        let mut sound = result.is_ok();
        for line in lines {
            match self.followed.hear(&line) {
                Ok(Heard::Change(change)) => changes.push(change),
                Ok(Heard::Nothing) => {}
                Ok(Heard::Gap) | Err(_) => {
                    sound = false;
                    break;
                }
            }
        }
        let step = if sound { None } else { self.end(now + self.connect / 5) };
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
