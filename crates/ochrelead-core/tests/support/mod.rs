//! Test fixture: a front whose servers are scripted by the test.
#![allow(dead_code, reason = "each test file uses a part of this module")]

use ochrelead_core::config::{ControllerConfig, Service};
use ochrelead_core::controller::Controller;
use ochrelead_core::index::{CalledNumberIx, ServerIx, ServiceIx, SessionIx, TenantIx};
use ochrelead_core::time::{Moment, Span};
use ochrelead_core::types::{
    CallRequest, Decision, EndpointState, EndpointUpdate, InviteOutcome, LineCapacity,
};

pub(crate) const OBJECTIVE_MS: u64 = 1_500;
pub(crate) const RESEND_DELAY_MS: u64 = 300;
pub(crate) const DEADLINE_MS: u64 = 9_000;

/// The outcome of an INVITE to a server whose processor is full.
pub(crate) const PROCESSOR_FULL: InviteOutcome =
    InviteOutcome::Rejected { no_line: false, retry_after: None };

/// Returns the time `ms` milliseconds after the start of the test.
pub(crate) fn at_ms(ms: u64) -> Moment {
    Moment::from_micros(60_000_000 + ms * 1_000)
}

/// Returns the configuration of one of four fronts with two services, the second of four times the value.
pub(crate) fn config() -> ControllerConfig {
    let service = |value| Service {
        value,
        post_dial_target: Span::from_millis(OBJECTIVE_MS),
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
        resend_delay: Span::from_millis(RESEND_DELAY_MS),
        cold_capacity_share: 0.3,
        warm_up_time: Span::from_secs(15),
        overload_multiple: 2.5,
        overload_duration: Span::from_secs(1),
        min_poll_interval: Span::from_millis(5),
        ..ControllerConfig::default()
    }
}

/// The properties of a call; by default it is for the first service and to a number that no other call has.
#[derive(Clone, Copy, Default)]
pub(crate) struct Call {
    pub(crate) service: usize,
    pub(crate) number: Option<usize>,
    pub(crate) is_redial: bool,
}

pub(crate) struct Front {
    pub(crate) controller: Controller,
    /// The tenant on whose behalf calls are placed.
    pub(crate) tenant: Option<TenantIx>,
    requests: usize,
}

impl Front {
    /// Returns a front with this many warm servers, whose numbers equal their indices.
    pub(crate) fn new(servers: usize) -> Front {
        Front::with_config(&config(), servers)
    }

    pub(crate) fn with_config(config: &ControllerConfig, servers: usize) -> Front {
        let mut front = Front { controller: Controller::new(config, at_ms(0)), tenant: None, requests: 0 };
        for server in 0..servers {
            front.update_endpoint(0, server, EndpointState::Ready { started: None });
        }
        front
    }

    pub(crate) fn update_endpoint(&mut self, ms: u64, server: usize, state: EndpointState) {
        self.controller.advance_to(at_ms(ms));
        self.controller.on_endpoints(false, &[endpoint(server, state, 1.0)]);
    }

    pub(crate) fn report_lines(&mut self, server: usize, free: u32, total: u32) {
        self.controller.on_line_capacity(ServerIx::new(server), LineCapacity { free, total });
    }

    /// Requests a session and returns its index.
    pub(crate) fn request(&mut self, ms: u64, destination: i64, call: Call) -> SessionIx {
        self.controller.advance_to(at_ms(ms));
        let session = SessionIx::new(self.requests);
        let number = call.number.unwrap_or(1_000 + self.requests);
        self.requests += 1;
        let request = CallRequest {
            service: ServiceIx::new(call.service),
            tenant: self.tenant,
            called_number: Some(CalledNumberIx::new(number)),
            destination,
            deadline: at_ms(ms + DEADLINE_MS),
            is_redial: call.is_redial,
        };
        self.controller.on_call_request(session, request);
        session
    }

    /// Requests a session and returns it with the front's decisions.
    pub(crate) fn place_call(&mut self, ms: u64, destination: i64) -> (SessionIx, Vec<Decision>) {
        let session = self.request(ms, destination, Call::default());
        (session, self.decide(ms))
    }

    /// Places a call that is answered after `took_ms` and released at once.
    pub(crate) fn complete_call(&mut self, ms: u64, destination: i64, took_ms: u64) {
        let (session, decisions) = self.place_call(ms, destination);
        if let Some(server) = invited_server(&decisions) {
            self.establish_and_release(ms + took_ms, session, server);
        }
    }

    /// Establishes the call and releases it at once.
    pub(crate) fn establish_and_release(&mut self, ms: u64, session: SessionIx, server: usize) {
        self.controller.advance_to(at_ms(ms));
        self.controller.on_call_established(session);
        self.controller.on_invite_ended(session, ServerIx::new(server), InviteOutcome::Released, true);
    }

    /// Places a call whose caller abandons it at once. Returns the server to which its INVITE was sent.
    pub(crate) fn place_abandoned_call(&mut self, ms: u64, destination: i64) -> Option<usize> {
        let (session, decisions) = self.place_call(ms, destination);
        let server = invited_server(&decisions)?;
        self.controller.on_caller_gone(session);
        self.end_invite(ms + 1, session, server, InviteOutcome::Cancelled);
        Some(server)
    }

    /// Ends the INVITE without a final answer to the caller and returns the front's decisions.
    pub(crate) fn end_invite(
        &mut self,
        ms: u64,
        session: SessionIx,
        server: usize,
        outcome: InviteOutcome,
    ) -> Vec<Decision> {
        self.controller.advance_to(at_ms(ms));
        self.controller.on_invite_ended(session, ServerIx::new(server), outcome, false);
        self.decide(ms)
    }

    /// Returns all decisions that are due.
    pub(crate) fn decide(&mut self, ms: u64) -> Vec<Decision> {
        self.controller.advance_to(at_ms(ms));
        std::iter::from_fn(|| self.controller.next_decision()).collect()
    }
}

/// Returns an endpoint whose number equals its server's index.
pub(crate) fn endpoint(server: usize, state: EndpointState, weight: f64) -> EndpointUpdate {
    EndpointUpdate { server: ServerIx::new(server), number: server as i64, state, weight }
}

/// Returns the server of the first INVITE among the decisions.
pub(crate) fn invited_server(decisions: &[Decision]) -> Option<usize> {
    decisions.iter().find_map(|decision| match decision {
        Decision::Invite { server, .. } => Some(server.index()),
        _ => None,
    })
}

/// Returns whether the only decision is the session's final rejection or failure.
pub(crate) fn is_final_rejection(decisions: &[Decision]) -> bool {
    matches!(decisions, [Decision::Reject { .. } | Decision::Fail { .. }])
}
