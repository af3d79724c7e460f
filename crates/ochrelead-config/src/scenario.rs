//! Scenarios: emulated servers and callers, the emulated network between them and the fronts, and injected faults.

use std::path::Path;

use ochrelead_core::time::Span;

use crate::diagnostic::Diagnostic;
use crate::document::Document;
use crate::faults::{self, InjectedFault, TargetCounts};
use crate::fields::Fields;
use crate::front_config::{self, FrontConfig};
use crate::millis;
use crate::schema::{self, Day as ScenarioMessage, StandIn as ServerMessage};
use crate::server_endpoint::{MAX_WEIGHT, MIN_WEIGHT};

/// A checked scenario.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The seed of all random draws.
    pub seed: u64,
    /// The duration of the scenario.
    pub duration: Span,
    /// The number of fronts.
    pub fronts: usize,
    /// The configuration that all fronts share. Name, addresses and servers are set for each front.
    pub front: FrontConfig,
    /// The settings from which `front` is built, for the settings files of the fronts.
    pub front_settings: schema::Front,
    /// The emulated servers.
    pub servers: Vec<EmulatedServer>,
    /// The emulated callers.
    pub callers: EmulatedCallers,
    /// The emulated network.
    pub network: EmulatedNetwork,
    /// The faults to inject.
    pub faults: Vec<InjectedFault>,
    /// How the fronts' discovery files change, if they do.
    pub churn: Option<EndpointChurn>,
}

/// The rewriting of discovery files during a scenario.
#[derive(Clone, Debug)]
pub struct EndpointChurn {
    /// The interval between two rewrites of a file.
    pub interval: Span,
    /// The share of rewrites that leave an invalid file.
    pub broken_share: f64,
    /// How long a server drains. The servers drain one after another, with a pause of the same length between.
    pub drain_time: Span,
    /// The weights of the servers, by server index.
    pub weights: Vec<f64>,
}

/// An emulated signalling server with one processor.
#[derive(Clone, Copy, Debug)]
pub struct EmulatedServer {
    /// The capacity of the warm processor, in sessions per second, each with set-up, answer and release.
    pub sessions_per_s: f64,
    /// The number of lines.
    pub lines: u32,
    /// Set-ups are rejected while the queueing delay is longer than this.
    pub max_queue: Span,
    /// The share of the capacity that a server has when it starts.
    pub cold_share: f64,
    /// The time from the start until a server has its full capacity.
    pub warm_up_time: Span,
    /// The interval between two reports of free lines to all fronts.
    pub report_interval: Span,
    /// Whether the server reports the rate of set-ups that it accepts.
    pub reports_accepted_rate: bool,
    /// Whether the server reports the share of set-ups that fronts have to hold back.
    pub reports_hold_back_share: bool,
    /// Whether rejections because of overload have a retry-after.
    pub names_retry_after: bool,
    /// The work of reading a message, as a share of the work of a set-up, like all work below.
    pub read_work: f64,
    /// The work of rejecting a set-up.
    pub reject_work: f64,
    /// The work of recognizing a retransmitted message.
    pub repeat_work: f64,
    /// The work of an answer, and also of a release.
    pub follow_up_work: f64,
    /// Whether a cancelled set-up costs the work of reading it at the most.
    pub discards_cancelled_work: bool,
    /// Whether answers and releases are processed before new set-ups.
    pub prioritizes_follow_ups: bool,
}

impl EmulatedServer {
    /// Returns the time that the set-up alone takes on the warm processor.
    pub fn set_up_time(&self) -> Span {
        Span::from_secs(1).scaled(1.0 / (self.sessions_per_s * (1.0 + 2.0 * self.follow_up_work)))
    }
}

/// The emulated callers of a scenario.
#[derive(Clone, Debug)]
pub struct EmulatedCallers {
    /// The rate of new sessions, per second.
    pub sessions_per_s: f64,
    /// The relative shares of the services, by service index.
    pub service_shares: Vec<f64>,
    /// The relative shares of the tenants, by tenant index.
    pub tenant_shares: Vec<f64>,
    /// The maximum number of redials of a caller.
    pub max_redials: u32,
    /// The mean delay before the first redial. The mean doubles with each further one, up to a limit.
    pub redial_delay: Span,
    /// The probability that a caller observes a retry-after.
    pub retry_after_compliance: f64,
    /// The share of the timer limit after which a caller gives up an attempt.
    pub patience: f64,
}

