//! What a host asks of whoever decides on sessions.

use ochrelead_core::controller::Controller;
use ochrelead_core::index::{ServerIx, ServiceIx, SessionIx};
use ochrelead_core::time::Moment;
use ochrelead_core::types::{
    CallRequest, Decision, DecisionReason, EndpointUpdate, InviteOutcome, LineCapacity, LoadReport,
    ServerSnapshot,
};

/// Decides on sessions; chosen when a host starts. The methods mean the same as those of [`Controller`].
pub trait CallPolicy {
    /// Sets the clock; called before anything else of a turn.
    fn advance_to(&mut self, now: Moment);
    /// A caller asks for a session.
    fn on_call_request(&mut self, session: SessionIx, request: CallRequest);
    /// The session's INVITE was answered.
    fn on_call_established(&mut self, session: SessionIx);
    /// An INVITE, or the call that it set up, has ended. `is_final`: the session has its answer.
    fn on_invite_ended(
        &mut self,
        session: SessionIx,
        server: ServerIx,
        outcome: InviteOutcome,
        is_final: bool,
    );
    /// The caller has gone, or the session was answered elsewhere.
    fn on_caller_gone(&mut self, session: SessionIx);
    /// An update of the endpoints; `is_complete` where it names all servers there are.
    fn on_endpoints(&mut self, is_complete: bool, updates: &[EndpointUpdate]);
    /// The numbers of the servers that serve a service from now on; any where none is named.
    fn on_service_servers(&mut self, service: ServiceIx, servers: &[i64]);
    /// A server reports its lines.
    fn on_line_capacity(&mut self, server: ServerIx, lines: LineCapacity);
    /// A server reports the load of its processor.
    fn on_load_report(&mut self, server: ServerIx, report: LoadReport);
    /// The share of the sessions that a server admits from now on; a policy may ignore it.
    fn on_zone_share(&mut self, _server: ServerIx, _share: f64) {}
    /// The next decision, until there is none left for this turn.
    fn next_decision(&mut self) -> Option<Decision>;
    /// When the host is to come again although nothing happens.
    fn poll_timeout(&mut self) -> Option<Moment>;
    /// Why the last decision was made, where the policy says.
    fn last_reason(&self) -> Option<DecisionReason> {
        None
    }
    /// The present state of a server, where the policy says.
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
