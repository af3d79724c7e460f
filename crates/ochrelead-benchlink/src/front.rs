//! One instance: translates its events to calls of the controller, and the controller's decisions to actions.

use ochrelead_core::controller::Controller;
use ochrelead_core::index::{ServerIx, ServiceIx, SessionIx, TenantIx};
use ochrelead_core::time::{Moment, Span};
use ochrelead_core::types::{
    CallRequest, Decision, EndpointState, EndpointUpdate, InviteOutcome, LineCapacity, LoadReport,
};
use ochrelead_platform::settings::Settings;
use serde_json::{Value, json};

use crate::error::EventError;
use crate::fields::{flag, integer, millis, moment, required, text, unsigned};
use crate::id_table::IdTable;

/// Number of low bits of `why` that hold the reason of a rejection; the bits above hold the retry-after in ms.
const REASON_BITS: u32 = 4;
const REASON_MASK: u64 = (1 << REASON_BITS) - 1;
const REASON_NO_LINE: u64 = 1;
const REASON_LINES_BUSY: u64 = 4;

/// One entry of a numbered endpoint list.
pub(crate) struct Endpoint {
    server: u64,
    number: i64,
    state: EndpointState,
}

impl Endpoint {
    /// Reads an entry of `Page`.
    pub(crate) fn read(entry: &Value) -> Result<Endpoint, EventError> {
        let started = moment(entry, "startTimeMs").filter(|started| *started > Moment::START);
        let state = match text(entry, "availability") {
            None | Some("ready") => EndpointState::Ready { started },
            Some("draining") => EndpointState::Draining,
            Some("gone") => EndpointState::Gone,
            Some(other) => return Err(unknown_value("Page", "availability", &other)),
        };
        let server = unsigned(entry, "server").ok_or(EventError::EntryWithoutServer)?;
        Ok(Endpoint { server, number: integer(entry, "number").unwrap_or(0), state })
    }
}

/// One instance of the controller on the wire.
pub(crate) struct Front {
    controller: Controller,
    ids: IdTable,
    services: usize,
    /// Whether endpoint lists are sent only on request.
    lists_on_request: bool,
    /// Whether the next reply requests the endpoint list.
    request_list: bool,
    /// When the earliest pending timer fires.
    timer_at: Option<Moment>,
}

impl Front {
    /// Starts an instance from the body of its `Hello`.
    pub(crate) fn start(body: &Value, now: Moment) -> Result<Front, EventError> {
        let settings = Settings::parse(body.get("facts")).map_err(EventError::Settings)?;
        let config = settings.controller_config(unsigned(body, "initSeed").unwrap_or(0));
        let lists_on_request = settings.discovery == "on_request";
        Ok(Front {
            controller: Controller::new(&config, now),
            ids: IdTable::default(),
            services: config.services.len(),
            lists_on_request,
            request_list: lists_on_request,
            timer_at: None,
        })
    }

    /// Handles `Endpoints`. `list` is the list that it refers to, if that list has been sent.
    pub(crate) fn update_endpoints(
        &mut self,
        scope: &str,
        list: Option<&[Endpoint]>,
        now: Moment,
    ) -> Result<(), EventError> {
        let is_complete = match scope {
            "replace" | "restored" => true,
            "update" => false,
            "unavailable" => {
                self.request_list = self.lists_on_request;
                return Ok(());
            }
            other => return Err(unknown_value("Endpoints", "scope", &other)),
        };
        let endpoints = list.ok_or(EventError::UnknownList)?;
        let ids = &mut self.ids;
        let update = |endpoint: &Endpoint| EndpointUpdate {
            server: ids.add_server(endpoint.server),
            number: endpoint.number,
            state: endpoint.state,
            weight: 1.0,
        };
        let updates: Vec<EndpointUpdate> = endpoints.iter().map(update).collect();
        self.controller.advance_to(now);
        self.controller.on_endpoints(is_complete, &updates);
        Ok(())
    }

    /// Handles any other event of a started instance. Events with an unknown name are ignored, so that later
    /// versions of the wire can add events.
    pub(crate) fn handle_event(&mut self, name: &str, body: &Value, now: Moment) -> Result<(), EventError> {
        self.controller.advance_to(now);
        match name {
            "Wake" => self.timer_at = self.timer_at.filter(|timer_at| *timer_at > now),
            "Inbound" => self.handle_call_request(body)?,
            "UnderWay" => {
                if let Some(session) = self.session(body)? {
                    self.controller.on_call_established(session);
                }
            }
            "Settled" => self.handle_invite_ended(body)?,
            "CancelledByClient" => {
                if let Some(session) = self.session(body)? {
                    self.ids.session_mut(session).is_answered = true;
                    self.controller.on_caller_gone(session);
                    self.ids.remove_if_over(session);
                }
            }
            "Health" => {
                self.report_server(body)?;
            }
            _ => {}
        }
        Ok(())
    }

    fn handle_call_request(&mut self, body: &Value) -> Result<(), EventError> {
        let id = required(text(body, "req"), "Inbound", "req")?;
        let lane = unsigned(body, "lane").unwrap_or(0);
        let service = usize::try_from(lane).ok().filter(|service| *service < self.services);
        let service = service.ok_or_else(|| unknown_value("Inbound", "lane", &lane))?;
        let deadline = required(moment(body, "dropDeadMs"), "Inbound", "dropDeadMs")?;
        let session = self.ids.add_session(id);
        let session = session.ok_or_else(|| EventError::DuplicateSession { id: id.to_owned() })?;
        let request = CallRequest {
            service: ServiceIx::new(service),
            tenant: Some(tenant(body)),
            called_number: text(body, "affinity").map(|key| self.ids.add_called_number(key)),
            destination: integer(body, "calledNode").unwrap_or(-1),
            deadline,
            is_redial: flag(body, "againByClient"),
        };
        self.controller.on_call_request(session, request);
        Ok(())
    }

