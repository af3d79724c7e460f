//! The numbering plan: a called number is `service digits`, `server digits`, `subscriber digits`.

use ochrelead_core::index::ServiceIx;

use crate::digits::is_digits;
use crate::server_endpoint::ServerEndpoint;

/// The longest called number, in digits (ITU-T E.164 has 15).
pub const MAX_DIGITS: usize = 32;

/// What a called number means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResolvedNumber {
    /// The service.
    pub service: ServiceIx,
    /// The number of the server of first choice; -1 where the digits name none.
    pub destination: i64,
}

/// The digits of all services and servers.
#[derive(Clone, Debug, Default)]
pub struct NumberingPlan {
    /// The digits of the services, by their index.
    services: Vec<String>,
    servers: Vec<ServerDigits>,
}

#[derive(Clone, Debug)]
struct ServerDigits {
    digits: String,
    number: i64,
}

impl NumberingPlan {
    /// A plan by the digits of the services, in their order, and those of the servers.
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

    /// What a called number means; none where no service begins so, or where it has other than digits.
    pub fn resolve(&self, called_number: &str) -> Option<ResolvedNumber> {
        if called_number.len() > MAX_DIGITS || !is_digits(called_number) {
            return None;
        }
        let service = self.services.iter().position(|digits| called_number.starts_with(digits.as_str()))?;
        let rest = &called_number[self.services[service].len()..];
        let is_server =
            |server: &&ServerDigits| !server.digits.is_empty() && rest.starts_with(server.digits.as_str());
        let destination = self.servers.iter().find(is_server).map_or(-1, |server| server.number);
        Some(ResolvedNumber { service: ServiceIx::new(service), destination })
    }
}
