//! The datagrams of the model: those that callers and servers send, and the handling of those that fronts send.

use std::net::SocketAddr;

use ochrelead_front::events::EngineEvent;
use ochrelead_mgcp::message::{Command, Message, Response, Verb, parameter};
use ochrelead_mgcp::{parse, write};

use super::oracle::RuleViolation;
use super::{Caller, Circuit, Front, Invite, Model, QueuedDatagram, front_of, moment};

/// The port of the first server.
const FIRST_SERVER_PORT: u16 = 10;

fn server_address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], FIRST_SERVER_PORT + index as u16))
}

fn server_index(address: SocketAddr) -> usize {
    usize::from(address.port() - FIRST_SERVER_PORT)
}

fn gateway_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 5))
}

/// Parses a datagram that contains a single message.
fn message(bytes: &[u8]) -> Message {
    parse::datagram(bytes).unwrap().remove(0).unwrap()
}

fn parameter_value(command: &Command, name: &str) -> String {
    command.parameters.get(name).unwrap_or("").to_owned()
}

/// Datagrams from callers and servers.
impl Model {
    pub(super) fn dial(&mut self, session: usize, redial: bool) -> Result<(), RuleViolation> {
        let attempt = format!("{:x}", self.next_attempt);
        self.next_attempt += 1;
        let redial = u8::from(redial);
        let digits: String = format!("1004{session}").chars().map(|digit| format!(", D/{digit}")).collect();
        let notification = self.notification(&format!(
            "X-Try: {attempt}\r\nI: c{attempt}\r\nX-Redial: {redial}\r\nO: L/hd{digits}"
        ));
        self.callers[session] =
            Caller { attempt, notification: notification.clone(), over: false, hung_up: false };
        self.deliver(front_of(session), gateway_address(), notification)
    }

    pub(super) fn retransmit_dial(&mut self, session: usize) -> Result<(), RuleViolation> {
        let bytes = self.callers[session].notification.clone();
        self.deliver(front_of(session), gateway_address(), bytes)
    }

    pub(super) fn hang_up(&mut self, session: usize) -> Result<(), RuleViolation> {
        let caller = &mut self.callers[session];
        (caller.hung_up, caller.over) = (true, true);
        let attempt = caller.attempt.clone();
        let bytes = self.notification(&format!("X-Try: {attempt}\r\nO: L/hu"));
        self.deliver(front_of(session), gateway_address(), bytes)
    }

    fn notification(&mut self, parameters: &str) -> Vec<u8> {
        self.commands += 1;
        format!("NTFY {} a/1@g MGCP 1.0\r\n{parameters}\r\n", self.commands).into_bytes()
    }

    /// A server announces its restart, its drain or its shutdown to all fronts.
    pub(super) fn announce(&mut self, server: usize, method: &'static str) -> Result<(), RuleViolation> {
        (0..self.fronts.len()).try_for_each(|front| self.announce_to(front, server, method))
    }

    pub(super) fn announce_to(
        &mut self,
        front: usize,
        server: usize,
        method: &'static str,
    ) -> Result<(), RuleViolation> {
        if self.fronts[front].engine.is_none() {
            self.fronts[front].missed_announcements.insert(server, method);
            return Ok(());
        }
        self.commands += 1;
        let text =
            format!("RSIP {} *@s{server} MGCP 1.0\r\nRM: {method}\r\nX-Lines: 32/32\r\n", self.commands);
        self.deliver(front, server_address(server), text.into_bytes())
    }

