//! The side of the signalling servers.

use ochrelead_sip::message::{Message, StartLine, encode, header};

use super::*;
use crate::book::Invite;
use crate::meaning;
use crate::roster::Way;

impl Engine {
    // ---- INVITEs ----

    pub(super) fn invite(&mut self, session: SessionIx, server: ServerIx, patience: Option<Span>) {
        let Some(call) = self.book.get(session) else { return };
        let until = patience.map_or(call.deadline, |span| call.deadline.min(self.now + span));
        self.book.advance(session, Phase::Inviting(Invite { server, link: None, asked: self.now, until }));
        self.observe_asked(server, session);
        self.send_invite(session);
    }

    /// Sends an INVITE once its caller has been heard out: for one that has left none is begun, however long what says
    /// so has waited to be read.
    pub(super) fn send_invite(&mut self, session: SessionIx) {
        let Some(call) = self.book.get(session) else { return };
        let Phase::Inviting(invite) = call.phase else { return };
        let caller = call.caller;
        if self.roster.pick(invite.server).is_none() {
            return self.await_link(invite.server, session);
        }
        if !self.checked.iter().any(|(own, _)| *own == caller) {
            self.out.push_back(Output::HearOut(caller));
        }
        self.checked.push((caller, session));
    }

    fn await_link(&mut self, server: ServerIx, session: SessionIx) {
        self.roster.get_mut(server).waiting.push(session);
        self.pulse_at = self.now;
    }

    /// Sends an INVITE on a connection to its server; where none is up it waits for one.
    pub(super) fn dispatch_invite(&mut self, session: SessionIx) {
        let Some(call) = self.book.get(session) else { return };
        let Phase::Inviting(invite @ Invite { link: None, .. }) = call.phase else { return };
        let server = invite.server;
        if !self.roster.get(server).is_ready() {
            return self.invite_over(session, InviteOutcome::Unsent);
        }
        let Some(id) = self.roster.pick(server) else { return self.await_link(server, session) };
        let first = format!("INVITE sip:{}@net SIP/2.0", call.number);
        let sequence = format!("{} INVITE", call.invites);
        let timer = (invite.until.since(self.now).micros() / 1_000).max(1).to_string();
        let more = [("X-Cos", self.services[call.class].0.as_str()), ("X-Timer-Ms", &timer)];
        let bytes = message(&first, call.id.as_str(), &sequence, &more, call.description.as_bytes());
        self.out.push_back(Output::ToLink(id, bytes));
        self.book.advance(session, Phase::Inviting(Invite { link: Some(id), ..invite }));
        if let Some(link) = self.roster.link_mut(id) {
            link.open.push(session);
            link.used = self.now;
        }
        if self.roster.idle(server).len() < self.spare() {
            self.pulse_at = self.now;
        }
    }

    /// An INVITE has ended without an answer that stands; the module goes on with the session.
    pub(super) fn invite_over(&mut self, session: SessionIx, ending: InviteOutcome) {
        let Some(Phase::Inviting(invite)) = self.book.get(session).map(|call| call.phase) else { return };
        // One that was answered has been told of.
        let ask = session.index() as u64;
        self.see(match ending {
            InviteOutcome::Reset | InviteOutcome::ConnectFailed => Observation::Failed(ask),
            _ => Observation::CalledOff(ask),
        });
        if ending == InviteOutcome::TimedOut {
            self.call_off(session);
        } else {
            self.unbind(session, invite);
        }
        let (call, server) = (self.book.get(session).map(|call| call.id), &self.roster.get(invite.server).id);
        debug!(?call, server, ?ending, took = ?self.now.since(invite.asked), "an INVITE is over");
        self.book.advance(session, Phase::Waiting);
        self.judge.on_invite_ended(session, invite.server, ending, false);
    }

    /// An INVITE is given up: its server is told, where it had left.
    pub(super) fn call_off(&mut self, session: SessionIx) {
        self.see(Observation::CalledOff(session.index() as u64));
        let Some(call) = self.book.get(session) else { return };
        let Phase::Inviting(invite) = call.phase else { return };
        if let Some(link) = invite.link {
            let bytes = request("CANCEL", &call.number, call.id, call.invites);
            self.called_off.insert(call.id.as_str());
            self.out.push_back(Output::ToLink(link, bytes));
        }
        self.unbind(session, invite);
    }

    fn unbind(&mut self, session: SessionIx, invite: Invite) {
        match invite.link {
            Some(link) => {
                if let Some(link) = self.roster.link_mut(link) {
                    link.open.retain(|open| *open != session);
                }
            }
            None => {
                self.roster.get_mut(invite.server).waiting.retain(|own| *own != session);
                self.checked.retain(|(_, own)| *own != session);
            }
        }
    }

