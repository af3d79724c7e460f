//! Whether a candidate takes the place of the fleet in force.

use ochrelead_config::server_endpoint::ServerEndpoint;

use crate::sheet::Fleet;

/// A change that takes away more than this share of the capacity at once is held, unless it is confirmed.
pub const MOST_LEAVING: f64 = 0.5;

/// What a new fleet means for one server.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    Drained,
    Removed,
    Undrained,
    Reweighed { before: f64, now: f64 },
    Moved,
    Restarted,
    Altered,
    Added,
}

impl Change {
    /// In a word, for logs and counters.
    pub fn name(&self) -> &'static str {
        match self {
            Change::Drained => "drained",
            Change::Removed => "removed",
            Change::Undrained => "undrained",
            Change::Reweighed { .. } => "reweighed",
            Change::Moved => "moved",
            Change::Restarted => "restarted",
            Change::Altered => "altered",
            Change::Added => "added",
        }
    }
}

/// What becomes of a candidate.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// It is what is in force.
    Same,
    /// Adopted, with what it changes; what takes servers away comes first, what adds them last.
    Adopted(Vec<(String, Change)>),
    /// Held: it takes away more than it may without being confirmed; the servers to confirm.
    Held { leaving: Vec<String>, share: f64 },
    /// Refused, and why.
    Refused(Refusal),
}

/// Why a candidate that is sound in itself does not follow on the fleet in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// A file's generation has gone down, and it does not say that it returns from the one in force.
    Older { file: String, generation: u64, in_force: u64 },
    /// A file has other contents under the same generation.
    SameGeneration { file: String, generation: u64 },
    /// A file is not there any more: its servers stay in force.
    FileGone { file: String },
}

impl Refusal {
    /// In a word, for counters.
    pub fn name(&self) -> &'static str {
        match self {
            Refusal::Older { .. } => "older",
            Refusal::SameGeneration { .. } => "same_generation",
            Refusal::FileGone { .. } => "file_gone",
        }
    }
}

impl std::fmt::Display for Refusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Refusal::Older { file, generation, in_force } => write!(
                f,
                "{file}: generation {generation} is older than {in_force}, which is in force; to go back on purpose \
                 say `returns_from: {in_force}`"
            ),
            Refusal::SameGeneration { file, generation } => {
                write!(f, "{file}: changed under generation {generation}; a change needs a new one")
            }
            Refusal::FileGone { file } => {
                write!(f, "{file}: gone; its servers stay in force until it is there again without them")
            }
        }
    }
}

/// Judges a sound candidate against the fleet in force. `known`: the files' generations that are in force,
/// where the fleet itself is only known from the store.
pub fn judge(in_force: &Fleet, candidate: &Fleet) -> Verdict {
    let changes = changes(&in_force.servers, &candidate.servers);
    let mut newer = false;
    for (file, (before, _)) in &in_force.files {
        let Some((generation, returns_from)) = candidate.files.get(file) else {
            return Verdict::Refused(Refusal::FileGone { file: file.clone() });
        };
        let returns = *returns_from == Some(*before);
        if generation < before && !returns {
            let (file, generation, in_force) = (file.clone(), *generation, *before);
            return Verdict::Refused(Refusal::Older { file, generation, in_force });
        }
        newer |= generation != before;
    }
    newer |= candidate.files.len() > in_force.files.len();
    if changes.is_empty() && !newer {
        return Verdict::Same;
    }
    if !newer {
        let (file, (generation, _)) = candidate.files.iter().next().expect("a fleet in force has a file");
        return Verdict::Refused(Refusal::SameGeneration { file: file.clone(), generation: *generation });
    }
    let leaving = leaving(in_force, candidate);
    if let Some(held) = leaving {
        return held;
    }
    Verdict::Adopted(changes)
}

/// Whether too much leaves at once. Capacity counts in lines where all servers have them told, else in
/// servers. An empty fleet has nothing to lose.
fn leaving(in_force: &Fleet, candidate: &Fleet) -> Option<Verdict> {
    let told = in_force.servers.iter().all(|post| post.lines > 0);
    let size = |post: &ServerEndpoint| if told { f64::from(post.lines) } else { 1.0 };
    let ready = |post: &&ServerEndpoint| !post.draining;
    let stays =
        |post: &ServerEndpoint| candidate.servers.iter().any(|own| own.name == post.name && !own.draining);
    let all: f64 = in_force.servers.iter().filter(ready).map(size).sum();
    let gone: Vec<&ServerEndpoint> =
        in_force.servers.iter().filter(ready).filter(|post| !stays(post)).collect();
    let unconfirmed: Vec<&&ServerEndpoint> =
        gone.iter().filter(|post| !candidate.confirmed.contains(&post.name)).collect();
    let share = gone.iter().map(|post| size(post)).sum::<f64>() / all.max(f64::MIN_POSITIVE);
    (share > MOST_LEAVING && !unconfirmed.is_empty())
        .then(|| Verdict::Held { leaving: unconfirmed.iter().map(|post| post.name.clone()).collect(), share })
}

/// What changes for each server.
pub fn changes(before: &[ServerEndpoint], now: &[ServerEndpoint]) -> Vec<(String, Change)> {
    let mut changes = Vec::new();
    for old in before {
        let Some(new) = now.iter().find(|post| post.name == old.name) else {
            changes.push((old.name.clone(), Change::Removed));
            continue;
        };
        let mut change = |change| changes.push((old.name.clone(), change));
        if new.draining && !old.draining {
            change(Change::Drained);
        }
        if old.draining && !new.draining {
            change(Change::Undrained);
        }
        if new.weight != old.weight {
            change(Change::Reweighed { before: old.weight, now: new.weight });
        }
        if new.address != old.address {
            change(Change::Moved);
        }
        if new.started > old.started {
            change(Change::Restarted);
        }
        let rest = |post: &ServerEndpoint| {
            (post.number, post.dialled.clone(), post.trunk.clone(), post.lines, post.services.clone())
        };
        if rest(new) != rest(old) {
            change(Change::Altered);
        }
    }
    let added = now.iter().filter(|post| !before.iter().any(|own| own.name == post.name));
    changes.extend(added.map(|post| (post.name.clone(), Change::Added)));
    let order = |change: &Change| match change {
        Change::Drained => 0,
        Change::Removed => 1,
        Change::Moved => 2,
        Change::Restarted => 3,
        Change::Reweighed { .. } | Change::Altered => 4,
        Change::Undrained => 5,
        Change::Added => 6,
    };
    changes.sort_by_key(|(_, change)| order(change));
    changes
}
