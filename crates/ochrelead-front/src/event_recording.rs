//! Converts the engine's events to records of the event log.

use ochrelead_core::time::Span;
use ochrelead_core::types::{BudgetGrant, DecisionReason, InviteOutcome, RejectionCause, RoutingChoice};
use ochrelead_event_log::LINE_REPORT_PREFIX;
use ochrelead_event_log::schema::{self, event::What};

use crate::engine::ServerReport;
use crate::events::{EngineEvent, SessionStep};

/// The recorded setup rate of a server whose rate is not known.
const UNKNOWN_SETUP_RATE: f64 = -1.0;

/// Converts an event to a record; `None` if it is only logged. `generation` is that of the server list in use.
pub fn to_record(event: &EngineEvent, generation: u64) -> Option<What> {
    Some(match event {
        EngineEvent::Session { attempt, step } => step_record(attempt.clone(), step)?,
        EngineEvent::ServerRestart { name, state } => {
            What::Told(schema::Told { server: name.clone(), what: (*state).to_owned() })
        }
        EngineEvent::Lines { name, lines } => What::Told(schema::Told {
            server: name.clone(),
            what: format!("{LINE_REPORT_PREFIX}{}/{}", lines.free, lines.total),
        }),
        EngineEvent::EndpointsChanged(endpoints) => {
            let server = endpoints.iter().map(|server| server.endpoint.name.clone()).collect();
            What::Fleet(schema::Fleet { generation, server })
        }
        EngineEvent::Stalled(span) => What::PausedUs(span.micros()),
        EngineEvent::MessageIgnored { .. } => return None,
    })
}

fn step_record(attempt_id: String, step: &SessionStep) -> Option<What> {
    Some(match step.clone() {
        SessionStep::Accepted { service, tenant, destination, called_number, is_redial } => {
            What::Taken(schema::Taken {
                tried: attempt_id,
                service: service as u32,
                member: tenant.map_or(0, |tenant| tenant as u32 + 1),
                destination,
                called: called_number,
                redial: is_redial,
            })
        }
        SessionStep::Invited { server, attempt, reason } => {
            let (choice, payment) = sent_record(reason);
            let (choice, payment) = (choice.into(), payment.into());
            What::Invite(schema::Invite { tried: attempt_id, server, nth: attempt, choice, payment })
        }
        SessionStep::InviteEnded { server, outcome, duration } => What::Ended(schema::Ended {
            tried: attempt_id,
            server,
            ending: outcome_record(outcome).into(),
            took_us: duration.micros(),
        }),
        SessionStep::Established { server, set_up_time, since_request } => What::Stands(schema::Stands {
            tried: attempt_id,
            server,
            took_us: set_up_time.micros(),
            since_taken_us: since_request.micros(),
        }),
        SessionStep::Rejected { cause, refused, retry_after_ms } => What::GivenUp(schema::GivenUp {
            tried: attempt_id,
            denial: cause_record(cause).into(),
            refused,
            come_back_ms: retry_after_ms.unwrap_or(0) as u32,
        }),
        SessionStep::CallerGone { invite } => {
            let invite = invite.unwrap_or_default();
            let waited_us = invite.waited.micros();
            What::HungUp(schema::HungUp { tried: attempt_id, server: invite.server, waited_us })
        }
        SessionStep::CutByServer { server } => What::Cut(schema::Cut { tried: attempt_id, server }),
        SessionStep::Released { server, confirmed } => {
            What::Released(schema::Released { tried: attempt_id, server, confirmed })
        }
        SessionStep::UnclaimedCallReleased { .. } => return None,
    })
}

fn sent_record(reason: Option<DecisionReason>) -> (schema::Choice, schema::Payment) {
    let Some(DecisionReason::Sent { choice, grant }) = reason else {
        return (schema::Choice::Destination, schema::Payment::Free);
    };
    let choice = match choice {
        RoutingChoice::Destination => schema::Choice::Destination,
        RoutingChoice::WeightedDraw => schema::Choice::Drawn,
    };
    let payment = match grant {
        BudgetGrant::Free => schema::Payment::Free,
        BudgetGrant::Token => schema::Payment::Token,
        BudgetGrant::Floor => schema::Payment::Floor,
    };
    (choice, payment)
}

fn cause_record(cause: Option<RejectionCause>) -> schema::Denial {
    match cause {
        None => schema::Denial::Front,
        Some(RejectionCause::NotRetryable) => schema::Denial::NotAgain,
        Some(RejectionCause::DeadlineTooClose) => schema::Denial::TooLate,
        Some(RejectionCause::CalledNumberBusy) => schema::Denial::NumberBusy,
        Some(RejectionCause::AttemptsExhausted) => schema::Denial::InvitesSpent,
        Some(RejectionCause::NoCapacity) => schema::Denial::NoRoom,
        Some(RejectionCause::NoRetryBudget) => schema::Denial::NoToken,
    }
}

fn outcome_record(outcome: InviteOutcome) -> schema::Ending {
    match outcome {
        InviteOutcome::Released | InviteOutcome::Failed { lines_busy: false } => schema::Ending::Fault,
        InviteOutcome::Failed { lines_busy: true } => schema::Ending::LinesBusy,
        InviteOutcome::Rejected { no_line: false, .. } => schema::Ending::Full,
        InviteOutcome::Rejected { no_line: true, .. } => schema::Ending::NoLine,
        InviteOutcome::TimedOut => schema::Ending::TimedOut,
        InviteOutcome::ConnectFailed => schema::Ending::ConnectFailed,
        InviteOutcome::Reset => schema::Ending::Reset,
        InviteOutcome::Cancelled => schema::Ending::Cancelled,
        InviteOutcome::Unsent => schema::Ending::Unsent,
    }
}

/// Converts the state of a server to a record.
pub fn server_record(report: ServerReport) -> What {
    let ServerReport { name, snapshot, silent_for } = report;
    What::Outlook(schema::Outlook {
        server: name,
        limit: snapshot.in_flight_limit,
        waiting: snapshot.in_flight,
        answer_us: snapshot.answer_time.micros(),
        sick: snapshot.ejected,
        fresh: snapshot.warming_up,
        troubled: snapshot.last_attempt_failed,
        flow: snapshot.setup_rate.unwrap_or(UNKNOWN_SETUP_RATE),
        free: snapshot.lines.free,
        lines: snapshot.lines.total,
        // 0 means that no message of the server was ever received.
        unheard_us: silent_for.map_or(0, |span: Span| span.micros().max(1)),
    })
}
