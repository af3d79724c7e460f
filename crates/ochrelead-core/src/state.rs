//! The state of the controller. No decision is made here.

mod server;

use std::collections::BTreeSet;

pub(crate) use self::server::{AnswerSample, BucketWidths, Ejection, ServerState};

use crate::config::Service;
use crate::index::{CalledNumberIx, ServerIx, ServiceIx, SessionIx};
use crate::index_vec::IndexVec;
use crate::sliding_window::SlidingWindow;
use crate::time::{Moment, Span};
use crate::types::{BudgetGrant, CallRequest, InviteOutcome};

/// The part of a service's configuration that decisions use, and its demand.
pub(crate) struct ServiceState {
    /// The value of a session, in multiples of the value of the cheapest service.
    pub(crate) value: f64,
    /// The share of the value that remains after the latency objective.
    pub(crate) late_value_share: f64,
    pub(crate) latency_objective: Span,
    /// The numbers of the servers that serve it; empty if all servers do.
    pub(crate) servers: Vec<i64>,
    pub(crate) is_retryable: bool,
    mean_hold_time: Span,
    /// Number of sessions requested since the front started.
    pub(crate) requests: f64,
}

impl ServiceState {
    pub(crate) fn new(service: &Service, lowest_value: f64) -> Self {
        ServiceState {
            value: service.value / lowest_value.max(f64::MIN_POSITIVE),
            late_value_share: service.late_value_share,
            latency_objective: service.post_dial_target,
            servers: service.servers.clone(),
            is_retryable: service.retryable,
            mean_hold_time: service.mean_hold_time,
            requests: 0.0,
        }
    }
}

/// Returns the mean hold time of a call in seconds, over all services weighted by their demand; zero before the
/// first request.
pub(crate) fn mean_hold_time_s(services: &IndexVec<ServiceIx, ServiceState>) -> f64 {
    let hold_time = |service: &ServiceState| {
        let seconds = service.mean_hold_time.ratio(Span::from_secs(1));
        service.requests * seconds
    };
    let requests = services.iter().map(|service| service.requests).sum::<f64>();
    services.iter().map(hold_time).sum::<f64>() / requests.max(1.0)
}

/// The quota of a tenant at one front, and its demand there.
pub(crate) struct TenantQuota {
    /// One front's even part of the tenant's quota, in sessions per second.
    pub(crate) rate_per_s: f64,
    pub(crate) demand: SlidingWindow<16>,
}

impl TenantQuota {
    pub(crate) fn new(rate_per_s: f64, bucket_width: Span) -> Self {
        TenantQuota { rate_per_s, demand: SlidingWindow::new(bucket_width) }
    }
}

/// A session without a final answer, or with an outstanding INVITE.
pub(crate) struct SessionState {
    pub(crate) request: CallRequest,
    pub(crate) requested_at: Moment,
    /// When its caller first requested it, including earlier attempts that are known.
    pub(crate) first_tried_at: Moment,
    pub(crate) invites_sent: u32,
    /// The INVITE that is waiting for its answer.
    pub(crate) outstanding: Option<OutstandingInvite>,
    /// The call is established or the caller is gone; the session is over when its INVITE ends.
    pub(crate) is_settled: bool,
    /// When a decision on the session is due; `None` while none is scheduled.
    due_at: Option<Moment>,
    /// The earliest time of the next INVITE.
    pub(crate) not_before: Moment,
    /// The grant that the next INVITE has already taken from a retry budget.
    pub(crate) reservation: Option<BudgetReservation>,
    /// Servers at which an INVITE of this session failed.
    pub(crate) excluded_servers: Vec<ServerIx>,
    pub(crate) last_outcome: Option<InviteOutcome>,
    /// Random number from 0 to 1 from which [`sample`](Self::sample) derives the session's samples.
    sampling_key: f64,
}

impl SessionState {
    pub(crate) fn new(request: CallRequest, now: Moment, first_tried_at: Moment, sampling_key: f64) -> Self {
        SessionState {
            request,
            requested_at: now,
            first_tried_at,
            invites_sent: 0,
            outstanding: None,
            is_settled: false,
            due_at: None,
            not_before: now,
            reservation: None,
            excluded_servers: Vec::new(),
            last_outcome: None,
            sampling_key,
        }
    }

