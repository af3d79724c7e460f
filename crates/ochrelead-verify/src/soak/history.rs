//! The history of a trial: what the emulated peers saw on their sockets and what the trial did, in order of time.

use std::fmt::{self, Display, Formatter};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The number of a call, which its id holds in hexadecimal.
pub type CallNumber = u64;

/// The state in which the coordinator lists a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// In service.
    Up,
    /// Takes no new calls.
    Draining,
    /// No longer in the list.
    Removed,
}

impl Lifecycle {
    /// The value of `lifecycle` in the coordinator's events.
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
    /// Connections stay open but carry nothing. Those opened before or during the fault stay mute after it, and their
    /// requests are lost.
    Silent,
    /// The port is closed and connections are reset.
    Down,
    /// Answers and events are delayed by this time.
    Slow(Duration),
    /// The coordinator accepts, reads and writes nothing; open connections continue afterwards.
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

/// The answer that a caller received for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The call is established.
    Up,
    /// The call was rejected or failed, or was released after it had been established.
    Down,
}

/// An event of a trial. Reports print these names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The coordinator has a change to a server in its list.
    Listed {
        /// The server's id.
        server: String,
        /// Its new state.
        state: Lifecycle,
    },
    /// A discovery fault begins for a node.
    DiscoveryFailed {
        /// The node's number.
        node: usize,
        /// The kind of fault.
        fault: DiscoveryFault,
    },
    /// The discovery fault of a node ends.
    DiscoveryReturned {
        /// The node's number.
        node: usize,
    },
    /// The coordinator of a node moved to another address, and the node gets SIGHUP.
    DiscoveryMoved {
        /// The node's number.
        node: usize,
    },
    /// A node requested the list, and its coordinator answers.
    ListRequested {
        /// The node's number.
        node: usize,
    },
    /// A node's process was started.
    Started {
        /// The node's number.
        node: usize,
    },
    /// The trial sends SIGTERM to a node.
    Terminated {
        /// The node's number.
        node: usize,
    },
    /// The trial suspends a node with SIGSTOP for a while, as an overloaded machine would.
    Stalled {
        /// The node's number.
        node: usize,
        /// How long the node is suspended.
        length: Duration,
    },
    /// The trial sends SIGKILL to a node.
    Killed {
        /// The node's number.
        node: usize,
    },
    /// A node's process exited without SIGKILL.
    Exited {
        /// The node's number.
        node: usize,
        /// Whether its exit status was success.
        success: bool,
    },
    /// A caller is about to write the last part of a set-up.
    SetUpSent {
        /// The call.
        call: CallNumber,
        /// The node's number.
        node: usize,
        /// How long its caller waits for an answer.
        wait: Duration,
    },
    /// The caller cancelled the set-up, or its connection ended in a way after which no answer is owed.
    Withdrawn {
        /// The call.
        call: CallNumber,
    },
    /// A caller received an answer or a release for a call.
    Told {
        /// The call.
        call: CallNumber,
        /// The answer.
        answer: Answer,
        /// Whether the body of the answer is the one that the server sent.
        intact: bool,
    },
    /// The node closed the connection while the call was unanswered.
    ClosedUnanswered {
        /// The call.
        call: CallNumber,
    },
    /// A node neither answered unusable input in time nor closed its connection.
    BadInputIgnored {
        /// The node's number.
        node: usize,
    },
    /// A server received a whole INVITE.
    InviteArrived {
        /// The server's id.
        server: String,
        /// The call.
        call: CallNumber,
        /// The sequence number.
        sequence: u32,
        /// The earliest time at which its first byte can have been sent, if the server read it late.
        buffered_since: Option<Duration>,
    },
    /// A server released an established call on an open connection.
    Released {
        /// The call.
        call: CallNumber,
    },
    /// A server stopped, and its calls ended with it.
    ServerStopped {
        /// The server's id.
        server: String,
    },
    /// An INVITE ended at its server.
    InviteEnded {
        /// The server's id.
        server: String,
        /// The call.
        call: CallNumber,
        /// The sequence number.
        sequence: u32,
        /// How it ended.
        end: InviteEnd,
    },
}

/// An event and its time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The time since the trial's start.
    pub at: Duration,
    /// The event.
    pub event: Event,
}

impl Display for Entry {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:8.3} {:?}", self.at.as_secs_f64(), self.event)
    }
}

/// A period in which the machine was too busy to run the trial's threads on time.
#[derive(Clone, Copy, Debug)]
pub struct Stall {
    /// When a sleeping thread was due to wake.
    pub from: Duration,
    /// When the thread woke.
    pub until: Duration,
}

/// Records the history of a running trial; shared by its threads.
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

    /// Returns the time once the record can be written to. If another thread is delayed while it records, the wait
    /// for that thread counts.
    pub fn now_recording(&self) -> Duration {
        let _entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        self.now()
    }

    /// Records an event with the present time.
    pub fn record(&self, event: Event) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.push(Entry { at: self.now(), event });
    }

    /// Records a stall of the machine.
    pub fn record_stall(&self, stall: Stall) {
        self.stalls.lock().unwrap_or_else(PoisonError::into_inner).push(stall);
    }

    /// Returns a copy of everything recorded so far.
    pub fn history(&self) -> History {
        History {
            entries: self.entries.lock().unwrap_or_else(PoisonError::into_inner).clone(),
            stalls: self.stalls.lock().unwrap_or_else(PoisonError::into_inner).clone(),
        }
    }
}

/// Everything that was recorded in a trial.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Entries in chronological order.
    pub entries: Vec<Entry>,
    /// Stalls of the machine.
    pub stalls: Vec<Stall>,
}

impl History {
    /// How long the machine stalled between two moments. Events of that period may have been recorded late by this
    /// time.
    pub fn stalled_between(&self, from: Duration, until: Duration) -> Duration {
        let overlap = |stall: &Stall| stall.until.min(until).saturating_sub(stall.from.max(from));
        self.stalls.iter().map(overlap).sum()
    }

    /// How long the trial suspended a node between two moments.
    pub fn node_stalled_between(&self, number: usize, from: Duration, until: Duration) -> Duration {
        let overlap = |entry: &Entry| match entry.event {
            Event::Stalled { node, length } if node == number => {
                (entry.at + length).min(until).saturating_sub(entry.at.max(from))
            }
            _ => Duration::ZERO,
        };
        self.entries.iter().map(overlap).sum()
    }

    /// Entries that concern a call.
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
