//! Decides whether a candidate fleet replaces the fleet in force.

use ochrelead_config::server_endpoint::ServerEndpoint;
use thiserror::Error;

use crate::fleet::Fleet;

/// A candidate that withdraws more than this share of the ready capacity at once is refused, unless all servers that it
/// removes or drains are confirmed.
pub const MAX_WITHDRAWN_SHARE: f64 = 0.5;

/// A change of one server between two fleets.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerChange {
    /// The name of the server.
    pub server: String,
    /// The kind of change.
    pub kind: ChangeKind,
}

/// The kinds of change of a server.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeKind {
    /// The server is now draining: it takes no new sessions.
    Drained,
    /// The server is no longer listed.
    Removed,
    /// The server is no longer draining: it takes new sessions again.
    Undrained,
    /// The weight of the server differs.
    Reweighted {
        /// The previous weight.
        before: f64,
        /// The new weight.
        after: f64,
    },
    /// The address of the server differs.
    Moved,
    /// The listed start of the server is later than the known one.
    Restarted,
    /// Another field of the server differs.
    Altered,
    /// The server is newly listed.
    Added,
}

impl ChangeKind {
    /// The name of this kind in logs and counters.
    pub fn name(&self) -> &'static str {
        match self {
            ChangeKind::Drained => "drained",
            ChangeKind::Removed => "removed",
            ChangeKind::Undrained => "undrained",
            ChangeKind::Reweighted { .. } => "reweighed",
            ChangeKind::Moved => "moved",
            ChangeKind::Restarted => "restarted",
            ChangeKind::Altered => "altered",
            ChangeKind::Added => "added",
        }
    }

    /// The sort key among the changes of one adoption: drained and removed servers come first, added ones last.
    fn sort_rank(&self) -> u8 {
        match self {
            ChangeKind::Drained => 0,
            ChangeKind::Removed => 1,
            ChangeKind::Moved => 2,
            ChangeKind::Restarted => 3,
            ChangeKind::Reweighted { .. } | ChangeKind::Altered => 4,
            ChangeKind::Undrained => 5,
            ChangeKind::Added => 6,
        }
    }
}

/// The decision on a candidate.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The candidate equals the fleet in force.
    Unchanged,
    /// The candidate is adopted, with these changes in the order of [`changes`].
    Adopted(Vec<ServerChange>),
    /// The candidate is refused for this reason.
    Refused(Refusal),
}

/// Why a valid candidate may not replace the fleet in force.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum Refusal {
    /// The candidate removes or drains servers with more than [`MAX_WITHDRAWN_SHARE`] of the ready capacity, and not
    /// all of them are confirmed.
    #[error(
        "held: {:.0}% of the capacity would be removed or drained at once; to allow this, add `confirm` for {}",
        .share * 100.0,
        .unconfirmed.join(", ")
    )]
    TooMuchCapacityWithdrawn {
        /// The removed or drained servers that are not confirmed.
        unconfirmed: Vec<String>,
        /// The share of the capacity that would be withdrawn.
        share: f64,
    },
    /// The generation of a file is lower than the one in force, and `returns_from` does not name the one in force.
    #[error(
        "{file}: generation {generation} is older than generation {in_force} in force; to return to it on purpose, add \
         `returns_from: {in_force}`"
    )]
    OlderGeneration {
        /// The name of the file.
        file: String,
        /// The generation of the candidate file.
        generation: u64,
        /// The generation in force of this file.
        in_force: u64,
    },
    /// The servers differ although no file has a new generation.
    #[error("{file}: servers changed but generation is still {generation}; a change needs a new generation")]
    SameGeneration {
        /// The name of the first file.
        file: String,
        /// The generation of this file.
        generation: u64,
    },
    /// A file of the fleet in force is missing. Its servers stay in force.
    #[error(
        "{file}: file is missing; its servers stay in force until the file is back and no longer lists them"
    )]
    FileMissing {
        /// The name of the file.
        file: String,
    },
}

impl Refusal {
    /// The name of this reason in counters.
    pub fn name(&self) -> &'static str {
        match self {
            Refusal::TooMuchCapacityWithdrawn { .. } => "held",
            Refusal::OlderGeneration { .. } => "older",
            Refusal::SameGeneration { .. } => "same_generation",
            Refusal::FileMissing { .. } => "file_gone",
        }
    }
}

