//! Random arrivals of callers: arrival times, and the properties of each caller.

use ochrelead_config::faults::{FaultKind, InjectedFault};
use ochrelead_config::scenario::Scenario;
use ochrelead_core::time::{Moment, Span};
use rand::RngExt;
use rand::distr::weighted::WeightedIndex;
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64Mcg;

use super::HOT_SUBSCRIBER;
use super::caller::{Caller, CallerState};

/// During a redials fault, the affected callers give up after this share of the usual answer timeout.
const EARLY_GIVE_UP_SHARE: f64 = 0.15;
/// Maximum number of redials of a caller that redials aggressively.
const AGGRESSIVE_MAX_REDIALS: u32 = 6;
/// Subscriber numbers are drawn from 0 up to this value (exclusive), which is the hot number.
const SUBSCRIBER_COUNT: u32 = 999_999;
/// Lower limit of the factor by which a surge multiplies the arrival rate.
const MIN_SURGE_FACTOR: f64 = 0.01;
/// Lower limit of the mean hold time.
const MIN_MEAN_HOLD_TIME: Span = Span::from_millis(100);

/// Draws the arrivals of a scenario.
pub(super) struct Arrivals {
    scenario_start: Moment,
    fronts: usize,
    services: WeightedIndex<f64>,
    tenants: Option<WeightedIndex<f64>>,
}

/// The random values of one caller.
struct Draws {
    service: usize,
    tenant: Option<usize>,
    server: usize,
    front: usize,
    subscriber: u32,
    /// Uniform sample that decides whether the caller dials the hot number.
    hot_sample: f64,
    /// Uniform sample from which the hold time is computed.
    hold_sample: f64,
}

impl Arrivals {
    pub(super) fn new(scenario: &Scenario, scenario_start: Moment, fronts: usize) -> Arrivals {
        let services = WeightedIndex::new(&scenario.callers.service_shares);
        Arrivals {
            scenario_start,
            fronts,
            services: services.expect("the service shares of a scenario are validated"),
            tenants: WeightedIndex::new(&scenario.callers.tenant_shares).ok(),
        }
    }

    /// Draws the time of the next arrival after one at `now`. Returns none after the end of the scenario.
    pub(super) fn draw_next(&self, scenario: &Scenario, now: Moment, rng: &mut Pcg64Mcg) -> Option<Moment> {
        let surge = self.active_fault(scenario, FaultKind::Surge, now);
        let surge_factor = surge.map_or(1.0, |fault| fault.magnitude.max(MIN_SURGE_FACTOR));
        let rate = scenario.callers.sessions_per_s * surge_factor;
        let gap_s = Exp::new(rate).expect("the arrival rate of a scenario is positive").sample(rng);
        let next = now + Span::from_secs(1).scaled(gap_s);
        Some(next).filter(|next| next.since(self.scenario_start) < scenario.duration)
    }

    /// Draws the caller with this id, which arrives at `now`.
    pub(super) fn draw_caller(
        &self,
        scenario: &Scenario,
        now: Moment,
        caller_id: u32,
        rng: &mut Pcg64Mcg,
    ) -> Caller {
        let draws = self.draw(scenario, rng);
        let is_hot = self
            .active_fault(scenario, FaultKind::HotNumber, now)
            .is_some_and(|fault| draws.hot_sample < fault.magnitude);
        let gives_up_early = self.gives_up_early(scenario, draws.tenant, now);
        let redials_aggressively = gives_up_early || is_hot;
        let timer_limit = scenario.front.timer_limits[draws.service];
        let answer_timeout_share = if gives_up_early { EARLY_GIVE_UP_SHARE } else { 1.0 };
        let trunk = draws.tenant.map_or("line", |tenant| scenario.front.trunks[tenant].as_str());
        Caller {
            front: draws.front,
            line: format!("{trunk}/{caller_id}@callers").parse().expect("a valid endpoint name"),
            digits: dialled_digits(scenario, &draws, is_hot),
            redials_aggressively,
            first_attempt_at: now,
            attempts: 0,
            max_redials: if redials_aggressively {
                AGGRESSIVE_MAX_REDIALS
            } else {
                scenario.callers.max_redials
            },
            timer_limit,
            answer_timeout: timer_limit.scaled(scenario.callers.patience * answer_timeout_share),
            hold_time: hold_time(scenario, &draws),
            state: CallerState::Idle,
            next_action: None,
        }
    }

    /// Draws the random values of a caller. The order of the draws must not change: a seed would give another scenario.
    fn draw(&self, scenario: &Scenario, rng: &mut Pcg64Mcg) -> Draws {
        Draws {
            service: self.services.sample(rng),
            tenant: self.tenants.as_ref().map(|tenants| tenants.sample(rng)),
            server: rng.random_range(0..scenario.servers.len()),
            front: rng.random_range(0..self.fronts),
            subscriber: rng.random_range(0..SUBSCRIBER_COUNT),
            hot_sample: rng.random(),
            hold_sample: rng.random(),
        }
    }

    fn gives_up_early(&self, scenario: &Scenario, tenant: Option<usize>, now: Moment) -> bool {
        self.active_fault(scenario, FaultKind::Redials, now).is_some_and(|fault| match tenant {
            Some(tenant) => fault.targets.contains(&tenant),
            None => fault.targets.is_empty(),
        })
    }

    /// Returns the first fault of this kind that is active at `now`.
    fn active_fault<'a>(
        &self,
        scenario: &'a Scenario,
        kind: FaultKind,
        now: Moment,
    ) -> Option<&'a InjectedFault> {
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

/// Computes an exponentially distributed hold time by inversion of the uniform sample.
fn hold_time(scenario: &Scenario, draws: &Draws) -> Span {
    let service = &scenario.front.controller.services[draws.service];
    service.mean_hold_time.max(MIN_MEAN_HOLD_TIME).scaled(-(1.0 - draws.hold_sample).ln())
}
