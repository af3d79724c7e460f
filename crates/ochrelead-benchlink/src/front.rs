//! One instance: its events become calls of the rules, the rules' decisions its actions.

use serde_json::{Value, json};

use crate::door::Door;
use crate::{millis, moment, whole};
use ochrelead_core::controller::Controller;
use ochrelead_core::index::{ServerIx, ServiceIx, SessionIx, TenantIx};
use ochrelead_core::time::{Moment, Span};
use ochrelead_core::types::{
    CallRequest, Decision, EndpointState, EndpointUpdate, InviteOutcome, LineCapacity, LoadReport,
};
use ochrelead_platform::settings::Settings;

/// One line of a numbered list.
pub struct Entry {
    server: u64,
    number: i64,
    state: EndpointState,
}

impl Entry {
    pub fn read(line: &Value) -> Result<Entry, String> {
        let started = line.get("startTimeMs").and_then(moment).filter(|at| *at > Moment::START);
        let state = match line.get("availability").and_then(Value::as_str) {
            None | Some("ready") => EndpointState::Ready { started },
            Some("draining") => EndpointState::Draining,
            Some("gone") => EndpointState::Gone,
            Some(other) => return Err(format!("Page: unknown availability {other}")),
        };
        let server = whole(line, "server").ok_or("Page: an entry without server")?;
        Ok(Entry { server, number: integer(line, "number").unwrap_or(0), state })
    }
}

pub struct Front {
    rules: Controller,
    door: Door,
    services: usize,
    /// Whether the list comes only after it was asked for, and is to be asked for now.
    asks: bool,
    ask: bool,
    /// The earliest timer that is pending.
    armed: Option<Moment>,
}

impl Front {
    pub fn start(body: &Value, now: Moment) -> Result<Front, String> {
        let facts = Settings::parse(body.get("facts")).map_err(|error| format!("Hello: facts: {error}"))?;
        let provision = facts.controller_config(whole(body, "initSeed").unwrap_or(0));
        let asks = facts.discovery == "on_request";
        let services = provision.services.len();
        let rules = Controller::new(&provision, now);
        Ok(Front { rules, door: Door::default(), services, asks, ask: asks, armed: None })
    }

    pub fn list(&mut self, scope: &str, list: Option<&[Entry]>, now: Moment) -> Result<(), String> {
        let entire = match scope {
            "replace" | "restored" => true,
            "update" => false,
            "unavailable" => {
                self.ask = self.asks;
                return Ok(());
            }
            other => return Err(format!("Endpoints: unknown scope {other}")),
        };
        let entries = list.ok_or("Endpoints: no such list")?;
        let listings: Vec<EndpointUpdate> = entries
            .iter()
            .map(|entry| EndpointUpdate {
                server: self.door.server(entry.server),
                number: entry.number,
                state: entry.state,
                weight: 1.0,
            })
            .collect();
        self.rules.advance_to(now);
        self.rules.on_endpoints(entire, &listings);
        Ok(())
    }

    pub fn take(&mut self, name: &str, body: &Value, now: Moment) -> Result<(), String> {
        self.rules.advance_to(now);
        match name {
            "Wake" => {
                self.armed = self.armed.filter(|at| *at > now);
                Ok(())
            }
            "Inbound" => self.inbound(body),
            "UnderWay" => {
                if let Some(session) = self.session(body)? {
                    self.rules.on_call_established(session);
                }
                Ok(())
            }
            "Settled" => self.settled(body),
            "CancelledByClient" => {
                if let Some(session) = self.session(body)? {
                    self.door.caller(session).answered = true;
                    self.rules.on_caller_gone(session);
                    self.door.leave(session);
                }
                Ok(())
            }
            "Health" => self.tell_state(body).map(|_| ()),
            // Fronts have nothing to say to each other yet, and what is new on the wire is passed over.
            _ => Ok(()),
        }
    }

    fn inbound(&mut self, body: &Value) -> Result<(), String> {
        let id = body.get("req").and_then(Value::as_str).ok_or("Inbound: no req")?;
        let service = whole(body, "lane").unwrap_or(0) as usize;
        if service >= self.services {
            return Err(format!("Inbound: unknown lane {service}"));
        }
        let timer_limit = body.get("dropDeadMs").and_then(moment).ok_or("Inbound: no dropDeadMs")?;
        let session = self.door.admit(id).ok_or_else(|| format!("Inbound: {id} came before"))?;
        let number = body.get("affinity").and_then(Value::as_str).map(|key| self.door.number(key));
        let offer = CallRequest {
            service: ServiceIx::new(service),
            tenant: Some(TenantIx::new(whole(body, "clientGroup").unwrap_or(0) as usize)),
            called_number: number,
            destination: integer(body, "calledNode").unwrap_or(-1),
            deadline: timer_limit,
            is_redial: body.get("againByClient").and_then(Value::as_bool).unwrap_or(false),
        };
        self.rules.on_call_request(session, offer);
        Ok(())
    }

