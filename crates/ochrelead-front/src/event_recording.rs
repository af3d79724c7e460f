//! From notes to records.

use ochrelead_core::time::Span;
use ochrelead_core::types::{
    BudgetGrant, DecisionReason, InviteOutcome, RejectionCause, RoutingChoice, ServerSnapshot,
};
use ochrelead_event_log::LINES;
use ochrelead_event_log::schema::{self, event::What};

use crate::events::{EngineEvent, SessionStep};

/// The record of a note; none where it is for the log alone. `generation`: of the fleet in force.
pub fn record(note: &EngineEvent, generation: u64) -> Option<What> {
    Some(match note {
        EngineEvent::Session { attempt: tried, step: what } => step(tried.clone(), what)?,
        EngineEvent::ServerRestart { name, state: what } => {
            What::Told(schema::Told { server: name.clone(), what: (*what).to_owned() })
        }
        EngineEvent::Lines { name, lines } => What::Told(schema::Told {
            server: name.clone(),
            what: format!("{LINES}{}/{}", lines.free, lines.total),
        }),
        EngineEvent::EndpointsChanged(posts) => {
            let server = posts.iter().map(|(post, _)| post.name.clone()).collect();
            What::Fleet(schema::Fleet { generation, server })
        }
        EngineEvent::Stalled(span) => What::PausedUs(span.micros()),
        EngineEvent::MessageIgnored { .. } => return None,
    })
}

fn step(tried: String, what: &SessionStep) -> Option<What> {
    Some(match what.clone() {
        SessionStep::Accepted {
            service,
            tenant: member,
            destination,
            called_number: called,
            is_redial: redial,
        } => What::Taken(schema::Taken {
            tried,
            service: service as u32,
            member: member.map_or(0, |member| member as u32 + 1),
            destination,
            called,
            redial,
        }),
        SessionStep::Invited { server, attempt: nth, reason: why } => {
            let (choice, payment) = sent(why);
            let (choice, payment) = (choice.into(), payment.into());
            What::Invite(schema::Invite { tried, server, nth, choice, payment })
        }
        SessionStep::InviteEnded { server, outcome: ending, duration: took } => {
            let (ending, took_us) = (ended(ending).into(), took.micros());
            What::Ended(schema::Ended { tried, server, ending, took_us })
        }
        SessionStep::Established { server, set_up_time: took, since_request: since_taken } => {
            What::Stands(schema::Stands {
                tried,
                server,
                took_us: took.micros(),
                since_taken_us: since_taken.micros(),
            })
        }
        SessionStep::Rejected { cause: denial, refused, retry_after_ms: come_back_ms } => {
            What::GivenUp(schema::GivenUp {
                tried,
                denial: denied(denial).into(),
                refused,
                come_back_ms: come_back_ms.unwrap_or(0) as u32,
            })
        }
        SessionStep::CallerGone { invite: out } => {
            let (server, waited) = out.unwrap_or_default();
            What::HungUp(schema::HungUp { tried, server, waited_us: waited.micros() })
        }
        SessionStep::CutByServer { server } => What::Cut(schema::Cut { tried, server }),
        SessionStep::Released { server, confirmed } => {
            What::Released(schema::Released { tried, server, confirmed })
        }
        SessionStep::UnclaimedCallReleased { .. } => return None,
    })
}

fn sent(why: Option<DecisionReason>) -> (schema::Choice, schema::Payment) {
    let Some(DecisionReason::Sent { choice, grant: payment }) = why else {
        return (schema::Choice::Destination, schema::Payment::Free);
    };
    let choice = match choice {
        RoutingChoice::Destination => schema::Choice::Destination,
        RoutingChoice::WeightedDraw => schema::Choice::Drawn,
    };
    let payment = match payment {
        BudgetGrant::Free => schema::Payment::Free,
        BudgetGrant::Token => schema::Payment::Token,
        BudgetGrant::Floor => schema::Payment::Floor,
    };
    (choice, payment)
}

fn denied(denial: Option<RejectionCause>) -> schema::Denial {
    match denial {
        None => schema::Denial::Front,
        Some(RejectionCause::NotRetryable) => schema::Denial::NotAgain,
        Some(RejectionCause::DeadlineTooClose) => schema::Denial::TooLate,
        Some(RejectionCause::CalledNumberBusy) => schema::Denial::NumberBusy,
        Some(RejectionCause::AttemptsExhausted) => schema::Denial::InvitesSpent,
        Some(RejectionCause::NoCapacity) => schema::Denial::NoRoom,
        Some(RejectionCause::NoRetryBudget) => schema::Denial::NoToken,
    }
}

fn ended(ending: InviteOutcome) -> schema::Ending {
    match ending {
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

/// What is held of a server, as a record.
pub fn outlook(server: String, held: ServerSnapshot, unheard: Option<Span>) -> What {
    What::Outlook(schema::Outlook {
        server,
        limit: held.in_flight_limit,
        waiting: held.in_flight,
        answer_us: held.answer_time.micros(),
        sick: held.ejected,
        fresh: held.warming_up,
        troubled: held.last_attempt_failed,
        flow: held.setup_rate.unwrap_or(-1.0),
        free: held.lines.free,
        lines: held.lines.total,
        unheard_us: unheard.map_or(0, |span| span.micros().max(1)),
    })
}