/// The emulated network's effect on datagrams.
#[derive(Clone, Copy, Debug)]
pub struct EmulatedNetwork {
    /// The mean one-way delay.
    pub delay: Span,
    /// The standard deviation of the delay, as a share of the mean.
    pub jitter: f64,
    /// The share of datagrams that are lost.
    pub loss: f64,
    /// The share of datagrams that are delivered twice.
    pub duplicated: f64,
    /// The share of datagrams that are delayed by three more mean delays.
    pub reordered: f64,
}

/// Reads and checks a scenario.
///
/// # Errors
///
/// All diagnostics, if the scenario is invalid.
pub fn open(path: &Path) -> Result<Scenario, Vec<Diagnostic>> {
    let (scenario, mut document) = Document::open::<ScenarioMessage>(path, "Day")?;
    let scenario = check(scenario, &mut Fields::new(&mut document, ""));
    document.finish(scenario)
}

/// Parses and checks a scenario. `file` is the name of the text in diagnostics.
///
/// # Errors
///
/// All diagnostics, if the scenario is invalid.
pub fn parse(file: &str, text: &str) -> Result<Scenario, Vec<Diagnostic>> {
    let (scenario, mut document) = Document::parse::<ScenarioMessage>(file, text, "Day")?;
    let scenario = check(scenario, &mut Fields::new(&mut document, ""));
    document.finish(scenario)
}

const MAX_FRONTS: f64 = 2_000.0;
const MAX_SERVERS: usize = 90;
const MAX_REDIALS: u32 = 20;

fn check(scenario: ScenarioMessage, fields: &mut Fields<'_>) -> Scenario {
    let length_ms = fields.required("length_ms", scenario.length_ms);
    fields.in_range("length_ms", f64::from(length_ms), 500.0, 3_600_000.0);
    let fronts = fields.required("fronts", scenario.fronts);
    let fronts = fields.in_range("fronts", f64::from(fronts), 1.0, MAX_FRONTS) as u32;
    let front_settings = fields.required("front", scenario.front);
    let front_settings = complete_front_settings(front_settings, fronts, fields);
    let front = front_config::check(&front_settings, fields.message("front"));
    if scenario.stand_in.is_empty() || scenario.stand_in.len() > MAX_SERVERS {
        let message =
            format!("there are {} servers; there must be from 1 to {MAX_SERVERS}", scenario.stand_in.len());
        fields.report("stand_in", message);
    }
    let servers = scenario.stand_in.iter().enumerate();
    let servers: Vec<EmulatedServer> =
        servers.map(|(index, server)| check_server(server, fields.repeated("stand_in", index))).collect();
    let callers = fields.required("callers", scenario.callers);
    let callers = check_callers(&callers, &front, fields.message("callers"));
    let network = check_network(scenario.network.unwrap_or_default(), fields.message("network"));
    let churn = scenario.churn.as_ref();
    let churn = churn.map(|churn| check_churn(churn, servers.len(), fields.message("churn")));
    let counts = TargetCounts { fronts: fronts as usize, servers: servers.len() };
    let faults = scenario.trouble.iter().enumerate();
    let faults = faults.map(|(index, fault)| faults::check(fault, counts, fields.repeated("trouble", index)));
    Scenario {
        faults: faults.collect(),
        seed: fields.required("seed", scenario.seed),
        duration: millis(length_ms),
        fronts: fronts as usize,
        front,
        front_settings,
        servers,
        callers,
        network,
        churn,
    }
}

/// Sets the fields that a scenario must not set: name, address, number of fronts and servers. Reports those that it
/// sets.
fn complete_front_settings(mut front: schema::Front, fronts: u32, fields: &mut Fields<'_>) -> schema::Front {
    let mut fields = fields.message("front");
    let reserved = [
        (front.name.is_some(), "name"),
        (front.listen.is_some(), "listen"),
        (front.fronts.is_some(), "fronts"),
    ];
    for (_, field) in reserved.into_iter().filter(|(is_set, _)| *is_set) {
        fields.report(field, format!("{field} is set by the test harness; it must not be set in a scenario"));
    }
    if !front.server.is_empty() {
        fields.report(
            "server",
            "servers are set by the test harness from stand_in; they must not be set in a scenario",
        );
    }
    front.name = Some("front".to_owned());
    front.listen = Some("127.0.0.1:0".to_owned());
    front.fronts = Some(fronts);
    front
}

