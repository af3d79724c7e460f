//! Names of the parameter lines in use (RFC 3435 section 3.2.2), and extension parameters of this project (`X-`).
//! A peer ignores extension parameters that it does not know.

/// CallId.
pub const CALL_ID: &str = "C";
/// ConnectionId.
pub const CONNECTION_ID: &str = "I";
/// ConnectionMode.
pub const CONNECTION_MODE: &str = "M";
/// LocalConnectionOptions.
pub const LOCAL_CONNECTION_OPTIONS: &str = "L";
/// ObservedEvents.
pub const OBSERVED_EVENTS: &str = "O";
/// ReasonCode.
pub const REASON_CODE: &str = "E";
/// RequestIdentifier.
pub const REQUEST_IDENTIFIER: &str = "X";
/// RequestedEvents.
pub const REQUESTED_EVENTS: &str = "R";
/// SignalRequests.
pub const SIGNAL_REQUESTS: &str = "S";
/// RestartMethod.
pub const RESTART_METHOD: &str = "RM";
/// RestartDelay.
pub const RESTART_DELAY: &str = "RD";
/// SpecificEndPointID.
pub const SPECIFIC_ENDPOINT_ID: &str = "Z";
/// ResponseAck.
pub const RESPONSE_ACK: &str = "K";
/// The id of a caller's attempt, in hexadecimal digits; it is also the call id of the attempt towards the servers.
pub const ATTEMPT: &str = "X-Try";
/// The called number.
pub const CALLED_NUMBER: &str = "X-Called";
/// The timer limit of the attempt in milliseconds: how long its caller waits for an answer.
pub const TIMER_LIMIT: &str = "X-Patience";
/// Marks an attempt of a caller that has dialled before.
pub const REDIAL: &str = "X-Redial";
/// The time after which a rejected caller may dial again, in milliseconds.
pub const CALLER_RETRY_AFTER: &str = "X-Come-Back";
/// The far end of an established call: its connection id and circuit.
pub const FAR_END: &str = "X-Far";
/// The lines of a server, as `free/total`.
pub const LINE_CAPACITY: &str = "X-Lines";
/// The time for which an overloaded server asks a front to send it no set-ups, in milliseconds.
pub const SERVER_RETRY_AFTER: &str = "X-Wait";
/// The rate of new calls, per second, that a server can accept from all fronts together.
pub const ACCEPTED_RATE: &str = "X-Can-Take";
/// The share of new calls, 0 to 1, that a server asks each front not to send to it.
pub const HOLD_BACK_SHARE: &str = "X-Hold-Back";
