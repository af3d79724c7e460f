//! Rule 4: compares the load that all fronts together send to a server that has just started with the capacity that
//! the scenario gives it during warm-up.

use std::collections::{BTreeMap, HashSet, VecDeque};

use ochrelead_config::scenario::Scenario;
use ochrelead_core::time::{Moment, Span};
use ochrelead_mgcp::message::{Command, Message, TransactionId, Verb, code, parameter};

use super::server_condition::{ServerCondition, capacity_share};
use super::trace::{TraceEvent, TraceEventKind};
use super::{Rule, Verdict};
use crate::participant::Participant;

/// The tolerance of the limit, in set-ups, for random variation of the load.
const TOLERANCE_SET_UPS: f64 = 3.0;
/// Load above the limit is a violation only if at least this fraction came from fronts that knew of the start.
const MIN_INFORMED_SHARE: f64 = 2.0 / 3.0;
/// All RSIPs with which a server announces one start are sent within this time.
const RESTART_NOTICE_WINDOW: Span = Span::from_secs(1);

/// A transaction between a server and a front, which identifies an INVITE or an RSIP.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct FrontTransaction {
    front: u16,
    transaction: TransactionId,
}

/// The cost of one INVITE for its server.
struct InviteWork {
    time: Moment,
    /// In units of one call set-up.
    set_ups: f64,
    /// Whether its front had received the announcement of the server's start.
    informed: bool,
}

/// The load of a server since its last start.
#[derive(Default)]
struct ServerLoad {
    started_at: Option<Moment>,
    /// The RSIPs of its starts; used to ignore retransmissions.
    restart_commands: HashSet<FrontTransaction>,
    /// The fronts that have received the announcement of the start.
    informed_fronts: HashSet<u16>,
    /// The INVITEs within the overload duration, oldest first.
    recent_work: VecDeque<InviteWork>,
    invites: HashSet<FrontTransaction>,
    /// INVITEs that the server has not rejected, with their time of arrival.
    unrejected: BTreeMap<FrontTransaction, Moment>,
    /// Whether a violation was reported for this start; only the first one is.
    violated: bool,
}

/// Checks rule 4 for all servers.
pub(super) fn check(scenario: &Scenario, trace: &[TraceEvent], verdict: &mut Verdict) {
    let mut rule = SlowStartRule { scenario, servers: BTreeMap::new(), verdict };
    for event in trace {
        let TraceEventKind::Message(message) = &event.kind else { continue };
        rule.on_message(event, message);
    }
}

struct SlowStartRule<'a> {
    scenario: &'a Scenario,
    servers: BTreeMap<u16, ServerLoad>,
    verdict: &'a mut Verdict,
}

impl SlowStartRule<'_> {
    fn on_message(&mut self, event: &TraceEvent, message: &Message) {
        match (message, event.from, event.to) {
            (Message::Command(command), Participant::Server(server), Participant::Front(front))
                if command.verb == Verb::RestartInProgress =>
            {
                self.on_restart_command(event, server, front, command);
            }
            (Message::Command(command), Participant::Front(front), Participant::Server(server))
                if command.verb == Verb::CreateConnection && event.delivered =>
            {
                let invite = FrontTransaction { front, transaction: command.transaction };
                self.on_invite(event.time, server, invite);
            }
            (Message::Response(response), Participant::Server(server), Participant::Front(front))
                if response.code == code::OVERLOAD && !event.delivered =>
            {
                let invite = FrontTransaction { front, transaction: response.transaction };
                self.on_overload_response(server, invite);
            }
            _ => {}
        }
    }

    fn on_restart_command(&mut self, event: &TraceEvent, server: u16, front: u16, command: &Command) {
        let load = self.servers.entry(server).or_default();
        if command.parameters.get(parameter::RESTART_METHOD) != Some("restart") {
            return;
        }
        if event.delivered {
            load.informed_fronts.insert(front);
        } else {
            load.on_restart_sent(event.time, FrontTransaction { front, transaction: command.transaction });
        }
    }

    fn on_overload_response(&mut self, server: u16, invite: FrontTransaction) {
        let config = &self.scenario.servers[usize::from(server)];
        let rejection_work = config.read_work + config.reject_work;
        self.servers.entry(server).or_default().on_rejected(invite, rejection_work);
    }

    fn on_invite(&mut self, time: Moment, server: u16, invite: FrontTransaction) {
        let load = self.servers.entry(server).or_default();
        let config = &self.scenario.servers[usize::from(server)];
        let window = self.scenario.front.controller.overload_duration;
        let Some(started_at) =
            load.started_at.filter(|started_at| time.since(*started_at) < config.warm_up_time)
        else {
            return load.recent_work.clear();
        };
        load.add_invite(time, invite, config.repeat_work);
        load.discard_expired_work(time, window);
        let (sent, informed) = (load.total_work(), load.informed_work());
        let limit = work_limit(self.scenario, usize::from(server), time, started_at);
        let coverage = self.verdict.coverage_mut(Rule::SlowStart);
        coverage.count_case();
        coverage.record_usage(sent / limit);
        if sent > limit && informed >= sent * MIN_INFORMED_SHARE && !load.violated {
            load.violated = true;
            let description =
                format!("{sent:.1} set-ups within the fall time where {limit:.1} are its limit");
            self.verdict.add_violation(Rule::SlowStart, format!("server {server}"), time, description);
        }
    }
}

