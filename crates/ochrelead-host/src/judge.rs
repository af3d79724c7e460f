//! What the engine asks of whoever decides on sessions.

use ochrelead_core::call::{Decision, Ending, Lines, Listing, Offer, Outlook, Reason, Report};
use ochrelead_core::index::{ServerIx, ServiceIx, SessionIx};
use ochrelead_core::rules::Controller;
use ochrelead_core::time::Moment;

/// Decides on sessions; chosen at start. The methods are those of the module, [`Controller`], and mean the same.
pub trait Judge {
    fn clock(&mut self, now: Moment);
    fn offered(&mut self, session: SessionIx, offer: Offer);
    fn stands(&mut self, session: SessionIx);
    fn ended(&mut self, session: SessionIx, server: ServerIx, ending: Ending, over: bool);
    fn hung_up(&mut self, session: SessionIx);
    fn listed(&mut self, whole: bool, listings: &[Listing]);
    fn served(&mut self, service: ServiceIx, servers: &[i64]);
    fn lines_told(&mut self, server: ServerIx, lines: Lines);
    fn reported(&mut self, server: ServerIx, report: Report);
    /// What share of the sessions a server takes from now on, where the judge heeds that.
    fn eased(&mut self, _server: ServerIx, _share: f64) {}
    fn decide(&mut self) -> Option<Decision>;
    fn wake(&mut self) -> Option<Moment>;
    /// Why the decision last pulled is what it is, where the judge tells.
    fn why(&self) -> Option<Reason> {
        None
    }
    /// What is held of a server now, where the judge tells.
    fn outlook(&self, _server: ServerIx) -> Option<Outlook> {
        None
    }
}

impl Judge for Controller {
    fn clock(&mut self, now: Moment) {
        Controller::clock(self, now);
    }

    fn offered(&mut self, session: SessionIx, offer: Offer) {
        Controller::offered(self, session, offer);
    }

    fn stands(&mut self, session: SessionIx) {
        Controller::stands(self, session);
    }

    fn ended(&mut self, session: SessionIx, server: ServerIx, ending: Ending, over: bool) {
        Controller::ended(self, session, server, ending, over);
    }

    fn hung_up(&mut self, session: SessionIx) {
        Controller::hung_up(self, session);
    }

    fn listed(&mut self, whole: bool, listings: &[Listing]) {
        Controller::listed(self, whole, listings);
    }

    fn served(&mut self, service: ServiceIx, servers: &[i64]) {
        Controller::served(self, service, servers);
    }

    fn lines_told(&mut self, server: ServerIx, lines: Lines) {
        Controller::lines_told(self, server, lines);
    }

    fn reported(&mut self, server: ServerIx, report: Report) {
        Controller::reported(self, server, report);
    }

    fn eased(&mut self, server: ServerIx, share: f64) {
        Controller::eased(self, server, share);
    }

    fn decide(&mut self) -> Option<Decision> {
        Controller::decide(self)
    }

    fn wake(&mut self) -> Option<Moment> {
        Controller::wake(self)
    }

    fn why(&self) -> Option<Reason> {
        Some(Controller::why(self))
    }

    fn outlook(&self, server: ServerIx) -> Option<Outlook> {
        Controller::outlook(self, server)
    }
}
