//! The service of a day: value stood in time and not cut, over value offered. A caller's redials belong to its
//! first try.

use std::collections::BTreeMap;

use ochrelead_config::scenario::Scenario;
use ochrelead_core::time::{Moment, Span};
use ochrelead_emulator::callers::HOT_SUBSCRIBER;
use ochrelead_mgcp::message::{Message, Verb, parameter};

use super::sightings::{Seen, What, state};
use crate::party::Party;

/// What was served of what was offered, as shares.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    pub whole: f64,
    pub worst_window: f64,
    /// The course of the day, stretch by stretch of five seconds: what was offered then.
    pub course: Vec<f64>,
    pub by_service: Vec<f64>,
    pub by_member: Vec<f64>,
    pub offered: usize,
    pub stood: usize,
    pub cut: usize,
    /// The most that could have been served by a sight of all servers' true state, by capacity alone.
    pub ceiling: f64,
}

impl Service {
    pub fn worst(shares: &[f64]) -> f64 {
        shares.iter().copied().fold(1.0, f64::min)
    }
}

struct Caller {
    came: Moment,
    service: usize,
    member: Option<usize>,
    value: f64,
    /// The present try, and since when its caller waits.
    tried: String,
    waits: bool,
    stood: Option<Moment>,
    cut: bool,
}

/// The value of a session to a flooded number.
const HOT_WORTH: f64 = 0.1;
/// The worst stretch that counts.
const WINDOW: Span = Span::from_secs(10);
/// The stretches of the course.
const STRETCH: Span = Span::from_secs(5);
/// Members' shares are reckoned over this time.
const QUOTA_SPAN: Span = Span::from_secs(5);

pub fn measure(day: &Scenario, seen: &[Seen]) -> Service {
    let mut callers: BTreeMap<String, Caller> = BTreeMap::new();
    let mut asked: Vec<Vec<Moment>> = vec![Vec::new(); day.front.trunks.len()];
    for one in seen {
        let What::Message(Message::Command(command)) = &one.what else { continue };
        let Some(tried) = command.parameters.get(parameter::ATTEMPT).filter(|tried| tried.len() > 8) else {
            continue;
        };
        let id = &tried[..8];
        match (one.from, one.to, one.reached, command.verb) {
            (Party::Gateway, Party::Front(_), false, Verb::Notify) => {
                let events = command.parameters.get(parameter::OBSERVED_EVENTS).unwrap_or("");
                if events.contains("L/hd") {
                    let caller = callers.entry(id.to_owned()).or_insert_with(|| {
                        let trunk = command.endpoint.local().split('/').next().unwrap_or("");
                        offered(day, one.at, events, trunk, &mut asked)
                    });
                    (caller.tried, caller.waits) = (tried.to_owned(), true);
                } else if let Some(caller) = callers.get_mut(id).filter(|caller| caller.tried == tried) {
                    caller.waits = false;
                }
            }
            (Party::Front(_), Party::Gateway, true, Verb::ModifyConnection) => {
                if let Some(caller) =
                    callers.get_mut(id).filter(|caller| caller.waits && caller.tried == tried)
                {
                    caller.stood.get_or_insert(one.at);
                }
            }
            (Party::Front(_), Party::Gateway, true, Verb::DeleteConnection) => {
                if let Some(caller) =
                    callers.get_mut(id).filter(|caller| caller.waits && caller.stood.is_some())
                {
                    caller.cut = true;
                }
            }
            _ => {}
        }
    }
    let callers: Vec<Caller> = callers.into_values().collect();
    summed(day, &callers)
}

fn offered(day: &Scenario, at: Moment, events: &str, trunk: &str, asked: &mut [Vec<Moment>]) -> Caller {
    let digits: String = events.split(',').filter_map(|event| event.trim().strip_prefix("D/")).collect();
    let dialled = |own: &ochrelead_config::schema::Service| {
        own.dialled.as_deref().is_some_and(|dialled| digits.starts_with(dialled))
    };
    let service = day.front_settings.service.iter().position(dialled).unwrap_or(0);
    let member = day.front.trunks.iter().position(|own| own == trunk);
    let provision = &day.front.controller;
    let mut value = provision.services[service].value;
    if digits.ends_with(HOT_SUBSCRIBER) {
        value *= HOT_WORTH;
    }
    if let Some(member) = member {
        let recent = &mut asked[member];
        recent.retain(|then| at.since(*then) < QUOTA_SPAN);
        let most = provision.tenants[member].quota_per_s * QUOTA_SPAN.ratio(Span::from_secs(1));
        if recent.len() as f64 >= most.max(1.0) {
            value *= provision.over_quota_value_share;
        } else {
            recent.push(at);
        }
    }
    Caller { came: at, service, member, value, tried: String::new(), waits: true, stood: None, cut: false }
}

