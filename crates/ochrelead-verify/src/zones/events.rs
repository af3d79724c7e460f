//! The events of a simulated run.

use std::net::SocketAddr;

/// An INVITE on its way to a server, or pending there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Invite {
    pub(super) id: u64,
    pub(super) front: u32,
    /// The front's session that it is for.
    pub(super) session: usize,
    pub(super) server: u32,
}

/// A server's answer to an INVITE.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Answer {
    Established,
    QueueFull,
    NoLine,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Event {
    /// A front runs, if it is still scheduled for this time.
    FrontDue {
        front: u32,
    },
    DatagramArrives {
        from: SocketAddr,
        to: u32,
        bytes: Vec<u8>,
    },
    /// A caller attempts a session, for the first time or again.
    CallerAttempts {
        request: usize,
    },
    InviteArrives(Invite),
    /// The answer of a server's incarnation arrives at the front.
    AnswerArrives {
        invite: Invite,
        incarnation: u32,
        answer: Answer,
    },
    InviteTimesOut(Invite),
    CallEnds {
        invite: Invite,
        incarnation: u32,
    },
    /// All servers report their lines.
    LinesReported,
    /// The invariants are checked.
    CheckDue,
    FaultBegins {
        index: usize,
    },
    FaultEnds {
        index: usize,
    },
    /// A front learns that a server has restarted.
    RestartListed {
        front: u32,
        server: u32,
    },
    FrontRestarted {
        front: u32,
    },
}
