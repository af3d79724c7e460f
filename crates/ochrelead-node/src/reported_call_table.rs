//! The calls that callers have reported as established, by the connection that reported them, within bounds. It holds state
//! only; the engine answers the callers.
//!
//! A report may be made up, and no message tells whether a server knows the call. So reports have bounds of their own, apart
//! from those of set-ups, and at the bound they cost the connection that has reported most.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use ochrelead_core::time::Moment;
use ochrelead_platform::caller_messages::CallId;

use crate::io::CallerId;

/// The decision on a further report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReportAdmission {
    Accepted,
    /// Accepted once this call has been given up: the oldest of the connection that has reported most.
    AcceptedInPlaceOf(CallId),
    Refused,
}

/// The capacities of the table.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportBounds {
    pub(crate) calls: usize,
    /// Calls that one connection has reported.
    pub(crate) calls_per_connection: usize,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    reporter: CallerId,
    reported_at: Moment,
}

/// All reported calls that have not ended.
pub(crate) struct ReportedCallTable {
    bounds: ReportBounds,
    reports: HashMap<CallId, Report>,
    /// The calls of each connection, oldest report first; they outlast the connection.
    by_reporter: BTreeMap<CallerId, BTreeSet<(Moment, CallId)>>,
    /// The number of calls of each connection, for the one with most.
    by_count: BTreeSet<(usize, CallerId)>,
    by_age: BTreeSet<(Moment, CallId)>,
}

impl ReportedCallTable {
    pub(crate) fn new(bounds: ReportBounds) -> ReportedCallTable {
        ReportedCallTable {
            bounds,
            reports: HashMap::new(),
            by_reporter: BTreeMap::new(),
            by_count: BTreeSet::new(),
            by_age: BTreeSet::new(),
        }
    }

    /// Decides on one more report of a connection.
    pub(crate) fn admit(&self, reporter: CallerId) -> ReportAdmission {
        let own = self.count(reporter);
        if own >= self.bounds.calls_per_connection {
            return ReportAdmission::Refused;
        }
        if self.reports.len() < self.bounds.calls {
            return ReportAdmission::Accepted;
        }
        let most = self.by_count.last().filter(|(count, _)| *count > own + 1);
        let oldest = most.and_then(|(_, reporter)| self.by_reporter.get(reporter)?.first());
        oldest.map_or(ReportAdmission::Refused, |(_, call)| ReportAdmission::AcceptedInPlaceOf(*call))
    }

    fn count(&self, reporter: CallerId) -> usize {
        self.by_reporter.get(&reporter).map_or(0, BTreeSet::len)
    }

    pub(crate) fn insert(&mut self, call: CallId, reporter: CallerId, now: Moment) {
        self.reports.insert(call, Report { reporter, reported_at: now });
        self.by_age.insert((now, call));
        self.update_reporter(reporter, |calls| calls.insert((now, call)));
    }

    /// Removes a call that has ended. Other calls than reported ones are ignored.
    pub(crate) fn remove(&mut self, call: CallId) {
        let Some(Report { reporter, reported_at }) = self.reports.remove(&call) else { return };
        self.by_age.remove(&(reported_at, call));
        self.update_reporter(reporter, |calls| calls.remove(&(reported_at, call)));
    }

    /// Changes the calls of a connection, and its place in the order by count.
    fn update_reporter(
        &mut self,
        reporter: CallerId,
        change: impl FnOnce(&mut BTreeSet<(Moment, CallId)>) -> bool,
    ) {
        let calls = self.by_reporter.entry(reporter).or_default();
        self.by_count.remove(&(calls.len(), reporter));
        change(calls);
        if calls.is_empty() {
            self.by_reporter.remove(&reporter);
        } else {
            self.by_count.insert((calls.len(), reporter));
        }
    }

    /// The calls that were reported no later than `until`, oldest first.
    pub(crate) fn reported_until(&self, until: Moment) -> Vec<CallId> {
        let reports = self.by_age.iter().take_while(|(reported_at, _)| *reported_at <= until);
        reports.map(|(_, call)| *call).collect()
    }
}
