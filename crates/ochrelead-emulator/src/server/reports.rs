//! Messages in which a server reports its state to the fronts: its load, in all responses and in periodic reports, and
//! its restarts.

use std::net::SocketAddr;

use ochrelead_core::time::Span;
use ochrelead_mgcp::message::{Command, Endpoint, Response, Verb, parameter};

use super::Server;

/// Upper limit of the hold-back share that a server reports, which is twice the share by which its queue is filled.
const MAX_HOLD_BACK_SHARE: f64 = 0.95;
/// The restart method of a server that has started (RFC 3435 section 2.3.12).
const RESTART: &str = "restart";
/// The restart method of a server that will be taken out of service.
const GRACEFUL: &str = "graceful";
/// The restart delay that a draining server announces. The scenario decides when the server is really replaced.
const DRAIN_NOTICE: Span = Span::from_secs(2);

type ParameterLine = (&'static str, String);

impl Server {
    /// Returns the parameter lines that report the current load.
    fn load_parameters(&self) -> Vec<ParameterLine> {
        let free = (self.config.lines as usize).saturating_sub(self.circuits.len());
        let mut lines = vec![(parameter::LINE_CAPACITY, format!("{free}/{}", self.config.lines))];
        let queue_delay = self.processor.queue_delay(self.now);
        let queue_share = queue_delay.ratio(self.config.max_queue).min(1.0);
        if self.config.reports_accepted_rate {
            let speed = self.processor.speed(self.now);
            let accepted_rate = self.config.sessions_per_s * speed * (1.0 - queue_share);
            lines.push((parameter::ACCEPTED_RATE, format!("{accepted_rate:.2}")));
        }
        if self.config.reports_hold_back_share {
            let hold_back_share = (queue_share * 2.0).min(MAX_HOLD_BACK_SHARE);
            lines.push((parameter::HOLD_BACK_SHARE, format!("{hold_back_share:.3}")));
        }
        lines
    }

    pub(super) fn respond(&mut self, to: SocketAddr, response: Response) {
        let load = self.load_parameters().into_iter();
        let response = load.fold(response, |response, (name, value)| response.with(name, value));
        self.transactions.respond(to, response);
    }

    /// Announces to all fronts that the process has started.
    pub(super) fn announce_restart(&mut self) {
        self.announce(RESTART, Span::ZERO);
    }

    /// Announces to all fronts that the server drains and will be replaced.
    pub(super) fn announce_drain(&mut self) {
        self.announce(GRACEFUL, DRAIN_NOTICE);
    }

    fn announce(&mut self, restart_method: &str, delay: Span) {
        for front in self.fronts.clone() {
            let command = Command::new(Verb::RestartInProgress, 0, self.all_endpoints())
                .with(parameter::RESTART_METHOD, restart_method)
                .with(parameter::RESTART_DELAY, delay.micros() / 1_000_000);
            // The limit of outstanding commands is reached only if no front answers; the announcement is then dropped.
            let _ = self.transactions.send_command(self.now, front, command);
        }
    }

    /// Sends a load report to all fronts and stops retransmitting the previous report.
    pub(super) fn report_load(&mut self) {
        for front in self.fronts.clone() {
            let command =
                Command::new(Verb::Notify, 0, self.all_endpoints()).with(parameter::REQUEST_IDENTIFIER, 0);
            let load = self.load_parameters().into_iter();
            let command = load.fold(command, |command, (name, value)| command.with(name, value));
            if let Ok(transaction) = self.transactions.send_command(self.now, front, command)
                && let Some(previous) = self.last_reports.insert(front, transaction)
            {
                self.transactions.abandon(self.now, previous);
            }
        }
    }

    fn all_endpoints(&self) -> Endpoint {
        self.endpoint("*")
    }

    /// Returns the endpoint of this server with this local name.
    pub(super) fn endpoint(&self, local_name: &str) -> Endpoint {
        format!("{local_name}@{}", self.name).parse().expect("the name of a server is a valid domain")
    }
}
