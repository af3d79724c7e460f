//! What a simulated run consists of, drawn from a seed or put together by hand.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A deliberate mistake, made around the engines and never in them. The checks have to find each of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// INVITEs to other zones are reported as failed at once.
    LossReportedEarly,
    /// Late answers are not reported.
    LateAnswersOmitted,
    /// The losses at one server are reported for all servers of its zone.
    LossReportedForZone,
    /// A dead server is reported to give signs of life.
    DeadServerReportedAlive,
    /// Verdicts for the fronts of one zone are followed by those of another.
    ForeignVerdictsFollowed,
    /// An observer's former verdicts are followed again.
    OldVerdictsFollowed,
    /// Verdicts never expire.
    VerdictsNeverExpire,
    /// Each front draws a share of its own.
    SharesDifferByFront,
    /// A recovering zone is taken into full use at its first step.
    RecoveryInOneStep,
    /// A share that is lowered during a recovery is not followed.
    StepBackIgnored,
    /// Fronts that restart do not apply shares that were in force before.
    RestartIgnoresShares,
    /// Shares are not applied to every second server of a zone.
    ShareForSomeServers,
}

/// All mutations.
pub const MUTATIONS: [Mutation; 12] = [
    Mutation::LossReportedEarly,
    Mutation::LateAnswersOmitted,
    Mutation::LossReportedForZone,
    Mutation::DeadServerReportedAlive,
    Mutation::ForeignVerdictsFollowed,
    Mutation::OldVerdictsFollowed,
    Mutation::VerdictsNeverExpire,
    Mutation::SharesDifferByFront,
    Mutation::RecoveryInOneStep,
    Mutation::StepBackIgnored,
    Mutation::RestartIgnoresShares,
    Mutation::ShareForSomeServers,
];

/// What goes wrong in a fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// All servers of a zone stop, and later start cold.
    ZoneDown {
        /// The zone.
        zone: u32,
    },
    /// Fronts of each of two zones do not reach servers and fronts of the other.
    Partition {
        /// One zone.
        from: u32,
        /// The other.
        to: u32,
    },
    /// One front reaches no server and no other front.
    FrontCutOff {
        /// The front.
        front: u32,
    },
    /// Servers take longer than usual.
    SlowServers {
        /// Their zone; all servers if there is none.
        zone: Option<u32>,
        /// Multiple of their usual time.
        factor: f64,
    },
    /// Some servers of a zone answer nothing.
    SilentServers {
        /// The zone.
        zone: u32,
        /// How many of its servers.
        servers: u32,
    },
    /// More sessions than usual.
    Surge {
        /// Multiple of the usual rate.
        factor: f64,
    },
    /// Datagrams between fronts are lost.
    MessageLoss {
        /// The part of them that is lost.
        probability: f64,
    },
    /// The observers of all zones are killed.
    ObserversKilled,
    /// The observers of all zones are halted.
    ObserversHalted,
    /// A part of the fronts restarts.
    FrontsRestarted {
        /// Probability of a restart, for each front.
        probability: f64,
    },
}

/// A fault and when it happens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledFault {
    /// When it begins, in milliseconds of the run.
    pub start_ms: u64,
    /// How long it lasts, in milliseconds.
    pub duration_ms: u64,
    /// What happens.
    pub fault: Fault,
}

/// One simulated run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Seed of all random draws.
    pub seed: u64,
    /// Number of fronts.
    pub fronts: u32,
    /// Number of zones; fronts and servers are in them by turns.
    pub zones: u32,
    /// Number of servers.
    pub servers: u32,
    /// Offered load, as a part of the capacity of all servers.
    pub load: f64,
    /// Length of the run, in seconds.
    pub seconds: u64,
    /// Whether fronts act together on failing zones.
    pub is_coordinated: bool,
    /// The faults of the run.
    pub faults: Vec<ScheduledFault>,
    /// The deliberate mistake of the run.
    pub mutation: Option<Mutation>,
}

impl Scenario {
    /// A run without faults.
    pub fn quiet(seed: u64, fronts: u32, servers: u32) -> Scenario {
        Scenario {
            seed,
            fronts,
            zones: 4,
            servers,
            load: 0.75,
            seconds: 30,
            is_coordinated: true,
            faults: Vec::new(),
            mutation: None,
        }
    }

    /// A run with faults that must not drain any zone: slow servers everywhere, overload, a few silent servers, one front cut
    /// off, and others.
    pub fn harmless(seed: u64, fronts: u32, servers: u32) -> Scenario {
        let mut scenario = Scenario::quiet(seed, fronts, servers);
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        scenario.load = rng.random_range(0.5..0.95);
        let few_servers = (servers / scenario.zones / 3).max(1);
        let (zone, front) = (rng.random_range(0..scenario.zones), rng.random_range(0..fronts));
        let candidates = [
            Fault::SlowServers { zone: None, factor: rng.random_range(1.5..4.0) },
            Fault::Surge { factor: rng.random_range(1.3..2.0) },
            Fault::SilentServers { zone, servers: few_servers },
            Fault::FrontCutOff { front },
            Fault::MessageLoss { probability: rng.random_range(0.2..1.0) },
            Fault::ObserversHalted,
            Fault::FrontsRestarted { probability: rng.random_range(0.1..0.7) },
        ];
        let faults: Vec<Fault> = candidates.into_iter().filter(|_| rng.random_bool(0.35)).collect();
        for fault in faults {
            let start_ms = rng.random_range(3_000..18_000);
            let duration_ms = rng.random_range(2_000..8_000);
            scenario.faults.push(ScheduledFault { start_ms, duration_ms, fault });
        }
        scenario
    }

    /// A run in which a zone fails and comes back, in some with another fault.
    pub fn failing(seed: u64, fronts: u32, servers: u32) -> Scenario {
        let mut scenario = Scenario::quiet(seed, fronts, servers);
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x00d1_5712);
        scenario.load = rng.random_range(0.55..0.85);
        let zone = rng.random_range(0..scenario.zones);
        let start_ms = rng.random_range(5_000..9_000);
        let duration_ms = rng.random_range(2_000..7_000);
        scenario.faults.push(ScheduledFault { start_ms, duration_ms, fault: Fault::ZoneDown { zone } });
        let next_zone = (zone + 1) % scenario.zones;
        let others = [
            Fault::ObserversKilled,
            Fault::MessageLoss { probability: 0.3 },
            Fault::MessageLoss { probability: 1.0 },
            Fault::SlowServers { zone: Some(next_zone), factor: 2.5 },
            Fault::FrontsRestarted { probability: 0.25 },
            Fault::Partition { from: next_zone, to: (zone + 2) % scenario.zones },
        ];
        if rng.random_bool(0.4) {
            let fault = others[rng.random_range(0..others.len())];
            let start_ms = start_ms + rng.random_range(0..4_000);
            let duration_ms = rng.random_range(1_000..5_000);
            scenario.faults.push(ScheduledFault { start_ms, duration_ms, fault });
        }
        scenario
    }

    /// Whether any fault is a reason to drain a zone.
    pub fn may_drain(&self) -> bool {
        self.faults.iter().any(|scheduled| match scheduled.fault {
            Fault::ZoneDown { .. } | Fault::Partition { .. } => true,
            Fault::SlowServers { zone, .. } => zone.is_some(),
            _ => false,
        })
    }
}
