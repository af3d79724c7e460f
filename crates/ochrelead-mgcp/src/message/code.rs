//! Return codes (RFC 3435 section 2.4).

/// Acknowledges a response (RFC 3435 section 3.5.6).
pub const ACKNOWLEDGED: u16 = 0;
/// The command is being executed; a final response follows.
pub const PENDING: u16 = 100;
/// The command was executed normally.
pub const DONE: u16 = 200;
/// The connection was deleted.
pub const DELETED: u16 = 250;
/// The phone is already off hook. Servers send it if the called line is busy.
pub const OFF_HOOK: u16 = 401;
/// The endpoint has insufficient resources at this time.
pub const NO_RESOURCES: u16 = 403;
/// The endpoint is restarting.
pub const RESTARTING: u16 = 405;
/// The transaction timed out before the command was completed.
pub const TIMED_OUT: u16 = 406;
/// The command was aborted, for example by the release of its call.
pub const ABORTED: u16 = 407;
/// The command was rejected because of overload.
pub const OVERLOAD: u16 = 409;
/// No endpoint is available; all lines are in use.
pub const NO_ENDPOINT: u16 = 410;
/// The endpoint is unknown.
pub const UNKNOWN_ENDPOINT: u16 = 500;
/// The command is unknown or not supported.
pub const UNSUPPORTED: u16 = 504;
/// The command violates the protocol.
pub const PROTOCOL_ERROR: u16 = 510;
/// The connection id is unknown.
pub const UNKNOWN_CONNECTION: u16 = 515;
/// The call id is unknown.
pub const UNKNOWN_CALL: u16 = 516;
/// The endpoint is restarting and the connection no longer exists.
pub const ENDPOINT_RESTARTING: u16 = 520;
