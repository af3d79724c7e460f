//! One instance: its events become calls of the rules, the rules' decisions its actions.

use serde_json::{Value, json};

use crate::door::Door;
use crate::{millis, moment, whole};
use ochrelead_core::call::{Decision, Ending, Lines, ListState, Listing, Offer, Report};
use ochrelead_core::index::{MemberIx, ServerIx, ServiceIx, SessionIx};
use ochrelead_core::rules::Controller;
use ochrelead_core::time::{Moment, Span};
use ochrelead_platform::facts::Facts;

/// One line of a numbered list.
pub struct Entry {
    server: u64,
    number: i64,
    state: ListState,
}

impl Entry {
    pub fn read(line: &Value) -> Result<Entry, String> {
        let started = line.get("startTimeMs").and_then(moment).filter(|at| *at > Moment::START);
        let state = match line.get("availability").and_then(Value::as_str) {
            None | Some("ready") => ListState::Ready { started },
            Some("draining") => ListState::Draining,
            Some("gone") => ListState::Gone,
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
        let facts = Facts::read(body.get("facts")).map_err(|error| format!("Hello: facts: {error}"))?;
        let provision = facts.provision(whole(body, "initSeed").unwrap_or(0));
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
        let listings: Vec<Listing> = entries
            .iter()
            .map(|entry| Listing {
                server: self.door.server(entry.server),
                number: entry.number,
                state: entry.state,
                weight: 1.0,
            })
            .collect();
        self.rules.clock(now);
        self.rules.listed(entire, &listings);
        Ok(())
    }

    pub fn take(&mut self, name: &str, body: &Value, now: Moment) -> Result<(), String> {
        self.rules.clock(now);
        match name {
            "Wake" => {
                self.armed = self.armed.filter(|at| *at > now);
                Ok(())
            }
            "Inbound" => self.inbound(body),
            "UnderWay" => {
                if let Some(session) = self.session(body)? {
                    self.rules.stands(session);
                }
                Ok(())
            }
            "Settled" => self.settled(body),
            "CancelledByClient" => {
                if let Some(session) = self.session(body)? {
                    self.door.caller(session).answered = true;
                    self.rules.hung_up(session);
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
        let offer = Offer {
            service: ServiceIx::new(service),
            member: Some(MemberIx::new(whole(body, "clientGroup").unwrap_or(0) as usize)),
            number,
            destination: integer(body, "calledNode").unwrap_or(-1),
            timer_limit,
            redial: body.get("againByClient").and_then(Value::as_bool).unwrap_or(false),
        };
        self.rules.offered(session, offer);
        Ok(())
    }

    fn settled(&mut self, body: &Value) -> Result<(), String> {
        let why = whole(body, "why").unwrap_or(0);
        let wait = Span::from_millis(why >> 4);
        let ending = match whole(body, "result").ok_or("Settled: no result")? {
            0 => Ending::Fault { lines_busy: why & 15 == 4 },
            1 => Ending::Released,
            // A wait stands above the four bits of the reason.
            2 => Ending::BusyReplied { no_line: why & 15 == 1, wait: (wait > Span::ZERO).then_some(wait) },
            3 => Ending::TimedOut,
            4 => Ending::ConnectFailed,
            5 => Ending::Reset,
            6 => Ending::Cancelled,
            7 => Ending::Unsent,
            other => return Err(format!("Settled: unknown result {other}")),
        };
        let server = self.tell_state(body)?.ok_or("Settled: unknown server")?;
        let Some(session) = self.session(body)? else { return Ok(()) };
        let over = body.get("final").and_then(Value::as_bool).unwrap_or(false);
        let caller = self.door.caller(session);
        caller.open = caller.open.saturating_sub(1);
        caller.answered |= over;
        self.rules.ended(session, server, ending, over);
        self.door.leave(session);
        Ok(())
    }

    /// The server that an event names, once the rules know of its lines and its load.
    fn tell_state(&mut self, body: &Value) -> Result<Option<ServerIx>, String> {
        let server = self.server(body)?;
        if let (Some(server), Some(lines)) = (server, lines(body)) {
            self.rules.lines_told(server, lines);
        }
        if let Some(server) = server {
            self.rules.reported(server, report(body));
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
        self.rules.clock(now);
        let mut actions = Vec::new();
        if std::mem::take(&mut self.ask) {
            actions.push(json!({"Tail": {"want": true}}));
        }
        while let Some(decision) = self.rules.decide() {
            actions.push(self.action(decision));
        }
        if let Some(wake) = self.rules.wake()
            && self.armed.is_none_or(|armed| wake < armed)
        {
            self.armed = Some(wake);
            actions.push(json!({"Timer": {"offsetMs": millis(wake.since(now)), "label": 0}}));
        }
        actions
    }

    fn action(&mut self, decision: Decision) -> Value {
        match decision {
            Decision::Invite { session, server, patience } => {
                let server = self.door.server_id(server);
                let caller = self.door.caller(session);
                caller.open += 1;
                let mut fields = json!({"req": caller.id, "server": server});
                if let Some(patience) = patience {
                    fields["tryForMs"] = json!(millis(patience));
                }
                json!({"Deliver": fields})
            }
            Decision::Refuse { session, come_back } => {
                let mut fields = json!({"req": self.answered(session)});
                if let Some(away) = come_back {
                    fields["comeBackMs"] = json!(millis(away));
                }
                json!({"SayNo": fields})
            }
            Decision::Terminate { session } => json!({"Fail": {"req": self.answered(session)}}),
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

fn lines(body: &Value) -> Option<Lines> {
    let figure = |name: &str| body.get("telemetry")?.get(name)?.as_u64();
    Some(Lines { free: figure("free")? as u32, all: figure("size")? as u32 })
}

/// What a report says of the processor; a negative figure says nothing.
fn report(body: &Value) -> Report {
    let figure = |name: &str| body.get("telemetry")?.get(name)?.as_f64().filter(|figure| *figure >= 0.0);
    Report { can_take: figure("can_take"), hold_back: figure("hold_back") }
}
