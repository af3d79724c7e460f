//! Scripted scenarios: emulated servers and callers, the network between, and faults.

use std::path::Path;

use ochrelead_core::time::Span;

use crate::diagnostic::Diagnostic;
use crate::document::Document;
use crate::faults::{self, InjectedFault, TargetCounts};
use crate::fields::Fields;
use crate::front_config::{self, FrontConfig};
use crate::millis;
use crate::schema;
use crate::server_endpoint::{MAX_WEIGHT, MIN_WEIGHT};

/// A scenario as it is run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The seed of all that is random in it.
    pub seed: u64,
    /// How long it lasts.
    pub duration: Span,
    /// How many fronts there are.
    pub fronts: usize,
    /// The configuration of all fronts, but for name, addresses and servers.
    pub front: FrontConfig,
    /// The same as it was read, for the fronts' own files.
    pub front_settings: schema::Front,
    /// The emulated servers.
    pub servers: Vec<EmulatedServer>,
    /// The emulated callers.
    pub callers: EmulatedCallers,
    /// The emulated network.
    pub network: EmulatedNetwork,
    /// What goes wrong.
    pub faults: Vec<InjectedFault>,
    /// How the fronts' discovery files change, where they do.
    pub churn: Option<EndpointChurn>,
}

/// Discovery files that are rewritten all the time.
#[derive(Clone, Debug)]
pub struct EndpointChurn {
    /// The time between two rewrites of a file.
    pub interval: Span,
    /// The share of rewrites that are broken.
    pub broken_share: f64,
    /// One server after the other drains for so long.
    pub drain_time: Span,
    /// The servers' weights, in their order.
    pub weights: Vec<f64>,
}

/// An emulated signalling server, with one processor.
#[derive(Clone, Copy, Debug)]
pub struct EmulatedServer {
    /// Sessions a second that its warm processor carries: set-up, answer and release.
    pub sessions_per_s: f64,
    /// How many lines it has.
    pub lines: u32,
    /// Set-ups are rejected while the queue is longer.
    pub max_queue: Span,
    /// The share of its capacity that it has when it starts.
    pub cold_share: f64,
    /// It has its full capacity so long after its start.
    pub warm_up_time: Span,
    /// The time between two reports of its lines to all fronts.
    pub report_interval: Span,
    /// Whether it reports the rate of set-ups that it accepts.
    pub reports_accepted_rate: bool,
    /// Whether it reports the share of set-ups that fronts are to hold back.
    pub reports_hold_back_share: bool,
    /// Whether its rejections name a retry-after.
    pub names_retry_after: bool,
    /// The work of reading a message, as a share of that of a set-up, as all work below.
    pub read_work: f64,
    /// The work of rejecting a set-up.
    pub reject_work: f64,
    /// The work of recognizing a repeated message.
    pub repeat_work: f64,
    /// The work of the answer, and that of the release.
    pub follow_up_work: f64,
    /// Whether a cancelled set-up is taken out of the queue.
    pub drops_cancelled: bool,
    /// Whether answers and releases go ahead of new set-ups.
    pub finishes_first: bool,
}

impl EmulatedServer {
    /// How long one set-up takes on the warm processor.
    pub fn set_up_time(&self) -> Span {
        Span::from_secs(1).scaled(1.0 / (self.sessions_per_s * (1.0 + 2.0 * self.follow_up_work)))
    }
}

/// All callers of a scenario.
#[derive(Clone, Debug)]
pub struct EmulatedCallers {
    /// The sessions that they ask for in a second.
    pub sessions_per_s: f64,
    /// The services' relative shares, in their order.
    pub service_shares: Vec<f64>,
    /// The tenants' relative shares, in their order.
    pub tenant_shares: Vec<f64>,
    /// How often a caller tries again, at the most.
    pub max_redials: u32,
    /// The time between two attempts of a caller.
    pub redial_delay: Span,
    /// The share of callers that follow a retry-after.
    pub retry_after_compliance: f64,
    /// A caller gives an attempt up after this share of the timer limit.
    pub patience: f64,
}