fn check_server(server: &ServerMessage, mut fields: Fields<'_>) -> EmulatedServer {
    let sessions_per_s = fields.required("sessions_per_s", server.sessions_per_s);
    let lines = fields.required("lines", server.lines);
    let report_interval_ms = f64::from(server.told_ms.unwrap_or(400));
    EmulatedServer {
        sessions_per_s: fields.in_range("sessions_per_s", sessions_per_s, 0.1, 1e6),
        lines: fields.in_range("lines", f64::from(lines), 1.0, 1e6) as u32,
        max_queue: millis(server.queue_ms.unwrap_or(3_000)),
        cold_share: fields.in_range("cold_share", server.cold_share.unwrap_or(0.3), 0.01, 1.0),
        warm_up_time: millis(server.warm_ms.unwrap_or(12_000)),
        report_interval: millis(fields.in_range("told_ms", report_interval_ms, 10.0, 60_000.0) as u32),
        reports_accepted_rate: server.tells_can_take.unwrap_or(false),
        reports_hold_back_share: server.tells_hold_back.unwrap_or(false),
        names_retry_after: server.names_wait.unwrap_or(false),
        read_work: fields.in_range("look", server.look.unwrap_or(0.2), 0.0, 1.0),
        reject_work: fields.in_range("reject", server.reject.unwrap_or(0.2), 0.0, 1.0),
        repeat_work: fields.in_range("repeat", server.repeat.unwrap_or(0.4), 0.0, 1.0),
        follow_up_work: fields.in_range("follow", server.follow.unwrap_or(0.35), 0.0, 1.0),
        discards_cancelled_work: server.cancel_drops.unwrap_or(false),
        prioritizes_follow_ups: server.finish_first.unwrap_or(false),
    }
}

fn check_callers(callers: &schema::Callers, front: &FrontConfig, mut fields: Fields<'_>) -> EmulatedCallers {
    let sessions_per_s = fields.required("sessions_per_s", callers.sessions_per_s);
    check_shares("service_share", &callers.service_share, front.timer_limits.len(), &mut fields);
    check_shares("member_share", &callers.member_share, front.trunks.len(), &mut fields);
    EmulatedCallers {
        sessions_per_s: fields.in_range("sessions_per_s", sessions_per_s, 0.01, 1e6),
        service_shares: callers.service_share.clone(),
        tenant_shares: callers.member_share.clone(),
        max_redials: callers.redials.unwrap_or(0).min(MAX_REDIALS),
        redial_delay: millis(callers.back_off_ms.unwrap_or(800)),
        retry_after_compliance: fields.in_range("honour", callers.honour.unwrap_or(0.6), 0.0, 1.0),
        patience: fields.in_range("patience", callers.patience.unwrap_or(0.35), 0.01, 1.0),
    }
}

/// Checks that there is a share for each of `count` items, and that not all shares are zero.
fn check_shares(field: &str, shares: &[f64], count: usize, fields: &mut Fields<'_>) {
    let are_valid = shares.iter().all(|share| *share >= 0.0 && share.is_finite());
    let are_not_all_zero = shares.iter().sum::<f64>() > 0.0;
    if shares.len() != count || (count > 0 && !(are_valid && are_not_all_zero)) {
        let message =
            format!("{field} has {} shares; it must have {count}, none negative and not all 0", shares.len());
        fields.report(field, message);
    }
}

fn check_network(network: schema::Network, mut fields: Fields<'_>) -> EmulatedNetwork {
    let delay_ms = fields.in_range("delay_ms", network.delay_ms.unwrap_or(2.0), 0.0, 10_000.0);
    let mut share = |field: &str, value: Option<f64>| fields.in_range(field, value.unwrap_or(0.0), 0.0, 1.0);
    EmulatedNetwork {
        delay: Span::from_millis(1).scaled(delay_ms),
        jitter: share("jitter", network.jitter),
        loss: share("loss", network.loss),
        duplicated: share("doubled", network.doubled),
        reordered: share("reordered", network.reordered),
    }
}

fn check_churn(churn: &schema::Churn, servers: usize, mut fields: Fields<'_>) -> EndpointChurn {
    let every_ms = fields.required("every_ms", churn.every_ms);
    let is_weight = |weight: &f64| (MIN_WEIGHT..=MAX_WEIGHT).contains(weight);
    if churn.weight.len() != servers || !churn.weight.iter().all(is_weight) {
        let count = churn.weight.len();
        let message = format!(
            "weight has {count} values; it must have {servers}, each from {MIN_WEIGHT} to {MAX_WEIGHT}"
        );
        fields.report("weight", message);
    }
    EndpointChurn {
        interval: millis(fields.in_range("every_ms", f64::from(every_ms), 1.0, 60_000.0) as u32),
        broken_share: fields.in_range("broken", churn.broken.unwrap_or(0.0), 0.0, 0.9),
        drain_time: millis(churn.drain_ms.unwrap_or(1_000).max(1)),
        weights: churn.weight.clone(),
    }
}
