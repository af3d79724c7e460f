//! A capture as a course of messages, and what the day's script says of the servers.

use ochrelead_config::faults::FaultKind;
use ochrelead_config::scenario::Scenario;
use ochrelead_core::time::Moment;
use ochrelead_mgcp::message::Message;
use ochrelead_mgcp::parse;

use crate::capture::Sight;
use crate::party::Party;

/// One message, as it left or as it reached.
pub struct Seen {
    pub at: Moment,
    pub from: Party,
    pub to: Party,
    pub reached: bool,
    pub what: What,
}

pub enum What {
    Message(Message),
    Mark(Mark),
}

/// What the rig did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mark {
    Kill(Party),
    Begin(Party),
    Halt(Party),
    Resume(Party),
    /// A front's fleet file is whole on disk and says that this server drains, or none.
    Fleet(Party, Option<u16>),
    End,
}

/// All messages in order; moments are counted from the day's start, what came before it counts as at it.
pub fn read(_day: &Scenario, sights: &[Sight]) -> Vec<Seen> {
    let text = |sight: &Sight| String::from_utf8_lossy(&sight.bytes).into_owned();
    let starts = |sight: &Sight| text(sight).strip_prefix("start ").and_then(|us| us.trim().parse().ok());
    let marks = sights.iter().filter(|sight| sight.from == Party::Rig);
    let start = marks.clone().find_map(starts).map_or(Moment::START, Moment::from_micros);
    let mut seen = Vec::new();
    for sight in sights {
        let at = Moment::START + sight.at.since(start);
        let (from, to, reached) = (sight.from, sight.to, sight.reached);
        if from == Party::Rig {
            if let Some(mark) = mark(&text(sight)) {
                seen.push(Seen { at, from, to, reached, what: What::Mark(mark) });
            }
            continue;
        }
        for message in parse::datagram(&sight.bytes).into_iter().flatten().flatten() {
            seen.push(Seen { at, from, to, reached, what: What::Message(message) });
        }
    }
    seen
}

fn mark(text: &str) -> Option<Mark> {
    if text == "end" {
        return Some(Mark::End);
    }
    let (what, party) = text.split_once(' ')?;
    if what == "fleet" {
        let (party, drains) = party.split_once(' ')?;
        let front = Party::of_shown(party.parse().ok()?)?;
        return Some(Mark::Fleet(front, drains.parse().ok()));
    }
    let party = Party::of_shown(party.trim().parse().ok()?)?;
    match what {
        "kill" => Some(Mark::Kill(party)),
        "begin" => Some(Mark::Begin(party)),
        "halt" => Some(Mark::Halt(party)),
        "resume" => Some(Mark::Resume(party)),
        _ => None,
    }
}

/// How much slower the script has a server at `at`, none where it is not there or silent; and since when it
/// has been a cold one.
pub fn state(day: &Scenario, server: usize, at: Moment) -> (Option<f64>, Option<Moment>) {
    let (mut slower, mut here, mut cold) = (1.0, true, None);
    for trouble in &day.faults {
        let struck = trouble.kind == FaultKind::AllSlow || trouble.targets.contains(&server);
        let (begins, ends) =
            (Moment::START + trouble.start, Moment::START + trouble.start + trouble.duration);
        let on = at >= begins && at < ends;
        match trouble.kind {
            FaultKind::Slow | FaultKind::AllSlow if struck && on => slower = trouble.magnitude.max(0.01),
            FaultKind::Silent if struck && on => here = false,
            FaultKind::Vanish | FaultKind::Crash if struck => {
                here &= !on;
                cold = if at >= ends { cold.max(Some(ends)) } else { cold };
            }
            FaultKind::Replaced if struck && at >= ends => cold = cold.max(Some(ends)),
            _ => {}
        }
    }
    (here.then_some(slower), cold)
}