/// Decides on a valid candidate against the fleet in force.
pub fn evaluate(in_force: &Fleet, candidate: &Fleet) -> Verdict {
    let is_newer = match check_generations(in_force, candidate) {
        Ok(is_newer) => is_newer,
        Err(refusal) => return Verdict::Refused(refusal),
    };
    let changes = changes(&in_force.servers, &candidate.servers);
    if !is_newer {
        if changes.is_empty() {
            return Verdict::Unchanged;
        }
        let (file, version) = candidate
            .files
            .iter()
            .next()
            .expect("a candidate without a new generation has the files of the fleet in force");
        let refusal = Refusal::SameGeneration { file: file.clone(), generation: version.generation };
        return Verdict::Refused(refusal);
    }
    match check_withdrawn_capacity(in_force, candidate) {
        Ok(()) => Verdict::Adopted(changes),
        Err(refusal) => Verdict::Refused(refusal),
    }
}

/// Returns whether any file is new or has another generation than the one in force. Fails if a file is missing or
/// returns to an older generation without declaring it.
fn check_generations(in_force: &Fleet, candidate: &Fleet) -> Result<bool, Refusal> {
    let mut is_newer = candidate.files.len() > in_force.files.len();
    for (file, version_in_force) in &in_force.files {
        let before = version_in_force.generation;
        let Some(version) = candidate.files.get(file) else {
            return Err(Refusal::FileMissing { file: file.clone() });
        };
        let generation = version.generation;
        if generation < before && version.returns_from != Some(before) {
            return Err(Refusal::OlderGeneration { file: file.clone(), generation, in_force: before });
        }
        is_newer |= generation != before;
    }
    Ok(is_newer)
}

/// Checks the share of the ready capacity that the candidate removes or drains. The capacity is counted in lines if the
/// lines of all servers are known, otherwise in servers. An empty fleet in force never refuses a candidate.
fn check_withdrawn_capacity(in_force: &Fleet, candidate: &Fleet) -> Result<(), Refusal> {
    let lines_known = in_force.servers.iter().all(|server| server.lines > 0);
    let capacity = |server: &ServerEndpoint| if lines_known { f64::from(server.lines) } else { 1.0 };
    let is_ready = |server: &&ServerEndpoint| !server.draining;
    let stays_ready = |server: &ServerEndpoint| {
        candidate.servers.iter().any(|other| other.name == server.name && !other.draining)
    };
    let total: f64 = in_force.servers.iter().filter(is_ready).map(capacity).sum();
    let withdrawn: Vec<&ServerEndpoint> =
        in_force.servers.iter().filter(is_ready).filter(|server| !stays_ready(server)).collect();
    let share = withdrawn.iter().map(|server| capacity(server)).sum::<f64>() / total.max(f64::MIN_POSITIVE);
    let unconfirmed: Vec<String> = withdrawn
        .iter()
        .filter(|server| !candidate.confirmed.contains(&server.name))
        .map(|server| server.name.clone())
        .collect();
    if share > MAX_WITHDRAWN_SHARE && !unconfirmed.is_empty() {
        return Err(Refusal::TooMuchCapacityWithdrawn { unconfirmed, share });
    }
    Ok(())
}

/// Returns the changes from one list of servers to another: drained and removed servers first, added ones last.
pub fn changes(before: &[ServerEndpoint], after: &[ServerEndpoint]) -> Vec<ServerChange> {
    let mut changes = Vec::new();
    for old in before {
        let kinds = match after.iter().find(|new| new.name == old.name) {
            Some(new) => changes_of_server(old, new),
            None => vec![ChangeKind::Removed],
        };
        changes.extend(kinds.into_iter().map(|kind| ServerChange { server: old.name.clone(), kind }));
    }
    let added = after.iter().filter(|new| !before.iter().any(|old| old.name == new.name));
    changes.extend(added.map(|new| ServerChange { server: new.name.clone(), kind: ChangeKind::Added }));
    changes.sort_by_key(|change| change.kind.sort_rank());
    changes
}

/// Returns the changes of a server that is in both lists.
fn changes_of_server(old: &ServerEndpoint, new: &ServerEndpoint) -> Vec<ChangeKind> {
    let mut kinds = Vec::new();
    if new.draining && !old.draining {
        kinds.push(ChangeKind::Drained);
    }
    if old.draining && !new.draining {
        kinds.push(ChangeKind::Undrained);
    }
    if new.weight != old.weight {
        kinds.push(ChangeKind::Reweighted { before: old.weight, after: new.weight });
    }
    if new.address != old.address {
        kinds.push(ChangeKind::Moved);
    }
    if new.started > old.started {
        kinds.push(ChangeKind::Restarted);
    }
    let is_altered = new.number != old.number
        || new.dialled != old.dialled
        || new.trunk != old.trunk
        || new.lines != old.lines
        || new.services != old.services;
    if is_altered {
        kinds.push(ChangeKind::Altered);
    }
    kinds
}
