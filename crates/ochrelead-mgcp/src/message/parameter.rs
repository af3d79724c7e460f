//! The names of parameter lines that this project reads or writes (RFC 3435 section 3.2.2), and its extensions.
//! A peer that does not know an `X-` name skips it.

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
/// A caller's attempt, in hexadecimal digits; its call id towards the servers.
pub const ATTEMPT: &str = "X-Try";
/// The called number.
pub const CALLED_NUMBER: &str = "X-Called";
/// How long the caller of this attempt waits, in milliseconds.
pub const TIMER_LIMIT: &str = "X-Patience";
/// The caller says that it has tried before.
pub const REDIAL: &str = "X-Redial";
/// After how many milliseconds a rejected caller is asked to come back.
pub const CALLER_RETRY_AFTER: &str = "X-Come-Back";
/// The far end of an established call: connection id and circuit.
pub const FAR_END: &str = "X-Far";
/// A server's lines: `free/all`.
pub const LINE_CAPACITY: &str = "X-Lines";
/// How long an overloaded server asks to be left alone, in milliseconds.
pub const SERVER_RETRY_AFTER: &str = "X-Wait";
/// New calls a second that a server can accept from all fronts together.
pub const ACCEPTED_RATE: &str = "X-Can-Take";
/// The share of new calls, 0 to 1, that a server asks each front to hold back.
pub const HOLD_BACK_SHARE: &str = "X-Hold-Back";
