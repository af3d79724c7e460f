//! A front with servers that do only what a test tells them.
#![allow(dead_code)]

use ochrelead_core::config::{ControllerConfig, Service};
use ochrelead_core::controller::Controller;
use ochrelead_core::index::{CalledNumberIx, ServerIx, ServiceIx, SessionIx, TenantIx};
use ochrelead_core::time::{Moment, Span};
use ochrelead_core::types::{
    CallRequest, Decision, EndpointState, EndpointUpdate, InviteOutcome, LineCapacity,
};

pub const TARGET_MS: u64 = 1_500;
pub const RELEASE_MS: u64 = 300;
pub const LIMIT_MS: u64 = 9_000;

pub fn at(ms: u64) -> Moment {
    Moment::from_micros(60_000_000 + ms * 1_000)
}

pub fn provision() -> ControllerConfig {
    let service = |value| Service {
        value,
        post_dial_target: Span::from_millis(TARGET_MS),
        late_value_share: 0.25,
        mean_hold_time: Span::from_secs(8),
        servers: Vec::new(),
        retryable: true,
    };
    ControllerConfig {
        seed: 7,
        fronts: 4,
        services: vec![service(1.0), service(4.0)],
        max_invites: 4,
        max_retry_after: Span::from_millis(2_000),
        resend_delay: Span::from_millis(RELEASE_MS),
        cold_capacity_share: 0.3,
        warm_up_time: Span::from_secs(15),
        overload_multiple: 2.5,
        overload_duration: Span::from_secs(1),
        min_turn_interval: Span::from_millis(5),
        ..ControllerConfig::default()
    }
}

pub struct Front {
    pub rules: Controller,
    /// The member whose sessions are offered.
    pub member: Option<TenantIx>,
    offered: usize,
}

impl Front {
    /// A front that knows so many warm servers, numbered as they are indexed.
    pub fn with(servers: usize) -> Front {
        Front::from(&provision(), servers)
    }

    pub fn from(provision: &ControllerConfig, servers: usize) -> Front {
        let mut front = Front { rules: Controller::new(provision, at(0)), member: None, offered: 0 };
        for server in 0..servers {
            front.list(0, server, EndpointState::Ready { started: None });
        }
        front
    }

    pub fn list(&mut self, ms: u64, server: usize, state: EndpointState) {
        self.rules.advance_to(at(ms));
        self.rules.on_endpoints(
            false,
            &[EndpointUpdate { server: ServerIx::new(server), number: server as i64, state, weight: 1.0 }],
        );
    }

    pub fn lines(&mut self, server: usize, free: u32, all: u32) {
        self.rules.on_line_capacity(ServerIx::new(server), LineCapacity { free, total: all });
    }

    /// Offers a session of the service and returns its index.
    pub fn offer(&mut self, ms: u64, service: usize, destination: i64, number: usize) -> SessionIx {
        self.offered_as(ms, service, destination, number, false)
    }

    /// Offers a session whose caller says that it has tried before.
    pub fn offer_again(&mut self, ms: u64, destination: i64) -> SessionIx {
        self.offered_as(ms, 0, destination, 1_000 + self.offered, true)
    }

    fn offered_as(
        &mut self,
        ms: u64,
        service: usize,
        destination: i64,
        number: usize,
        redial: bool,
    ) -> SessionIx {
        self.rules.advance_to(at(ms));
        let session = SessionIx::new(self.offered);
        self.offered += 1;
        let offer = CallRequest {
            service: ServiceIx::new(service),
            tenant: self.member,
            called_number: Some(CalledNumberIx::new(number)),
            destination,
            deadline: at(ms + LIMIT_MS),
            is_redial: redial,
        };
        self.rules.on_call_request(session, offer);
        session
    }

    /// Offers a session to a number of its own and lets the front decide.
    pub fn send(&mut self, ms: u64, destination: i64) -> (SessionIx, Vec<Decision>) {
        let session = self.offer(ms, 0, destination, 1_000 + self.offered);
        (session, self.decide(ms))
    }

    /// Sends one session and has it answered after `took` milliseconds.
    pub fn served(&mut self, ms: u64, destination: i64, took: u64) {
        let (session, decisions) = self.send(ms, destination);
        if let Some(server) = invited(&decisions) {
            self.rules.advance_to(at(ms + took));
            self.rules.on_call_established(session);
            self.rules.on_invite_ended(session, ServerIx::new(server), InviteOutcome::Released, true);
        }
    }

    /// Sends one session whose caller gives up at once; the server that its INVITE went to.
    pub fn sent_in_vain(&mut self, ms: u64, destination: i64) -> Option<usize> {
        let (session, decisions) = self.send(ms, destination);
        let server = invited(&decisions)?;
        self.rules.on_caller_gone(session);
        self.end(ms + 1, session, server, InviteOutcome::Cancelled);
        Some(server)
    }

    pub fn end(
        &mut self,
        ms: u64,
        session: SessionIx,
        server: usize,
        ending: InviteOutcome,
    ) -> Vec<Decision> {
        self.rules.advance_to(at(ms));
        self.rules.on_invite_ended(session, ServerIx::new(server), ending, false);
        self.decide(ms)
    }

    pub fn decide(&mut self, ms: u64) -> Vec<Decision> {
        self.rules.advance_to(at(ms));
        std::iter::from_fn(|| self.rules.next_decision()).collect()
    }
}

/// The server that the first INVITE among the decisions goes to.
pub fn invited(decisions: &[Decision]) -> Option<usize> {
    decisions.iter().find_map(|decision| match decision {
        Decision::Invite { server, .. } => Some(server.index()),
        _ => None,
    })
}

pub fn given_up(decisions: &[Decision]) -> bool {
    matches!(decisions, [Decision::Reject { .. } | Decision::Fail { .. }])
}

pub const BUSY: InviteOutcome = InviteOutcome::Rejected { no_line: false, retry_after: None };
