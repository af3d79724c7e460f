//! The settings object of the platform, read into the provisioning of the rules: the one reader for the bench's
//! adapter, which has it in a first message, and for the node, which has it in its configuration.

use serde::Deserialize;
use serde_json::Value;

use ochrelead_core::config::{ControllerConfig, Service, Tenant};
use ochrelead_core::time::Span;

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub struct Facts {
    balancers: u32,
    /// This front's number among its peers.
    index: Option<u32>,
    request_classes: Vec<RequestClass>,
    orgs: Vec<Org>,
    limits: Limits,
    rules: Rules,
    family_info: FamilyInfo,
    over_share_worth: f64,
    /// The district that this front is in, by its place among `zones`, and their names.
    az: Option<u32>,
    zones: Vec<String>,
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
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct FamilyInfo {
    class_cells: Vec<Vec<i64>>,
    class_hold_ms: Vec<f64>,
    guard_ms: f64,
}

fn span(ms: f64) -> Span {
    Span::from_micros((ms.max(0.0) * 1_000.0).round() as u64)
}

impl Facts {
    /// # Errors
    ///
    /// Where the object, or a part of it, has another form.
    pub fn read(facts: Option<&Value>) -> Result<Facts, serde_json::Error> {
        match facts {
            None | Some(Value::Null) => Ok(Facts::default()),
            Some(facts) => Facts::deserialize(facts),
        }
    }

    /// The names of the services, in the order of their indices, each with the most that a caller may wait.
    pub fn services(&self) -> impl Iterator<Item = (&str, Span)> {
        self.request_classes.iter().map(|class| (class.name.as_str(), span(class.deadline_ms)))
    }

    pub fn members(&self) -> impl Iterator<Item = &str> {
        self.orgs.iter().map(|org| org.name.as_str())
    }

    /// The most sessions that a front may hold; none where nothing is said.
    pub fn most_held(&self) -> Option<usize> {
        (self.limits.most_held >= 1.0).then_some(self.limits.most_held as usize)
    }

    /// A connection that is not up by then has failed.
    pub fn connect_timeout(&self) -> Option<Span> {
        (self.limits.connect_timeout_ms > 0.0).then(|| span(self.limits.connect_timeout_ms))
    }

    /// Connections that are idle for so long are closed by the other side; none where nothing is said.
    pub fn idle_limit(&self) -> Option<Span> {
        (self.limits.conn_idle_ms > 0.0).then(|| span(self.limits.conn_idle_ms))
    }

    /// Its number among its peers, where fronts may speak to each other.
    pub fn peer_number(&self) -> Option<u32> {
        self.index.filter(|_| self.limits.peers)
    }

    /// The names of the districts, in the order of their numbers.
    pub fn districts(&self) -> &[String] {
        &self.zones
    }

    /// The number of the district that this front is in, where there are several.
    pub fn district(&self) -> Option<u32> {
        self.az.filter(|own| self.zones.len() > 1 && (*own as usize) < self.zones.len())
    }

    /// Whether fronts may speak to each other.
    pub fn may_speak_to_peers(&self) -> bool {
        self.limits.peers
    }

    pub fn provision(&self, seed: u64) -> ControllerConfig {
        let services = self.request_classes.iter().enumerate().map(|(at, class)| Service {
            value: class.worth,
            post_dial_target: span(if class.target_ms > 0.0 { class.target_ms } else { class.deadline_ms }),
            late_value_share: class.late_share,
            mean_hold_time: span(self.family_info.class_hold_ms.get(at).copied().unwrap_or(0.0)),
            servers: self.family_info.class_cells.get(at).cloned().unwrap_or_default(),
            retryable: matches!(class.semantics.as_str(), "" | "free"),
        });
        let limits = &self.limits;
        ControllerConfig {
            seed,
            fronts: self.balancers.max(1),
            services: services.collect(),
            tenants: self.orgs.iter().map(|org| Tenant { quota_per_s: org.quota_per_s }).collect(),
            over_quota_value_share: self.over_share_worth,
            max_invites: limits.max_attempts,
            max_retry_after: span(if limits.retry_after { limits.max_retry_after_ms } else { 0.0 }),
            resend_delay: span(self.family_info.guard_ms),
            cold_capacity_share: self.rules.cold_from,
            warm_up_time: span(self.rules.cold_ms),
            overload_multiple: self.rules.overload_factor,
            overload_duration: span(self.rules.tip_after_ms),
            min_turn_interval: span(self.tick_ms),
        }
    }
}
