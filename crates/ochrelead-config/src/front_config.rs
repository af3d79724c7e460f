//! The configuration of a front.

use std::net::SocketAddr;
use std::path::Path;

use ochrelead_core::config::{ControllerConfig, Service, Tenant};
use ochrelead_core::time::Span;
use ochrelead_mgcp::transaction::TransactionConfig;

use crate::diagnostic::Diagnostic;
use crate::digits::{is_digits, overlap};
use crate::document::Document;
use crate::fields::Fields;
use crate::millis;
use crate::numbering_plan::NumberingPlan;
use crate::schema;
use crate::server_endpoint::{ServerEndpoint, check_servers_in};

/// The configuration with which a front starts.
#[derive(Clone, Debug)]
pub struct FrontConfig {
    /// The domain of the front's endpoint names.
    pub name: String,
    /// The address on which the front receives commands.
    pub listen: SocketAddr,
    /// The configuration of the controller. The seed is set at each start.
    pub controller: ControllerConfig,
    /// The numbering plan, which maps called numbers to services and servers.
    pub numbering_plan: NumberingPlan,
    /// The names of the services, by service index.
    pub service_names: Vec<String>,
    /// The timer limits of the services, by service index, for callers that send none.
    pub timer_limits: Vec<Span>,
    /// The first terms of the tenants' endpoint names, by tenant index.
    pub trunks: Vec<String>,
    /// The initial list of servers.
    pub servers: Vec<ServerEndpoint>,
    /// The configuration of command retransmission.
    pub transactions: TransactionConfig,
    /// The maximum number of concurrent sessions.
    pub max_sessions: usize,
    /// The time before the caller's timer limit at which the front sends its final answer at the latest.
    pub answer_margin: Span,
    /// The longest time that a draining front waits for sessions without a final answer.
    pub drain_time: Span,
}

/// Reads and checks the settings of a front.
///
/// # Errors
///
/// All diagnostics, if the settings are invalid.
pub fn open(path: &Path) -> Result<FrontConfig, Vec<Diagnostic>> {
    let (front, mut document) = Document::open::<schema::Front>(path, "Front")?;
    let config = check(&front, Fields::new(&mut document, ""));
    document.finish(config)
}

/// Parses and checks the settings of a front. `file` is the name of the text in diagnostics.
///
/// # Errors
///
/// All diagnostics, if the settings are invalid.
pub fn parse(file: &str, text: &str) -> Result<FrontConfig, Vec<Diagnostic>> {
    let (front, mut document) = Document::parse::<schema::Front>(file, text, "Front")?;
    let config = check(&front, Fields::new(&mut document, ""));
    document.finish(config)
}

/// Checks the settings of a front and builds its configuration.
pub(crate) fn check(front: &schema::Front, mut fields: Fields<'_>) -> FrontConfig {
    let fields = &mut fields;
    let name = fields.required("name", front.name.clone());
    let is_name_byte = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'-');
    if name.is_empty() || !name.bytes().all(is_name_byte) {
        fields.report("name", format!("name is {name:?}; it must be letters, digits, dots and dashes only"));
    }
    let listen = fields.address("listen", front.listen.as_deref());
    let fronts = fields.required("fronts", front.fronts);
    fields.in_range("fronts", f64::from(fronts), 1.0, 100_000.0);
    let services = check_services(&front.service, fields);
    let tenants = check_tenants(&front.member, fields);
    let servers = check_servers_in(&front.server, fields);
    check_service_servers(&front.service, &servers, fields);
    let slow_start = check_slow_start(front.cold.unwrap_or_default(), fields);
    let over_quota_value_share = front.over_share_worth.unwrap_or(1.0);
    fields.in_range("over_share_worth", over_quota_value_share, 0.0, 1.0);
    let min_interval_ms = front.turn_ms.unwrap_or(1);
    fields.in_range("turn_ms", f64::from(min_interval_ms), 1.0, 100.0);
    let max_sessions = front.most_held.unwrap_or(100_000);
    fields.in_range("most_held", f64::from(max_sessions), 1.0, 1_000_000.0);
    let answer_margin_ms = check_answer_margin(front, fields);
    let controller = ControllerConfig {
        seed: 0,
        fronts,
        services,
        tenants: tenants.iter().map(|tenant| Tenant { quota_per_s: tenant.quota_per_s }).collect(),
        over_quota_value_share,
        max_invites: front.most_invites.unwrap_or(0),
        max_retry_after: millis(front.longest_away_ms.unwrap_or(0)),
        resend_delay: millis(fields.required("release_wait_ms", front.release_wait_ms)),
        min_poll_interval: millis(min_interval_ms),
        ..slow_start
    };
    let service_digits = front.service.iter().map(|service| service.dialled.clone().unwrap_or_default());
    let service_names = front.service.iter().map(|service| service.name.clone().unwrap_or_default());
    let timer_limits = front.service.iter().map(|service| millis(service.timer_limit_ms.unwrap_or(0)));
    FrontConfig {
        name,
        listen,
        controller,
        numbering_plan: NumberingPlan::new(service_digits.collect(), &servers),
        service_names: service_names.collect(),
        timer_limits: timer_limits.collect(),
        trunks: tenants.into_iter().map(|tenant| tenant.trunk).collect(),
        servers,
        transactions: check_transactions(front.repeats.unwrap_or_default(), fields.message("repeats")),
        max_sessions: max_sessions as usize,
        answer_margin: millis(answer_margin_ms),
        drain_time: millis(front.drain_ms.unwrap_or(10_000)),
    }
}

