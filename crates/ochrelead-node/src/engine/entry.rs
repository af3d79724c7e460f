//! The side of the callers.

use ochrelead_core::types::CallRequest;
use ochrelead_platform::MAX_MESSAGE_LENGTH;
use ochrelead_platform::caller_messages::{CallerMessage, InvalidMessage, MessageError, SetUpRequest};

use super::*;

/// What a SIP head around a description may take.
const HEAD: usize = MAX_MESSAGE_LENGTH / 16;

impl Engine {
    pub(super) fn caller_opened(&mut self, caller: CallerId) {
        self.callers.open(caller, self.now);
        self.keep_within_bound();
    }

    /// Beyond the bound one that is not in use makes room, unless something has come on it.
    fn keep_within_bound(&mut self) {
        let surplus = self.callers.len().saturating_sub(self.bounds.callers + self.retiring.len());
        for caller in self.callers.dispensable(surplus, &self.retiring) {
            self.retire(caller);
        }
    }

    /// Closes a connection once all that has come on it is known and no set-up was among that: one that was written
    /// before the close is owed its answer.
    fn retire(&mut self, caller: CallerId) {
        if !self.retiring.contains(&caller) {
            self.retiring.push(caller);
            self.out.push_back(Output::HearOut(caller));
        }
    }

    /// All that had come from a caller is known.
    pub(super) fn heard_out(&mut self, id: CallerId) {
        let ready: Vec<SessionIx> =
            self.checked.iter().filter(|(caller, _)| *caller == id).map(|(_, session)| *session).collect();
        self.checked.retain(|(caller, _)| *caller != id);
        for session in ready {
            self.dispatch_invite(session);
        }
        if self.retiring.contains(&id) {
            self.retiring.retain(|caller| *caller != id);
            if self.callers.get(id).is_some_and(|caller| caller.open.is_empty()) {
                self.drop_caller(id);
            }
        }
    }

    /// A caller says nothing more: its set-ups are given up. One that has only shut its side down still learns that.
    pub(super) fn caller_ended(&mut self, id: CallerId) {
        for session in self.callers.get(id).map(|caller| caller.open.clone()).unwrap_or_default() {
            if let Some(call) = self.book.get(session) {
                let cause = if call.invites > 0 { cause::FAILED } else { cause::REFUSED };
                self.out.push_back(Output::ToCaller(id, caller_messages::encode_down(call.id, cause, None)));
            }
        }
        self.drop_caller(id);
    }

    pub(super) fn caller_closed(&mut self, id: CallerId) {
        let Some(closed) = self.callers.close(id) else { return };
        let (standing, unheard) = (closed.standing, &closed.unheard);
        if standing > 0 || !unheard.is_empty() {
            debug!(target: ENDS, caller = id.0, standing, ?unheard, "a caller's connection is over");
        }
        self.retiring.retain(|caller| *caller != id);
        for session in closed.open {
            self.hang_up(session);
        }
        // What was sent as it closed may not have been read.
        for (call, cause) in closed.unheard {
            self.owe(call, cause);
        }
    }

    /// The node closes a connection; set-ups that are open on it are given up.
    fn drop_caller(&mut self, caller: CallerId) {
        self.caller_closed(caller);
        self.out.push_back(Output::CloseCaller(caller));
    }

    pub(super) fn caller_said(&mut self, id: CallerId, bytes: &[u8]) {
        let Some(caller) = self.callers.get_mut(id) else { return };
        caller.used = self.now;
        let (lines, sound) = caller.lines.push(bytes);
        for line in lines {
            match caller_messages::parse(&line) {
                Ok(said) => self.said(id, said),
                Err(unusable) => self.turn_away(id, &unusable),
            }
            if self.callers.get(id).is_none() {
                return;
            }
        }
        if sound.is_err() {
            self.turn_away(id, &InvalidMessage { call: None, error: MessageError::LineTooLong });
        }
    }

    fn said(&mut self, id: CallerId, said: CallerMessage) {
        match said {
            CallerMessage::SetUp(set_up) => {
                let call = set_up.call;
                if let Err(error) = self.set_up(id, set_up) {
                    self.turn_away(id, &InvalidMessage { call: Some(call), error });
                }
            }
            CallerMessage::Established { call, server } => self.stands_at(id, call, &server),
            CallerMessage::Release { call } => self.down(id, call),
            CallerMessage::Heartbeat { id: test } => {
                let passed = self.leaving.is_none();
                self.out
                    .push_back(Output::ToCaller(id, caller_messages::encode_heartbeat_reply(&test, passed)));
            }
            CallerMessage::Acknowledged { call } => {
                if let Some(caller) = self.callers.get_mut(id) {
                    caller.unheard.retain(|(own, _)| *own != call);
                }
                self.owed.retain(|(own, _)| *own != call);
            }
            CallerMessage::Ignored => {}
        }
    }

