//! What was seen in a trial, in the order of time.

use std::fmt::{self, Display, Formatter};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// A call, by the number in its id.
pub type CallNumber = u64;

/// What the coordinator lists a server as.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// In service.
    Up,
    /// Takes nothing new.
    Draining,
    /// Gone.
    Removed,
}

impl Lifecycle {
    /// The word in the coordinator's events.
    pub fn as_str(self) -> &'static str {
        match self {
            Lifecycle::Up => "up",
            Lifecycle::Draining => "draining",
            Lifecycle::Removed => "removed",
        }
    }
}

/// How discovery fails for a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryFault {
    /// Connections stay open and bring nothing, those of this time not even later; what they asked is lost.
    Silent,
    /// The port is closed and connections are reset.
    Down,
    /// Answers and events come late by this long.
    Slow(Duration),
    /// Nothing is accepted, read or written; connections go on where they were afterwards.
    Suspended,
}

/// How an INVITE ended at its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InviteEnd {
    /// The server answered it.
    Answered,
    /// The node cancelled it.
    Cancelled,
    /// Its connection ended.
    ConnectionClosed,
}

/// What a caller was told of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The call stands.
    Up,
    /// Refused, failed, or released after it stood.
    Down,
}

/// One thing that was seen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The coordinator has a change of a server.
    Listed {
        /// The server's id.
        server: String,
        /// Its new state.
        state: Lifecycle,
    },
    /// Discovery fails for a node from now on.
    DiscoveryFailed {
        /// The node's number.
        node: usize,
        /// How.
        fault: DiscoveryFault,
    },
    /// Discovery can be reached by the node again.
    DiscoveryReturned {
        /// The node's number.
        node: usize,
    },
    /// The coordinator moved for a node, which was signalled.
    DiscoveryMoved {
        /// The node's number.
        node: usize,
    },
    /// A node asked for the list, and its coordinator answers.
    ListRequested {
        /// The node's number.
        node: usize,
    },
    /// A node's process was started.
    Started {
        /// The node's number.
        node: usize,
    },
    /// SIGTERM.
    Terminated {
        /// The node's number.
        node: usize,
    },
    /// It is stopped for a while, as by a machine that is too busy.
    Stalled {
        /// The node's number.
        node: usize,
        /// For how long.
        length: Duration,
    },
    /// SIGKILL.
    Killed {
        /// The node's number.
        node: usize,
    },
    /// The process ended by itself.
    Exited {
        /// The node's number.
        node: usize,
        /// Whether with success.
        success: bool,
    },
    /// A set-up's last byte was written.
    SetUpSent {
        /// The call.
        call: CallNumber,
        /// The node's number.
        node: usize,
        /// How long its caller waits.
        wait: Duration,
    },
    /// Its caller waits no longer, or its connection ended in a way that owes no answer.
    Withdrawn {
        /// The call.
        call: CallNumber,
    },
    /// A caller was told something of a call.
    Told {
        /// The call.
        call: CallNumber,
        /// What.
        answer: Answer,
        /// Whether the answer is as a server gave it.
        intact: bool,
    },
    /// The node closed a connection on which the call was unanswered.
    ClosedUnanswered {
        /// The call.
        call: CallNumber,
    },
    /// A node neither answered nor closed a connection on which a caller had sent what it can't use, in time.
    BadInputIgnored {
        /// The node's number.
        node: usize,
    },
    /// An INVITE arrived whole.
    InviteArrived {
        /// The server's id.
        server: String,
        /// The call.
        call: CallNumber,
        /// The sequence number.
        sequence: u32,
        /// The earliest that its first byte can have been sent, where the server read it late.
        buffered_since: Option<Duration>,
    },
    /// A server released a call that stands, on a connection that was open.
    Released {
        /// The call.
        call: CallNumber,
    },
    /// A server's process ended, and its calls with it.
    ServerStopped {
        /// The server's id.
        server: String,
    },
    /// An INVITE ended.
    InviteEnded {
        /// The server's id.
        server: String,
        /// The call.
        call: CallNumber,
        /// The sequence number.
        sequence: u32,
        /// How.
        end: InviteEnd,
    },
}

/// One entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// When, from the trial's start.
    pub at: Duration,
    /// What.
    pub event: Event,
}

impl Display for Entry {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:8.3} {:?}", self.at.as_secs_f64(), self.event)
    }
}

/// A time in which the machine ran the trial late.
#[derive(Clone, Copy, Debug)]
pub struct Stall {
    /// When a thread that slept should have been woken.
    pub from: Duration,
    /// When it was.
    pub until: Duration,
}

/// The record of a running trial, shared by its threads.
pub struct Recorder {
    started: Instant,
    entries: Mutex<Vec<Entry>>,
    stalls: Mutex<Vec<Stall>>,
}

impl Default for Recorder {
    fn default() -> Self {
        Recorder { started: Instant::now(), entries: Mutex::default(), stalls: Mutex::default() }
    }
}

impl Recorder {
    /// The time since the trial's start.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// The time at which an entry could be recorded: later than now where another thread is held up while it records.
    pub fn now_recording(&self) -> Duration {
        let _entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        self.now()
    }

    /// Records something that happens now.
    pub fn record(&self, event: Event) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.push(Entry { at: self.now(), event });
    }

    /// Records that the machine ran late.
    pub fn record_stall(&self, stall: Stall) {
        self.stalls.lock().unwrap_or_else(PoisonError::into_inner).push(stall);
    }

    /// Everything so far.
    pub fn history(&self) -> History {
        History {
            entries: self.entries.lock().unwrap_or_else(PoisonError::into_inner).clone(),
            stalls: self.stalls.lock().unwrap_or_else(PoisonError::into_inner).clone(),
        }
    }
}

/// Everything that was seen in a trial.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// In the order of time.
    pub entries: Vec<Entry>,
    /// When the machine ran late.
    pub stalls: Vec<Stall>,
}

impl History {
    /// For how long the machine stood still between two moments: what was seen then may have been seen late by as much.
    pub fn stalled_between(&self, from: Duration, until: Duration) -> Duration {
        let overlap = |stall: &Stall| stall.until.min(until).saturating_sub(stall.from.max(from));
        self.stalls.iter().map(overlap).sum()
    }

    /// For how long a node was made to stand still between two moments.
    pub fn node_stalled_between(&self, number: usize, from: Duration, until: Duration) -> Duration {
        let overlap = |entry: &Entry| match entry.event {
            Event::Stalled { node, length } if node == number => {
                (entry.at + length).min(until).saturating_sub(entry.at.max(from))
            }
            _ => Duration::ZERO,
        };
        self.entries.iter().map(overlap).sum()
    }

    /// The entries that concern a call.
    pub fn of_call(&self, number: CallNumber) -> impl Iterator<Item = &Entry> {
        self.entries.iter().filter(move |entry| match entry.event {
            Event::SetUpSent { call, .. }
            | Event::Withdrawn { call }
            | Event::Told { call, .. }
            | Event::ClosedUnanswered { call }
            | Event::InviteArrived { call, .. }
            | Event::Released { call }
            | Event::InviteEnded { call, .. } => call == number,
            _ => false,
        })
    }
}
