//! The faults of links, from those of a scenario.

use ochrelead_config::faults::{FaultKind, InjectedFault};
use ochrelead_config::scenario::Scenario;
use ochrelead_core::time::{Moment, Span};

/// A fault lasts at least so long.
const MIN_FAULT_DURATION: Span = Span::from_millis(1);

/// A fault on the way from some parties to others, for a while.
#[derive(Clone, Copy, Debug)]
pub struct LinkFault<P> {
    /// The senders that it concerns; all of them where it names none.
    pub from: Option<P>,
    /// The receivers that it concerns; all of them where it names none.
    pub to: Option<P>,
    /// Its start.
    pub start: Moment,
    /// Its end: from here on it is over.
    pub end: Moment,
    /// The share of datagrams that are lost.
    pub loss: f64,
}

impl<P: Copy + PartialEq> LinkFault<P> {
    /// Whether it concerns a link at a moment.
    pub(super) fn is_active(&self, now: Moment, from: P, to: P) -> bool {
        let concerns = |named: Option<P>, party: P| named.is_none_or(|named| named == party);
        now >= self.start && now < self.end && concerns(self.from, from) && concerns(self.to, to)
    }
}

/// The faults of links in a scenario that begins at `start`. The parties are named by `front` and `server`, from their
/// indices, and by `callers`.
pub fn link_faults<P: Copy>(
    scenario: &Scenario,
    start: Moment,
    front: impl Fn(usize) -> P,
    server: impl Fn(usize) -> P,
    callers: P,
) -> Vec<LinkFault<P>> {
    let servers: Vec<P> = (0..scenario.servers.len()).map(&server).collect();
    let mut faults = Vec::new();
    for injected in &scenario.faults {
        for &target in &injected.targets {
            let links = match injected.kind {
                FaultKind::AnswersLost => vec![(Some(server(target)), None)],
                FaultKind::LinkCut => both_ways(front(target), &servers),
                FaultKind::FrontDeaf => one_way(&servers, &[front(target)]),
                FaultKind::FrontMute => one_way(&[front(target)], &servers),
                FaultKind::CallersCut => both_ways(front(target), &[callers]),
                _ => continue,
            };
            faults.extend(links.into_iter().map(|(from, to)| link_fault(injected, start, from, to)));
        }
    }
    faults
}

fn link_fault<P>(
    injected: &InjectedFault,
    scenario_start: Moment,
    from: Option<P>,
    to: Option<P>,
) -> LinkFault<P> {
    let start = scenario_start + injected.start;
    let loss = match injected.kind {
        FaultKind::LinkCut => 1.0,
        _ => injected.magnitude.min(1.0),
    };
    LinkFault { from, to, start, end: start + injected.duration.max(MIN_FAULT_DURATION), loss }
}

fn one_way<P: Copy>(from: &[P], to: &[P]) -> Vec<(Option<P>, Option<P>)> {
    from.iter().flat_map(|from| to.iter().map(|to| (Some(*from), Some(*to)))).collect()
}

fn both_ways<P: Copy>(party: P, others: &[P]) -> Vec<(Option<P>, Option<P>)> {
    [one_way(&[party], others), one_way(others, &[party])].concat()
}