    fn handle_invite_ended(&mut self, body: &Value) -> Result<(), EventError> {
        let outcome = invite_outcome(body)?;
        let server = self.report_server(body)?.ok_or(EventError::UnknownServer)?;
        let Some(session) = self.session(body)? else { return Ok(()) };
        let is_final = flag(body, "final");
        let state = self.ids.session_mut(session);
        state.open_invites = state.open_invites.saturating_sub(1);
        state.is_answered |= is_final;
        self.controller.on_invite_ended(session, server, outcome, is_final);
        self.ids.remove_if_over(session);
        Ok(())
    }

    /// Passes an event's report of its server's lines and load to the controller. Returns the server, or `None`
    /// if no list has named it.
    fn report_server(&mut self, body: &Value) -> Result<Option<ServerIx>, EventError> {
        let id = unsigned(body, "server").ok_or(EventError::MissingCommonField("server"))?;
        let Some(server) = self.ids.server_index(id) else { return Ok(None) };
        if let Some(lines) = line_capacity(body) {
            self.controller.on_line_capacity(server, lines);
        }
        self.controller.on_load_report(server, load_report(body));
        Ok(Some(server))
    }

    /// Returns the session that an event names, or `None` if it is over or unknown.
    fn session(&self, body: &Value) -> Result<Option<SessionIx>, EventError> {
        let id = text(body, "req").ok_or(EventError::MissingCommonField("req"))?;
        Ok(self.ids.session_index(id))
    }

    /// Returns the decisions that are due at `now`, and the timer for the next ones, as actions on the wire.
    pub(crate) fn actions(&mut self, now: Moment) -> Vec<Value> {
        self.controller.advance_to(now);
        let mut actions = Vec::new();
        if std::mem::take(&mut self.request_list) {
            actions.push(json!({"Tail": {"want": true}}));
        }
        while let Some(decision) = self.controller.next_decision() {
            actions.push(self.action(decision));
        }
        if let Some(timeout_at) = self.controller.poll_timeout()
            && self.timer_at.is_none_or(|timer_at| timeout_at < timer_at)
        {
            self.timer_at = Some(timeout_at);
            actions.push(json!({"Timer": {"offsetMs": millis(timeout_at.since(now)), "label": 0}}));
        }
        actions
    }

    fn action(&mut self, decision: Decision) -> Value {
        match decision {
            Decision::Invite { session, server, answer_timeout } => {
                let server = self.ids.server_id(server);
                let state = self.ids.session_mut(session);
                state.open_invites += 1;
                let mut fields = json!({"req": state.id, "server": server});
                if let Some(answer_timeout) = answer_timeout {
                    fields["tryForMs"] = json!(millis(answer_timeout));
                }
                json!({"Deliver": fields})
            }
            Decision::Reject { session, retry_after } => {
                let mut fields = json!({"req": self.mark_answered(session)});
                if let Some(retry_after) = retry_after {
                    fields["comeBackMs"] = json!(millis(retry_after));
                }
                json!({"SayNo": fields})
            }
            Decision::Fail { session } => json!({"Fail": {"req": self.mark_answered(session)}}),
        }
    }

    /// Marks the session as answered, removes it if it is over, and returns its id.
    fn mark_answered(&mut self, session: SessionIx) -> String {
        let state = self.ids.session_mut(session);
        state.is_answered = true;
        let id = state.id.clone();
        self.ids.remove_if_over(session);
        id
    }
}

fn unknown_value(event: &'static str, field: &'static str, value: &impl ToString) -> EventError {
    EventError::UnknownValue { event, field, value: value.to_string() }
}

/// Returns the tenant of a request: the low 32 bits of `clientGroup`, 0 if missing.
fn tenant(body: &Value) -> TenantIx {
    let number = unsigned(body, "clientGroup").unwrap_or(0) & u64::from(u32::MAX);
    TenantIx::new(number as usize)
}

fn invite_outcome(body: &Value) -> Result<InviteOutcome, EventError> {
    let why = unsigned(body, "why").unwrap_or(0);
    let (reason, retry_after) = (why & REASON_MASK, Span::from_millis(why >> REASON_BITS));
    Ok(match required(unsigned(body, "result"), "Settled", "result")? {
        0 => InviteOutcome::Failed { lines_busy: reason == REASON_LINES_BUSY },
        1 => InviteOutcome::Released,
        2 => InviteOutcome::Rejected {
            no_line: reason == REASON_NO_LINE,
            retry_after: (retry_after > Span::ZERO).then_some(retry_after),
        },
        3 => InviteOutcome::TimedOut,
        4 => InviteOutcome::ConnectFailed,
        5 => InviteOutcome::Reset,
        6 => InviteOutcome::Cancelled,
        7 => InviteOutcome::Unsent,
        other => return Err(unknown_value("Settled", "result", &other)),
    })
}

/// Returns the lines that an event reports, if it has both numbers; each is truncated to 32 bits.
fn line_capacity(body: &Value) -> Option<LineCapacity> {
    let lines = |name: &str| body.get("telemetry")?.get(name)?.as_u64().map(|lines| lines as u32);
    Some(LineCapacity { free: lines("free")?, total: lines("size")? })
}

/// Returns the processor load that an event reports; a missing or negative number is `None`.
fn load_report(body: &Value) -> LoadReport {
    let number = |name: &str| body.get("telemetry")?.get(name)?.as_f64().filter(|number| *number >= 0.0);
    LoadReport { accepted_rate: number("can_take"), hold_back_share: number("hold_back") }
}
