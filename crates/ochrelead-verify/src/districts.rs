//! Whole fleets that leave districts and return to them, on a virtual clock: the module, the peers' talk and the engine for
//! districts as they ship, with servers and callers of a simple kind between.
//!
//! [`Day`] is drawn from a seed or made by hand; [`play`] gives [`Shown`]. What must hold is looked at ten times a second
//! ([`watch`]); what callers got out of it is counted.

pub mod load;
pub mod watch;
pub mod world;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A deliberate mistake, made around the engine and never in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Slip {
    /// INVITEs to other districts are told as lost at once.
    LossToldEarly,
    /// Answers that come late are not told.
    LateNotTold,
    /// What one bad server did not answer is told of all servers of its district.
    OneForAll,
    /// A dead server is told to give signs of life.
    DeadToldAlive,
    /// What is said to one district's fronts is heeded by another's.
    OthersWordsHeeded,
    /// An observer's former words are heeded again.
    OldWordsHeeded,
    /// What was said last is in force for ever.
    NeverLapses,
    /// Each front draws its share by itself.
    DrawnApart,
    /// A return is taken for whole at its first step.
    ReturnAtOnce,
    /// A step back is not followed.
    NoStepBack,
    /// Fronts that start anew take no share on that was in force before.
    NewOnesWhole,
    /// Every second server of a district is left out of it.
    ShareForSome,
}

pub const SLIPS: [Slip; 12] = [
    Slip::LossToldEarly,
    Slip::LateNotTold,
    Slip::OneForAll,
    Slip::DeadToldAlive,
    Slip::OthersWordsHeeded,
    Slip::OldWordsHeeded,
    Slip::NeverLapses,
    Slip::DrawnApart,
    Slip::ReturnAtOnce,
    Slip::NoStepBack,
    Slip::NewOnesWhole,
    Slip::ShareForSome,
];

/// What befalls a fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// All servers of a district end and come back cold.
    Dead { district: u32 },
    /// The fronts of a district do not reach the servers of another, and its fronts not theirs.
    Cut { from: u32, to: u32 },
    /// One front reaches no server.
    OwnLink { front: u32 },
    /// The servers of a district, or of all, take so many times as long.
    Slow { district: Option<u32>, times: f64 },
    /// Some servers of a district answer nothing.
    Silent { district: u32, servers: u32 },
    /// So many times as many sessions.
    Surge { times: f64 },
    /// No datagram between fronts arrives, or one in so many is lost.
    Peers { loss: f64 },
    /// Fronts of a district that observe are killed.
    ObserversKilled,
    /// They stand still.
    ObserversHalted,
    /// A part of the fronts starts anew.
    Restart { part: f64 },
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Trouble {
    pub at_ms: u64,
    pub length_ms: u64,
    pub kind: Kind,
}

#[derive(Clone, Debug)]
pub struct Day {
    pub seed: u64,
    pub fronts: u32,
    pub districts: u32,
    pub servers: u32,
    /// Of what all servers carry together.
    pub load: f64,
    pub secs: u64,
    /// Fronts act together on districts.
    pub together: bool,
    pub troubles: Vec<Trouble>,
    pub slip: Option<Slip>,
}

impl Day {
    /// A day of that size without trouble.
    pub fn quiet(seed: u64, fronts: u32, servers: u32) -> Day {
        let (districts, load, secs) = (4, 0.75, 30);
        Day { seed, fronts, districts, servers, load, secs, together: true, troubles: Vec::new(), slip: None }
    }

    /// A day on which no district may be left: quiet, all slow, overloaded, a few bad servers, one front cut off.
    pub fn harmless(seed: u64, fronts: u32, servers: u32) -> Day {
        let mut day = Day::quiet(seed, fronts, servers);
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        day.load = chance.random_range(0.5..0.95);
        let few = (servers / day.districts / 3).max(1);
        let (district, front) = (chance.random_range(0..day.districts), chance.random_range(0..fronts));
        let kinds = [
            Kind::Slow { district: None, times: chance.random_range(1.5..4.0) },
            Kind::Surge { times: chance.random_range(1.3..2.0) },
            Kind::Silent { district, servers: few },
            Kind::OwnLink { front },
            Kind::Peers { loss: chance.random_range(0.2..1.0) },
            Kind::ObserversHalted,
            Kind::Restart { part: chance.random_range(0.1..0.7) },
        ];
        for kind in kinds.into_iter().filter(|_| chance.random_bool(0.35)).collect::<Vec<_>>() {
            let at_ms = chance.random_range(3_000..18_000);
            day.troubles.push(Trouble { at_ms, length_ms: chance.random_range(2_000..8_000), kind });
        }
        day
    }

    /// A day on which a district ends and comes back, some with another trouble.
    pub fn failing(seed: u64, fronts: u32, servers: u32) -> Day {
        let mut day = Day::quiet(seed, fronts, servers);
        let mut chance = Pcg64Mcg::seed_from_u64(seed ^ 0x00d1_5712);
        day.load = chance.random_range(0.55..0.85);
        let district = chance.random_range(0..day.districts);
        let at_ms = chance.random_range(5_000..9_000);
        let length_ms = chance.random_range(2_000..7_000);
        day.troubles.push(Trouble { at_ms, length_ms, kind: Kind::Dead { district } });
        let more = [
            Kind::ObserversKilled,
            Kind::Peers { loss: 0.3 },
            Kind::Peers { loss: 1.0 },
            Kind::Slow { district: Some((district + 1) % day.districts), times: 2.5 },
            Kind::Restart { part: 0.25 },
            Kind::Cut { from: (district + 1) % day.districts, to: (district + 2) % day.districts },
        ];
        if chance.random_bool(0.4) {
            let kind = more[chance.random_range(0..more.len())];
            let at_ms = at_ms + chance.random_range(0..4_000);
            day.troubles.push(Trouble { at_ms, length_ms: chance.random_range(1_000..5_000), kind });
        }
        day
    }

    /// Whether a district may be left on it.
    pub fn may_leave(&self) -> bool {
        let fails = |trouble: &Trouble| match trouble.kind {
            Kind::Dead { .. } | Kind::Cut { .. } => true,
            Kind::Slow { district, .. } => district.is_some(),
            _ => false,
        };
        self.troubles.iter().any(fails)
    }
}

/// What a day showed.
#[derive(Clone, Debug, Default)]
pub struct Shown {
    /// What must hold and did not, the first of it.
    pub found: Option<String>,
    /// The value served, of that offered.
    pub served: f64,
    pub offered: u64,
    /// INVITEs sent to servers of a district while it was dead, and how long after its end nine in ten had left, and the
    /// last of all.
    pub lost: u64,
    pub nine_in_ten_ms: Option<u64>,
    pub last_ms: Option<u64>,
    /// Between the first and the last front that heard the verdict.
    pub spread_ms: Option<u64>,
    /// How long after a district's return its share was whole at all fronts.
    pub whole_ms: Option<u64>,
    /// Cold servers that fell, and the most that a returning server was sent in a second, of what it bears then.
    pub falls: u64,
    pub datagrams: u64,
    pub bytes: u64,
    /// The share of the value served in each half second.
    pub course: Vec<(f64, f64)>,
    /// The share in force for the first district in trouble, at the first front, in each half second.
    pub shares: Vec<f64>,
}

/// Plays a day.
pub fn play(day: &Day) -> Shown {
    world::World::new(day.clone()).play()
}
