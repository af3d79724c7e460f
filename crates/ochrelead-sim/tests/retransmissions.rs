//! Bounds the total number of INVITE datagrams that the retry layers send to servers, with and without faults: callers
//! redial, the module re-sends INVITEs, and transactions retransmit. Each layer retries independently of the others, so
//! only their sum shows whether retries amplify load.

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

/// Maximum number of INVITEs per session, without retransmissions.
const MAX_INVITES: u32 = 3;
/// Maximum number of re-sends and retransmissions, as a percentage of the first INVITEs of all attempts.
const MAX_ADDED_PERCENT: u32 = 15;

/// INVITE datagrams that reached servers, by the layer that sent them.
#[derive(Debug, Default)]
struct InviteCounts {
    /// The first INVITEs of callers' first attempts.
    first: u32,
    /// The first INVITEs of callers' later attempts.
    redials: u32,
    /// INVITEs that the module re-sends for an attempt.
    resends: u32,
    /// Retransmissions of an INVITE's transaction, including datagrams that the network duplicates.
    retransmissions: u32,
    /// INVITEs of any layer that reached a server after the front had sent a release for the call.
    released: u32,
    /// The largest number of INVITE datagrams sent for one session.
    max_per_session: u32,
}

/// A call: the front that sets it up, and its call id.
type Call = (Participant, String);

/// Classifies INVITE datagrams in capture order.
#[derive(Default)]
struct InviteCounter {
    counts: InviteCounts,
    /// The id of the first attempt on each caller's line.
    first_attempts: BTreeMap<String, String>,
    redials: BTreeSet<String>,
    released: BTreeSet<Call>,
    transactions: BTreeSet<(Participant, u32)>,
    calls: BTreeSet<Call>,
    sent: BTreeMap<Call, u32>,
}

impl InviteCounter {
    /// Handles a caller's attempt that reaches a front.
    fn on_attempt(&mut self, command: &Command) {
        // An emulated caller uses the same line for all its attempts.
        let attempt = parameter_value(command, parameter::ATTEMPT);
        let first = self.first_attempts.entry(command.endpoint.to_string()).or_insert(attempt.clone());
        if *first != attempt {
            self.redials.insert(attempt);
        }
    }

    /// Handles an INVITE that reaches a server.
    fn on_invite(&mut self, front: Participant, command: &Command) {
        let call = (front, parameter_value(command, parameter::CALL_ID));
        self.counts.released += u32::from(self.released.contains(&call));
        let is_redial = self.redials.contains(&call.1);
        if !self.transactions.insert((front, command.transaction)) {
            self.counts.retransmissions += 1;
        } else if !self.calls.insert(call) {
            self.counts.resends += 1;
        } else if is_redial {
            self.counts.redials += 1;
        } else {
            self.counts.first += 1;
        }
    }

    fn on_captured(&mut self, from: Participant, to: Participant, delivered: bool, command: &Command) {
        match (from, to, command.verb, delivered) {
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
    counter.counts.max_per_session = counter.sent.into_values().max().unwrap_or(0);
    counter.counts
}

/// Returns the maximum number of INVITE datagrams per session: its INVITEs, plus the retransmissions of one of them.
fn max_datagrams_per_session(scenario: &Scenario) -> u32 {
    let longest_wait = scenario.front.timer_limits.iter().max().copied().unwrap_or_default();
    MAX_INVITES + scenario.front.transactions.max_retransmissions(longest_wait)
}

#[test_case("short/quiet.textproto"; "no faults")]
#[test_case("short/answers-lost.textproto"; "answers lost")]
#[test_case("short/silent.textproto"; "server silent")]
#[test_case("short/slow.textproto"; "server slow")]
#[test_case("short/overload.textproto"; "overload")]
#[test_case("short/redials.textproto"; "redials")]
#[test_case("short/vanish.textproto"; "server vanishes")]
#[test_case("short/crash.textproto"; "server crashes")]
#[test_case("bad-day.textproto"; "several faults")]
fn invites_of_all_retry_layers_are_bounded(file: &str) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let scenario = scenario::open(&folder.join(file)).unwrap();
    let (counts, limit) = (count_invites(&scenario), max_datagrams_per_session(&scenario));
    println!("{file} {counts:?}");
    assert!(counts.max_per_session <= limit, "{counts:?}, {limit} for a session");
    let (first, added) = (counts.first + counts.redials, counts.resends + counts.retransmissions);
    assert!(added * 100 <= first * MAX_ADDED_PERCENT, "{counts:?}");
}
