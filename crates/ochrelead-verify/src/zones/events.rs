//! The types of events in a simulated run.

use std::net::SocketAddr;

/// An INVITE that a front has sent for one of its sessions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Invite {
    pub(super) id: u64,
    pub(super) front: u32,
    /// The front's index of the session.
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
    /// A front is due to run. The event is ignored if the front was rescheduled.
    FrontDue {
        front: u32,
    },
    DatagramArrives {
        from: SocketAddr,
        to: u32,
        bytes: Vec<u8>,
    },
    /// A caller requests its session, for the first time or again.
    CallerAttempts {
        request: usize,
    },
    InviteArrives(Invite),
    /// A server's answer arrives at the front; `incarnation` is that of the server when it accepted the INVITE.
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
    /// Each server reports its free lines to the fronts.
    LinesReported,
    /// The monitor checks the invariants.
    CheckDue,
    FaultBegins {
        index: usize,
    },
    FaultEnds {
        index: usize,
    },
    /// The endpoint list with a server's restart reaches a front.
    RestartListed {
        front: u32,
        server: u32,
    },
    FrontRestarted {
        front: u32,
    },
}
