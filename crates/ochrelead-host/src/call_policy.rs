//! The interface between a host and the policy that decides on sessions.

use ochrelead_core::controller::Controller;
use ochrelead_core::index::{ServerIx, ServiceIx, SessionIx};
use ochrelead_core::time::Moment;
use ochrelead_core::types::{
    CallRequest, Decision, DecisionReason, EndpointUpdate, InviteOutcome, LineCapacity, LoadReport,
    ServerSnapshot,
};

/// Decides on sessions. A host is given its policy at the start. The methods correspond to those of [`Controller`].
pub trait CallPolicy {
    /// Sets the current time. The host calls it first in each iteration of its event loop.
    fn advance_to(&mut self, now: Moment);
    /// Handles a caller's request for a session.
    fn on_call_request(&mut self, session: SessionIx, request: CallRequest);
    /// Handles a session whose INVITE has been answered.
    fn on_call_established(&mut self, session: SessionIx);
    /// Handles the end of an INVITE, or of the call that it set up. `is_final` means that the session has its final
    /// answer.
    fn on_invite_ended(
        &mut self,
        session: SessionIx,
        server: ServerIx,
        outcome: InviteOutcome,
        is_final: bool,
    );
    /// Handles a session whose caller has gone, or which was answered elsewhere.
    fn on_caller_gone(&mut self, session: SessionIx);
    /// Handles an update of the endpoint list. `is_complete` means that it names all servers.
    fn on_endpoints(&mut self, is_complete: bool, updates: &[EndpointUpdate]);
    /// Sets the numbers of the servers that serve a service from now on. If there are none, any server does.
    fn on_service_servers(&mut self, service: ServiceIx, servers: &[i64]);
    /// Handles a server's report of its lines.
    fn on_line_capacity(&mut self, server: ServerIx, lines: LineCapacity);
    /// Handles a server's report of its processor load.
    fn on_load_report(&mut self, server: ServerIx, report: LoadReport);
    /// Sets the share of the sessions that may go to a server from now on. A policy may ignore it.
    fn on_zone_share(&mut self, _server: ServerIx, _share: f64) {}
    /// Returns the next decision, or `None` if there is no more for this iteration.
    fn next_decision(&mut self) -> Option<Decision>;
    /// Returns the time at which the host has to call again if nothing happens before.
    fn poll_timeout(&mut self) -> Option<Moment>;
    /// Returns the reason for the last decision, if the policy records it.
    fn last_reason(&self) -> Option<DecisionReason> {
        None
    }
    /// Returns the present state of a server, if the policy keeps it.
    fn server_snapshot(&self, _server: ServerIx) -> Option<ServerSnapshot> {
        None
    }
}

impl CallPolicy for Controller {
    fn advance_to(&mut self, now: Moment) {
        Controller::advance_to(self, now);
    }

    fn on_call_request(&mut self, session: SessionIx, request: CallRequest) {
        Controller::on_call_request(self, session, request);
    }

    fn on_call_established(&mut self, session: SessionIx) {
        Controller::on_call_established(self, session);
    }

    fn on_invite_ended(
        &mut self,
        session: SessionIx,
        server: ServerIx,
        outcome: InviteOutcome,
        is_final: bool,
    ) {
        Controller::on_invite_ended(self, session, server, outcome, is_final);
    }

    fn on_caller_gone(&mut self, session: SessionIx) {
        Controller::on_caller_gone(self, session);
    }

    fn on_endpoints(&mut self, is_complete: bool, updates: &[EndpointUpdate]) {
        Controller::on_endpoints(self, is_complete, updates);
    }

    fn on_service_servers(&mut self, service: ServiceIx, servers: &[i64]) {
        Controller::on_service_servers(self, service, servers);
    }

    fn on_line_capacity(&mut self, server: ServerIx, lines: LineCapacity) {
        Controller::on_line_capacity(self, server, lines);
    }

    fn on_load_report(&mut self, server: ServerIx, report: LoadReport) {
        Controller::on_load_report(self, server, report);
    }

    fn on_zone_share(&mut self, server: ServerIx, share: f64) {
        Controller::on_zone_share(self, server, share);
    }

    fn next_decision(&mut self) -> Option<Decision> {
        Controller::next_decision(self)
    }

    fn poll_timeout(&mut self) -> Option<Moment> {
        Controller::poll_timeout(self)
    }

    fn last_reason(&self) -> Option<DecisionReason> {
        Some(Controller::last_reason(self))
    }

    fn server_snapshot(&self, server: ServerIx) -> Option<ServerSnapshot> {
        Controller::server_snapshot(self, server)
    }
}
