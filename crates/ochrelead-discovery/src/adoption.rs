//! Whether a candidate replaces the fleet in force.

use ochrelead_config::server_endpoint::ServerEndpoint;
use thiserror::Error;

use crate::fleet::Fleet;

/// A fleet that takes away more than this share of the capacity at once is refused, unless that is confirmed.
pub const MAX_LEAVING_SHARE: f64 = 0.5;

/// What a new fleet changes for one server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerChange {
    /// The name of the server.
    pub server: String,
    /// What changes.
    pub kind: ChangeKind,
}

/// How a server changes.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeKind {
    /// It takes no new sessions from now on.
    Drained,
    /// It is not listed any more.
    Removed,
    /// It takes new sessions again.
    Undrained,
    /// It has another weight.
    Reweighted {
        /// The weight in force.
        before: f64,
        /// The weight from now on.
        after: f64,
    },
    /// It has another address.
    Moved,
    /// It started later than was known.
    Restarted,
    /// Anything else of it differs.
    Altered,
    /// It is listed for the first time.
    Added,
}

impl ChangeKind {
    /// Its name in logs and counters.
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

    /// Its place among the changes of one adoption: what takes servers away comes first, what adds them last.
    fn rank(&self) -> u8 {
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

/// What becomes of a candidate.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// It is what is in force.
    Unchanged,
    /// Adopted, with what it changes; what takes servers away comes first, what adds them last.
    Adopted(Vec<ServerChange>),
    /// Refused, and why.
    Refused(Refusal),
}

/// Why a candidate that is valid in itself does not follow on the fleet in force.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum Refusal {
    /// It takes away more than [`MAX_LEAVING_SHARE`] of the capacity without a confirmation.
    #[error(
        "held: {:.0} in 100 of the capacity would leave at once; where that is meant, confirm {}",
        .share * 100.0,
        .unconfirmed.join(", ")
    )]
    TooMuchLeaving {
        /// The leaving servers that are not confirmed.
        unconfirmed: Vec<String>,
        /// The share of the capacity that would leave.
        share: f64,
    },
    /// A file's generation has gone down, and it does not say that it returns from the one in force.
    #[error(
        "{file}: generation {generation} is older than {in_force}, which is in force; to go back on purpose say \
         `returns_from: {in_force}`"
    )]
    OlderGeneration {
        /// The name of the file.
        file: String,
        /// Its generation.
        generation: u64,
        /// Its generation in force.
        in_force: u64,
    },
    /// The contents differ under the same generations.
    #[error("{file}: changed under generation {generation}; a change needs a new one")]
    SameGeneration {
        /// The name of the first file.
        file: String,
        /// Its generation.
        generation: u64,
    },
    /// A file is missing: its servers stay in force.
    #[error("{file}: gone; its servers stay in force until it is there again without them")]
    FileMissing {
        /// The name of the file.
        file: String,
    },
}

impl Refusal {
    /// Its name in counters.
    pub fn name(&self) -> &'static str {
        match self {
            Refusal::TooMuchLeaving { .. } => "held",
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
        let (file, version) = candidate.files.iter().next().expect("a fleet in force has a file");
        let refusal = Refusal::SameGeneration { file: file.clone(), generation: version.generation };
        return Verdict::Refused(refusal);
    }
    match check_leaving(in_force, candidate) {
        Ok(()) => Verdict::Adopted(changes),
        Err(refusal) => Verdict::Refused(refusal),
    }
}

/// Whether any file has another generation than the one in force, or is new.
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

/// Whether not too much leaves at once. The capacity is counted in lines where all servers' lines are known, otherwise
/// in servers. An empty fleet has nothing to lose.
fn check_leaving(in_force: &Fleet, candidate: &Fleet) -> Result<(), Refusal> {
    let lines_known = in_force.servers.iter().all(|server| server.lines > 0);
    let capacity = |server: &ServerEndpoint| if lines_known { f64::from(server.lines) } else { 1.0 };
    let is_ready = |server: &&ServerEndpoint| !server.draining;
    let stays = |server: &ServerEndpoint| {
        candidate.servers.iter().any(|other| other.name == server.name && !other.draining)
    };
    let total: f64 = in_force.servers.iter().filter(is_ready).map(capacity).sum();
    let leaving: Vec<&ServerEndpoint> =
        in_force.servers.iter().filter(is_ready).filter(|server| !stays(server)).collect();
    let share = leaving.iter().map(|server| capacity(server)).sum::<f64>() / total.max(f64::MIN_POSITIVE);
    let unconfirmed: Vec<String> = leaving
        .iter()
        .filter(|server| !candidate.confirmed.contains(&server.name))
        .map(|server| server.name.clone())
        .collect();
    if share > MAX_LEAVING_SHARE && !unconfirmed.is_empty() {
        return Err(Refusal::TooMuchLeaving { unconfirmed, share });
    }
    Ok(())
}

/// What changes for each server; what takes servers away comes first, what adds them last.
pub fn changes(before: &[ServerEndpoint], after: &[ServerEndpoint]) -> Vec<ServerChange> {
    let mut changes = Vec::new();
    for old in before {
        let kinds = match after.iter().find(|new| new.name == old.name) {
            Some(new) => changes_of_listed(old, new),
            None => vec![ChangeKind::Removed],
        };
        changes.extend(kinds.into_iter().map(|kind| ServerChange { server: old.name.clone(), kind }));
    }
    let added = after.iter().filter(|new| !before.iter().any(|old| old.name == new.name));
    changes.extend(added.map(|new| ServerChange { server: new.name.clone(), kind: ChangeKind::Added }));
    changes.sort_by_key(|change| change.kind.rank());
    changes
}

/// What changes for a server that both lists name.
fn changes_of_listed(old: &ServerEndpoint, new: &ServerEndpoint) -> Vec<ChangeKind> {
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
