//! The callers' side: NTFY in; MDCX, RQNT and DLCX out (RFC 3435 sections 2.3.3 to 2.3.8).

use super::*;
use ochrelead_config::numbering_plan::ResolvedNumber;
use ochrelead_core::index::TenantIx;
use ochrelead_core::types::CallRequest;

/// The longest id of a try: that of a call id (RFC 3435 section 3.2.2.2).
const LONGEST_TRY: usize = 32;

/// What a caller's line observed (RFC 3435 section 3.2.2.12; packages L and D of RFC 3660).
struct Observed {
    off_hook: bool,
    hung_up: bool,
    digits: String,
}

impl Observed {
    fn read(events: &str) -> Observed {
        let mut observed = Observed { off_hook: false, hung_up: false, digits: String::new() };
        for event in events.split(',').map(str::trim) {
            match event.split_once('/').unwrap_or(("", event)) {
                (_, "hd") => observed.off_hook = true,
                (_, "hu") => observed.hung_up = true,
                ("D", digit) => observed.digits.push_str(digit),
                _ => {}
            }
        }
        observed
    }
}

impl Engine {
    pub(super) fn notified(&mut self, from: SocketAddr, command: &Command) {
        let observed = Observed::read(command.parameters.get(name::OBSERVED).unwrap_or(""));
        let tried = command.parameters.get(name::TRY).unwrap_or("");
        let sound = (1..=LONGEST_TRY).contains(&tried.len()) && tried.bytes().all(|b| b.is_ascii_hexdigit());
        if !sound {
            self.exchange.answer(from, Response::new(code::PROTOCOL_ERROR, command.transaction));
            return self
                .pass_over(from, format!("no {} of 1 to {LONGEST_TRY} hexadecimal digits", name::TRY));
        }
        self.exchange.answer(from, Response::new(code::DONE, command.transaction));
        if observed.hung_up {
            self.hung_up(from, command, tried);
        } else if observed.off_hook && self.book.find(tried).is_none() {
            self.tried(from, command, tried, &observed.digits);
        }
    }

    /// A caller's try: one session.
    fn tried(&mut self, from: SocketAddr, command: &Command, tried: &str, digits: &str) {
        // A hang-up overtook its try: nobody waits for an answer. More repeats of it may follow.
        if self.hung_up.contains(tried) {
            return self.pass_over(from, format!("try {tried} had hung up before it came"));
        }
        let meant = self.commission.numbering_plan.resolve(digits);
        let patience =
            command.parameters.read::<u32>(name::PATIENCE).map(|ms| Span::from_millis(u64::from(ms)));
        let limit = meant.map_or(Span::ZERO, |dialled| self.commission.timer_limits[dialled.service.index()]);
        // A front that stood still takes a try for as old as it may be: its caller has waited all the while.
        let limit = patience.map_or(limit, |own| own.min(limit)) - self.waited;
        let (line, called) = (command.endpoint.clone(), digits.to_owned());
        let mut call = Call::new(from, line, tried.to_owned(), called, self.now);
        call.deadline = self.now + (limit - self.commission.answer_margin);
        // One INVITE that waits all the while sees so many; several share them.
        call.remaining_repeats = self.commission.pace.repeats(call.deadline.since(self.now));
        call.connection = command.parameters.get(name::CONNECTION).map(str::to_owned);
        let timer_limit = call.deadline;
        let session = self.book.insert(call);
        let trunk = command.endpoint.local().split('/').next().unwrap_or("");
        let member = self.commission.trunks.iter().position(|own| own == trunk);
        let redial = command.parameters.get(name::REDIAL).is_some_and(|value| value != "0");
        let taken = SessionStep::Accepted {
            service: meant.map_or(0, |dialled| dialled.service.index()),
            tenant: member,
            destination: meant.map_or(-1, |dialled| dialled.destination),
            called_number: digits.to_owned(),
            is_redial: redial,
        };
        self.step(session, taken);
        let Some(ResolvedNumber { service, destination }) = meant else {
            // A number that means nothing: nothing can be set up.
            return self.fail(session, None);
        };
        if !self.service.accepts_sessions() || self.book.len() > self.commission.max_sessions {
            let away = self.commission.controller.max_retry_after;
            return self.refuse(session, (away > Span::ZERO).then_some(away), None);
        }
        let offer = CallRequest {
            service,
            tenant: member.map(TenantIx::new),
            called_number: Some(self.numbers.index(digits)),
            destination,
            deadline: timer_limit,
            is_redial: redial,
        };
        self.judge.on_call_request(session, offer);
    }

