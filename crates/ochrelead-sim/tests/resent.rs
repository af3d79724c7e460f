//! Every INVITE datagram that reaches a server, by the layer that sent it: on a calm day and under trouble. No layer
//! knows of the others; what holds them together is held here.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

use ochrelead_config::scenario;
use ochrelead_mgcp::message::{Message, Verb, parameter};
use ochrelead_mgcp::parse;
use ochrelead_scenario::participant::Participant;
use ochrelead_scenario::policy::PolicyKind;
use ochrelead_sim::world::{Honest, Keep, World};
use test_case::test_case;

const MOST_INVITES: u32 = 3;

#[derive(Debug, Default)]
struct Layers {
    /// The first INVITE of a caller's first try, and of its redials.
    first: u32,
    redials: u32,
    /// INVITEs that the module sends again.
    again: u32,
    /// Repeats of an INVITE's transaction (and what the network doubles).
    repeats: u32,
    /// Of all these, what reached a server after its call was called off.
    called_off: u32,
    /// The most that left for one session.
    most_of_a_session: u32,
}

/// What was counted, and the most that one session may come to: its INVITEs, and the repeats of a single one.
fn count(day: &str) -> (Layers, u32) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let day = scenario::open(&folder.join(day)).unwrap();
    let keep = Keep { sights: true, ..Keep::default() };
    let mut world = World::new(&day, PolicyKind::Controller, Box::new(Honest), keep).unwrap();
    while let Some(step) = world.step() {
        step.unwrap();
    }
    let mut layers = Layers::default();
    let (mut again, mut off) = (BTreeSet::new(), BTreeSet::new());
    let mut lines = BTreeMap::new();
    let (mut invites, mut calls) = (BTreeSet::new(), BTreeSet::new());
    let mut sent: BTreeMap<(Participant, String), u32> = BTreeMap::new();
    for sight in &world.sights {
        for message in parse::datagram(&sight.bytes).into_iter().flatten().flatten() {
            let Message::Command(command) = message else { continue };
            let of = |field: &str| command.parameters.get(field).unwrap_or("").to_owned();
            match (sight.from, sight.to, command.verb, sight.delivered) {
                (Participant::Gateway, _, Verb::Notify, true)
                    if of(parameter::OBSERVED_EVENTS).contains("L/hd") =>
                {
                    // The stand-in callers keep one line for all their tries.
                    let tried = lines.entry(command.endpoint.to_string()).or_insert(of(parameter::ATTEMPT));
                    if *tried != of(parameter::ATTEMPT) {
                        again.insert(of(parameter::ATTEMPT));
                    }
                }
                (front, Participant::Server(_), Verb::DeleteConnection, false) => {
                    off.insert((front, of(parameter::CALL_ID)));
                }
                (front, Participant::Server(_), Verb::CreateConnection, false) => {
                    *sent.entry((front, of(parameter::CALL_ID))).or_default() += 1;
                }
                (front, Participant::Server(_), Verb::CreateConnection, true) => {
                    let call = (front, of(parameter::CALL_ID));
                    layers.called_off += u32::from(off.contains(&call));
                    if !invites.insert((front, command.transaction)) {
                        layers.repeats += 1;
                    } else if !calls.insert(call.clone()) {
                        layers.again += 1;
                    } else if again.contains(&call.1) {
                        layers.redials += 1;
                    } else {
                        layers.first += 1;
                    }
                }
                _ => {}
            }
        }
    }
    layers.most_of_a_session = sent.into_values().max().unwrap_or(0);
    let limit = day.front.timer_limits.iter().max().copied().unwrap_or_default();
    (layers, MOST_INVITES + day.front.transactions.max_retransmissions(limit))
}

/// Of a hundred sessions that are first set up: the most INVITE datagrams that the module and the repeats may add.
const MOST_ADDED: u32 = 15;

#[test_case("short/quiet.textproto"; "quiet")]
#[test_case("short/answers-lost.textproto"; "answers lost")]
#[test_case("short/silent.textproto"; "silent")]
#[test_case("short/slow.textproto"; "slow")]
#[test_case("short/overload.textproto"; "overload")]
#[test_case("short/redials.textproto"; "redials")]
#[test_case("short/vanish.textproto"; "vanish")]
#[test_case("short/crash.textproto"; "crash")]
#[test_case("bad-day.textproto"; "bad day")]
fn all_layers_together_are_bounded(day: &str) {
    let (layers, most) = count(day);
    println!("{day} {layers:?}");
    assert!(layers.most_of_a_session <= most, "{layers:?}, {most} for a session");
    let (first, added) = (layers.first + layers.redials, layers.again + layers.repeats);
    assert!(added * 100 <= first * MOST_ADDED, "{layers:?}");
}
