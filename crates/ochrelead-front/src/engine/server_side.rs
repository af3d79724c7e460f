//! The servers' side: CRCX and DLCX out; responses, DLCX and RSIP in (RFC 3435 sections 2.3.5 to 2.3.12).

use super::*;
use crate::outcomes;
use call_table::Invite;
use ochrelead_core::types::LoadReport;
use ochrelead_discovery::roster::Restart;
use ochrelead_mgcp::message::Parameters;

/// News that is lost three times comes so many first gaps late: 1, 2 and 4 of them (RFC 3435 section 3.5.3).
const LATE_NEWS: u64 = 7;
/// One figure of so many is noted.
const NOTED: u32 = 4;

impl Engine {
    /// What any message of a server says of its lines and its processor.
    pub(super) fn learn(&mut self, server: ServerIx, parameters: &Parameters) {
        if let Some(lines) = outcomes::parse_lines(parameters) {
            self.judge.on_line_capacity(server, lines);
        }
        let report = outcomes::parse_load_report(parameters);
        if report != LoadReport::default() {
            self.judge.on_load_report(server, report);
        }
    }

    /// A server tells all fronts of its lines at one moment: a figure here and there, the same ones at each front,
    /// is noted, so that the records of all can be set on one clock.
    pub(super) fn note_lines(&mut self, server: ServerIx, parameters: &Parameters) {
        let Some(lines) = outcomes::parse_lines(parameters).filter(|lines| lines.free % NOTED == 0) else {
            return;
        };
        if self.noted.len() <= server.index() {
            self.noted.resize(server.index() + 1, None);
        }
        if self.noted[server.index()].replace(lines) != Some(lines) {
            let name = self.roster.post(server).name.clone();
            self.note(EngineEvent::Lines { name, lines });
        }
    }

    fn trunk(&self, server: ServerIx, which: &str) -> Endpoint {
        let ServerEndpoint { name, trunk, .. } = self.roster.post(server);
        format!("{trunk}/{which}@{name}").parse().expect("the names of the list were checked")
    }

    /// One INVITE: one CRCX transaction on the server's trunk group.
    pub(super) fn invite(&mut self, session: SessionIx, server: ServerIx, patience: Option<Span>) {
        let Some(call) = self.book.get(session) else { return };
        let timer_limit = call.deadline;
        let command = Command::new(Verb::CreateConnection, 0, self.trunk(server, "$"))
            .with(name::CALL, &call.attempt)
            .with(name::MODE, "sendrecv")
            .with(name::OPTIONS, "p:20, a:PCMU")
            .with(name::TRY, &call.attempt)
            .with(name::CALLED, &call.called_number);
        let (to, held, repeats) =
            (self.roster.post(server).address, self.book.key(session), call.remaining_repeats);
        let nth = self.book.count_invite(session);
        let name = self.roster.post(server).name.clone();
        let why = self.judge.last_reason();
        self.step(session, SessionStep::Invited { server: name, attempt: nth, reason: why });
        let Some(transaction) = self.ask_at_most(to, command, Pending::Invite(held), repeats) else {
            return self.judge.on_invite_ended(session, server, InviteOutcome::Unsent, false);
        };
        let until = patience.map_or(timer_limit, |span| timer_limit.min(self.now + span));
        let sent = self.now;
        self.book.set_phase(
            session,
            Phase::Inviting(Invite { server, address: to, transaction, sent, times_out_at: until }),
        );
    }

    /// The answer to the INVITE that is out.
    pub(super) fn set_up_answered(&mut self, session: SessionKey, response: &Response) {
        if !self.book.is_current(session) {
            return;
        }
        let index = session.index;
        let Some(Phase::Inviting(invite)) = self.book.get(index).map(|call| call.phase.clone()) else {
            return;
        };
        if let Some(ending) = outcomes::from_response(response) {
            return self.invite_ended(index, invite, ending);
        }
        let Some(circuit) = circuit(invite.server, invite.address, response, self.now) else {
            // It says that the call stands but not where: it can be neither used nor taken down by name.
            self.take_down_call(invite, index);
            return self.invite_ended(index, invite, InviteOutcome::Failed { lines_busy: false });
        };
        self.judge.on_call_established(index);
        let name = self.roster.post(invite.server).name.clone();
        let taken = self.book.get(index).map_or(self.now, |call| call.requested_at);
        let (took, since_taken) = (self.now.since(invite.sent), self.now.since(taken));
        self.step(
            index,
            SessionStep::Established { server: name, set_up_time: took, since_request: since_taken },
        );
        self.book.set_phase(index, Phase::Established(circuit.clone()));
        self.connect(index, &circuit, response.description.clone());
    }

