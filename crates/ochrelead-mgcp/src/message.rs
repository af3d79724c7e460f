//! What a datagram holds: commands and responses (RFC 3435 section 3).

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

/// The number of a transaction, 1 to [`LAST_TRANSACTION`] (RFC 3435 section 3.2.1.2).
pub type TransactionId = u32;

/// The largest transaction id there is.
pub const LAST_TRANSACTION: TransactionId = 999_999_999;

/// The longest part of an endpoint name, in bytes (RFC 3435 section 2.1.2).
pub const LONGEST_NAME: usize = 255;

/// The commands of RFC 3435 section 2.3.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verb {
    EndpointConfiguration,
    CreateConnection,
    ModifyConnection,
    DeleteConnection,
    NotificationRequest,
    Notify,
    AuditEndpoint,
    AuditConnection,
    RestartInProgress,
}

impl Verb {
    pub const ALL: [Verb; 9] = [
        Verb::EndpointConfiguration,
        Verb::CreateConnection,
        Verb::ModifyConnection,
        Verb::DeleteConnection,
        Verb::NotificationRequest,
        Verb::Notify,
        Verb::AuditEndpoint,
        Verb::AuditConnection,
        Verb::RestartInProgress,
    ];

    /// The four letters on the wire.
    pub const fn code(self) -> &'static str {
        match self {
            Verb::EndpointConfiguration => "EPCF",
            Verb::CreateConnection => "CRCX",
            Verb::ModifyConnection => "MDCX",
            Verb::DeleteConnection => "DLCX",
            Verb::NotificationRequest => "RQNT",
            Verb::Notify => "NTFY",
            Verb::AuditEndpoint => "AUEP",
            Verb::AuditConnection => "AUCX",
            Verb::RestartInProgress => "RSIP",
        }
    }

    /// The verb of four letters in either case; none where RFC 3435 has no such command.
    pub fn from_code(code: &str) -> Option<Verb> {
        Verb::ALL.into_iter().find(|verb| verb.code().eq_ignore_ascii_case(code))
    }
}

/// `local/name@domain`; a term of the local name may be `*` (all) or `$` (any one) (RFC 3435 section 2.1.2).
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Endpoint {
    local: String,
    domain: String,
}

/// Why an endpoint name is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BadEndpoint {
    #[error("no @ between local name and domain")]
    NoDomain,
    #[error("an empty term")]
    EmptyTerm,
    #[error("a character that endpoint names may not have")]
    BadCharacter,
    #[error("longer than {LONGEST_NAME} characters")]
    TooLong,
    #[error("a wildcard inside a term")]
    WildcardInTerm,
}

impl Endpoint {
    /// The part before the `@`.
    pub fn local(&self) -> &str {
        &self.local
    }

    /// The part behind the `@`.
    pub fn domain(&self) -> &str {
        &self.domain
    }

    /// Whether a term stands for more than one endpoint.
    pub fn is_wild(&self) -> bool {
        self.local.split('/').any(|term| term == "*" || term == "$")
    }
}

impl FromStr for Endpoint {
    type Err = BadEndpoint;

    fn from_str(name: &str) -> Result<Endpoint, BadEndpoint> {
        let (local, domain) = name.rsplit_once('@').ok_or(BadEndpoint::NoDomain)?;
        if local.len() > LONGEST_NAME || domain.len() > LONGEST_NAME {
            return Err(BadEndpoint::TooLong);
        }
        let sound = |byte: u8| byte.is_ascii_graphic() && byte != b'@';
        if !local.bytes().all(sound) || !domain.bytes().all(sound) || domain.contains('/') {
            return Err(BadEndpoint::BadCharacter);
        }
        if domain.is_empty() || local.split('/').any(str::is_empty) {
            return Err(BadEndpoint::EmptyTerm);
        }
        if local.split('/').any(|term| term.len() > 1 && term.contains(['*', '$'])) {
            return Err(BadEndpoint::WildcardInTerm);
        }
        Ok(Endpoint { local: local.to_owned(), domain: domain.to_ascii_lowercase() })
    }
}

impl fmt::Display for Endpoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.local, self.domain)
    }
}