    /// Records an INVITE sent to the server at `now`, which uses up the reservation.
    pub(crate) fn record_invite(&mut self, now: Moment, server: ServerIx) {
        self.reservation = None;
        self.outstanding = Some(OutstandingInvite { server, sent_at: now });
        self.invites_sent += 1;
    }

    /// Returns the session's sample for one server, from 0 to 1: constant for a session and a server, and
    /// different between servers. A server that admits a share of the sessions compares it with that share.
    /// The fractional parts of multiples of the golden ratio are evenly spread over 0 to 1, so one random number
    /// is enough for all servers.
    pub(crate) fn sample(&self, server: ServerIx) -> f64 {
        const GOLDEN_RATIO: f64 = 0.618_034;
        (self.sampling_key + GOLDEN_RATIO * server.index() as f64).fract()
    }
}

/// An INVITE that is waiting for its answer.
#[derive(Clone, Copy)]
pub(crate) struct OutstandingInvite {
    pub(crate) server: ServerIx,
    pub(crate) sent_at: Moment,
}

/// The grant that a re-send in its resend delay has taken from the retry budget of a server.
#[derive(Clone, Copy)]
pub(crate) struct BudgetReservation {
    pub(crate) server: ServerIx,
    pub(crate) grant: BudgetGrant,
}

/// Sessions by index, and a queue of them in the order in which decisions are due.
#[derive(Default)]
pub(crate) struct Sessions {
    states: IndexVec<SessionIx, Option<SessionState>>,
    due: BTreeSet<(Moment, SessionIx)>,
}

impl Sessions {
    pub(crate) fn get(&self, session: SessionIx) -> Option<&SessionState> {
        self.states.get(session)?.as_ref()
    }

    pub(crate) fn get_mut(&mut self, session: SessionIx) -> Option<&mut SessionState> {
        self.states.get_mut(session)?.as_mut()
    }

    /// Adds a session on which a decision is due at once.
    pub(crate) fn insert(&mut self, session: SessionIx, state: SessionState) {
        let due_at = state.requested_at;
        *self.states.get_or_insert_with(session, || None) = Some(state);
        self.schedule(session, due_at);
    }

    pub(crate) fn remove(&mut self, session: SessionIx) -> Option<SessionState> {
        let state = self.states.get_mut(session)?.take()?;
        if let Some(due_at) = state.due_at {
            self.due.remove(&(due_at, session));
        }
        Some(state)
    }

    /// Schedules a decision on the session.
    pub(crate) fn schedule(&mut self, session: SessionIx, due_at: Moment) {
        if let Some(state) = self.get_mut(session) {
            state.due_at = Some(due_at);
            self.due.insert((due_at, session));
        }
    }

    pub(crate) fn next_due_at(&self) -> Option<Moment> {
        self.due.first().map(|(due_at, _)| *due_at)
    }

    /// Takes the session with the earliest decision due out of the queue; `None` if none is due at `now`.
    pub(crate) fn pop_due(&mut self, now: Moment) -> Option<SessionIx> {
        self.next_due_at().filter(|due_at| *due_at <= now)?;
        let (_, session) = self.due.pop_first()?;
        if let Some(state) = self.get_mut(session) {
            state.due_at = None;
        }
        Some(session)
    }
}

/// The state of a called number.
#[derive(Clone, Copy, Default)]
pub(crate) struct CalledNumberState {
    /// When a session to it was first requested, in the current run of redials.
    pub(crate) first_tried_at: Moment,
    /// When a session to it was last rejected.
    pub(crate) rejected_at: Option<Moment>,
    /// No INVITE is sent to the number before this time.
    pub(crate) busy_until: Moment,
    /// Number of INVITEs that met busy lines since a call to the number was last established.
    pub(crate) busy_count: u32,
}

/// Called numbers by index.
#[derive(Default)]
pub(crate) struct CalledNumbers(IndexVec<CalledNumberIx, CalledNumberState>);

impl CalledNumbers {
    pub(crate) fn get(&self, number: CalledNumberIx) -> CalledNumberState {
        self.0.get(number).copied().unwrap_or_default()
    }

    pub(crate) fn get_mut(&mut self, number: CalledNumberIx) -> &mut CalledNumberState {
        self.0.get_or_insert_with(number, CalledNumberState::default)
    }
}
