//! Health checks: when a signalling server falls silent, one front of the fleet probes it and publishes the response
//! as a rumor; the other fronts receive the rumor with its age. Makes decisions only and does no I/O.
//!
//! A front probes under a lease, and the probe carries the lease's fencing token. A front that learns of a recent
//! response postpones its own probe, but never beyond the time by which a failure has to be detected. Without a rumor
//! it behaves as a front that runs alone.

use std::collections::BTreeMap;
use std::hash::Hasher;

use fnv::FnvHasher;
use ochrelead_core::time::{Moment, Span};
use ochrelead_lease::TaskId;
use ochrelead_lease::engine::Engine as LeaseEngine;

use crate::bounds::protocol;
use crate::observation::ServerActivity;

/// The gossip topic of rumors about servers that responded to a health check.
pub const RUMOR_TOPIC: u32 = 1;
/// The maximum number of fronts that apply for the lease on one server.
const MAX_CANDIDATES: usize = 3;
/// The minimum interval between two health checks of one server by the lease holder.
const CHECK_INTERVAL: Span = Span::from_secs(1);

/// A health check that has to be sent now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueCheck {
    /// The server's id.
    pub server: String,
    /// The task whose lease permits the check.
    pub task: TaskId,
}

/// The lease task for probing a server: the FNV-1a hash of the server's id, so that all fronts use the same number.
pub fn task_id(server: &str) -> TaskId {
    let mut hasher = FnvHasher::default();
    hasher.write(server.as_bytes());
    TaskId(hasher.finish())
}

/// The rank of a front among the candidates for a task, from 0; `None` if it is not a candidate. `live` lists the
/// fronts that are not known to be dead.
///
/// Uses rendezvous hashing, so that tasks spread over the fronts and all fronts with the same view of the members
/// agree.
pub fn candidate_rank(task: TaskId, front: u32, live: &[u32]) -> Option<u32> {
    let local = rendezvous_hash(task, front);
    let precedes = |other: &&u32| **other != front && rendezvous_hash(task, **other) < local;
    let rank = live.iter().filter(precedes).count();
    (rank < MAX_CANDIDATES).then(|| u32::try_from(rank).ok()).flatten()
}

/// Hashes a task and a front with the finalizer of SplitMix64.
fn rendezvous_hash(task: TaskId, front: u32) -> u64 {
    let mut hash = task.0 ^ (u64::from(front) + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

/// The time from which a server's silence is measured, from when this front and when a peer last heard the server: the
/// earlier of both times plus 3/8 of `SILENT_FAILURE_DEADLINE`, but not earlier than `heard`. Without a peer's
/// observation it is `heard`.
///
/// Rumors take seconds to spread, and the server may have failed after the response that they report. The 3/8 are what
/// the detection of a failure by the deadline leaves after the front's own probes: a rumor may be that old and still
/// postpone a probe, and a probe is postponed by no more than that after this front itself last heard the server,
/// whatever its peers report.
pub fn effective_last_heard(heard: Moment, heard_by_peer: Option<Moment>) -> Moment {
    let postponement = protocol::SILENT_FAILURE_DEADLINE / 8 * 3;
    heard_by_peer.map_or(heard, |by_peer| heard.max((by_peer + postponement).min(heard + postponement)))
}

/// The health checks of one server. This front is a candidate for the lease on it.
#[derive(Clone, Debug)]
struct CheckState {
    server: String,
    /// When this front last sent a check.
    last_sent: Option<Moment>,
    /// The send time of the last check whose response was published.
    last_published: Option<Moment>,
}

/// Decides which silent servers this front probes.
#[derive(Clone, Debug, Default)]
pub struct HealthCheckScheduler {
    checks: BTreeMap<TaskId, CheckState>,
}

impl HealthCheckScheduler {
    /// Applies for leases on the silent servers and returns the checks that are due. A server is silent if it has sent
    /// no unprompted message for `SILENCE_THRESHOLD`, a quarter of the time in which a failure has to be detected.
    pub fn process(
        &mut self,
        now: Moment,
        activity: &[ServerActivity],
        live: &[u32],
        leases: &mut LeaseEngine,
    ) -> Vec<DueCheck> {
        let silent: BTreeMap<TaskId, &ServerActivity> = activity
            .iter()
            .filter(|server| now.since(server.last_unprompted) >= protocol::SILENCE_THRESHOLD)
            .map(|server| (task_id(&server.server), server))
            .collect();
        self.withdraw_candidacies(now, &silent, leases);
        let front = leases.local().front;
        let mut due = Vec::new();
        for (task, server) in silent {
            let rank = candidate_rank(task, front, live);
            leases.set_candidacy(now, task, rank);
            if rank.is_none() {
                self.checks.remove(&task);
                continue;
            }
            let check = self.checks.entry(task).or_insert_with(|| CheckState {
                server: server.server.clone(),
                last_sent: None,
                last_published: None,
            });
            let is_due = check.last_sent.is_none_or(|sent| now.since(sent) >= CHECK_INTERVAL);
            if is_due && leases.permit(now, task).is_some() {
                check.last_sent = Some(now);
                due.push(DueCheck { server: check.server.clone(), task });
            }
        }
        due
    }

    /// Withdraws the candidacies for leases on servers that are no longer silent.
    fn withdraw_candidacies(
        &mut self,
        now: Moment,
        silent: &BTreeMap<TaskId, &ServerActivity>,
        leases: &mut LeaseEngine,
    ) {
        let recovered: Vec<TaskId> =
            self.checks.keys().copied().filter(|task| !silent.contains_key(task)).collect();
        for task in recovered {
            self.checks.remove(&task);
            leases.set_candidacy(now, task, None);
        }
    }

    /// Returns the tasks of the servers that have responded to this front's checks, for publication: each check once.
    pub fn poll_responses(&mut self, activity: &[ServerActivity]) -> Vec<TaskId> {
        let mut responses = Vec::new();
        for server in activity {
            let task = task_id(&server.server);
            if let Some(check) = self.checks.get_mut(&task)
                && let Some(sent) = check.last_sent.filter(|sent| server.last_heard > *sent)
                && check.last_published != Some(sent)
            {
                check.last_published = Some(sent);
                responses.push(task);
            }
        }
        responses
    }
}
