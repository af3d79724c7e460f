//! Days with faults drawn from a seed. Each seed turns most kinds of fault off and some up: what one kind would
//! hide of another is seen on a day that has only the other.

use ochrelead_config::faults::FaultKind;
use ochrelead_config::scenario::{self, Scenario};
use ochrelead_config::{document, schema};
use rand::seq::IndexedRandom;
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The share of days in which a kind of fault may come at all, and how often it then comes.
const ON: f64 = 0.25;
const MOST_OF_A_KIND: u32 = 3;

/// A day as its file has it.
pub type Sheet = schema::Day;

/// The day of a seed.
pub fn drawn(seed: u64) -> Sheet {
    let chance = &mut Pcg64Mcg::seed_from_u64(seed);
    let length_ms = *[4_000_u32, 6_000, 9_000].choose(chance).unwrap_or(&6_000);
    let (fronts, servers) = (chance.random_range(1..=5_u32), chance.random_range(1..=4_u32));
    let per_server = chance.random_range(8.0..30.0);
    // From idle to more than all servers can carry.
    let load = chance.random_range(0.2..1.4);
    let members = chance.random_range(0..=2_usize);
    Sheet {
        seed: Some(seed),
        length_ms: Some(length_ms),
        fronts: Some(fronts),
        front: Some(front(chance, members)),
        stand_in: (0..servers).map(|_| stand_in(chance, per_server)).collect(),
        callers: Some(callers(chance, per_server * f64::from(servers) * load, members)),
        network: Some(network(chance)),
        trouble: troubles(chance, length_ms, fronts, servers, members as u32),
        ..Sheet::default()
    }
}

/// The day that a file says.
///
/// # Errors
///
/// What is wrong with it.
pub fn read(sheet: &Sheet) -> Result<Scenario, String> {
    let told = |complaints: Vec<ochrelead_config::diagnostic::Diagnostic>| {
        complaints.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
    };
    scenario::parse("schedule", &written(sheet)).map_err(told)
}

/// The text of its file.
pub fn written(sheet: &Sheet) -> String {
    document::to_text(sheet, "Day")
}

fn front(chance: &mut impl Rng, members: usize) -> schema::Front {
    let service = |name: &str, dialled: &str, value: f64, hold: u32| schema::Service {
        name: Some(name.to_owned()),
        dialled: Some(dialled.to_owned()),
        value: Some(value),
        post_dial_target_ms: Some(1_500),
        timer_limit_ms: Some(6_000),
        late_share: Some(0.25),
        usual_hold_ms: Some(hold),
        ..schema::Service::default()
    };
    let member = |nth: usize| schema::Member {
        name: Some(format!("member-{nth}")),
        trunk: Some(format!("m{nth}")),
        quota_per_s: Some(20.0),
    };
    schema::Front {
        release_wait_ms: Some(200),
        longest_away_ms: Some(*[0_u32, 2_000].choose(chance).unwrap_or(&0)),
        most_invites: Some(*[0_u32, 1, 2, 4].choose(chance).unwrap_or(&0)),
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
        member: (0..members).map(member).collect(),
        ..schema::Front::default()
    }
}

fn stand_in(chance: &mut impl Rng, sessions_per_s: f64) -> schema::StandIn {
    schema::StandIn {
        sessions_per_s: Some(sessions_per_s),
        lines: Some(*[6_u32, 60, 400].choose(chance).unwrap_or(&60)),
        queue_ms: Some(*[300_u32, 1_500, 2_800].choose(chance).unwrap_or(&1_500)),
        cold_share: Some(0.35),
        warm_ms: Some(5_000),
        told_ms: Some(chance.random_range(200..1_500)),
        tells_can_take: Some(chance.random_bool(0.3)),
        tells_hold_back: Some(chance.random_bool(0.2)),
        names_wait: Some(chance.random_bool(0.3)),
        cancel_drops: Some(chance.random_bool(0.5)),
        finish_first: Some(chance.random_bool(0.5)),
        ..schema::StandIn::default()
    }
}

fn callers(chance: &mut impl Rng, rate: f64, members: usize) -> schema::Callers {
    schema::Callers {
        sessions_per_s: Some(rate.max(1.0)),
        service_share: vec![0.78, 0.22],
        member_share: vec![1.0; members],
        redials: Some(chance.random_range(0..=3)),
        back_off_ms: Some(*[50_u32, 500].choose(chance).unwrap_or(&500)),
        honour: Some(chance.random_range(0.0..=1.0)),
        patience: Some(chance.random_range(0.05..0.6)),
    }
}

