//! Draws the callers' sessions for a whole run.

use rand::RngExt;
use rand_distr::{Distribution, Exp, LogNormal};
use rand_pcg::Pcg64Mcg;

use super::scenario::{Fault, Scenario, ScheduledFault};
use super::server;

/// Standard deviation of the logarithm of the fronts' weights. Load is spread over fronts by these log-normal
/// weights.
const FRONT_WEIGHT_SIGMA: f64 = 0.7;
/// Fraction of the sessions whose destination is moved to the zone of their front.
const LOCAL_SHARE: f64 = 0.3;
/// Fraction of the sessions that are for the second service, which has the higher value.
const VALUABLE_SHARE: f64 = 0.23;
/// Number of distinct called numbers.
const CALLED_NUMBERS: u32 = 1_000_000;

/// A session that a caller requests, over all attempts.
pub(super) struct SessionRequest {
    pub(super) front: u32,
    pub(super) service: usize,
    pub(super) destination: u32,
    pub(super) called_number: u32,
    /// Time of the first attempt.
    pub(super) requested_at: u64,
    /// Attempts made so far.
    pub(super) attempts: u32,
    /// The value credited for the established call; 0 without one.
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

/// Draws all sessions of a run in order of time. They are spread unevenly over fronts and evenly over destinations.
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

/// Draws the cumulative weights of the fronts.
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

/// Draws an index with a probability proportional to its weight.
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
