//! The upper bound of the service level that the servers' true capacity allows.

use std::collections::BTreeMap;

use ochrelead_config::scenario::Scenario;
use ochrelead_core::time::{Moment, Span};

use crate::audit::server_condition::{ServerCondition, capacity_share};

/// The length of the intervals in which offered calls are compared with capacity.
const INTERVAL: Span = Span::from_secs(2);

/// An offered call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OfferedCall {
    /// When the caller arrived, from the scenario's start.
    pub time: Moment,
    /// Its value.
    pub value: f64,
}

/// Returns the fraction of the offered value that the servers' true capacity could have carried. In each interval of
/// 2 s the calls of the highest value are taken first, up to the number that the servers can set up according to the
/// script.
///
/// This is an upper bound that fronts can't reach, because they don't know the servers' condition. Calls that are cut
/// when a server fails are not subtracted.
pub fn capacity_ceiling(scenario: &Scenario, offered: &[OfferedCall]) -> f64 {
    let mut intervals: BTreeMap<u64, Vec<f64>> = BTreeMap::new();
    for call in offered {
        intervals.entry(call.time.micros() / INTERVAL.micros()).or_default().push(call.value);
    }
    let (mut carried_value, mut offered_value) = (0.0, 0.0);
    for (interval, mut values) in intervals {
        let middle = Moment::from_micros(interval * INTERVAL.micros() + INTERVAL.micros() / 2);
        let capacity: f64 =
            (0..scenario.servers.len()).map(|server| sessions_per_s(scenario, server, middle)).sum();
        values.sort_by(|a, b| b.total_cmp(a));
        offered_value += values.iter().sum::<f64>();
        let carried = capacity * INTERVAL.micros() as f64 / 1e6;
        carried_value += values.iter().take(carried.ceil() as usize).sum::<f64>();
    }
    if offered_value > 0.0 { carried_value / offered_value } else { 1.0 }
}

/// Returns the sessions per second that a server can set up at a moment according to the script.
fn sessions_per_s(scenario: &Scenario, server: usize, time: Moment) -> f64 {
    let config = &scenario.servers[server];
    let condition = ServerCondition::scripted(scenario, server, time);
    let Some(slowdown) = condition.slowdown else { return 0.0 };
    let warm_up = condition
        .restarted_at
        .map_or(1.0, |restarted_at| time.since(restarted_at).ratio(config.warm_up_time).min(1.0));
    config.sessions_per_s * capacity_share(config, warm_up) / slowdown
}
