//! The callers' sessions over a run.

use rand::RngExt;
use rand_distr::{Distribution, Exp, LogNormal};
use rand_pcg::Pcg64Mcg;

use super::scenario::{Fault, Scenario, ScheduledFault};
use super::server;

/// Spread of the load over fronts: standard deviation of the logarithm of their weights.
const FRONT_WEIGHT_SIGMA: f64 = 0.7;
/// Part of the sessions whose destination is in the zone of their front.
const LOCAL_SHARE: f64 = 0.3;
/// Part of the sessions that are for the second, more valuable service.
const VALUABLE_SHARE: f64 = 0.23;
/// Called numbers that are told apart.
const CALLED_NUMBERS: u32 = 1_000_000;

/// A caller's session, over all its attempts.
pub(super) struct SessionRequest {
    pub(super) front: u32,
    pub(super) service: usize,
    pub(super) destination: u32,
    pub(super) called_number: u32,
    pub(super) requested_at: u64,
    pub(super) attempts: u32,
    /// The value that was served.
    pub(super) served_value: f64,
}

impl SessionRequest {
    pub(super) fn value(&self) -> f64 {
        server::SERVICE_VALUES[self.service]
    }
}

struct Surge {
    start_seconds: f64,
    end_seconds: f64,
    factor: f64,
}

/// Draws all sessions of a run in order of time, unevenly spread over fronts and evenly over destinations.
pub(super) fn draw_requests(scenario: &Scenario, rng: &mut Pcg64Mcg) -> Vec<SessionRequest> {
    let by_front = cumulative_front_weights(scenario.fronts, rng);
    let by_server: Vec<f64> = (1..=scenario.servers).map(f64::from).collect();
    let usual_rate = scenario.load * server::SETUPS_PER_SECOND * f64::from(scenario.servers);
    let surges = surges(scenario);
    let mut requests = Vec::new();
    let (mut seconds, end_seconds) = (0.0, scenario.seconds as f64);
    while seconds < end_seconds {
        let surge = surges.iter().find(|surge| (surge.start_seconds..surge.end_seconds).contains(&seconds));
        let rate = usual_rate * surge.map_or(1.0, |surge| surge.factor);
        seconds += Exp::new(rate).expect("the rate of a scenario is positive").sample(rng);
        let front = pick(&by_front, rng);
        let mut destination = pick(&by_server, rng);
        if rng.random_bool(LOCAL_SHARE) {
            let local_zone = front % scenario.zones;
            destination = destination / scenario.zones * scenario.zones + local_zone;
            destination = destination.min(scenario.servers - 1);
        }
        requests.push(SessionRequest {
            front,
            service: usize::from(rng.random_bool(VALUABLE_SHARE)),
            destination,
            called_number: requests.len() as u32 % CALLED_NUMBERS,
            requested_at: (seconds * 1e6) as u64,
            attempts: 0,
            served_value: 0.0,
        });
    }
    requests
}

fn cumulative_front_weights(fronts: u32, rng: &mut Pcg64Mcg) -> Vec<f64> {
    let weight = LogNormal::new(0.0, FRONT_WEIGHT_SIGMA).expect("the deviation is finite");
    let mut sum = 0.0;
    (0..fronts)
        .map(|_| {
            sum += weight.sample(rng);
            sum
        })
        .collect()
}

/// Draws an index with the given cumulative weights.
fn pick(cumulative: &[f64], rng: &mut Pcg64Mcg) -> u32 {
    let total = *cumulative.last().expect("a scenario has fronts and servers");
    let drawn = rng.random_range(0.0..total);
    cumulative.partition_point(|sum| *sum <= drawn).min(cumulative.len() - 1) as u32
}

fn surges(scenario: &Scenario) -> Vec<Surge> {
    let surge = |scheduled: &ScheduledFault| {
        let Fault::Surge { factor } = scheduled.fault else { return None };
        let start_seconds = scheduled.start_ms as f64 / 1e3;
        let end_seconds = start_seconds + scheduled.duration_ms as f64 / 1e3;
        Some(Surge { start_seconds, end_seconds, factor })
    };
    scenario.faults.iter().filter_map(surge).collect()
}
