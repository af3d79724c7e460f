//! What a server's final response means to the module (RFC 3435 section 2.4).

use ochrelead_core::call::{Ending, Lines, Report};
use ochrelead_core::time::Span;
use ochrelead_mgcp::message::{Parameters, Response, code, name};

/// How a set-up ended by this response; none where it stands.
pub fn of_set_up(response: &Response) -> Option<Ending> {
    match response.code {
        200..=299 => None,
        code::OVERLOAD => {
            let wait = response.parameters.read::<u32>(name::WAIT).filter(|ms| *ms > 0);
            Some(Ending::BusyReplied {
                no_line: false,
                wait: wait.map(|ms| Span::from_millis(u64::from(ms))),
            })
        }
        code::NO_RESOURCES | code::NO_ENDPOINT => Some(Ending::BusyReplied { no_line: true, wait: None }),
        // The called line is off hook: busy for everybody, and no trouble of the server.
        code::OFF_HOOK => Some(Ending::Fault { lines_busy: true }),
        // What was begun is cut by the restart; the release is awaited as after any reset.
        code::RESTARTING | code::ABORTED | code::ENDPOINT_RESTARTING => Some(Ending::Reset),
        code::TIMED_OUT => Some(Ending::TimedOut),
        _ => Some(Ending::Fault { lines_busy: false }),
    }
}

/// A server's lines, `free/all`, where it tells them. More free than there are is no news.
pub fn lines(parameters: &Parameters) -> Option<Lines> {
    let (free, all) = parameters.get(name::LINES)?.split_once('/')?;
    let lines = Lines { free: free.trim().parse().ok()?, all: all.trim().parse().ok()? };
    (lines.free <= lines.all).then_some(lines)
}

/// What a server says of its processor; a figure out of its range says nothing.
pub fn report(parameters: &Parameters) -> Report {
    let figure =
        |name: &str| parameters.read::<f64>(name).filter(|figure| figure.is_finite() && *figure >= 0.0);
    Report {
        can_take: figure(name::CAN_TAKE),
        hold_back: figure(name::HOLD_BACK).filter(|share| *share <= 1.0),
    }
}
