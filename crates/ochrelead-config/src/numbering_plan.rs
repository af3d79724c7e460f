//! The numbering plan: a called number consists of the digits of a service, of a server, and of a subscriber.

use ochrelead_core::index::ServiceIx;

use crate::digits::is_digits;
use crate::server_endpoint::ServerEndpoint;

/// The maximum length of a called number, in digits. ITU-T E.164 allows 15.
pub const MAX_DIGITS: usize = 32;

/// The service and the preferred server of a called number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResolvedNumber {
    /// The service.
    pub service: ServiceIx,
    /// The number of the preferred server; -1 if the digits name none.
    pub destination: i64,
}

/// Maps called numbers to services and servers by their digits.
#[derive(Clone, Debug, Default)]
pub struct NumberingPlan {
    /// The digits of the services, by service index.
    services: Vec<String>,
    servers: Vec<ServerDigits>,
}

#[derive(Clone, Debug)]
struct ServerDigits {
    digits: String,
    number: i64,
}

impl NumberingPlan {
    /// Creates a plan from the digits of the services, ordered by service index, and those of the servers.
    pub fn new(services: Vec<String>, servers: &[ServerEndpoint]) -> NumberingPlan {
        let mut plan = NumberingPlan { services, servers: Vec::new() };
        plan.set_servers(servers);
        plan
    }

    /// Replaces the digits of all servers.
    pub fn set_servers(&mut self, servers: &[ServerEndpoint]) {
        let digits =
            |server: &ServerEndpoint| ServerDigits { digits: server.dialled.clone(), number: server.number };
        self.servers = servers.iter().map(digits).collect();
    }

    /// Returns the service and the preferred server of a called number. Returns `None` if the number is too long, has
    /// characters that are not digits, or does not begin with the digits of a service.
    pub fn resolve(&self, called_number: &str) -> Option<ResolvedNumber> {
        if called_number.len() > MAX_DIGITS || !is_digits(called_number) {
            return None;
        }
        let service = self.services.iter().position(|digits| called_number.starts_with(digits.as_str()))?;
        let after_service = &called_number[self.services[service].len()..];
        let is_server = |server: &&ServerDigits| {
            !server.digits.is_empty() && after_service.starts_with(server.digits.as_str())
        };
        let destination = self.servers.iter().find(is_server).map_or(-1, |server| server.number);
        Some(ResolvedNumber { service: ServiceIx::new(service), destination })
    }
}