/// What happens to datagrams on their way.
#[derive(Clone, Copy, Debug)]
pub struct EmulatedNetwork {
    /// The mean delay one way.
    pub delay: Span,
    /// The standard deviation of the delay, as a share of it.
    pub jitter: f64,
    /// The share of datagrams that are lost.
    pub loss: f64,
    /// The share of datagrams that arrive twice.
    pub duplicated: f64,
    /// The share of datagrams that are held back for three delays more.
    pub reordered: f64,
}

/// Reads and checks a scenario.
///
/// # Errors
///
/// All that is wrong with it.
pub fn open(path: &Path) -> Result<Scenario, Vec<Diagnostic>> {
    let (scenario, mut document) = Document::open::<schema::Day>(path, "Day")?;
    let scenario = check(scenario, &mut Fields::new(&mut document, ""));
    document.finish(scenario)
}

/// Like [`open`], from a text.
///
/// # Errors
///
/// All that is wrong with it.
pub fn parse(file: &str, text: &str) -> Result<Scenario, Vec<Diagnostic>> {
    let (scenario, mut document) = Document::parse::<schema::Day>(file, text, "Day")?;
    let scenario = check(scenario, &mut Fields::new(&mut document, ""));
    document.finish(scenario)
}

const MAX_FRONTS: f64 = 2_000.0;
const MAX_SERVERS: usize = 90;
const MAX_REDIALS: u32 = 20;

fn check(scenario: schema::Day, fields: &mut Fields<'_>) -> Scenario {
    let length_ms = fields.required("length_ms", scenario.length_ms);
    fields.in_range("length_ms", f64::from(length_ms), 500.0, 3_600_000.0);
    let fronts = fields.required("fronts", scenario.fronts);
    let fronts = fields.in_range("fronts", f64::from(fronts), 1.0, MAX_FRONTS) as u32;
    let front_settings = fields.required("front", scenario.front);
    let front_settings = complete_front_settings(front_settings, fronts, fields);
    let front = front_config::check(&front_settings, fields.message("front"));
    if scenario.stand_in.is_empty() || scenario.stand_in.len() > MAX_SERVERS {
        fields.report("stand_in", format!("there must be 1 to {MAX_SERVERS} stand-ins"));
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

/// Fills in the settings that scenarios must leave out.
fn complete_front_settings(mut front: schema::Front, fronts: u32, fields: &mut Fields<'_>) -> schema::Front {
    let mut fields = fields.message("front");
    let reserved = [
        (front.name.is_some(), "name"),
        (front.listen.is_some(), "listen"),
        (front.fronts.is_some(), "fronts"),
    ];
    for (_, field) in reserved.into_iter().filter(|(is_set, _)| *is_set) {
        fields.report(field, format!("{field} is filled in by the rig and must not be here"));
    }
    if !front.server.is_empty() {
        fields.report("server", "servers are filled in by the rig: say them as stand_in");
    }
    front.name = Some("front".to_owned());
    front.listen = Some("127.0.0.1:0".to_owned());
    front.fronts = Some(fronts);
    front
}

fn check_server(server: &schema::StandIn, mut fields: Fields<'_>) -> EmulatedServer {
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
        drops_cancelled: server.cancel_drops.unwrap_or(false),
        finishes_first: server.finish_first.unwrap_or(false),
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

/// There must be a share for each of `count` items, and not all of them zero.
fn check_shares(field: &str, shares: &[f64], count: usize, fields: &mut Fields<'_>) {
    let are_usable = shares.iter().all(|share| *share >= 0.0 && share.is_finite());
    let has_any = shares.iter().sum::<f64>() > 0.0;
    if shares.len() != count || (count > 0 && !(are_usable && has_any)) {
        let message = format!("{field} has {} shares; it must have {count}, not all 0", shares.len());
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
        let message =
            format!("weight has {count} figures; it must have {servers}, from {MIN_WEIGHT} to {MAX_WEIGHT}");
        fields.report("weight", message);
    }
    EndpointChurn {
        interval: millis(fields.in_range("every_ms", f64::from(every_ms), 1.0, 60_000.0) as u32),
        broken_share: fields.in_range("broken", churn.broken.unwrap_or(0.0), 0.0, 0.9),
        drain_time: millis(churn.drain_ms.unwrap_or(1_000).max(1)),
        weights: churn.weight.clone(),
    }
}
