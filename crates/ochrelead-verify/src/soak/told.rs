//! When a node counts as told of a change of the list, by the platform's protocol.
//!
//! What is in the coordinator counts as told at once. Where discovery failed, it counts once discovery can be reached
//! again; a node whose open connection was lost unnoticed counts as told when it asks again, or some seconds after the
//! fault began. A node that has had time to notice the fault is expected to try often.

use std::time::Duration;

use super::history::{DiscoveryFault, Event, History};

/// What is told late by a silent coordinator counts as told so long after it fell silent.
const SILENCE_ALLOWANCE: Duration = Duration::from_secs(4);
/// What is told late by a coordinator that closed the connection counts as told so long after that.
const BREAK_ALLOWANCE: Duration = Duration::from_secs(2);
/// What a coordinator that moved has to tell counts as told so long after the signal.
const MOVE_ALLOWANCE: Duration = Duration::from_secs(4);
/// A node notices silence within this time: a line is due each second.
const NOTICE_TIME: Duration = Duration::from_millis(2_200);
/// A node that knows that it is not connected reaches a coordinator that has returned within this time.
const RECONNECT_TIME: Duration = Duration::from_millis(200);

/// A time in which discovery failed for a node.
#[derive(Clone, Copy, Debug)]
struct Outage {
    from: Duration,
    until: Duration,
    fault: DiscoveryFault,
}

/// What a node could know of the list, and when.
#[derive(Debug, Default)]
pub struct DiscoveryView {
    outages: Vec<Outage>,
    /// When the coordinator answered a request for the list.
    requests: Vec<Duration>,
    moves: Vec<Duration>,
}

impl DiscoveryView {
    /// The view of a node, from the history.
    pub fn of_node(history: &History, number: usize) -> DiscoveryView {
        let mut view = DiscoveryView::default();
        for entry in &history.entries {
            match entry.event {
                Event::DiscoveryFailed { node, fault } if node == number => {
                    view.end_outage(entry.at);
                    view.outages.push(Outage { from: entry.at, until: Duration::MAX, fault });
                }
                Event::DiscoveryReturned { node } if node == number => view.end_outage(entry.at),
                Event::DiscoveryMoved { node } if node == number => view.moves.push(entry.at),
                Event::ListRequested { node } if node == number => view.requests.push(entry.at),
                _ => {}
            }
        }
        view
    }

    fn end_outage(&mut self, at: Duration) {
        if let Some(last) = self.outages.last_mut().filter(|last| last.until == Duration::MAX) {
            last.until = at;
        }
    }

    /// When a node that has run since `started` counts as told of what the list has since `listed`; `None` for never.
    pub fn told_at(&self, started: Duration, listed: Duration) -> Option<Duration> {
        let from = started.max(listed);
        // The configuration that comes with the signal has the list, reachable or not.
        let next_move = self.moves.iter().find(|moved| **moved >= from).map(|moved| *moved + MOVE_ALLOWANCE);
        [self.told_by_coordinator(started, from), next_move].into_iter().flatten().min()
    }

    /// When what the coordinator has from a moment on counts as told by it.
    fn told_by_coordinator(&self, started: Duration, from: Duration) -> Option<Duration> {
        let covering = self.outages.iter().find(|outage| outage.from <= from && from < outage.until);
        let reachable = match covering {
            Some(Outage { fault: DiscoveryFault::Slow(delay), .. }) => from + *delay * 2,
            Some(outage) if outage.until == Duration::MAX => return None,
            Some(Outage { fault: DiscoveryFault::Suspended, until, .. }) => *until + RECONNECT_TIME,
            Some(outage) => outage.until,
            None => from,
        };
        let lost = self.lost_connection(started, reachable);
        let told = match lost {
            Some(allowed_until) => {
                let asked = self.requests.iter().find(|request| **request >= reachable);
                asked.copied().unwrap_or(Duration::MAX).min(allowed_until.max(reachable))
            }
            None => reachable,
        };
        Some(told)
    }

    /// Until when a node whose connection was lost before `at` need not have noticed; `None` where it has a connection.
    fn lost_connection(&self, started: Duration, at: Duration) -> Option<Duration> {
        let is_loss =
            |outage: &&Outage| !matches!(outage.fault, DiscoveryFault::Slow(_)) && outage.from <= at;
        let outage = self.outages.iter().rev().find(is_loss).filter(|outage| outage.until > started);
        let by_outage = outage.filter(|outage| !self.has_asked(outage.until, at)).map(|outage| {
            let has_noticed = outage.until.saturating_sub(outage.from.max(started)) >= NOTICE_TIME;
            let allowance = match outage.fault {
                DiscoveryFault::Down => outage.from + BREAK_ALLOWANCE,
                _ => outage.from + SILENCE_ALLOWANCE,
            };
            if has_noticed { outage.until + RECONNECT_TIME } else { allowance }
        });
        let moved = self.moves.iter().rev().find(|moved| **moved <= at && **moved >= started);
        let by_move = moved.filter(|moved| !self.has_asked(**moved, at)).map(|moved| *moved + MOVE_ALLOWANCE);
        by_outage.max(by_move)
    }

    fn has_asked(&self, from: Duration, until: Duration) -> bool {
        self.requests.iter().any(|request| (from..until).contains(request))
    }
}
