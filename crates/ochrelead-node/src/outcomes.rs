//! The outcome of an INVITE or a call, by a signalling server's final response or release.

use ochrelead_core::types::InviteOutcome;
use ochrelead_sip::message::Message;

/// The header with the reason of a refusal.
const DIAGNOSIS: &str = "X-Diagnosis";
/// The Q.850 cause of a normal release.
const NORMAL_CLEARING: u32 = 16;

/// The outcome of an INVITE that was refused with a status code of 300 or more.
pub(crate) fn of_refusal(code: u16, message: &Message) -> InviteOutcome {
    let diagnosis = message.header(DIAGNOSIS);
    match code {
        503 => InviteOutcome::Rejected { no_line: diagnosis == Some("group_full"), retry_after: None },
        480 => InviteOutcome::Unsent,
        504 => InviteOutcome::Reset,
        487 => InviteOutcome::Cancelled,
        _ => InviteOutcome::Failed { lines_busy: diagnosis == Some("user_busy") },
    }
}

/// The outcome of an established call that its server released.
pub(crate) fn of_release(cause: Option<u32>) -> InviteOutcome {
    if cause == Some(NORMAL_CLEARING) { InviteOutcome::Released } else { InviteOutcome::Reset }
}