    /// An INVITE ended without an answer of its own: it is called off, so that what it may hold is released.
    pub(super) fn invite_over(&mut self, session: SessionIx, ending: InviteOutcome) {
        let Some(Phase::Inviting(invite)) = self.book.get(session).map(|call| call.phase.clone()) else {
            return;
        };
        self.call_off(session);
        self.invite_ended(session, invite, ending);
    }

    fn invite_ended(&mut self, session: SessionIx, invite: Invite, ending: InviteOutcome) {
        let server = invite.server;
        let name = self.roster.post(server).name.clone();
        let took = self.now.since(invite.sent);
        self.book.count_repeats(session, self.commission.pace.repeats(took));
        self.step(session, SessionStep::InviteEnded { server: name, outcome: ending, duration: took });
        self.book.set_phase(session, Phase::Pending);
        self.judge.on_invite_ended(session, server, ending, false);
    }

    /// No further repeat of the INVITE; the server is told that the call is off (RFC 3435 section 2.3.9, all
    /// connections of a call).
    pub(super) fn call_off(&mut self, session: SessionIx) {
        let Some(Phase::Inviting(invite)) = self.book.get(session).map(|call| call.phase.clone()) else {
            return;
        };
        self.exchange.abandon(self.now, invite.transaction);
        self.pending.remove(&invite.transaction);
        self.take_down_call(invite, session);
    }

    fn take_down_call(&mut self, invite: Invite, session: SessionIx) {
        let Some(tried) = self.book.get(session).map(|call| call.attempt.clone()) else { return };
        let endpoint = self.trunk(invite.server, "*");
        let release = Release::new(invite.address, endpoint, Some(&tried), None);
        self.ask_release(release.of_invite(invite.transaction));
    }

    /// Takes a call down at a server.
    pub(super) fn take_down(
        &mut self,
        to: SocketAddr,
        endpoint: Endpoint,
        call: Option<&str>,
        connection: Option<&str>,
    ) {
        self.ask_release(Release::new(to, endpoint, call, connection));
    }

    pub(super) fn ask_release(&mut self, release: Release) {
        let mut command = Command::new(Verb::DeleteConnection, 0, release.endpoint.clone());
        if let Some(call) = &release.call {
            command.parameters.add(name::CALL, call);
        }
        if let Some(connection) = &release.connection {
            command.parameters.add(name::CONNECTION, connection);
        }
        if let Some(transaction) = self.ask(release.to, command, Pending::TakeDown) {
            self.releases.on_sent(transaction, release);
        }
    }

    /// A response that nobody waits for. Where it says that a call was set up, nobody will ever release it:
    /// that is done here, unless the circuit is in use by now.
    pub(super) fn set_up_unclaimed(&mut self, from: SocketAddr, response: &Response) {
        let Some(server) = self.roster.at(from) else { return };
        if response.code != code::DONE {
            return;
        }
        let Some(circuit) = circuit(server, from, response, self.now)
            .filter(|circuit| !self.book.is_circuit_in_use(&circuit.endpoint))
        else {
            return;
        };
        let name = self.roster.post(server).name.clone();
        let tried = response.parameters.get(name::TRY).unwrap_or("").to_owned();
        self.note(EngineEvent::Session {
            attempt: tried,
            step: SessionStep::UnclaimedCallReleased { server: name },
        });
        self.take_down(from, circuit.endpoint, None, Some(&circuit.connection));
    }

    /// The caller of a call that stands has hung up.
    pub(super) fn release(&mut self, session: SessionIx, circuit: Circuit) {
        let Some(call) = self.book.get(session) else { return };
        let command = Command::new(Verb::DeleteConnection, 0, circuit.endpoint)
            .with(name::CALL, &call.attempt)
            .with(name::CONNECTION, &circuit.connection);
        let (to, held) = (circuit.address, self.book.key(session));
        let release = Release::new(
            to,
            command.endpoint.clone(),
            command.parameters.get(name::CALL),
            Some(&circuit.connection),
        );
        self.book.set_phase(session, Phase::Releasing);
        match self.ask(to, command, Pending::Release(held, circuit.server)) {
            Some(transaction) => self.releases.on_sent(transaction, release),
            None => self.released(held, circuit.server, InviteOutcome::TimedOut),
        }
    }

    pub(super) fn released(&mut self, session: SessionKey, server: ServerIx, ending: InviteOutcome) {
        if self.book.is_current(session) {
            let name = self.roster.post(server).name.clone();
            let confirmed = ending == InviteOutcome::Released;
            self.step(session.index, SessionStep::Released { server: name, confirmed });
            self.judge.on_invite_ended(session.index, server, ending, true);
            self.book.remove(session.index);
        }
    }