/// Names of parameter lines that this project reads or writes (RFC 3435 section 3.2.2), and its extensions.
/// A peer that does not know an `X-` name skips it.
pub mod name {
    pub const CALL: &str = "C";
    pub const CONNECTION: &str = "I";
    pub const MODE: &str = "M";
    pub const OPTIONS: &str = "L";
    pub const OBSERVED: &str = "O";
    pub const REASON: &str = "E";
    pub const REQUEST: &str = "X";
    pub const REQUESTED: &str = "R";
    pub const SIGNALS: &str = "S";
    pub const RESTART: &str = "RM";
    pub const DELAY: &str = "RD";
    pub const SPECIFIC: &str = "Z";
    pub const ACKNOWLEDGED: &str = "K";
    /// A caller's try, in hexadecimal digits; its call id towards the servers.
    pub const TRY: &str = "X-Try";
    /// The number that was called.
    pub const CALLED: &str = "X-Called";
    /// How long the caller of this try waits, in milliseconds.
    pub const PATIENCE: &str = "X-Patience";
    /// The caller says that it has tried before.
    pub const REDIAL: &str = "X-Redial";
    /// After how many milliseconds a refused caller is asked to come back.
    pub const COME_BACK: &str = "X-Come-Back";
    /// The far end of a call that stands: connection id and circuit.
    pub const FAR: &str = "X-Far";
    /// A server's lines: `free/all`.
    pub const LINES: &str = "X-Lines";
    /// How long a full processor asks to be left alone, in milliseconds.
    pub const WAIT: &str = "X-Wait";
    /// New set-ups a second that a server can take from all fronts together.
    pub const CAN_TAKE: &str = "X-Can-Take";
    /// The share of new set-ups, 0 to 1, that a server asks each front to hold back.
    pub const HOLD_BACK: &str = "X-Hold-Back";
}

/// The parameter lines of a message, in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Parameters(pub(crate) Vec<(String, String)>);

impl Parameters {
    /// The value of the first line of that name, in either case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.iter().find(|(own, _)| own.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// The value read as a number or the like; none where it is missing or no such thing.
    pub fn read<T: FromStr>(&self, name: &str) -> Option<T> {
        self.get(name)?.parse().ok()
    }

    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0.iter().map(|(name, value)| (name.as_str(), value.as_str()))
    }

    /// Adds a line. Line breaks in it become blanks: a value can't bring lines of its own.
    pub fn add(&mut self, name: &str, value: impl fmt::Display) {
        let value = value.to_string().replace(['\r', '\n'], " ");
        self.0.push((name.to_owned(), value.trim().to_owned()));
    }
}

/// A command line with its parameters (RFC 3435 section 3.2).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command {
    pub verb: Verb,
    pub transaction: TransactionId,
    pub endpoint: Endpoint,
    pub parameters: Parameters,
    /// The session description, carried through unread.
    pub description: Option<Vec<u8>>,
}

/// A response line with its parameters (RFC 3435 section 3.3).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// Three digits; [`code`] has those that are used here.
    pub code: u16,
    pub transaction: TransactionId,
    pub comment: String,
    pub parameters: Parameters,
    /// The session description, carried through unread.
    pub description: Option<Vec<u8>>,
}

/// Return codes (RFC 3435 section 2.4).
pub mod code {
    pub const ACKNOWLEDGED: u16 = 0;
    pub const PENDING: u16 = 100;
    pub const DONE: u16 = 200;
    pub const DELETED: u16 = 250;
    /// The phone is already off hook: here, the called line is busy.
    pub const OFF_HOOK: u16 = 401;
    pub const NO_RESOURCES: u16 = 403;
    pub const RESTARTING: u16 = 405;
    pub const TIMED_OUT: u16 = 406;
    pub const ABORTED: u16 = 407;
    pub const OVERLOAD: u16 = 409;
    pub const NO_ENDPOINT: u16 = 410;
    pub const UNKNOWN_ENDPOINT: u16 = 500;
    pub const UNSUPPORTED: u16 = 504;
    pub const PROTOCOL_ERROR: u16 = 510;
    pub const UNKNOWN_CONNECTION: u16 = 515;
    pub const UNKNOWN_CALL: u16 = 516;
    pub const ENDPOINT_RESTARTING: u16 = 520;
}

impl Command {
    pub fn new(verb: Verb, transaction: TransactionId, endpoint: Endpoint) -> Command {
        Command { verb, transaction, endpoint, parameters: Parameters::default(), description: None }
    }

    /// The command with one more parameter line.
    pub fn with(mut self, name: &str, value: impl fmt::Display) -> Command {
        self.parameters.add(name, value);
        self
    }
}

impl Response {
    pub fn new(code: u16, transaction: TransactionId) -> Response {
        Response {
            code,
            transaction,
            comment: String::new(),
            parameters: Parameters::default(),
            description: None,
        }
    }

    /// The response with one more parameter line.
    pub fn with(mut self, name: &str, value: impl fmt::Display) -> Response {
        self.parameters.add(name, value);
        self
    }

    /// Whether a further answer is still to come (RFC 3435 section 3.5.5).
    pub fn is_provisional(&self) -> bool {
        (100..200).contains(&self.code)
    }
}

/// One message of a datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    Command(Command),
    Response(Response),
}
