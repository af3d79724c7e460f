//! What a server's final response means to the module (RFC 3435 section 2.4).

use ochrelead_core::time::Span;
use ochrelead_core::types::{InviteOutcome, LineCapacity, LoadReport};
use ochrelead_mgcp::message::{Parameters, Response, code, name};

/// How a set-up ended by this response; none where it stands.
pub fn from_response(response: &Response) -> Option<InviteOutcome> {
    match response.code {
        200..=299 => None,
        code::OVERLOAD => {
            let wait = response.parameters.read::<u32>(name::WAIT).filter(|ms| *ms > 0);
            Some(InviteOutcome::Rejected {
                no_line: false,
                retry_after: wait.map(|ms| Span::from_millis(u64::from(ms))),
            })
        }
        code::NO_RESOURCES | code::NO_ENDPOINT => {
            Some(InviteOutcome::Rejected { no_line: true, retry_after: None })
        }
        // The called line is off hook: busy for everybody, and no trouble of the server.
        code::OFF_HOOK => Some(InviteOutcome::Failed { lines_busy: true }),
        // What was begun is cut by the restart; the release is awaited as after any reset.
        code::RESTARTING | code::ABORTED | code::ENDPOINT_RESTARTING => Some(InviteOutcome::Reset),
        code::TIMED_OUT => Some(InviteOutcome::TimedOut),
        _ => Some(InviteOutcome::Failed { lines_busy: false }),
    }
}

/// A server's lines, `free/all`, where it tells them. More free than there are is no news.
pub fn parse_lines(parameters: &Parameters) -> Option<LineCapacity> {
    let (free, all) = parameters.get(name::LINES)?.split_once('/')?;
    let lines = LineCapacity { free: free.trim().parse().ok()?, total: all.trim().parse().ok()? };
    (lines.free <= lines.total).then_some(lines)
}

/// What a server says of its processor; a figure out of its range says nothing.
pub fn parse_load_report(parameters: &Parameters) -> LoadReport {
    let figure =
        |name: &str| parameters.read::<f64>(name).filter(|figure| figure.is_finite() && *figure >= 0.0);
    LoadReport {
        accepted_rate: figure(name::CAN_TAKE),
        hold_back_share: figure(name::HOLD_BACK).filter(|share| *share <= 1.0),
    }
}
