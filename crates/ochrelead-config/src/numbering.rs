//! The numbering plan: `service digits`, `server digits`, `subscriber digits`.

use ochrelead_core::index::ServiceIx;

use crate::commission::Post;

/// What a called number means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dialled {
    pub service: ServiceIx,
    /// The number of the server of first choice; -1 where the digits name none.
    pub destination: i64,
}

/// The digits of all services and servers.
#[derive(Clone, Debug, Default)]
pub struct Numbering {
    services: Vec<String>,
    servers: Vec<(String, i64)>,
}

/// The longest called number, in digits (ITU-T E.164 has 15).
pub const LONGEST_NUMBER: usize = 32;

impl Numbering {
    pub fn new(services: Vec<String>, roster: &[Post]) -> Numbering {
        let mut numbering = Numbering { services, servers: Vec::new() };
        numbering.serve(roster);
        numbering
    }

    /// The servers' digits, given anew.
    pub fn serve(&mut self, roster: &[Post]) {
        self.servers = roster.iter().map(|post| (post.dialled.clone(), post.number)).collect();
    }

    /// Reads the digits; none where no service begins so, or where they are no digits.
    pub fn read(&self, digits: &str) -> Option<Dialled> {
        if digits.len() > LONGEST_NUMBER || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
            return None;
        }
        let service = self.services.iter().position(|own| digits.starts_with(own.as_str()))?;
        let rest = &digits[self.services[service].len()..];
        let server = self.servers.iter().find(|(own, _)| !own.is_empty() && rest.starts_with(own.as_str()));
        let destination = server.map_or(-1, |(_, number)| *number);
        Some(Dialled { service: ServiceIx::new(service), destination })
    }
}

/// Whether one string of digits begins with another, so that a called number could mean both.
pub(crate) fn collide(one: &str, other: &str) -> bool {
    one.starts_with(other) || other.starts_with(one)
}
