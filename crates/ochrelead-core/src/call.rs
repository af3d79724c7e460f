//! What passes between the host and the rules, in the trade's words.

use crate::index::{MemberIx, NumberIx, ServerIx, ServiceIx, SessionIx};
use crate::time::{Moment, Span};

/// A session as its caller asks for it.
#[derive(Clone, Copy, Debug)]
pub struct Offer {
    pub service: ServiceIx,
    pub member: Option<MemberIx>,
    pub number: Option<NumberIx>,
    /// The number of the server of first choice.
    pub destination: i64,
    /// The caller gives up at this moment.
    pub timer_limit: Moment,
    /// The caller says that it has tried before.
    pub redial: bool,
}

/// How an INVITE, or the call that it set up, came to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The call stood and was released.
    Released,
    /// All lines of the called number are busy, or the signalling failed.
    Fault {
        lines_busy: bool,
    },
    /// Turned away by a full server: it has no line free, or its processor is full and may name a wait.
    BusyReplied {
        no_line: bool,
        wait: Option<Span>,
    },
    TimedOut,
    ConnectFailed,
    Reset,
    Cancelled,
    /// It never left.
    Unsent,
}

/// A server's lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lines {
    pub free: u32,
    pub all: u32,
}

/// What a server says of its processor, as far as it does.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// New set-ups a second that it can take from all senders together.
    pub can_take: Option<f64>,
    /// The share of new set-ups that it asks each sender to hold back.
    pub hold_back: Option<f64>,
}

/// One line of the server list.
#[derive(Clone, Copy, Debug)]
pub struct Listing {
    pub server: ServerIx,
    pub number: i64,
    pub state: ListState,
    /// Its part of drawn sessions against the other servers' weights; above zero, 1 where nothing is said.
    pub weight: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListState {
    /// In service; with the moment of its last start where that is known.
    Ready {
        started: Option<Moment>,
    },
    Draining,
    Gone,
}

/// Why a decision is what it is, for records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    Sent { choice: Choice, payment: Payment },
    Denied(Denial),
}

/// How the server of an INVITE was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    Destination,
    Drawn,
}

/// What let an INVITE pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Payment {
    /// A first set-up asks no budget.
    Free,
    Token,
    /// No re-send had gone to the server of late.
    Floor,
}

/// Why a session was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// Its last ending is not sent again.
    NotAgain,
    /// The timer limit would come first.
    TooLate,
    /// All lines of its number were busy a moment ago.
    NumberBusy,
    InvitesSpent,
    /// No server that it may go to has room.
    NoRoom,
    NoToken,
}

/// What is held of a server at a moment, for records.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outlook {
    /// How many INVITEs may be out.
    pub limit: f64,
    /// How many are.
    pub waiting: u32,
    pub answer_time: Span,
    pub sick: bool,
    pub fresh: bool,
    /// The last sign of it was a failure.
    pub troubled: bool,
    /// What it sets up for all fronts, in sessions a second, as its lines show it.
    pub flow: Option<f64>,
    pub lines: Lines,
}

/// What the host is to do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// Send an INVITE and wait for it as long as the caller does, or for a shorter time.
    Invite { session: SessionIx, server: ServerIx, patience: Option<Span> },
    /// Final: refused, with a time to come back after.
    Refuse { session: SessionIx, come_back: Option<Span> },
    /// Final: it failed.
    Terminate { session: SessionIx },
}
