//! What the engine asks of whoever decides on sessions.

use ochrelead_core::controller::Controller;
use ochrelead_core::index::{ServerIx, ServiceIx, SessionIx};
use ochrelead_core::time::Moment;
use ochrelead_core::types::{
    CallRequest, Decision, DecisionReason, EndpointUpdate, InviteOutcome, LineCapacity, LoadReport,
    ServerSnapshot,
};

/// Decides on sessions; chosen at start. The methods are those of the module, [`Controller`], and mean the same.
pub trait CallPolicy {
    fn advance_to(&mut self, now: Moment);
    fn on_call_request(&mut self, session: SessionIx, offer: CallRequest);
    fn on_call_established(&mut self, session: SessionIx);
    fn on_invite_ended(&mut self, session: SessionIx, server: ServerIx, ending: InviteOutcome, over: bool);
    fn on_caller_gone(&mut self, session: SessionIx);
    fn on_endpoints(&mut self, whole: bool, listings: &[EndpointUpdate]);
    fn on_service_servers(&mut self, service: ServiceIx, servers: &[i64]);
    fn on_line_capacity(&mut self, server: ServerIx, lines: LineCapacity);
    fn on_load_report(&mut self, server: ServerIx, report: LoadReport);
    /// What share of the sessions a server takes from now on, where the judge heeds that.
    fn on_zone_share(&mut self, _server: ServerIx, _share: f64) {}
    fn next_decision(&mut self) -> Option<Decision>;
    fn poll_timeout(&mut self) -> Option<Moment>;
    /// Why the decision last pulled is what it is, where the judge tells.
    fn last_reason(&self) -> Option<DecisionReason> {
        None
    }
    /// What is held of a server now, where the judge tells.
    fn server_snapshot(&self, _server: ServerIx) -> Option<ServerSnapshot> {
        None
    }
}

impl CallPolicy for Controller {
    fn advance_to(&mut self, now: Moment) {
        Controller::advance_to(self, now);
    }

    fn on_call_request(&mut self, session: SessionIx, offer: CallRequest) {
        Controller::on_call_request(self, session, offer);
    }

    fn on_call_established(&mut self, session: SessionIx) {
        Controller::on_call_established(self, session);
    }

    fn on_invite_ended(&mut self, session: SessionIx, server: ServerIx, ending: InviteOutcome, over: bool) {
        Controller::on_invite_ended(self, session, server, ending, over);
    }

    fn on_caller_gone(&mut self, session: SessionIx) {
        Controller::on_caller_gone(self, session);
    }

    fn on_endpoints(&mut self, whole: bool, listings: &[EndpointUpdate]) {
        Controller::on_endpoints(self, whole, listings);
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