    /// Releases a call at its server: on the connection of its set-up, else on any, else on the next.
    pub(super) fn say_bye(&mut self, server: ServerIx, link: Option<LinkId>, call: CallId, cause: u32) {
        let own = link.filter(|id| self.roster.link(*id).is_some_and(|link| link.way == Way::Up));
        let Some(id) = own.or_else(|| self.roster.pick(server)) else {
            let (most, at) = (self.bounds.owed, self.roster.get_mut(server));
            if !at.is_gone() && at.owed.len() < most {
                at.owed.push(call);
            }
            return;
        };
        let reason = format!("Q.850;cause={cause}");
        let more = [(header::REASON, reason.as_str())];
        let bytes = message("BYE sip:call@net SIP/2.0", call.as_str(), "9 BYE", &more, &[]);
        self.out.push_back(Output::ToLink(id, bytes));
    }

    // ---- Tests for the fleet's sake ----

    /// Tests a server, naming the number under which it is done; where no connection is up one is dialed.
    pub fn sound(&mut self, server: &str, number: Number) {
        let Some(server) = self.roster.named(server) else { return };
        if !self.roster.get(server).is_ready() {
            return;
        }
        let Some(id) = self.roster.pick(server) else {
            self.pulse_at = self.now;
            return;
        };
        let number = meaning::write_number(number);
        let call = CallId::parse("0000000000000000").expect("16 digits");
        let more = [(meaning::NUMBER, number.as_str())];
        let bytes = message("OPTIONS sip:load@net SIP/2.0", call.as_str(), "1 OPTIONS", &more, &[]);
        self.out.push_back(Output::ToLink(id, bytes));
    }

    // ---- What servers say ----

    pub(super) fn link_said(&mut self, id: LinkId, bytes: &[u8]) {
        let now = self.now;
        let Some(link) = self.roster.link_mut(id) else { return };
        link.framer.push(bytes);
        let server = link.server;
        loop {
            let Some(link) = self.roster.link_mut(id) else { return };
            match link.framer.next_message() {
                Some(Ok(message)) => {
                    let at = self.roster.get_mut(server);
                    (at.heard, at.failed) = (now, 0);
                    self.observe_alive(server);
                    if !self.heard(id, server, &message) {
                        return self.abort(id);
                    }
                }
                Some(Err(_)) => return self.abort(id),
                None => {
                    let midway = link.framer.has_partial_message();
                    link.midway = if midway { link.midway.or(Some(now)) } else { None };
                    return;
                }
            }
        }
    }

    /// Takes one message in; false where it can't be what a server says.
    fn heard(&mut self, id: LinkId, server: ServerIx, message: &Message) -> bool {
        if let Some(lines) = meaning::lines(message) {
            self.judge.on_line_capacity(server, lines);
        }
        self.judge.on_load_report(server, meaning::report(message));
        let call = message.header(header::CALL_ID).and_then(CallId::parse);
        if message.sequence().is_none_or(|(_, method)| method != "OPTIONS") {
            self.roster.get_mut(server).spoke = self.now;
        } else if let Some(highest) = message.header(meaning::NUMBER).and_then(meaning::read_number)
            && self.outrun.len() < self.bounds.servers
        {
            self.outrun.push_back((self.roster.get(server).id.clone(), highest));
        }
        match &message.start {
            StartLine::Request { method, .. } => {
                match (method.as_str(), call) {
                    ("NOTIFY" | "ACK", _) => return true,
                    ("BYE", Some(call)) => self.released(server, call, message),
                    _ => {}
                }
                if self.roster.link(id).is_some_and(|link| link.way == Way::Up) {
                    self.out.push_back(Output::ToLink(id, accepted(message, method)));
                } else {
                    debug!(target: ENDS, ?call, method, "heard on a connection that the node ends");
                }
                true
            }
            StartLine::Response { code } => {
                let Some((number, "INVITE")) = message.sequence() else { return true };
                let Some(call) = call else { return true };
                match code {
                    100..200 => true,
                    200..300 => self.answered(id, server, call, number, message),
                    _ => {
                        self.out.push_back(Output::ToLink(id, request("ACK", "call", call, number)));
                        self.refused(id, call, number, meaning::of_refusal(*code, message));
                        true
                    }
                }
            }
        }
    }