    /// A server responds to the last pending INVITE of a session. The response is lost unless `delivered`.
    pub(super) fn respond(
        &mut self,
        session: usize,
        code: u16,
        delivered: bool,
    ) -> Result<(), RuleViolation> {
        let Some(pending) = self.pending_invite(&self.callers[session].attempt) else { return Ok(()) };
        self.circuits += 1;
        let circuit = self.circuits;
        let index = pending.server;
        let server = &mut self.servers[index];
        let invite = &mut server.invites[pending.index];
        let mut response = Response::new(code, invite.transaction).with("X-Lines", "31/32");
        if code == 200 {
            let endpoint = format!("trunk/{circuit}@s{index}");
            response = response.with("I", format!("i{circuit}")).with("Z", endpoint);
        }
        let bytes = write::datagram(&[Message::Response(response)]);
        invite.response = Some(bytes.clone());
        let front = invite.front;
        if code == 200 {
            let call = invite.call.clone();
            server.circuits.insert(circuit, Circuit { front, call });
        }
        if delivered { self.deliver(front, server_address(index), bytes) } else { Ok(()) }
    }

    /// Delivers a datagram to a front, or queues it in the socket while the front is stalled.
    fn deliver(&mut self, index: usize, sender: SocketAddr, bytes: Vec<u8>) -> Result<(), RuleViolation> {
        let front = &mut self.fronts[index];
        if front.engine.is_none() {
            return Ok(());
        }
        if front.stalled {
            front.socket.push(QueuedDatagram { received_at: self.now, sender, bytes });
            return Ok(());
        }
        self.handle_datagram(index, sender, &bytes, 0);
        self.process(index)
    }

    /// A front reads a datagram that was queued in its socket for `queued_ms`.
    fn handle_datagram(&mut self, index: usize, sender: SocketAddr, bytes: &[u8], queued_ms: u64) {
        let now = self.now;
        match message(bytes) {
            Message::Command(command) if sender == gateway_address() => {
                let attempt = parameter_value(&command, parameter::ATTEMPT);
                if parameter_value(&command, parameter::OBSERVED_EVENTS).contains("L/hu") {
                    self.oracle.on_hang_up(&attempt);
                } else {
                    self.oracle.on_attempt(index, &attempt, queued_ms);
                }
            }
            Message::Command(command) if command.verb == Verb::RestartInProgress => {
                let method = parameter_value(&command, parameter::RESTART_METHOD);
                self.oracle.on_announcement(index, server_index(sender), &method);
            }
            Message::Response(response) if sender != gateway_address() => {
                let (server, transaction) = (server_index(sender), response.transaction);
                self.oracle.on_response(index, server, transaction, response.code);
            }
            _ => {}
        }
        if let Some(engine) = &mut self.fronts[index].engine {
            engine.handle_datagram(moment(now), sender, bytes);
        }
    }
}

/// Actions of fronts, and the datagrams that they send.
impl Model {
    pub(super) fn resume_front(&mut self, index: usize) -> Result<(), RuleViolation> {
        self.fronts[index].stalled = false;
        self.oracle.on_front_resumed(index);
        for QueuedDatagram { received_at, sender, bytes } in std::mem::take(&mut self.fronts[index].socket) {
            self.handle_datagram(index, sender, &bytes, self.now - received_at);
        }
        self.process(index)
    }

    /// Advances the time by `ms`, and runs the fronts at each of their timeouts.
    pub(super) fn wait(&mut self, ms: u64) -> Result<(), RuleViolation> {
        let end = self.now + ms;
        loop {
            let running = self.fronts.iter().filter(|front| !front.stalled);
            let timeouts = running.filter_map(|front| front.engine.as_ref()?.poll_timeout());
            let next =
                timeouts.min().map_or(end, |timeout| timeout.since(moment(0)).micros().div_ceil(1_000));
            self.now = next.clamp(self.now + 1, end.max(self.now + 1)).min(end);
            self.oracle.advance_to(self.now);
            self.process_all()?;
            if self.now >= end {
                return Ok(());
            }
        }
    }

    pub(super) fn process_all(&mut self) -> Result<(), RuleViolation> {
        (0..self.fronts.len()).try_for_each(|index| self.process(index))
    }

