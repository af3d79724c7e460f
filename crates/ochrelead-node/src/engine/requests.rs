//! Encoding of the SIP messages that the node sends to servers.

use ochrelead_platform::MAX_MESSAGE_LENGTH;
use ochrelead_platform::caller_messages::CallId;
use ochrelead_sip::message::{Message, encode, header};

/// Encodes a message with the headers common to all messages, the given headers and a body.
pub(super) fn message(
    start_line: &str,
    call: &str,
    sequence: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Vec<u8> {
    let common = [("Via", "SIP/2.0/TCP front"), (header::CALL_ID, call), (header::CSEQ, sequence)];
    encode(start_line, &[&common, headers].concat(), body)
}

/// The parts of an INVITE.
#[derive(Clone, Copy)]
pub(super) struct Invite<'a> {
    pub(super) call: CallId,
    pub(super) called_number: &'a str,
    pub(super) sequence: u32,
    /// The name of the service class.
    pub(super) service: &'a str,
    /// How long the node waits for the answer, in milliseconds.
    pub(super) timer_ms: u64,
    /// The session description.
    pub(super) description: &'a str,
}

impl Invite<'_> {
    pub(super) fn encode(&self) -> Vec<u8> {
        let start_line = format!("INVITE sip:{}@net SIP/2.0", self.called_number);
        let sequence = format!("{} INVITE", self.sequence);
        let timer_ms = self.timer_ms.to_string();
        let headers = [("X-Cos", self.service), ("X-Timer-Ms", &timer_ms)];
        message(&start_line, self.call.as_str(), &sequence, &headers, self.description.as_bytes())
    }

    /// Whether the message is not too long for any sequence number and any timer.
    pub(super) fn always_fits(&self) -> bool {
        let longest = Invite { sequence: u32::MAX, timer_ms: u64::MAX, ..*self };
        longest.encode().len() <= MAX_MESSAGE_LENGTH
    }
}

/// Encodes a request without a body.
pub(super) fn request(method: &str, called_number: &str, call: CallId, sequence: u32) -> Vec<u8> {
    let start_line = format!("{method} sip:{called_number}@net SIP/2.0");
    message(&start_line, call.as_str(), &format!("{sequence} {method}"), &[], &[])
}

/// Encodes the ACK of a final response.
pub(super) fn ack(call: CallId, sequence: u32) -> Vec<u8> {
    request("ACK", "call", call, sequence)
}

/// Encodes the BYE that releases a call with a Q.850 cause.
pub(super) fn bye(call: CallId, cause: u32) -> Vec<u8> {
    let reason = format!("Q.850;cause={cause}");
    let headers = [(header::REASON, reason.as_str())];
    message("BYE sip:call@net SIP/2.0", call.as_str(), "9 BYE", &headers, &[])
}

/// Encodes the 200 response to a request from a server. Returns `None` if the response would be too long, since it repeats a
/// call id that is too long.
pub(super) fn ok(request: &Message, method: &str) -> Option<Vec<u8>> {
    let call = request.header(header::CALL_ID).unwrap_or_default();
    let sequence = request.sequence().map_or(1, |(number, _)| number);
    let response = message("SIP/2.0 200 OK", call, &format!("{sequence} {method}"), &[], &[]);
    (response.len() <= MAX_MESSAGE_LENGTH).then_some(response)
}