/// Returns the maximum load, in set-ups within the overload duration, of a server that started at `started_at`:
/// `overload_duration / set_up_time * capacity_share / slowdown * overload_multiple`, plus the tolerance.
fn work_limit(scenario: &Scenario, server: usize, time: Moment, started_at: Moment) -> f64 {
    let (config, controller) = (&scenario.servers[server], &scenario.front.controller);
    let warm_up = time.since(started_at).ratio(config.warm_up_time);
    let slowdown = ServerCondition::scripted(scenario, server, time).slowdown.unwrap_or(1.0);
    let speed = capacity_share(config, warm_up) / slowdown;
    controller.overload_duration.ratio(config.set_up_time()) * speed * controller.overload_multiple
        + TOLERANCE_SET_UPS
}

impl ServerLoad {
    /// Handles an RSIP `restart` that the server sent. Retransmissions, and the RSIPs to the other fronts within
    /// [`RESTART_NOTICE_WINDOW`], belong to the same start.
    fn on_restart_sent(&mut self, time: Moment, command: FrontTransaction) {
        let is_new = self.restart_commands.insert(command);
        let is_new_start =
            self.started_at.is_none_or(|started_at| time.since(started_at) > RESTART_NOTICE_WINDOW);
        if is_new && is_new_start {
            let restart_commands = std::mem::take(&mut self.restart_commands);
            *self = ServerLoad { started_at: Some(time), restart_commands, ..ServerLoad::default() };
        }
    }

    /// Reduces the cost of an INVITE that the server rejected to that of a rejection.
    fn on_rejected(&mut self, invite: FrontTransaction, rejection_work: f64) {
        if let Some(arrived_at) = self.unrejected.remove(&invite)
            && let Some(work) =
                self.recent_work.iter_mut().find(|work| work.time == arrived_at && work.set_ups == 1.0)
        {
            work.set_ups = rejection_work;
        }
    }

    fn add_invite(&mut self, time: Moment, invite: FrontTransaction, repeat_work: f64) {
        let is_new = self.invites.insert(invite);
        if is_new {
            self.unrejected.insert(invite, time);
        }
        let set_ups = if is_new { 1.0 } else { repeat_work };
        let informed = self.informed_fronts.contains(&invite.front);
        self.recent_work.push_back(InviteWork { time, set_ups, informed });
    }

    fn discard_expired_work(&mut self, time: Moment, window: Span) {
        while self.recent_work.front().is_some_and(|work| time.since(work.time) > window) {
            self.recent_work.pop_front();
        }
    }

    fn total_work(&self) -> f64 {
        self.recent_work.iter().map(|work| work.set_ups).sum()
    }

    fn informed_work(&self) -> f64 {
        self.recent_work.iter().filter(|work| work.informed).map(|work| work.set_ups).sum()
    }
}
