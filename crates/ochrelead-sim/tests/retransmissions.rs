//! Every INVITE datagram that reaches a server, by the layer that sent it: in a calm scenario and under faults. No layer
//! knows of the others; their sum is bounded here.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

use ochrelead_config::scenario::{self, Scenario};
use ochrelead_mgcp::message::{Command, Message, Verb, parameter};
use ochrelead_mgcp::parse;
use ochrelead_scenario::participant::Participant;
use ochrelead_scenario::policy::PolicyKind;
use ochrelead_sim::mutation::NoMutation;
use ochrelead_sim::world::{RecordingOptions, World};
use test_case::test_case;

/// INVITEs of one session.
const MAX_INVITES: u32 = 3;
/// Of a hundred sessions that are first set up: the most INVITE datagrams that the module and the repeats may add.
const MAX_ADDED_PERCENT: u32 = 15;

/// INVITE datagrams that reached servers, by layer.
#[derive(Debug, Default)]
struct InviteCounts {
    /// The first INVITE of a caller's first attempt.
    first: u32,
    /// The first INVITE of a caller's later attempts.
    redials: u32,
    /// INVITEs that the module sends again.
    resends: u32,
    /// Repeats of an INVITE's transaction (and what the network doubles).
    repeats: u32,
    /// Of all these, what reached a server after its call was released.
    released: u32,
    /// The most that left for one session.
    max_of_a_session: u32,
}

/// A call, by the front that sets it up.
type Call = (Participant, String);

/// Counts INVITEs in the order in which their datagrams were captured.
#[derive(Default)]
struct InviteCounter {
    counts: InviteCounts,
    /// The first attempt of each line.
    first_attempts: BTreeMap<String, String>,
    redials: BTreeSet<String>,
    released: BTreeSet<Call>,
    transactions: BTreeSet<(Participant, u32)>,
    calls: BTreeSet<Call>,
    sent: BTreeMap<Call, u32>,
}

impl InviteCounter {
    /// A caller's attempt reaches a front.
    fn on_attempt(&mut self, command: &Command) {
        // The emulated callers keep one line for all their attempts.
        let attempt = parameter_value(command, parameter::ATTEMPT);
        let first = self.first_attempts.entry(command.endpoint.to_string()).or_insert(attempt.clone());
        if *first != attempt {
            self.redials.insert(attempt);
        }
    }

    /// An INVITE reaches a server.
    fn on_invite(&mut self, front: Participant, command: &Command) {
        let call = (front, parameter_value(command, parameter::CALL_ID));
        self.counts.released += u32::from(self.released.contains(&call));
        let is_redial = self.redials.contains(&call.1);
        if !self.transactions.insert((front, command.transaction)) {
            self.counts.repeats += 1;
        } else if !self.calls.insert(call) {
            self.counts.resends += 1;
        } else if is_redial {
            self.counts.redials += 1;
        } else {
            self.counts.first += 1;
        }
    }

    fn on_captured(&mut self, from: Participant, to: Participant, reached: bool, command: &Command) {
        match (from, to, command.verb, reached) {
            (Participant::Gateway, _, Verb::Notify, true)
                if parameter_value(command, parameter::OBSERVED_EVENTS).contains("L/hd") =>
            {
                self.on_attempt(command);
            }
            (front, Participant::Server(_), Verb::DeleteConnection, false) => {
                self.released.insert((front, parameter_value(command, parameter::CALL_ID)));
            }
            (front, Participant::Server(_), Verb::CreateConnection, false) => {
                *self.sent.entry((front, parameter_value(command, parameter::CALL_ID))).or_default() += 1;
            }
            (front, Participant::Server(_), Verb::CreateConnection, true) => self.on_invite(front, command),
            _ => {}
        }
    }
}

fn parameter_value(command: &Command, name: &str) -> String {
    command.parameters.get(name).unwrap_or("").to_owned()
}

fn count_invites(scenario: &Scenario) -> InviteCounts {
    let options = RecordingOptions { datagrams: true, ..RecordingOptions::default() };
    let mut world = World::new(scenario, PolicyKind::Controller, Box::new(NoMutation), options).unwrap();
    while let Some(step) = world.step() {
        step.unwrap();
    }
    let mut counter = InviteCounter::default();
    for datagram in world.datagrams() {
        for message in parse::datagram(&datagram.bytes).into_iter().flatten().flatten() {
            if let Message::Command(command) = message {
                counter.on_captured(datagram.from, datagram.to, datagram.delivered, &command);
            }
        }
    }
    counter.counts.max_of_a_session = counter.sent.into_values().max().unwrap_or(0);
    counter.counts
}

/// The most INVITE datagrams of one session: its INVITEs, and the repeats of a single one.
fn max_of_a_session(scenario: &Scenario) -> u32 {
    let longest_wait = scenario.front.timer_limits.iter().max().copied().unwrap_or_default();
    MAX_INVITES + scenario.front.transactions.max_retransmissions(longest_wait)
}

#[test_case("short/quiet.textproto"; "quiet")]
#[test_case("short/answers-lost.textproto"; "answers lost")]
#[test_case("short/silent.textproto"; "silent")]
#[test_case("short/slow.textproto"; "slow")]
#[test_case("short/overload.textproto"; "overload")]
#[test_case("short/redials.textproto"; "redials")]
#[test_case("short/vanish.textproto"; "vanish")]
#[test_case("short/crash.textproto"; "crash")]
#[test_case("bad-day.textproto"; "bad day")]
fn all_layers_together_are_bounded(file: &str) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let scenario = scenario::open(&folder.join(file)).unwrap();
    let (counts, limit) = (count_invites(&scenario), max_of_a_session(&scenario));
    println!("{file} {counts:?}");
    assert!(counts.max_of_a_session <= limit, "{counts:?}, {limit} for a session");
    let (first, added) = (counts.first + counts.redials, counts.resends + counts.repeats);
    assert!(added * 100 <= first * MAX_ADDED_PERCENT, "{counts:?}");
}
