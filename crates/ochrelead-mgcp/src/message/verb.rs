//! Command verbs (RFC 3435 section 2.3).

/// A command verb of RFC 3435 section 2.3.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verb {
    /// EPCF: sets the coding of an endpoint's line side.
    EndpointConfiguration,
    /// CRCX: creates a connection between two endpoints.
    CreateConnection,
    /// MDCX: modifies a connection.
    ModifyConnection,
    /// DLCX: deletes a connection. Either side may send it.
    DeleteConnection,
    /// RQNT: requests the notification of events, or a signal such as a tone.
    NotificationRequest,
    /// NTFY: reports events.
    Notify,
    /// AUEP: requests the state of an endpoint.
    AuditEndpoint,
    /// AUCX: requests the state of a connection.
    AuditConnection,
    /// RSIP: reports that endpoints are taken out of service or restored.
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

    /// Returns the four-letter code on the wire.
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

    /// Returns the verb with this four-letter code, ignoring case; none if RFC 3435 defines no such command.
    pub fn from_code(code: &str) -> Option<Verb> {
        Verb::ALL.into_iter().find(|verb| verb.code().eq_ignore_ascii_case(code))
    }
}
