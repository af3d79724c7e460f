//! Derives link faults from the faults of a scenario.

use ochrelead_config::faults::{FaultKind, InjectedFault};
use ochrelead_config::scenario::Scenario;
use ochrelead_core::time::{Moment, Span};

/// Lower limit of the duration of a link fault.
const MIN_FAULT_DURATION: Span = Span::from_millis(1);

/// Loss of datagrams from some participants to others for a limited time.
#[derive(Clone, Copy, Debug)]
pub struct LinkFault<P> {
    /// The affected sender; none affects all senders.
    pub from: Option<P>,
    /// The affected receiver; none affects all receivers.
    pub to: Option<P>,
    /// The start of the fault (inclusive).
    pub start: Moment,
    /// The end of the fault (exclusive).
    pub end: Moment,
    /// The share of datagrams that are lost, 0 to 1.
    pub loss: f64,
}

impl<P: Copy + PartialEq> LinkFault<P> {
    /// Whether the fault affects the link from `from` to `to` at `now`.
    pub(super) fn is_active(&self, now: Moment, from: P, to: P) -> bool {
        let affects =
            |affected: Option<P>, participant: P| affected.is_none_or(|affected| affected == participant);
        now >= self.start && now < self.end && affects(self.from, from) && affects(self.to, to)
    }
}

/// Returns the link faults of a scenario that begins at `start`. `front` and `server` map indices to participants;
/// `callers` is the participant for the callers' gateway.
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

fn both_ways<P: Copy>(participant: P, others: &[P]) -> Vec<(Option<P>, Option<P>)> {
    [one_way(&[participant], others), one_way(others, &[participant])].concat()
}
