//! Generates scenarios with faults from a seed. Each seed enables only a few kinds of fault, so that a failure that one
//! kind would mask shows in a scenario without that kind.

mod conflicts;

use ochrelead_config::faults::FaultKind;
use ochrelead_config::scenario::{self, Scenario};
use ochrelead_config::{document, schema};
use rand::seq::IndexedRandom;
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::error::InvalidDocument;

/// The share of scenarios in which a given kind of fault is enabled.
const FAULT_KIND_SHARE: f64 = 0.25;
/// Maximum number of faults of an enabled kind.
const MAX_FAULTS_OF_A_KIND: u32 = 3;

/// A scenario in the schema of its file.
pub type ScenarioFile = schema::Day;

/// The numbers of participants that faults can target.
#[derive(Clone, Copy)]
struct Targets {
    fronts: u32,
    servers: u32,
    tenants: u32,
}

/// Generates the scenario of a seed.
pub fn generate(seed: u64) -> ScenarioFile {
    let rng = &mut Pcg64Mcg::seed_from_u64(seed);
    let length_ms = *[4_000_u32, 6_000, 9_000].choose(rng).unwrap_or(&6_000);
    let (fronts, servers) = (rng.random_range(1..=5_u32), rng.random_range(1..=4_u32));
    let per_server = rng.random_range(8.0..30.0);
    // Offered load as a multiple of the servers' total rate: from mostly idle to overload.
    let load = rng.random_range(0.2..1.4);
    let tenants = rng.random_range(0..=2_usize);
    let targets = Targets { fronts, servers, tenants: tenants as u32 };
    ScenarioFile {
        seed: Some(seed),
        length_ms: Some(length_ms),
        fronts: Some(fronts),
        front: Some(front(rng, tenants)),
        stand_in: (0..servers).map(|_| emulated_server(rng, per_server)).collect(),
        callers: Some(callers(rng, per_server * f64::from(servers) * load, tenants)),
        network: Some(network(rng)),
        trouble: conflicts::without_conflicts(faults(rng, length_ms, targets)),
        ..ScenarioFile::default()
    }
}

/// Validates a scenario file.
///
/// # Errors
///
/// Returns all diagnostics if the file is invalid.
pub fn parse(file: &ScenarioFile) -> Result<Scenario, InvalidDocument> {
    scenario::parse("schedule", &to_text(file)).map_err(InvalidDocument::from)
}

/// Formats a scenario file as text.
pub fn to_text(file: &ScenarioFile) -> String {
    document::to_text(file, "Day")
}

fn front(rng: &mut impl Rng, tenants: usize) -> schema::Front {
    let service = |name: &str, dialled: &str, value: f64, hold_ms: u32| schema::Service {
        name: Some(name.to_owned()),
        dialled: Some(dialled.to_owned()),
        value: Some(value),
        post_dial_target_ms: Some(1_500),
        timer_limit_ms: Some(6_000),
        late_share: Some(0.25),
        usual_hold_ms: Some(hold_ms),
        ..schema::Service::default()
    };
    let tenant = |index: usize| schema::Member {
        name: Some(format!("member-{index}")),
        trunk: Some(format!("m{index}")),
        quota_per_s: Some(20.0),
    };
    schema::Front {
        release_wait_ms: Some(200),
        longest_away_ms: Some(*[0_u32, 2_000].choose(rng).unwrap_or(&0)),
        most_invites: Some(*[0_u32, 1, 2, 4].choose(rng).unwrap_or(&0)),
        over_share_worth: Some(0.1),
        cold: Some(schema::ColdStart {
            share: Some(0.29),
            warm_after_ms: Some(6_000),
            fall_multiple: Some(2.5),
            fall_after_ms: Some(1_000),
        }),
        repeats: Some(schema::Repeats {
            first_gap_ms: Some(500),
            longest_gap_ms: Some(1_500),
            give_up_ms: Some(4_000),
            kept_ms: Some(30_000),
        }),
        service: vec![service("check", "1", 1.0, 1_500), service("set", "2", 3.0, 2_500)],
        member: (0..tenants).map(tenant).collect(),
        ..schema::Front::default()
    }
}

