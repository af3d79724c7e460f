//! The input of a simulated run: drawn from a seed, or composed by a test.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A deliberate defect, as in mutation testing, in the surroundings of the engines and never in their code. The
/// checks must detect each of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// INVITEs to servers in other zones are reported as failed as soon as they are sent.
    LossReportedEarly,
    /// Reports between fronts omit late answers.
    LateAnswersOmitted,
    /// Losses at one server are reported for every server of its zone.
    LossReportedForZone,
    /// Heartbeats are reported for servers that are down.
    DeadServerReportedAlive,
    /// Fronts follow the verdicts that are meant for the fronts of another zone.
    ForeignVerdictsFollowed,
    /// Fronts follow outdated verdicts of an observer again.
    OldVerdictsFollowed,
    /// Verdicts never expire.
    VerdictsNeverExpire,
    /// Each front replaces the share of a recovering zone by a random higher share.
    SharesDifferByFront,
    /// A zone is put into full use at the first step of its recovery.
    RecoveryInOneStep,
    /// Fronts ignore it when a zone's share is lowered during the recovery, other than to 0.
    StepBackIgnored,
    /// A restarted front applies no reduced shares until all zones have been in full use.
    RestartIgnoresShares,
    /// A zone's share is applied to every other server of the zone only.
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

/// A fault in a fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// All servers of a zone stop. They start cold at the end of the fault.
    ZoneDown {
        /// The zone.
        zone: u32,
    },
    /// The fronts of each of two zones reach neither servers nor fronts of the other zone.
    Partition {
        /// The first zone.
        from: u32,
        /// The second zone.
        to: u32,
    },
    /// One front reaches neither servers nor other fronts.
    FrontCutOff {
        /// The front.
        front: u32,
    },
    /// Servers take longer for each set-up.
    SlowServers {
        /// The zone of the servers; `None` for all servers.
        zone: Option<u32>,
        /// Duration of a set-up, as a multiple of the usual one.
        factor: f64,
    },
    /// Some servers of a zone answer no INVITE.
    SilentServers {
        /// The zone.
        zone: u32,
        /// Number of silent servers.
        servers: u32,
    },
    /// The offered load rises.
    Surge {
        /// Rate of sessions, as a multiple of the usual one.
        factor: f64,
    },
    /// Datagrams between fronts are lost.
    MessageLoss {
        /// Probability that a datagram is lost.
        probability: f64,
    },
    /// The observers of all zones are killed, and restart shortly after.
    ObserversKilled,
    /// The processes of the observers of all zones are halted until the end of the fault.
    ObserversHalted,
    /// Some of the fronts are killed, and restart shortly after.
    FrontsRestarted {
        /// Probability that a front is affected.
        probability: f64,
    },
}

/// A fault and its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledFault {
    /// Start of the fault, in milliseconds since the start of the run.
    pub start_ms: u64,
    /// Duration of the fault, in milliseconds.
    pub duration_ms: u64,
    /// The fault.
    pub fault: Fault,
}

/// The input of one simulated run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Seed of all random draws.
    pub seed: u64,
    /// Number of fronts.
    pub fronts: u32,
    /// Number of zones. Fronts and servers are assigned to zones by number, modulo the number of zones.
    pub zones: u32,
    /// Number of servers.
    pub servers: u32,
    /// Offered load, as a fraction of the capacity of all servers.
    pub load: f64,
    /// Length of the run, in seconds.
    pub seconds: u64,
    /// Whether fronts coordinate how they drain and refill zones.
    pub is_coordinated: bool,
    /// The faults of the run.
    pub faults: Vec<ScheduledFault>,
    /// The deliberate defect of the run, if any.
    pub mutation: Option<Mutation>,
}

impl Scenario {
    /// A run of 30 s in four zones without faults.
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

    /// A run with random faults for which no zone may be drained, for example slow servers in all zones, overload,
    /// a few silent servers in one zone, or one isolated front.
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

    /// A run in which one zone fails and returns; with probability 0.4 a second fault is added.
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

    /// Whether any of the faults allows fronts to drain a zone.
    pub fn may_drain(&self) -> bool {
        self.faults.iter().any(|scheduled| match scheduled.fault {
            Fault::ZoneDown { .. } | Fault::Partition { .. } => true,
            Fault::SlowServers { zone, .. } => zone.is_some(),
            _ => false,
        })
    }
}
