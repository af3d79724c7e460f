//! When a node counts as notified of a change to the server list, by the rules of the platform's discovery protocol.
//!
//! Normally a node counts as notified as soon as the coordinator has the change. During a discovery fault it counts
//! as notified once discovery is reachable again. A node that has not noticed the loss of its open connection
//! counts as notified when it requests the list again, or at the latest some seconds after the fault began. A node
//! that has had time to notice the fault is expected to retry often.

use std::time::Duration;

use super::history::{DiscoveryFault, Event, History};

/// A node on a lost connection counts as notified at the latest this long after its coordinator fell silent.
const SILENCE_ALLOWANCE: Duration = Duration::from_secs(4);
/// A node counts as notified at the latest this long after its coordinator went down and closed the connection.
const BREAK_ALLOWANCE: Duration = Duration::from_secs(2);
/// A node counts as notified at the latest this long after SIGHUP announced that its coordinator moved.
const MOVE_ALLOWANCE: Duration = Duration::from_secs(4);
/// A node notices a silent coordinator within this time, as the coordinator owes it a line each second.
const NOTICE_TIME: Duration = Duration::from_millis(2_200);
/// A node that knows that it is disconnected reaches a recovered coordinator within this time.
const RECONNECT_TIME: Duration = Duration::from_millis(200);

/// A period in which discovery failed for a node; `until` is `Duration::MAX` while the fault lasts.
#[derive(Clone, Copy, Debug)]
struct Outage {
    from: Duration,
    until: Duration,
    fault: DiscoveryFault,
}

/// When a node could reach its coordinator and when it requested the list.
#[derive(Debug, Default)]
pub struct DiscoveryView {
    outages: Vec<Outage>,
    /// When the coordinator began to answer a request for the list.
    requests: Vec<Duration>,
    /// When the node was signalled that its coordinator moved.
    moves: Vec<Duration>,
}

impl DiscoveryView {
    /// Builds the view of a node from the history.
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

    /// When a node that has run since `started` counts as notified of a change that was listed at `listed`; `None`
    /// for never.
    pub fn notified_at(&self, started: Duration, listed: Duration) -> Option<Duration> {
        let from = started.max(listed);
        // The configuration file that SIGHUP announces holds the list, whether or not the coordinator is reachable.
        let next_move = self.moves.iter().find(|moved| **moved >= from).map(|moved| *moved + MOVE_ALLOWANCE);
        [self.notified_by_coordinator(started, from), next_move].into_iter().flatten().min()
    }

    /// When the coordinator counts as having notified the node of a change that it has from `from` on.
    fn notified_by_coordinator(&self, started: Duration, from: Duration) -> Option<Duration> {
        let current_outage = self.outages.iter().find(|outage| outage.from <= from && from < outage.until);
        let reachable = match current_outage {
            Some(Outage { fault: DiscoveryFault::Slow(delay), .. }) => from + *delay * 2,
            Some(outage) if outage.until == Duration::MAX => return None,
            Some(Outage { fault: DiscoveryFault::Suspended, until, .. }) => *until + RECONNECT_TIME,
            Some(outage) => outage.until,
            None => from,
        };
        let notified = match self.unnoticed_loss_until(started, reachable) {
            Some(allowed_until) => {
                let requested = self.requests.iter().find(|request| **request >= reachable);
                requested.copied().unwrap_or(Duration::MAX).min(allowed_until.max(reachable))
            }
            None => reachable,
        };
        Some(notified)
    }

    /// Until when a node whose connection was lost before `at` need not have reconnected; `None` if its connection
    /// works.
    fn unnoticed_loss_until(&self, started: Duration, at: Duration) -> Option<Duration> {
        let is_loss =
            |outage: &&Outage| !matches!(outage.fault, DiscoveryFault::Slow(_)) && outage.from <= at;
        let outage = self.outages.iter().rev().find(is_loss).filter(|outage| outage.until > started);
        let by_outage = outage.filter(|outage| !self.has_requested(outage.until, at)).map(|outage| {
            let has_noticed = outage.until.saturating_sub(outage.from.max(started)) >= NOTICE_TIME;
            let allowance = match outage.fault {
                DiscoveryFault::Down => outage.from + BREAK_ALLOWANCE,
                _ => outage.from + SILENCE_ALLOWANCE,
            };
            if has_noticed { outage.until + RECONNECT_TIME } else { allowance }
        });
        let moved = self.moves.iter().rev().find(|moved| **moved <= at && **moved >= started);
        let by_move =
            moved.filter(|moved| !self.has_requested(**moved, at)).map(|moved| *moved + MOVE_ALLOWANCE);
        by_outage.max(by_move)
    }

    fn has_requested(&self, from: Duration, until: Duration) -> bool {
        self.requests.iter().any(|request| (from..until).contains(request))
    }
}
