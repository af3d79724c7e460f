//! Encoding of the SIP messages that the node sends to servers.

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

/// Encodes the 200 response to a request from a server.
pub(super) fn ok(request: &Message, method: &str) -> Vec<u8> {
    let call = request.header(header::CALL_ID).unwrap_or_default();
    let sequence = request.sequence().map_or(1, |(number, _)| number);
    message("SIP/2.0 200 OK", call, &format!("{sequence} {method}"), &[], &[])
}
