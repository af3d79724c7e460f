//! Sounding: a signalling server that fell silent is tested by one front of the fleet, and the others hear the outcome
//! with its age. Decisions without I/O.
//!
//! The test is a lease's act: each names the lease's number. A front that hears that the server answered lately puts
//! its own test off, but never so long that an end would be noticed too late; where it hears nothing it does what it
//! would do alone.

use std::collections::BTreeMap;

use ochrelead_core::time::{Moment, Span};
use ochrelead_lease::TaskId;
use ochrelead_lease::engine::Engine as Leases;

use crate::bounds::protocol;

/// The topic of news about servers that were sounded.
pub const TOPIC: u32 = 1;
/// Fronts that stand ready to sound one server.
const READY: usize = 3;
/// The holder tests so often.
const GAP: Span = Span::from_millis(1_000);

/// How a server stands with this front.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Quiet {
    pub id: String,
    /// Its last word of its own, and its last word or connection at all.
    pub spoke: Moment,
    pub heard: Moment,
}

/// A test that is due, to be done at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sound {
    pub server: String,
    pub task: TaskId,
}

/// The task of sounding a server: the same number at all fronts, by its id (FNV-1a).
pub fn task(server: &str) -> TaskId {
    let hash = server.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    TaskId(hash)
}

/// Who stands ready for a task, in order, of the fronts that are not known to be gone: by a mix of both, so that tasks
/// spread over the fronts and all fronts that see the same come to the same.
pub fn rank(task: TaskId, front: u32, there: &[u32]) -> Option<u32> {
    let mix = |front: u32| {
        let mut mixed = task.0 ^ (u64::from(front) + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    };
    let own = mix(front);
    let before = there.iter().filter(|other| **other != front && mix(**other) < own).count();
    (before < READY).then_some(before as u32)
}

#[derive(Clone, Debug)]
struct Test {
    server: String,
    /// When it was last tested by this front.
    tested: Option<Moment>,
    /// The word that came of it was told on.
    told: Option<Moment>,
}

#[derive(Clone, Debug, Default)]
pub struct Sounding {
    tests: BTreeMap<TaskId, Test>,
}

impl Sounding {
    /// Which servers are silent for the fleet's sake: those without a word of their own for a quarter of what is allowed
    /// for noticing an end.
    pub fn turn(&mut self, now: Moment, quiet: &[Quiet], there: &[u32], leases: &mut Leases) -> Vec<Sound> {
        let is_silent = |server: &&Quiet| now.since(server.spoke) >= protocol::SILENT_FAILURE_DEADLINE / 4;
        let silent: BTreeMap<TaskId, &Quiet> =
            quiet.iter().filter(is_silent).map(|server| (task(&server.id), server)).collect();
        for over in self.tests.keys().copied().filter(|task| !silent.contains_key(task)).collect::<Vec<_>>() {
            self.tests.remove(&over);
            leases.set_candidacy(now, over, None);
        }
        let front = leases.local().front;
        let mut due = Vec::new();
        for (task, server) in silent {
            let rank = rank(task, front, there);
            leases.set_candidacy(now, task, rank);
            if rank.is_none() {
                self.tests.remove(&task);
                continue;
            }
            let test = self.tests.entry(task).or_insert_with(|| Test {
                server: server.id.clone(),
                tested: None,
                told: None,
            });
            let rested = test.tested.is_none_or(|tested| now.since(tested) >= GAP);
            if rested && leases.permit(now, task).is_some() {
                test.tested = Some(now);
                due.push(Sound { server: test.server.clone(), task });
            }
        }
        due
    }

    /// Which of the servers that this front tests have answered since: news for the others, once for each test.
    pub fn answered(&mut self, quiet: &[Quiet]) -> Vec<TaskId> {
        let mut news = Vec::new();
        for server in quiet {
            let task = task(&server.id);
            if let Some(test) = self.tests.get_mut(&task)
                && let Some(tested) = test.tested.filter(|tested| server.heard > *tested)
                && test.told != Some(tested)
            {
                test.told = Some(tested);
                news.push(task);
            }
        }
        news
    }
}

/// Until when a server counts as heard, by its own last word here and by what others say of it. News take seconds to
/// go round, and a server that answered then may have ended since: what is left of the time for noticing that, less
/// the front's own tests, is how old they may be. They put the own test off, and no longer than that after the last
/// word here, whatever is said.
pub fn counts_as_heard(heard: Moment, vouched: Option<Moment>) -> Moment {
    let more = protocol::SILENT_FAILURE_DEADLINE / 8 * 3;
    vouched.map_or(heard, |vouched| heard.max((vouched + more).min(heard + more)))
}