    /// The session whose INVITE, by its number, is out on that connection.
    fn out_on(&self, id: LinkId, call: CallId, number: u32) -> Option<SessionIx> {
        let session = self.book.find(call)?;
        let held = self.book.get(session)?;
        let out = matches!(held.phase, Phase::Inviting(invite) if invite.link == Some(id));
        (out && held.invites == number).then_some(session)
    }

    /// A call stands. What nobody waits for any more is released; a second copy is passed over.
    fn answered(
        &mut self,
        id: LinkId,
        server: ServerIx,
        call: CallId,
        number: u32,
        message: &Message,
    ) -> bool {
        let Ok(description) = std::str::from_utf8(&message.body) else { return false };
        let Some(session) = self.out_on(id, call, number) else {
            if self.is_astray(server, call) {
                self.out.push_back(Output::ToLink(id, request("ACK", "call", call, number)));
                self.say_bye(server, Some(id), call, cause::NORMAL);
            }
            return true;
        };
        if !is_whole(description) {
            return false;
        }
        self.out.push_back(Output::ToLink(id, request("ACK", "call", call, number)));
        self.see(Observation::Answered(session.index() as u64));
        let Some(caller) = self.book.get(session).map(|call| call.caller) else { return true };
        if let Some(link) = self.roster.link_mut(id) {
            link.open.retain(|open| *open != session);
            link.used = self.now;
        }
        self.book.advance(session, Phase::Standing { server, link: Some(id), since: self.now });
        debug!(?call, server = self.roster.get(server).id, "stands");
        self.judge.on_call_established(session);
        self.out.push_back(Output::ToCaller(caller, caller_messages::encode_established(call, description)));
        self.prove(caller, session);
        true
    }

    /// Whether a call that a server says to stand there stands for nobody: it was called off, and is elsewhere or
    /// nowhere now. A second copy is no such, nor an id that was never sent.
    fn is_astray(&self, server: ServerIx, call: CallId) -> bool {
        if !self.called_off.contains(call.as_str()) {
            return false;
        }
        let held = self.book.find(call).and_then(|session| self.book.get(session));
        match held.map(|held| held.phase) {
            Some(Phase::Inviting(Invite { server: own, .. }) | Phase::Standing { server: own, .. }) => {
                own != server
            }
            Some(Phase::Waiting) | None => true,
        }
    }

    fn refused(&mut self, id: LinkId, call: CallId, number: u32, ending: InviteOutcome) {
        if let Some(session) = self.out_on(id, call, number) {
            self.see(Observation::Answered(session.index() as u64));
            if let Some(link) = self.roster.link_mut(id) {
                link.used = self.now;
            }
            self.invite_over(session, ending);
        }
    }

    fn released(&mut self, server: ServerIx, call: CallId, message: &Message) {
        let held = self.book.find(call);
        let phase = held.and_then(|session| self.book.get(session)).map(|call| call.phase);
        if !matches!(phase, Some(Phase::Standing { server: own, .. }) if own == server) {
            debug!(target: ENDS, ?call, server = self.roster.get(server).id, ?phase, "released by a server where it does not stand");
        }
        let Some(session) = held else { return self.released.insert(call.as_str()) };
        match phase {
            Some(Phase::Standing { server: own, .. }) if own == server => {
                let ending = meaning::of_release(message.cause());
                self.judge.on_invite_ended(session, server, ending, true);
                self.release(session, message.cause().unwrap_or(cause::FAILED));
            }
            Some(Phase::Inviting(invite)) if invite.server == server => {
                self.see(Observation::Answered(session.index() as u64));
                self.invite_over(session, InviteOutcome::Reset)
            }
            _ => {}
        }
    }
}

/// A description as servers give them: lines of text, each ended.
fn is_whole(description: &str) -> bool {
    description.ends_with("\r\n") && !description.contains('\0')
}

/// A request without a body.
fn request(method: &str, number: &str, call: CallId, sequence: u32) -> Vec<u8> {
    let first = format!("{method} sip:{number}@net SIP/2.0");
    message(&first, call.as_str(), &format!("{sequence} {method}"), &[], &[])
}

/// 200 to a request of a server.
fn accepted(message: &Message, method: &str) -> Vec<u8> {
    let call = message.header(header::CALL_ID).unwrap_or_default();
    let number = message.sequence().map_or(1, |(number, _)| number);
    self::message("SIP/2.0 200 OK", call, &format!("{number} {method}"), &[], &[])
}

/// A message of ours: what each carries, and more.
fn message(first: &str, call: &str, sequence: &str, more: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let usual = [("Via", "SIP/2.0/TCP front"), (header::CALL_ID, call), (header::CSEQ, sequence)];
    encode(first, &[&usual, more].concat(), body)
}