    /// A line that can't be used gets an error. A connection that was of no use yet is closed besides.
    fn turn_away(&mut self, id: CallerId, unusable: &InvalidMessage) {
        // The id may be that of a call that is open on this connection: an error would be taken for its answer.
        let open = unusable.call.and_then(|call| self.book.find(call));
        let own = open.and_then(|session| self.book.get(session)).is_some_and(|call| call.caller == id);
        let line = match unusable.call {
            Some(call) => caller_messages::encode_down(call, cause::INVALID, None),
            None => caller_messages::encode_invalid(),
        };
        let Some(caller) = self.callers.get(id) else { return };
        let useful = caller.proven || !caller.open.is_empty();
        if !own {
            self.out.push_back(Output::ToCaller(id, line));
        }
        if !useful || own || unusable.call.is_none() {
            self.drop_caller(id);
        }
    }

    fn set_up(&mut self, id: CallerId, set_up: SetUpRequest) -> Result<(), MessageError> {
        if self.book.find(set_up.call).is_some() {
            return Err(MessageError::DuplicateCall);
        }
        let class = self
            .services
            .iter()
            .position(|(name, _)| *name == set_up.class)
            .ok_or(MessageError::UnknownClass)?;
        let member = match &set_up.tenant {
            Some(tenant) => {
                Some(self.members.iter().position(|name| name == tenant).ok_or(MessageError::UnknownTenant)?)
            }
            None if self.members.is_empty() => None,
            None => return Err(MessageError::MissingTenant),
        };
        let longest = self.services[class].1;
        if longest > Span::ZERO && set_up.time_left > longest {
            return Err(MessageError::TimeLeftTooLong);
        }
        let known = |number: i64| self.roster.knows_number(number) || self.places[class].contains(&number);
        if set_up.destination.is_some_and(|number| number >= 0 && !known(number)) {
            return Err(MessageError::UnknownDestination);
        }
        if set_up.description.len() + HEAD > MAX_MESSAGE_LENGTH {
            return Err(MessageError::DescriptionTooLong);
        }
        let full = self.book.len() >= self.bounds.calls
            || self.book.described() + set_up.description.len() > self.bounds.descriptions;
        if full {
            self.out.push_back(Output::ToCaller(
                id,
                caller_messages::encode_down(set_up.call, cause::REFUSED, None),
            ));
            return Ok(());
        }
        let deadline = self.now + set_up.time_left;
        let offer = CallRequest {
            service: ServiceIx::new(class),
            tenant: member.map(TenantIx::new),
            called_number: Some(self.numbers.index(&set_up.called_number)),
            destination: set_up.destination.unwrap_or(-1),
            deadline,
            is_redial: false,
        };
        let session = self.book.enter(Call {
            id: set_up.call,
            caller: id,
            class,
            number: set_up.called_number,
            description: set_up.description,
            deadline,
            invites: 0,
            phase: Phase::Waiting,
        });
        let hopeful = self.callers.get_mut(id).is_some_and(|caller| {
            caller.open.push(session);
            !caller.proven && caller.open.len() == 1
        });
        if hopeful && self.callers.substitute(false).is_none() {
            // It may be a usual caller's, and no other is there: what is owed is said now, and stays owed until one
            // is known for certain or has confirmed it.
            for (call, cause) in self.owed.iter().take(self.bounds.told) {
                self.out.push_back(Output::ToCaller(id, caller_messages::encode_down(*call, *cause, None)));
            }
        }
        self.judge.on_call_request(session, offer);
        Ok(())
    }