/// Checks that services name listed servers only. Without listed servers, nothing is checked.
fn check_service_servers(services: &[schema::Service], servers: &[ServerEndpoint], fields: &mut Fields<'_>) {
    if servers.is_empty() {
        return;
    }
    for (index, service) in services.iter().enumerate() {
        for (position, number) in service.server.iter().enumerate() {
            if servers.iter().all(|server| server.number != i64::from(*number)) {
                let field = format!("service[{index}].server[{position}]");
                fields.report(&field, format!("no server has the number {number}"));
            }
        }
    }
}

/// Checks the settings on servers that have just started.
fn check_slow_start(cold: schema::ColdStart, fields: &mut Fields<'_>) -> ControllerConfig {
    let mut fields = fields.message("cold");
    let cold_capacity_share = cold.share.unwrap_or(0.25);
    fields.in_range("share", cold_capacity_share, 0.01, 1.0);
    let overload_multiple = cold.fall_multiple.unwrap_or(2.5);
    fields.in_range("fall_multiple", overload_multiple, 1.0, 100.0);
    let overload_duration_ms = cold.fall_after_ms.unwrap_or(1_000);
    fields.in_range("fall_after_ms", f64::from(overload_duration_ms), 10.0, 60_000.0);
    ControllerConfig {
        cold_capacity_share,
        overload_multiple,
        overload_duration: millis(overload_duration_ms),
        warm_up_time: millis(cold.warm_after_ms.unwrap_or(15_000)),
        ..ControllerConfig::default()
    }
}

/// Checks that the answer margin is shorter than every timer limit, and returns it in milliseconds.
fn check_answer_margin(front: &schema::Front, fields: &mut Fields<'_>) -> u32 {
    let margin_ms = front.answer_margin_ms.unwrap_or(50);
    let shortest_limit_ms = front.service.iter().filter_map(|service| service.timer_limit_ms).min();
    if let Some(limit_ms) = shortest_limit_ms.filter(|limit_ms| margin_ms >= *limit_ms) {
        let message = format!(
            "answer_margin_ms is {margin_ms}; it must be less than the shortest timer_limit_ms, {limit_ms}"
        );
        fields.report("answer_margin_ms", message);
    }
    margin_ms
}

