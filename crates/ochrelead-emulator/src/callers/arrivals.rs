//! New callers: when they come, and what they want.

use ochrelead_config::faults::{FaultKind, InjectedFault};
use ochrelead_config::scenario::Scenario;
use ochrelead_core::time::{Moment, Span};
use rand::RngExt;
use rand::distr::weighted::WeightedIndex;
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64Mcg;

use super::HOT_SUBSCRIBER;
use super::caller::{Caller, CallerState};

/// An impatient caller waits for this share of what others do.
const IMPATIENT_PATIENCE: f64 = 0.15;
/// How often an impatient caller dials again.
const IMPATIENT_REDIALS: u32 = 6;
/// Subscriber numbers are drawn below the hot one.
const SUBSCRIBERS: u32 = 999_999;
/// A surge reduces the rate of arrivals at most by this factor.
const MIN_SURGE: f64 = 0.01;
/// The mean of the drawn hold times is at least so long.
const MIN_MEAN_HOLD_TIME: Span = Span::from_millis(100);

/// Draws the arrivals of a scenario.
pub(super) struct Arrivals {
    scenario_start: Moment,
    fronts: usize,
    services: WeightedIndex<f64>,
    tenants: Option<WeightedIndex<f64>>,
}

/// What is drawn for a caller.
struct Draws {
    service: usize,
    tenant: Option<usize>,
    server: usize,
    front: usize,
    subscriber: u32,
    /// Decides whether the caller dials the hot number.
    hot_sample: f64,
    /// Decides how long the call is held.
    hold_sample: f64,
}

impl Arrivals {
    pub(super) fn new(scenario: &Scenario, scenario_start: Moment, fronts: usize) -> Arrivals {
        let services = WeightedIndex::new(&scenario.callers.service_shares);
        Arrivals {
            scenario_start,
            fronts,
            services: services.expect("the shares of a scenario were checked"),
            tenants: WeightedIndex::new(&scenario.callers.tenant_shares).ok(),
        }
    }

    /// When the next caller comes after one at `now`; none behind the end of the scenario.
    pub(super) fn draw_next(&self, scenario: &Scenario, now: Moment, rng: &mut Pcg64Mcg) -> Option<Moment> {
        let surge = self.fault(scenario, FaultKind::Surge, now);
        let surge = surge.map_or(1.0, |fault| fault.magnitude.max(MIN_SURGE));
        let rate = scenario.callers.sessions_per_s * surge;
        let gap_s = Exp::new(rate).expect("the rate of a scenario is above zero").sample(rng);
        let next = now + Span::from_secs(1).scaled(gap_s);
        Some(next).filter(|next| next.since(self.scenario_start) < scenario.duration)
    }

    /// The caller with this id, which comes now.
    pub(super) fn draw_caller(
        &self,
        scenario: &Scenario,
        now: Moment,
        caller_id: u32,
        rng: &mut Pcg64Mcg,
    ) -> Caller {
        let draws = self.draw(scenario, rng);
        let is_hot = self
            .fault(scenario, FaultKind::HotNumber, now)
            .is_some_and(|fault| draws.hot_sample < fault.magnitude);
        let has_short_patience = self.has_short_patience(scenario, draws.tenant, now);
        let is_impatient = has_short_patience || is_hot;
        let timer_limit = scenario.front.timer_limits[draws.service];
        let patience_share = if has_short_patience { IMPATIENT_PATIENCE } else { 1.0 };
        let trunk = draws.tenant.map_or("line", |tenant| scenario.front.trunks[tenant].as_str());
        Caller {
            front: draws.front,
            line: format!("{trunk}/{caller_id}@callers").parse().expect("a valid endpoint name"),
            digits: dialled_digits(scenario, &draws, is_hot),
            is_impatient,
            first_attempt_at: now,
            attempts: 0,
            max_redials: if is_impatient { IMPATIENT_REDIALS } else { scenario.callers.max_redials },
            timer_limit,
            patience: timer_limit.scaled(scenario.callers.patience * patience_share),
            hold_time: hold_time(scenario, &draws),
            state: CallerState::Idle,
            next_action: None,
        }
    }

    /// The order of the draws is part of what a seed means.
    fn draw(&self, scenario: &Scenario, rng: &mut Pcg64Mcg) -> Draws {
        Draws {
            service: self.services.sample(rng),
            tenant: self.tenants.as_ref().map(|tenants| tenants.sample(rng)),
            server: rng.random_range(0..scenario.servers.len()),
            front: rng.random_range(0..self.fronts),
            subscriber: rng.random_range(0..SUBSCRIBERS),
            hot_sample: rng.random(),
            hold_sample: rng.random(),
        }
    }

    fn has_short_patience(&self, scenario: &Scenario, tenant: Option<usize>, now: Moment) -> bool {
        self.fault(scenario, FaultKind::Redials, now).is_some_and(|fault| match tenant {
            Some(tenant) => fault.targets.contains(&tenant),
            None => fault.targets.is_empty(),
        })
    }

    /// The fault of that kind that is active now.
    fn fault<'a>(&self, scenario: &'a Scenario, kind: FaultKind, now: Moment) -> Option<&'a InjectedFault> {
        let elapsed = now.since(self.scenario_start);
        let is_active =
            |fault: &&InjectedFault| fault.start <= elapsed && elapsed < fault.start + fault.duration;
        scenario.faults.iter().filter(|fault| fault.kind == kind).find(is_active)
    }
}

fn dialled_digits(scenario: &Scenario, draws: &Draws, is_hot: bool) -> String {
    let service = scenario.front_settings.service[draws.service].dialled.clone().unwrap_or_default();
    if is_hot {
        return format!("{service}00{HOT_SUBSCRIBER}");
    }
    format!("{service}{:02}{:06}", draws.server, draws.subscriber)
}

/// Hold times are distributed exponentially.
fn hold_time(scenario: &Scenario, draws: &Draws) -> Span {
    let service = &scenario.front.controller.services[draws.service];
    service.mean_hold_time.max(MIN_MEAN_HOLD_TIME).scaled(-(1.0 - draws.hold_sample).ln())
}