    /// A call that stands already, set up by a former life of this node or by another: it is held for its release.
    fn stands_at(&mut self, id: CallerId, call: CallId, server: &str) {
        debug!(target: ENDS, ?call, server, caller = id.0, "said to stand");
        if self.book.find(call).is_some() {
            return;
        }
        let server = self.roster.named(server).filter(|server| !self.roster.get(*server).is_gone());
        // Its server said its end before its caller could name it, and does not say it again.
        let server = server.filter(|_| !self.released.contains(call.as_str()));
        let Some(server) = server.filter(|_| self.book.len() < self.bounds.calls) else {
            self.out.push_back(Output::ToCaller(id, caller_messages::encode_down(call, cause::FAILED, None)));
            return;
        };
        let session = self.book.enter(Call {
            id: call,
            caller: id,
            class: 0,
            number: String::new(),
            description: String::new(),
            deadline: self.now,
            invites: 0,
            phase: Phase::Standing { server, link: None, since: self.now },
        });
        if let Some(caller) = self.callers.get_mut(id) {
            caller.standing += 1;
        }
        self.judge.on_call_established(session);
    }

    /// A set-up is given up, on its own connection, or a call that stands is released, on any.
    fn down(&mut self, id: CallerId, call: CallId) {
        self.out.push_back(Output::ToCaller(id, caller_messages::encode_acknowledgement(call)));
        let Some(session) = self.book.find(call) else { return };
        let Some(held) = self.book.get(session) else { return };
        match held.phase {
            Phase::Standing { server, link, .. } => {
                self.say_bye(server, link, call, cause::NORMAL);
                self.judge.on_invite_ended(session, server, InviteOutcome::Released, true);
                self.forget_standing(session);
            }
            _ if held.caller == id => {
                if let Some(caller) = self.callers.get_mut(id) {
                    caller.open.retain(|open| *open != session);
                }
                self.hang_up(session);
            }
            _ => {}
        }
    }

    /// Nobody waits for the answer any more.
    fn hang_up(&mut self, session: SessionIx) {
        let Some(phase) = self.book.get(session).map(|call| call.phase) else { return };
        self.judge.on_caller_gone(session);
        if let Phase::Inviting(invite) = phase {
            self.call_off(session);
            self.judge.on_invite_ended(session, invite.server, InviteOutcome::Cancelled, true);
        }
        self.book.leave(session);
    }

    /// A call that stood leaves the book.
    fn forget_standing(&mut self, session: SessionIx) -> Option<Call> {
        let call = self.book.leave(session)?;
        if let Some(caller) = self.callers.get_mut(call.caller) {
            caller.standing = caller.standing.saturating_sub(1);
        }
        Some(call)
    }

    /// A call that stood is over: its caller is told, on its own connection, else on another's, else later.
    pub(super) fn release(&mut self, session: SessionIx, cause: u32) {
        let Some(call) = self.forget_standing(session) else { return };
        if self.callers.get(call.caller).is_some() {
            self.say_release(call.caller, call.id, cause);
        } else {
            self.owe(call.id, cause);
        }
    }

    /// A release for which the call's own connection is not there any more.
    fn owe(&mut self, call: CallId, cause: u32) {
        if self.owed.len() < self.bounds.owed {
            self.owed.push_back((call, cause));
        }
        self.say_owed();
    }

    /// Says what is owed on a usual caller's connection; between two rounds no more than one reader can take.
    pub(super) fn say_owed(&mut self) {
        while self.said < self.bounds.told
            && let Some(id) = self.callers.substitute(self.leaving.is_some())
            && let Some((call, cause)) = self.owed.pop_front()
        {
            self.said += 1;
            debug!(target: ENDS, ?call, cause, caller = id.0, "its end is told on another's connection");
            self.say_release(id, call, cause);
        }
    }

    fn say_release(&mut self, id: CallerId, call: CallId, cause: u32) {
        self.out.push_back(Output::ToCaller(id, caller_messages::encode_down(call, cause, None)));
        let most = self.bounds.unheard;
        if let Some(caller) = self.callers.get_mut(id) {
            // Of a caller that confirms nothing the oldest are taken for heard.
            if caller.unheard.len() >= most {
                caller.unheard.pop_front();
            }
            caller.unheard.push_back((call, cause));
        }
    }

    /// A call was set up for a caller: its connection is a usual one.
    pub(super) fn prove(&mut self, id: CallerId, session: SessionIx) {
        let Some(caller) = self.callers.get_mut(id) else { return };
        caller.open.retain(|open| *open != session);
        caller.standing += 1;
        (caller.used, caller.proven) = (self.now, true);
        self.say_owed();
    }

    pub(super) fn tend_callers(&mut self) {
        self.said = 0;
        self.say_owed();
        for caller in self.callers.overdue(self.now) {
            self.retire(caller);
        }
        self.keep_within_bound();
    }
}