fn emulated_server(rng: &mut impl Rng, sessions_per_s: f64) -> schema::StandIn {
    schema::StandIn {
        sessions_per_s: Some(sessions_per_s),
        lines: Some(*[6_u32, 60, 400].choose(rng).unwrap_or(&60)),
        queue_ms: Some(*[300_u32, 1_500, 2_800].choose(rng).unwrap_or(&1_500)),
        cold_share: Some(0.35),
        warm_ms: Some(5_000),
        told_ms: Some(rng.random_range(200..1_500)),
        tells_can_take: Some(rng.random_bool(0.3)),
        tells_hold_back: Some(rng.random_bool(0.2)),
        names_wait: Some(rng.random_bool(0.3)),
        cancel_drops: Some(rng.random_bool(0.5)),
        finish_first: Some(rng.random_bool(0.5)),
        ..schema::StandIn::default()
    }
}

fn callers(rng: &mut impl Rng, sessions_per_s: f64, tenants: usize) -> schema::Callers {
    schema::Callers {
        sessions_per_s: Some(sessions_per_s.max(1.0)),
        service_share: vec![0.78, 0.22],
        member_share: vec![1.0; tenants],
        redials: Some(rng.random_range(0..=3)),
        back_off_ms: Some(*[50_u32, 500].choose(rng).unwrap_or(&500)),
        honour: Some(rng.random_range(0.0..=1.0)),
        patience: Some(rng.random_range(0.05..0.6)),
    }
}

fn network(rng: &mut impl Rng) -> schema::Network {
    let mut share = |max: f64| if rng.random_bool(0.4) { rng.random_range(0.0..max) } else { 0.0 };
    let (loss, doubled, reordered) = (share(0.08), share(0.1), share(0.15));
    schema::Network {
        delay_ms: Some(*[0.2, 3.0, 40.0].choose(rng).unwrap_or(&3.0)),
        jitter: Some(rng.random_range(0.0..0.5)),
        loss: Some(loss),
        doubled: Some(doubled),
        reordered: Some(reordered),
    }
}

fn faults(rng: &mut impl Rng, length_ms: u32, targets: Targets) -> Vec<schema::Trouble> {
    let mut faults = Vec::new();
    for (name, kind) in FaultKind::ALL {
        if !rng.random_bool(FAULT_KIND_SHARE) {
            continue;
        }
        for _ in 0..rng.random_range(1..=MAX_FAULTS_OF_A_KIND) {
            if kind == FaultKind::Redials && targets.tenants == 0 {
                continue;
            }
            let candidates = target_count(kind, targets);
            let magnitude = magnitude(rng, kind);
            faults.push(schema::Trouble {
                kind: Some(name.to_owned()),
                at_ms: Some(rng.random_range(0..length_ms)),
                length_ms: Some(*[30_u32, 300, 1_000, 3_000].choose(rng).unwrap_or(&300)),
                which: if candidates > 0 { vec![rng.random_range(0..candidates)] } else { Vec::new() },
                part: None,
                size: Some(magnitude),
            });
        }
    }
    faults
}

/// Returns the number of possible targets of a kind of fault; 0 if the kind has no targets.
fn target_count(kind: FaultKind, targets: Targets) -> u32 {
    match kind {
        FaultKind::Surge | FaultKind::HotNumber | FaultKind::AllSlow => 0,
        FaultKind::Redials => targets.tenants,
        FaultKind::FrontKilled | FaultKind::FrontStall | FaultKind::LinkCut => targets.fronts,
        FaultKind::FrontDeaf | FaultKind::FrontMute | FaultKind::CallersCut => targets.fronts,
        _ if kind.is_emulated_only() => targets.fronts,
        _ => targets.servers,
    }
}

fn magnitude(rng: &mut impl Rng, kind: FaultKind) -> f64 {
    match kind {
        FaultKind::Surge => rng.random_range(1.5..4.0),
        FaultKind::Slow | FaultKind::AllSlow => rng.random_range(1.5..20.0),
        FaultKind::ClockAhead | FaultKind::ClockBack => *[0.3, 5.0, 40.0].choose(rng).unwrap_or(&5.0),
        FaultKind::ClockFast => rng.random_range(0.0..500.0),
        _ => rng.random_range(0.1..1.0),
    }
}