    /// A server takes a call down by itself (RFC 3435 section 2.3.10).
    pub(super) fn cut_by_server(&mut self, from: SocketAddr, command: &Command) {
        let call = command.parameters.get(name::CALL).and_then(|call| self.book.find(call));
        let at = call.and_then(|session| Some((session, self.held_by(session)?)));
        let Some((session, (server, _))) = at.filter(|(_, (_, address))| *address == from) else {
            self.exchange.answer(from, Response::new(code::UNKNOWN_CALL, command.transaction));
            return;
        };
        self.exchange.answer(from, Response::new(code::DELETED, command.transaction));
        self.lost(session, server);
    }

    /// The server that has the session, and the address of its process.
    pub(super) fn held_by(&self, session: SessionIx) -> Option<(ServerIx, SocketAddr)> {
        match &self.book.get(session)?.phase {
            Phase::Inviting(invite) => Some((invite.server, invite.address)),
            Phase::Established(circuit) => Some((circuit.server, circuit.address)),
            Phase::Pending | Phase::Releasing => None,
        }
    }

    /// The server no longer has this call.
    fn lost(&mut self, session: SessionIx, server: ServerIx) {
        match self.book.get(session).map(|call| call.phase.clone()) {
            Some(Phase::Inviting(invite)) => {
                self.exchange.abandon(self.now, invite.transaction);
                self.pending.remove(&invite.transaction);
                self.invite_ended(session, invite, InviteOutcome::Reset);
            }
            Some(Phase::Established(_)) => {
                self.judge.on_invite_ended(session, server, InviteOutcome::Reset, true);
                self.cut(session, server);
            }
            _ => {}
        }
    }

    /// News of a restart may come late, by repeats: a call that was set up just before it, or whose INVITE was just
    /// repeated, may be the new process's, and would stand there for ever.
    fn release_if_new(&mut self, session: SessionIx) {
        let Some(call) = self.book.get(session) else { return };
        let (tried, late) = (call.attempt.clone(), self.commission.pace.first_gap * LATE_NEWS);
        match call.phase.clone() {
            Phase::Inviting(invite) if self.now.since(invite.sent) < late => {
                self.take_down_call(invite, session)
            }
            Phase::Established(Circuit {
                address: to, endpoint, connection, established_at: since, ..
            }) if self.now.since(since) < late => {
                self.take_down(to, endpoint, Some(&tried), Some(&connection));
            }
            _ => {}
        }
    }

    /// A server speaks of its restart.
    pub(super) fn restart_told(&mut self, from: SocketAddr, command: &Command) {
        let server = self.roster.named(command.endpoint.domain());
        let Some(server) = server.filter(|server| self.roster.at(from) == Some(*server)) else {
            self.exchange.answer(from, Response::new(code::UNKNOWN_ENDPOINT, command.transaction));
            return self.pass_over(from, format!("RSIP of {}, which is not listed", command.endpoint));
        };
        let method = command.parameters.get(name::RESTART).unwrap_or("");
        let Some(restart) = Restart::read(method) else {
            self.exchange.answer(from, Response::new(code::PROTOCOL_ERROR, command.transaction));
            return self.pass_over(from, format!("RSIP with the unknown method {method:?}"));
        };
        self.exchange.answer(from, Response::new(code::DONE, command.transaction));
        // The delay of a drain is how long it lasts, not when it begins: nothing new goes from now on.
        let Some(news) = self.roster.told(server, restart, self.now) else { return };
        if news.cut {
            // What the old process held is gone; its answers are no use any more.
            let held = [self.book.inviting_at(server), self.book.established_at(server)].concat();
            for session in held {
                // Calls at an address that the server has left are another process's.
                if self.held_by(session).is_some_and(|(_, address)| address == from) {
                    self.release_if_new(session);
                    self.lost(session, server);
                }
            }
        }
        self.judge.on_endpoints(false, &[news.listing]);
        let what = match restart {
            Restart::Started => "started",
            Restart::Drains => "drains",
            Restart::Gone => "gone",
            Restart::Back | Restart::Disconnected => "back",
        };
        let name = self.roster.post(server).name.clone();
        self.note(EngineEvent::ServerRestart { name, state: what });
        self.note(EngineEvent::EndpointsChanged(self.roster.posts()));
    }
}

/// Where a call was set up (RFC 3435 section 2.3.5: `Z` where the endpoint was named by a wildcard).
fn circuit(server: ServerIx, to: SocketAddr, response: &Response, since: Moment) -> Option<Circuit> {
    let endpoint = response.parameters.get(name::SPECIFIC)?.parse().ok()?;
    let connection = response.parameters.get(name::CONNECTION)?.to_owned();
    Some(Circuit { server, address: to, endpoint, connection, established_at: since })
}