fn network(chance: &mut impl Rng) -> schema::Network {
    let mut share = |most: f64| if chance.random_bool(0.4) { chance.random_range(0.0..most) } else { 0.0 };
    let (loss, doubled, reordered) = (share(0.08), share(0.1), share(0.15));
    schema::Network {
        delay_ms: Some(*[0.2, 3.0, 40.0].choose(chance).unwrap_or(&3.0)),
        jitter: Some(chance.random_range(0.0..0.5)),
        loss: Some(loss),
        doubled: Some(doubled),
        reordered: Some(reordered),
    }
}

fn troubles(
    chance: &mut impl Rng,
    length_ms: u32,
    fronts: u32,
    servers: u32,
    members: u32,
) -> Vec<schema::Trouble> {
    let mut all = Vec::new();
    for (name, kind) in FaultKind::ALL {
        if !chance.random_bool(ON) {
            continue;
        }
        for _ in 0..chance.random_range(1..=MOST_OF_A_KIND) {
            let among = match kind {
                FaultKind::Surge | FaultKind::HotNumber | FaultKind::AllSlow => 0,
                FaultKind::Redials => members,
                FaultKind::FrontKilled | FaultKind::FrontStall | FaultKind::LinkCut => fronts,
                FaultKind::FrontDeaf | FaultKind::FrontMute | FaultKind::CallersCut => fronts,
                _ if kind.is_emulated_only() => fronts,
                _ => servers,
            };
            if kind == FaultKind::Redials && members == 0 {
                continue;
            }
            let size = match kind {
                FaultKind::Surge => chance.random_range(1.5..4.0),
                FaultKind::Slow | FaultKind::AllSlow => chance.random_range(1.5..20.0),
                FaultKind::ClockAhead | FaultKind::ClockBack => {
                    *[0.3, 5.0, 40.0].choose(chance).unwrap_or(&5.0)
                }
                FaultKind::ClockFast => chance.random_range(0.0..500.0),
                _ => chance.random_range(0.1..1.0),
            };
            all.push(schema::Trouble {
                kind: Some(name.to_owned()),
                at_ms: Some(chance.random_range(0..length_ms)),
                length_ms: Some(*[30_u32, 300, 1_000, 3_000].choose(chance).unwrap_or(&300)),
                which: if among > 0 { vec![chance.random_range(0..among)] } else { Vec::new() },
                part: None,
                size: Some(size),
            });
        }
    }
    kept_apart(all)
}

/// A process is killed or halted once at a time.
fn clash(one: &schema::Trouble, other: &schema::Trouble) -> bool {
    let process = |own: &schema::Trouble| match own.kind.as_deref() {
        Some("front_killed" | "front_stall") => Some("front"),
        Some("crash" | "vanish" | "replaced" | "silent") => Some("server"),
        Some("slow" | "all_slow") => Some("pace"),
        _ => None,
    };
    let ends = |own: &schema::Trouble| own.at_ms() + own.length_ms() + 50;
    let (a, b) = (process(one), process(other));
    let both = one.which == other.which && one.at_ms() < ends(other) && other.at_ms() < ends(one);
    (a.is_some() && a == b && both)
        || slows_cold(one, other)
        || slows_cold(other, one)
        || forgets(one, other)
        || forgets(other, one)
}

/// A server that is cold has its pace by that. What would slow it in that moment besides would push it over by
/// set-ups that are out already: no front can know.
fn slows_cold(slow: &schema::Trouble, cold: &schema::Trouble) -> bool {
    let starts = matches!(cold.kind.as_deref(), Some("crash" | "vanish" | "replaced"));
    let slows = match slow.kind.as_deref() {
        Some("all_slow") => true,
        Some("slow") => slow.which == cold.which,
        _ => false,
    };
    starts && slows && slow.at_ms() + slow.length_ms() > cold.at_ms()
}

/// A front whose disk took nothing, and that is killed after it, can't know what was told in between.
fn forgets(full: &schema::Trouble, killed: &schema::Trouble) -> bool {
    full.kind.as_deref() == Some("disk_full")
        && killed.kind.as_deref() == Some("front_killed")
        && full.which == killed.which
        && full.at_ms() < killed.at_ms()
}

fn kept_apart(all: Vec<schema::Trouble>) -> Vec<schema::Trouble> {
    let mut kept: Vec<schema::Trouble> = Vec::new();
    for own in all {
        if kept.iter().all(|other| !clash(&own, other)) {
            kept.push(own);
        }
    }
    kept
}
