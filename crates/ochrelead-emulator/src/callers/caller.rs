//! One caller, and the ids of its attempts.

use ochrelead_core::time::{Moment, Span};
use ochrelead_mgcp::message::Endpoint;

/// How many digits of an attempt's id name the caller; the others count its attempts.
const CALLER_ID_DIGITS: usize = 8;

/// What a caller does next.
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
    /// It has dialled and waits for an answer.
    Waiting,
    /// It talks. The far end is as the front has named it.
    Connected { far_end: String },
}

pub(super) struct Caller {
    /// The index of its front.
    pub(super) front: usize,
    /// Its line at the gateway.
    pub(super) line: Endpoint,
    /// What it dials.
    pub(super) digits: String,
    /// It redials at once, and more often than others.
    pub(super) is_impatient: bool,
    pub(super) first_attempt_at: Moment,
    pub(super) attempts: u32,
    pub(super) max_redials: u32,
    /// How long after its first attempt it wants to be connected.
    pub(super) timer_limit: Span,
    /// How long it waits in one attempt.
    pub(super) patience: Span,
    pub(super) hold_time: Span,
    pub(super) state: CallerState,
    /// The one action that is scheduled for it.
    pub(super) next_action: Option<(Moment, Action)>,
}

impl Caller {
    /// The id of the present attempt of the caller with this id: eight hexadecimal digits for the caller, two for the
    /// attempt.
    pub(super) fn attempt_id(&self, caller_id: u32) -> String {
        format!("{caller_id:08X}{:02X}", self.attempts)
    }

    /// When the caller no longer wants to be connected.
    pub(super) fn deadline(&self) -> Moment {
        self.first_attempt_at + self.timer_limit
    }
}

/// The caller that an attempt's id names; 0, which no caller has, where it names none.
pub(super) fn caller_id(attempt: &str) -> u32 {
    attempt.get(..CALLER_ID_DIGITS).and_then(|digits| u32::from_str_radix(digits, 16).ok()).unwrap_or(0)
}
