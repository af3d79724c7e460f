//! The verbs of commands.

/// The commands of RFC 3435 section 2.3.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verb {
    /// EPCF: how an endpoint codes the line side.
    EndpointConfiguration,
    /// CRCX: creates a connection between two endpoints.
    CreateConnection,
    /// MDCX: changes a connection.
    ModifyConnection,
    /// DLCX: ends a connection. Either side may send it.
    DeleteConnection,
    /// RQNT: asks for events, or for a signal such as a tone.
    NotificationRequest,
    /// NTFY: reports events.
    Notify,
    /// AUEP: asks for the state of an endpoint.
    AuditEndpoint,
    /// AUCX: asks for the state of a connection.
    AuditConnection,
    /// RSIP: reports that endpoints go out of service or come back.
    RestartInProgress,
}

impl Verb {
    /// All verbs.
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