    /// Runs a front and delivers the datagrams that it sends, until it sends none. Responses that arrive immediately are
    /// handled in a further iteration.
    fn process(&mut self, index: usize) -> Result<(), RuleViolation> {
        if self.fronts[index].stalled {
            return Ok(());
        }
        let now = moment(self.now);
        loop {
            let Front { engine: Some(engine), persisted, .. } = &mut self.fronts[index] else {
                return Ok(());
            };
            engine.process(now);
            let datagrams: Vec<_> = std::iter::from_fn(|| engine.poll_datagram()).collect();
            while let Some(event) = engine.poll_event() {
                if let EngineEvent::EndpointsChanged(servers) = event {
                    *persisted = servers;
                }
            }
            if datagrams.is_empty() {
                return Ok(());
            }
            for (receiver, bytes) in datagrams {
                self.on_sent(index, receiver, &bytes)?;
            }
        }
    }

    fn on_sent(&mut self, front: usize, receiver: SocketAddr, bytes: &[u8]) -> Result<(), RuleViolation> {
        let Message::Command(command) = message(bytes) else { return Ok(()) };
        if receiver == gateway_address() {
            return self.on_sent_to_caller(front, &command);
        }
        let server = server_index(receiver);
        if command.verb == Verb::DeleteConnection {
            self.on_release(front, server, &command);
            return Ok(());
        }
        self.on_invite(front, server, &command)
    }

    fn on_release(&mut self, front: usize, index: usize, command: &Command) {
        let call = parameter_value(command, parameter::CALL_ID);
        self.oracle.on_release(front, index, &call);
        let server = &mut self.servers[index];
        if server.gone || self.drops_releases {
            return;
        }
        let invites = server.invites.iter_mut();
        let invites = invites.filter(|invite| invite.front == front && invite.call == call);
        invites.for_each(|invite| invite.released = true);
        let local_name = command.endpoint.local().to_owned();
        let released = local_name.split('/').nth(1).and_then(|number| number.parse::<u32>().ok());
        server.circuits.retain(|number, circuit| match released {
            Some(released) => *number != released,
            None => circuit.front != front || circuit.call != call,
        });
        let response = Response::new(250, command.transaction).with("X-Lines", "32/32");
        let bytes = write::datagram(&[Message::Response(response)]);
        self.handle_datagram(front, server_address(index), &bytes, 0);
    }

    fn on_invite(&mut self, front: usize, index: usize, command: &Command) -> Result<(), RuleViolation> {
        let (call, transaction) = (parameter_value(command, parameter::CALL_ID), command.transaction);
        self.oracle.on_invite(front, index, &call, transaction)?;
        let server = &mut self.servers[index];
        if server.gone {
            return Ok(());
        }
        let mut known = server.invites.iter();
        match known.find(|invite| invite.front == front && invite.transaction == transaction) {
            // A retransmission of an INVITE that has a response gets the same response again.
            Some(Invite { response: Some(response), .. }) => {
                let response = response.clone();
                self.handle_datagram(front, server_address(index), &response, 0);
            }
            Some(Invite { response: None, .. }) => {}
            None => server.invites.push(Invite { front, transaction, call, response: None, released: false }),
        }
        Ok(())
    }

    fn on_sent_to_caller(&mut self, front: usize, command: &Command) -> Result<(), RuleViolation> {
        let id = parameter_value(command, parameter::ATTEMPT);
        let established = command.verb == Verb::ModifyConnection;
        if established || command.parameters.get(parameter::SIGNAL_REQUESTS).is_some() {
            self.oracle.on_answer(front, &id, command.transaction, established)?;
        } else if command.verb == Verb::DeleteConnection
            && let Some(attempt) = self.oracle.attempts.get_mut(&id)
        {
            attempt.cut = true;
            attempt.hung_up_at.get_or_insert(self.now);
        }
        if !established && let Some(caller) = self.callers.iter_mut().find(|caller| caller.attempt == id) {
            caller.over = true;
        }
        let response = Response::new(200, command.transaction);
        let bytes = write::datagram(&[Message::Response(response)]);
        self.handle_datagram(front, gateway_address(), &bytes, 0);
        Ok(())
    }
}
