//! The settings object of the platform, and the controller configuration derived from it. The adapter of the simulator
//! receives the object in its first message, a node in its configuration file.

use serde::Deserialize;
use serde_json::Value;

use ochrelead_core::config::{ControllerConfig, Service, Tenant};
use ochrelead_core::time::Span;

/// The settings object. The field names are those of the platform's JSON.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub struct Settings {
    balancers: u32,
    /// The number of this front among its peers.
    index: Option<u32>,
    request_classes: Vec<RequestClass>,
    orgs: Vec<Org>,
    limits: Limits,
    rules: Rules,
    family_info: FamilyInfo,
    over_share_worth: f64,
    /// The zone of this front, as an index into `zones`.
    az: Option<u32>,
    zones: Vec<String>,
    /// The method by which a front receives the list of servers, such as `on_request`.
    pub discovery: String,
    tick_ms: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct RequestClass {
    name: String,
    target_ms: f64,
    deadline_ms: f64,
    worth: f64,
    late_share: f64,
    semantics: String,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct Org {
    name: String,
    quota_per_s: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct Limits {
    max_attempts: u32,
    max_retry_after_ms: f64,
    retry_after: bool,
    most_held: f64,
    connect_timeout_ms: f64,
    conn_idle_ms: f64,
    peers: bool,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct Rules {
    cold_from: f64,
    cold_ms: f64,
    overload_factor: f64,
    tip_after_ms: f64,
    stop_sending_within_ms: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct FamilyInfo {
    class_cells: Vec<Vec<i64>>,
    class_hold_ms: Vec<f64>,
    guard_ms: f64,
}

fn span_from_millis(ms: f64) -> Span {
    Span::from_micros((ms.max(0.0) * 1_000.0).round() as u64)
}

/// Returns the span, or `None` for 0 or less, which means that it is not set.
fn optional_span(ms: f64) -> Option<Span> {
    (ms > 0.0).then(|| span_from_millis(ms))
}

impl Settings {
    /// Parses the settings object. Returns the defaults if there is none.
    ///
    /// # Errors
    ///
    /// If the object or one of its fields has the wrong type.
    pub fn parse(object: Option<&Value>) -> Result<Settings, serde_json::Error> {
        match object {
            None | Some(Value::Null) => Ok(Settings::default()),
            Some(object) => Settings::deserialize(object),
        }
    }

    /// Returns the name and the deadline of each service, ordered by service index. The deadline is the longest time
    /// that a caller waits for an answer.
    pub fn services(&self) -> impl Iterator<Item = (&str, Span)> {
        self.request_classes.iter().map(|class| (class.name.as_str(), span_from_millis(class.deadline_ms)))
    }

    /// Returns the names of the tenants, ordered by tenant index.
    pub fn tenants(&self) -> impl Iterator<Item = &str> {
        self.orgs.iter().map(|org| org.name.as_str())
    }

    /// Returns the maximum number of sessions that a front may hold, or `None` if the settings don't limit it.
    pub fn max_sessions(&self) -> Option<usize> {
        (self.limits.most_held >= 1.0).then_some(self.limits.most_held as usize)
    }

    /// Returns the time after which a connection attempt fails, or `None` if it is not set.
    pub fn connect_timeout(&self) -> Option<Span> {
        optional_span(self.limits.connect_timeout_ms)
    }

    /// Returns the idle time after which the remote side closes a connection, or `None` if it is not set.
    pub fn connection_idle_timeout(&self) -> Option<Span> {
        optional_span(self.limits.conn_idle_ms)
    }

    /// Returns how long new requests may still be sent to a server that is draining or removed, or `None` if it is
    /// not set.
    pub fn drain_grace(&self) -> Option<Span> {
        optional_span(self.rules.stop_sending_within_ms)
    }

    /// Returns the number of this front among its peers, or `None` if it is not set or fronts must not exchange
    /// messages.
    pub fn peer_number(&self) -> Option<u32> {
        self.index.filter(|_| self.limits.peers)
    }

    /// Returns the names of the zones, ordered by zone number.
    pub fn zones(&self) -> &[String] {
        &self.zones
    }

    /// Returns the number of this front's zone, or `None` if there are fewer than two zones or the number is not one
    /// of them.
    pub fn local_zone(&self) -> Option<u32> {
        self.az.filter(|zone| self.zones.len() > 1 && (*zone as usize) < self.zones.len())
    }

    /// Returns whether fronts may exchange messages.
    pub fn allows_peer_messages(&self) -> bool {
        self.limits.peers
    }

    /// Returns the configuration of the controller.
    pub fn controller_config(&self, seed: u64) -> ControllerConfig {
        let services = self.request_classes.iter().enumerate();
        let limits = &self.limits;
        let max_retry_after_ms = if limits.retry_after { limits.max_retry_after_ms } else { 0.0 };
        ControllerConfig {
            seed,
            fronts: self.balancers.max(1),
            services: services.map(|(index, class)| self.service(index, class)).collect(),
            tenants: self.orgs.iter().map(|org| Tenant { quota_per_s: org.quota_per_s }).collect(),
            over_quota_value_share: self.over_share_worth,
            max_invites: limits.max_attempts,
            max_retry_after: span_from_millis(max_retry_after_ms),
            resend_delay: span_from_millis(self.family_info.guard_ms),
            cold_capacity_share: self.rules.cold_from,
            warm_up_time: span_from_millis(self.rules.cold_ms),
            overload_multiple: self.rules.overload_factor,
            overload_duration: span_from_millis(self.rules.tip_after_ms),
            min_poll_interval: span_from_millis(self.tick_ms),
        }
    }

    fn service(&self, index: usize, class: &RequestClass) -> Service {
        let target_ms = if class.target_ms > 0.0 { class.target_ms } else { class.deadline_ms };
        let mean_hold_ms = self.family_info.class_hold_ms.get(index).copied().unwrap_or(0.0);
        Service {
            value: class.worth,
            post_dial_target: span_from_millis(target_ms),
            late_value_share: class.late_share,
            mean_hold_time: span_from_millis(mean_hold_ms),
            servers: self.family_info.class_cells.get(index).cloned().unwrap_or_default(),
            retryable: matches!(class.semantics.as_str(), "" | "free"),
        }
    }
}
