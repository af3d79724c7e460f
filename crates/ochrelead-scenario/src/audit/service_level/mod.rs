//! The service level of a scenario: the value of calls that were established in time and not cut, over the value
//! offered. A caller's redials belong to its first attempt.

mod callers;
mod ceiling;

use ochrelead_config::scenario::Scenario;
use ochrelead_core::time::{Moment, Span};

use super::trace::TraceEvent;
use callers::{Caller, read_callers};
pub use ceiling::{OfferedCall, capacity_ceiling};

/// The window whose worst position counts.
const WINDOW: Span = Span::from_secs(10);
/// The step by which that window is moved.
const WINDOW_STEP: Span = Span::from_secs(1);
/// The intervals of [`ServiceLevel::by_interval`].
const INTERVAL: Span = Span::from_secs(5);

/// What was served of what was offered, as shares of the value unless said otherwise.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceLevel {
    /// Over the whole scenario.
    pub overall: f64,
    /// In the worst ten seconds.
    pub worst_window: f64,
    /// In each five seconds, by when calls were offered.
    pub by_interval: Vec<f64>,
    /// Of each service.
    pub by_service: Vec<f64>,
    /// Of each tenant.
    pub by_tenant: Vec<f64>,
    /// How many callers there were.
    pub offered: usize,
    /// How many of them got an established call.
    pub established: usize,
    /// How many established calls were cut.
    pub cut: usize,
    /// What the servers' true capacity alone would have allowed.
    pub ceiling: f64,
}

impl ServiceLevel {
    /// The least of several shares.
    pub fn worst(shares: &[f64]) -> f64 {
        shares.iter().copied().fold(1.0, f64::min)
    }
}

/// Measures the service level of a scenario.
pub(super) fn measure(scenario: &Scenario, trace: &[TraceEvent]) -> ServiceLevel {
    let callers = read_callers(scenario, trace);
    let offered: Vec<OfferedCall> = callers.iter().map(Caller::offered_call).collect();
    let windows = scenario.duration.micros().saturating_sub(WINDOW.micros()) / WINDOW_STEP.micros();
    let intervals = scenario.duration.micros().div_ceil(INTERVAL.micros());
    let served = ServedShares { scenario, callers: &callers };
    ServiceLevel {
        overall: served.of(|_| true),
        worst_window: (0..=windows)
            .map(|window| served.within(Moment::START + WINDOW_STEP * window, WINDOW))
            .fold(1.0, f64::min),
        by_interval: (0..intervals)
            .map(|interval| served.within(Moment::START + INTERVAL * interval, INTERVAL))
            .collect(),
        by_service: (0..scenario.front.timer_limits.len())
            .map(|service| served.of(|caller| caller.service == service))
            .collect(),
        by_tenant: (0..scenario.front.trunks.len())
            .map(|tenant| served.of(|caller| caller.tenant == Some(tenant)))
            .collect(),
        offered: callers.len(),
        established: callers.iter().filter(|caller| caller.established_at.is_some()).count(),
        cut: callers.iter().filter(|caller| caller.cut).count(),
        ceiling: capacity_ceiling(scenario, &offered),
    }
}

/// Served shares of groups of callers.
struct ServedShares<'a> {
    scenario: &'a Scenario,
    callers: &'a [Caller],
}

impl ServedShares<'_> {
    /// The served share of the callers that belong to a group; 1 where there are none.
    fn of(&self, belongs: impl Fn(&Caller) -> bool) -> f64 {
        let (mut served, mut offered) = (0.0, 0.0);
        for caller in self.callers.iter().filter(|caller| belongs(caller)) {
            served += caller.served_value(self.scenario);
            offered += caller.value;
        }
        if offered > 0.0 { served / offered } else { 1.0 }
    }

    /// The served share of the callers that came within a time.
    fn within(&self, begin: Moment, length: Span) -> f64 {
        self.of(|caller| caller.came_at >= begin && caller.came_at.since(begin) < length)
    }
}
