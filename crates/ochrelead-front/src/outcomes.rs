//! Maps a server's final response to an outcome for the policy (RFC 3435 section 2.4).

use ochrelead_core::time::Span;
use ochrelead_core::types::{InviteOutcome, LineCapacity, LoadReport};
use ochrelead_mgcp::message::{Parameters, Response, code, parameter};

/// The outcome of an INVITE with this final response; `None` if the call is established.
pub fn from_response(response: &Response) -> Option<InviteOutcome> {
    match response.code {
        200..=299 => None,
        code::OVERLOAD => {
            let wait_ms =
                response.parameters.parse::<u32>(parameter::SERVER_RETRY_AFTER).filter(|ms| *ms > 0);
            let retry_after = wait_ms.map(|ms| Span::from_millis(u64::from(ms)));
            Some(InviteOutcome::Rejected { no_line: false, retry_after })
        }
        code::NO_RESOURCES | code::NO_ENDPOINT => {
            Some(InviteOutcome::Rejected { no_line: true, retry_after: None })
        }
        // The called line is off hook: it is busy at every server, and the server is not at fault.
        code::OFF_HOOK => Some(InviteOutcome::Failed { lines_busy: true }),
        // The restart ends calls that are being set up; the policy awaits the release as after any reset.
        code::RESTARTING | code::ABORTED | code::ENDPOINT_RESTARTING => Some(InviteOutcome::Reset),
        code::TIMED_OUT => Some(InviteOutcome::TimedOut),
        _ => Some(InviteOutcome::Failed { lines_busy: false }),
    }
}

/// Parses a server's line capacity, `free/total`; `None` if it is absent, malformed, or has more free lines than lines
/// in total.
pub fn parse_lines(parameters: &Parameters) -> Option<LineCapacity> {
    let (free, total) = parameters.get(parameter::LINE_CAPACITY)?.split_once('/')?;
    let lines = LineCapacity { free: free.trim().parse().ok()?, total: total.trim().parse().ok()? };
    (lines.free <= lines.total).then_some(lines)
}

/// Parses a server's load report; values out of their range are ignored.
pub fn parse_load_report(parameters: &Parameters) -> LoadReport {
    let parse_value =
        |name: &str| parameters.parse::<f64>(name).filter(|value| value.is_finite() && *value >= 0.0);
    LoadReport {
        accepted_rate: parse_value(parameter::ACCEPTED_RATE),
        hold_back_share: parse_value(parameter::HOLD_BACK_SHARE).filter(|share| *share <= 1.0),
    }
}
