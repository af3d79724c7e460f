//! The service level of a scenario: the value of the calls that were established in time and not cut by a front,
//! divided by the offered value. All attempts of a caller, including redials, count as one call.

mod callers;
mod ceiling;

use ochrelead_config::scenario::Scenario;
use ochrelead_core::time::{Moment, Span};

use super::trace::TraceEvent;
use callers::{Caller, read_callers};
pub use ceiling::{OfferedCall, capacity_ceiling};

/// The length of the sliding window of [`ServiceLevel::worst_window`].
const WINDOW: Span = Span::from_secs(10);
/// The step of the sliding window.
const WINDOW_STEP: Span = Span::from_secs(1);
/// The interval length of [`ServiceLevel::by_interval`].
const INTERVAL: Span = Span::from_secs(5);

/// The served fraction of the offered value, in several groupings, and counts of callers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceLevel {
    /// Over the whole scenario.
    pub overall: f64,
    /// The lowest value in any 10 s window, by the arrival of callers.
    pub worst_window: f64,
    /// In each 5 s interval, by the arrival of callers.
    pub by_interval: Vec<f64>,
    /// For each service.
    pub by_service: Vec<f64>,
    /// For each tenant.
    pub by_tenant: Vec<f64>,
    /// The number of callers.
    pub offered: usize,
    /// The number of callers with an established call.
    pub established: usize,
    /// The number of established calls that were cut: ended by a front before the caller hung up, for whatever reason.
    pub cut: usize,
    /// The upper bound that the servers' true capacity allows, see [`capacity_ceiling`].
    pub ceiling: f64,
}

impl ServiceLevel {
    /// Returns the minimum of several service levels; 1 if there are none.
    pub fn worst(shares: &[f64]) -> f64 {
        shares.iter().copied().fold(1.0, f64::min)
    }
}

/// Measures the service level of a scenario from its trace.
pub(super) fn measure(scenario: &Scenario, trace: &[TraceEvent]) -> ServiceLevel {
    let callers = read_callers(scenario, trace);
    let offered: Vec<OfferedCall> = callers.iter().map(Caller::offered_call).collect();
    let windows = scenario.duration.micros().saturating_sub(WINDOW.micros()) / WINDOW_STEP.micros();
    let intervals = scenario.duration.micros().div_ceil(INTERVAL.micros());
    let levels = GroupServiceLevels { scenario, callers: &callers };
    ServiceLevel {
        overall: levels.of_callers(|_| true),
        worst_window: (0..=windows)
            .map(|window| levels.within(Moment::START + WINDOW_STEP * window, WINDOW))
            .fold(1.0, f64::min),
        by_interval: (0..intervals)
            .map(|interval| levels.within(Moment::START + INTERVAL * interval, INTERVAL))
            .collect(),
        by_service: (0..scenario.front.timer_limits.len())
            .map(|service| levels.of_callers(|caller| caller.service == service))
            .collect(),
        by_tenant: (0..scenario.front.trunks.len())
            .map(|tenant| levels.of_callers(|caller| caller.tenant == Some(tenant)))
            .collect(),
        offered: callers.len(),
        established: callers.iter().filter(|caller| caller.established_at.is_some()).count(),
        cut: callers.iter().filter(|caller| caller.cut).count(),
        ceiling: capacity_ceiling(scenario, &offered),
    }
}

/// Computes the service level of groups of callers.
struct GroupServiceLevels<'a> {
    scenario: &'a Scenario,
    callers: &'a [Caller],
}

impl GroupServiceLevels<'_> {
    /// Returns the service level of the callers for which `belongs` is true; 1 if there are none.
    fn of_callers(&self, belongs: impl Fn(&Caller) -> bool) -> f64 {
        let (mut served, mut offered) = (0.0, 0.0);
        for caller in self.callers.iter().filter(|caller| belongs(caller)) {
            served += caller.served_value(self.scenario);
            offered += caller.value;
        }
        if offered > 0.0 { served / offered } else { 1.0 }
    }

    /// Returns the service level of the callers that arrived in `[begin, begin + length)`.
    fn within(&self, begin: Moment, length: Span) -> f64 {
        self.of_callers(|caller| caller.arrived_at >= begin && caller.arrived_at.since(begin) < length)
    }
}