fn check_transactions(repeats: schema::Repeats, mut fields: Fields<'_>) -> TransactionConfig {
    let default = TransactionConfig::default();
    let transactions = TransactionConfig {
        initial_rto: repeats.first_gap_ms.map_or(default.initial_rto, millis),
        max_rto: repeats.longest_gap_ms.map_or(default.max_rto, millis),
        response_timeout: repeats.give_up_ms.map_or(default.response_timeout, millis),
        history_duration: repeats.kept_ms.map_or(default.history_duration, millis),
        ..default
    };
    fields.in_range("first_gap_ms", transactions.initial_rto.ratio(Span::from_millis(1)), 10.0, 60_000.0);
    if transactions.max_rto < transactions.initial_rto {
        let message = format!(
            "longest_gap_ms is {}; it must be at least first_gap_ms, {}",
            whole_millis(transactions.max_rto),
            whole_millis(transactions.initial_rto)
        );
        fields.report("longest_gap_ms", message);
    }
    if transactions.history_duration < transactions.response_timeout {
        let message = format!(
            "kept_ms is {}; it must be at least give_up_ms, {}, or a late retransmission would be executed again",
            whole_millis(transactions.history_duration),
            whole_millis(transactions.response_timeout)
        );
        fields.report("kept_ms", message);
    }
    transactions
}

fn whole_millis(span: Span) -> u64 {
    span.micros() / 1_000
}

fn check_services(services: &[schema::Service], fields: &mut Fields<'_>) -> Vec<Service> {
    if services.is_empty() {
        fields.report("service", "there is no service; there must be at least one");
    }
    let check = |(index, service): (usize, &schema::Service)| {
        check_service(service, &services[..index], fields.repeated("service", index))
    };
    services.iter().enumerate().map(check).collect()
}

/// Checks a service. `previous` are the services listed before it.
fn check_service(service: &schema::Service, previous: &[schema::Service], mut fields: Fields<'_>) -> Service {
    let dialled = fields.required("dialled", service.dialled.clone());
    if dialled.is_empty() || !is_digits(&dialled) {
        fields.report("dialled", format!("dialled is {dialled:?}; it must be one or more digits"));
    }
    for other in previous {
        let other_digits = other.dialled.as_deref().unwrap_or("");
        if overlap(other_digits, &dialled) {
            let name = other.name.as_deref().unwrap_or("");
            let message = format!(
                "dialled is {dialled:?}; it must not overlap the digits {other_digits:?} of service {name:?}"
            );
            fields.report("dialled", message);
        }
    }
    let value = fields.required("value", service.value);
    fields.in_range("value", value, 0.001, 1e9);
    let target_ms = fields.required("post_dial_target_ms", service.post_dial_target_ms);
    let limit_ms = fields.required("timer_limit_ms", service.timer_limit_ms);
    if target_ms > limit_ms || target_ms == 0 {
        let message =
            format!("post_dial_target_ms is {target_ms}; it must be from 1 to timer_limit_ms, {limit_ms}");
        fields.report("post_dial_target_ms", message);
    }
    let late_value_share = service.late_share.unwrap_or(0.0);
    fields.in_range("late_share", late_value_share, 0.0, 1.0);
    Service {
        value,
        post_dial_target: millis(target_ms),
        late_value_share,
        mean_hold_time: millis(service.usual_hold_ms.unwrap_or(0)),
        servers: service.server.iter().map(|number| i64::from(*number)).collect(),
        retryable: !service.once.unwrap_or(false),
    }
}

struct CheckedTenant {
    trunk: String,
    quota_per_s: f64,
}

fn check_tenants(members: &[schema::Member], fields: &mut Fields<'_>) -> Vec<CheckedTenant> {
    let mut tenants: Vec<CheckedTenant> = Vec::new();
    for (index, member) in members.iter().enumerate() {
        let mut fields = fields.repeated("member", index);
        let trunk = fields.required("trunk", member.trunk.clone());
        if trunk.is_empty() || trunk.contains(['/', '@', '*', '$', ' ']) {
            let message = format!(
                "trunk is {trunk:?}; it must be one term of an endpoint name, without / @ * $ and spaces"
            );
            fields.report("trunk", message);
        }
        if tenants.iter().any(|other| other.trunk == trunk) {
            fields.report("trunk", format!("trunk {trunk:?} is already used by another member"));
        }
        let quota_per_s = fields.required("quota_per_s", member.quota_per_s);
        fields.in_range("quota_per_s", quota_per_s, 0.0, 1e9);
        tenants.push(CheckedTenant { trunk, quota_per_s });
    }
    tenants
}