    fn settled(&mut self, body: &Value) -> Result<(), String> {
        let why = whole(body, "why").unwrap_or(0);
        let wait = Span::from_millis(why >> 4);
        let ending = match whole(body, "result").ok_or("Settled: no result")? {
            0 => InviteOutcome::Failed { lines_busy: why & 15 == 4 },
            1 => InviteOutcome::Released,
            // A wait stands above the four bits of the reason.
            2 => InviteOutcome::Rejected {
                no_line: why & 15 == 1,
                retry_after: (wait > Span::ZERO).then_some(wait),
            },
            3 => InviteOutcome::TimedOut,
            4 => InviteOutcome::ConnectFailed,
            5 => InviteOutcome::Reset,
            6 => InviteOutcome::Cancelled,
            7 => InviteOutcome::Unsent,
            other => return Err(format!("Settled: unknown result {other}")),
        };
        let server = self.tell_state(body)?.ok_or("Settled: unknown server")?;
        let Some(session) = self.session(body)? else { return Ok(()) };
        let over = body.get("final").and_then(Value::as_bool).unwrap_or(false);
        let caller = self.door.caller(session);
        caller.open = caller.open.saturating_sub(1);
        caller.answered |= over;
        self.rules.on_invite_ended(session, server, ending, over);
        self.door.leave(session);
        Ok(())
    }

    /// The server that an event names, once the rules know of its lines and its load.
    fn tell_state(&mut self, body: &Value) -> Result<Option<ServerIx>, String> {
        let server = self.server(body)?;
        if let (Some(server), Some(lines)) = (server, lines(body)) {
            self.rules.on_line_capacity(server, lines);
        }
        if let Some(server) = server {
            self.rules.on_load_report(server, report(body));
        }
        Ok(server)
    }

    /// The session that an event names; none where it is finished and forgotten.
    fn session(&self, body: &Value) -> Result<Option<SessionIx>, String> {
        let id = body.get("req").and_then(Value::as_str).ok_or("no req")?;
        Ok(self.door.session(id))
    }

    fn server(&self, body: &Value) -> Result<Option<ServerIx>, String> {
        Ok(self.door.known_server(whole(body, "server").ok_or("no server")?))
    }

    /// Pulls the decisions of this turn and writes them as actions.
    pub fn decisions(&mut self, now: Moment) -> Vec<Value> {
        self.rules.advance_to(now);
        let mut actions = Vec::new();
        if std::mem::take(&mut self.ask) {
            actions.push(json!({"Tail": {"want": true}}));
        }
        while let Some(decision) = self.rules.next_decision() {
            actions.push(self.action(decision));
        }
        if let Some(wake) = self.rules.poll_timeout()
            && self.armed.is_none_or(|armed| wake < armed)
        {
            self.armed = Some(wake);
            actions.push(json!({"Timer": {"offsetMs": millis(wake.since(now)), "label": 0}}));
        }
        actions
    }

    fn action(&mut self, decision: Decision) -> Value {
        match decision {
            Decision::Invite { session, server, answer_timeout: patience } => {
                let server = self.door.server_id(server);
                let caller = self.door.caller(session);
                caller.open += 1;
                let mut fields = json!({"req": caller.id, "server": server});
                if let Some(patience) = patience {
                    fields["tryForMs"] = json!(millis(patience));
                }
                json!({"Deliver": fields})
            }
            Decision::Reject { session, retry_after: come_back } => {
                let mut fields = json!({"req": self.answered(session)});
                if let Some(away) = come_back {
                    fields["comeBackMs"] = json!(millis(away));
                }
                json!({"SayNo": fields})
            }
            Decision::Fail { session } => json!({"Fail": {"req": self.answered(session)}}),
        }
    }

    fn answered(&mut self, session: SessionIx) -> String {
        let caller = self.door.caller(session);
        caller.answered = true;
        let id = caller.id.clone();
        self.door.leave(session);
        id
    }
}

fn integer(body: &Value, key: &str) -> Option<i64> {
    body.get(key).and_then(Value::as_i64)
}

fn lines(body: &Value) -> Option<LineCapacity> {
    let figure = |name: &str| body.get("telemetry")?.get(name)?.as_u64();
    Some(LineCapacity { free: figure("free")? as u32, total: figure("size")? as u32 })
}

/// What a report says of the processor; a negative figure says nothing.
fn report(body: &Value) -> LoadReport {
    let figure = |name: &str| body.get("telemetry")?.get(name)?.as_f64().filter(|figure| *figure >= 0.0);
    LoadReport { accepted_rate: figure("can_take"), hold_back_share: figure("hold_back") }
}