fn earned(day: &Scenario, caller: &Caller) -> f64 {
    let Some(stood) = caller.stood.filter(|_| !caller.cut) else { return 0.0 };
    let service = &day.front.controller.services[caller.service];
    let took = stood.since(caller.came);
    if took <= service.post_dial_target {
        caller.value
    } else if took <= day.front.timer_limits[caller.service] {
        caller.value * service.late_value_share
    } else {
        0.0
    }
}

fn share<'a>(day: &Scenario, callers: impl Iterator<Item = &'a Caller>) -> Option<f64> {
    let (mut got, mut all) = (0.0, 0.0);
    for caller in callers {
        got += earned(day, caller);
        all += caller.value;
    }
    (all > 0.0).then(|| got / all)
}

fn summed(day: &Scenario, callers: &[Caller]) -> Service {
    let of = |kept: &dyn Fn(&Caller) -> bool| {
        share(day, callers.iter().filter(|caller| kept(caller))).unwrap_or(1.0)
    };
    let last = day.duration.micros().saturating_sub(WINDOW.micros()) / 1_000_000;
    let window = |second: u64| {
        let begins = Moment::from_micros(second * 1_000_000);
        of(&|caller| caller.came >= begins && caller.came.since(begins) < WINDOW)
    };
    Service {
        whole: of(&|_| true),
        worst_window: (0..=last).map(window).fold(1.0, f64::min),
        course: (0..day.duration.micros().div_ceil(STRETCH.micros()))
            .map(|nth| {
                let begins = Moment::START + STRETCH * nth;
                of(&|caller| caller.came >= begins && caller.came.since(begins) < STRETCH)
            })
            .collect(),
        by_service: (0..day.front.timer_limits.len()).map(|at| of(&|caller| caller.service == at)).collect(),
        by_member: (0..day.front.trunks.len()).map(|at| of(&|caller| caller.member == Some(at))).collect(),
        offered: callers.len(),
        stood: callers.iter().filter(|caller| caller.stood.is_some()).count(),
        cut: callers.iter().filter(|caller| caller.cut).count(),
        ceiling: ceiling(day, &callers.iter().map(|caller| (caller.came, caller.value)).collect::<Vec<_>>()),
    }
}

/// The share of the value that the servers' true capacity could have carried: per stretch of two seconds the
/// worthiest first, as many as the script's servers could do then. Nobody who sees only his own traffic can
/// know that; calls cut by a server's end are not taken off.
pub fn ceiling(day: &Scenario, offered: &[(Moment, f64)]) -> f64 {
    const SPELL: u64 = 2_000_000;
    let mut stretches: BTreeMap<u64, Vec<f64>> = BTreeMap::new();
    for (came, value) in offered {
        stretches.entry(came.micros() / SPELL).or_default().push(*value);
    }
    let (mut got, mut all) = (0.0, 0.0);
    for (stretch, mut values) in stretches {
        let at = Moment::from_micros(stretch * SPELL + SPELL / 2);
        let capacity: f64 = day
            .servers
            .iter()
            .enumerate()
            .map(|(nth, figures)| {
                let (slower, cold) = state(day, nth, at);
                let Some(slower) = slower else { return 0.0 };
                let warmth = cold.map_or(1.0, |since| at.since(since).ratio(figures.warm_up_time).min(1.0));
                figures.sessions_per_s * (figures.cold_share + (1.0 - figures.cold_share) * warmth) / slower
            })
            .sum();
        values.sort_by(|a, b| b.total_cmp(a));
        all += values.iter().sum::<f64>();
        let carried = capacity * SPELL as f64 / 1e6;
        got += values.iter().take(carried.ceil() as usize).sum::<f64>();
    }
    if all > 0.0 { got / all } else { 1.0 }
}
