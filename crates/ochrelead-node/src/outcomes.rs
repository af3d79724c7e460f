//! The mapping from a signalling server's refusal or release to the outcome of an INVITE or call.

use ochrelead_core::types::InviteOutcome;
use ochrelead_sip::message::Message;

/// The header that gives the reason for a refusal.
const DIAGNOSIS: &str = "X-Diagnosis";
/// The Q.850 cause "normal call clearing".
const NORMAL_CLEARING: u32 = 16;

/// The outcome of an INVITE that a server refused with a status code of 300 or above.
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

/// The outcome of an established call that its server released with the given Q.850 cause.
pub(crate) fn of_release(cause: Option<u32>) -> InviteOutcome {
    if cause == Some(NORMAL_CLEARING) { InviteOutcome::Released } else { InviteOutcome::Reset }
}