    /// A caller has hung up. One that this front does not know may name the far end of its call: a front that
    /// was started anew takes it down.
    fn hung_up(&mut self, from: SocketAddr, command: &Command, tried: &str) {
        if let Some(session) = self.book.find(tried) {
            return self.caller_left(session);
        }
        // Its try may still come: overtaken, or repeated to a front that was started anew and whose answer to
        // the first one got lost.
        self.hung_up.insert(tried);
        let far = command.parameters.get(name::FAR).and_then(|far| {
            let (connection, endpoint) = far.split_once(' ')?;
            Some((connection, endpoint.parse::<Endpoint>().ok()?))
        });
        let Some((connection, endpoint)) = far else { return };
        match self.roster.named(endpoint.domain()) {
            Some(server) => {
                let to = self.roster.post(server).address;
                self.take_down(to, endpoint, Some(tried), Some(connection));
            }
            None => self.pass_over(from, format!("try {tried}: no server {}", endpoint.domain())),
        }
    }

    pub(super) fn caller_gone(&mut self, session: SessionKey) {
        if self.book.is_current(session) {
            self.caller_left(session.index);
        }
    }

    fn caller_left(&mut self, session: SessionIx) {
        let Some(call) = self.book.get(session) else { return };
        match call.phase.clone() {
            Phase::Pending => {
                self.judge.on_caller_gone(session);
                self.step(session, SessionStep::CallerGone { invite: None });
                self.book.remove(session);
            }
            Phase::Inviting(invite) => {
                let server = self.roster.post(invite.server).name.clone();
                let out = Some((server, self.now.since(invite.sent)));
                self.step(session, SessionStep::CallerGone { invite: out });
                self.judge.on_caller_gone(session);
                self.call_off(session);
                self.judge.on_invite_ended(session, invite.server, InviteOutcome::Cancelled, true);
                self.book.remove(session);
            }
            Phase::Established(circuit) => self.release(session, circuit),
            Phase::Releasing => {}
        }
    }

    /// The one final answer of a session that stands.
    pub(super) fn connect(&mut self, session: SessionIx, circuit: &Circuit, description: Option<Vec<u8>>) {
        let Some(call) = self.book.get(session) else { return };
        let mut command = Command::new(Verb::ModifyConnection, 0, call.line.clone())
            .with(name::CALL, &call.attempt)
            .with(name::TRY, &call.attempt)
            .with(name::MODE, "sendrecv")
            .with(name::REQUESTED, "L/hu(N)")
            .with(name::FAR, format!("{} {}", circuit.connection, circuit.endpoint));
        if let Some(connection) = &call.connection {
            command.parameters.add(name::CONNECTION, connection);
        }
        command.description = description;
        let (gateway, held) = (call.gateway, self.book.key(session));
        self.ask(gateway, command, Pending::Connect(held));
    }

    /// The one final answer of a refused session: busy tone, and when to come back.
    pub(super) fn refuse(
        &mut self,
        session: SessionIx,
        come_back: Option<Span>,
        denial: Option<RejectionCause>,
    ) {
        let come_back_ms = come_back.map(|span| span.micros() / 1_000);
        self.step(
            session,
            SessionStep::Rejected { cause: denial, refused: true, retry_after_ms: come_back_ms },
        );
        self.tone(session, "L/bz", come_back_ms);
    }

    /// The one final answer of a failed session: reorder tone.
    pub(super) fn fail(&mut self, session: SessionIx, denial: Option<RejectionCause>) {
        self.step(session, SessionStep::Rejected { cause: denial, refused: false, retry_after_ms: None });
        self.tone(session, "L/ro", None);
    }

    fn tone(&mut self, session: SessionIx, signal: &str, come_back_ms: Option<u64>) {
        let Some(call) = self.book.remove(session) else { return };
        let mut command = Command::new(Verb::NotificationRequest, 0, call.line)
            .with(name::REQUEST, &call.attempt)
            .with(name::TRY, &call.attempt)
            .with(name::REQUESTED, "L/hu(N)")
            .with(name::SIGNALS, signal);
        if let Some(ms) = come_back_ms {
            command.parameters.add(name::COME_BACK, ms);
        }
        self.ask(call.gateway, command, Pending::Courtesy);
    }

    /// A call that stood was cut: the caller's half is taken down too. Its final answer was given before.
    pub(super) fn cut(&mut self, session: SessionIx, server: ServerIx) {
        let server = self.roster.post(server).name.clone();
        self.step(session, SessionStep::CutByServer { server });
        let Some(call) = self.book.remove(session) else { return };
        let mut command = Command::new(Verb::DeleteConnection, 0, call.line)
            .with(name::CALL, &call.attempt)
            .with(name::TRY, &call.attempt);
        if let Some(connection) = &call.connection {
            command.parameters.add(name::CONNECTION, connection);
        }
        self.ask(call.gateway, command, Pending::Courtesy);
    }
}
