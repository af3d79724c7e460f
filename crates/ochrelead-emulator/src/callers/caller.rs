//! The state of one caller, and the encoding of its attempt ids.

use ochrelead_core::time::{Moment, Span};
use ochrelead_mgcp::message::Endpoint;

/// Number of leading digits of an attempt id that hold the caller id; the remaining digits count its attempts.
const CALLER_ID_DIGITS: usize = 8;

/// A scheduled action of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Action {
    Dial,
    GiveUp,
    HangUp,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum CallerState {
    /// On hook, between two attempts.
    Idle,
    /// The caller has dialled and waits for an answer.
    Waiting,
    /// The call is established. Holds the far end as named by the front.
    Connected { far_end: String },
}

pub(super) struct Caller {
    /// The index of the front that serves the caller.
    pub(super) front: usize,
    /// The endpoint of the caller's line at the gateway.
    pub(super) line: Endpoint,
    /// The dialled digits.
    pub(super) digits: String,
    /// The caller redials after a short fixed delay, and more often than others.
    pub(super) redials_aggressively: bool,
    pub(super) first_attempt_at: Moment,
    pub(super) attempts: u32,
    pub(super) max_redials: u32,
    /// The time from the first attempt to the caller's deadline.
    pub(super) timer_limit: Span,
    /// How long the caller waits for an answer in one attempt.
    pub(super) answer_timeout: Span,
    pub(super) hold_time: Span,
    pub(super) state: CallerState,
    /// The scheduled action of the caller; there is at most one.
    pub(super) next_action: Option<(Moment, Action)>,
}

impl Caller {
    /// Returns the id of the current attempt: eight hexadecimal digits for the caller id, then at least two for the
    /// number of the attempt.
    pub(super) fn attempt_id(&self, caller_id: u32) -> String {
        format!("{caller_id:08X}{:02X}", self.attempts)
    }

    /// Returns the time after which the caller no longer needs to be connected.
    pub(super) fn deadline(&self) -> Moment {
        self.first_attempt_at + self.timer_limit
    }
}

/// Returns the caller id of an attempt id. Returns 0, which no caller has, if the attempt id is invalid.
pub(super) fn caller_id(attempt: &str) -> u32 {
    attempt.get(..CALLER_ID_DIGITS).and_then(|digits| u32::from_str_radix(digits, 16).ok()).unwrap_or(0)
}
