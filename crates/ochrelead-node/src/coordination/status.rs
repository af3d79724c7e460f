//! The status text and the metrics of the coordination. Both are parsed by tools, so that the text and the names are a
//! stable interface.

use std::fmt::Write;

use ochrelead_core::time::{Moment, Span};
use ochrelead_gossip::engine::Engine as GossipEngine;
use ochrelead_lease::TaskId;
use ochrelead_lease::engine::{Engine as LeaseEngine, LeaseStatus};
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::zones::Zones;
use crate::health_check;
use crate::observation::ServerActivity;
use crate::persistence::StatusReport;

/// The components whose status is reported.
pub(super) struct StatusSource<'a> {
    pub(super) gossip: &'a GossipEngine,
    pub(super) leases: &'a LeaseEngine,
    pub(super) zones: Option<&'a Zones>,
    pub(super) is_zones_only: bool,
    pub(super) activity: &'a [ServerActivity],
}

impl StatusSource<'_> {
    pub(super) fn report(&self, now: Moment) -> StatusReport {
        let header = format!("written_us: {}\n", now.micros());
        let status = self.lines(now).iter().fold(header, |text, line| text + line + "\n");
        StatusReport { status, counters: self.counters(now) }
    }

    /// Returns a line for the fleet, the lines of the zones, and a line for each lease.
    pub(super) fn lines(&self, now: Moment) -> Vec<String> {
        let zones = self.zones.map_or_else(Vec::new, |zones| zones.status_lines(now));
        if self.is_zones_only {
            return zones;
        }
        let leases = self.leases.status(now);
        let leases = leases.iter().map(|status| self.lease_line(now, status));
        std::iter::once(self.fleet_line(now)).chain(zones).chain(leases).collect()
    }

    fn fleet_line(&self, now: Moment) -> String {
        let electorate = self.leases.electorate();
        let voting = match self.leases.voter() {
            None => "does not vote".to_owned(),
            Some(voter) => voter.abstaining_until(now).map_or("votes".to_owned(), |until| {
                format!("abstains for {} more", seconds(until.since(now)))
            }),
        };
        let voters: Vec<String> = electorate.voters().iter().map(ToString::to_string).collect();
        format!(
            "front {} of {}, {} seen; {voting}; voters {}, generation {}",
            self.leases.local().front,
            self.gossip.members().fleet_size(),
            self.gossip.members().live().len(),
            voters.join(","),
            electorate.generation
        )
    }

    fn lease_line(&self, now: Moment, status: &LeaseStatus) -> String {
        let name = self.task_name(status.task);
        let mut line = format!("{name}: number {}", status.highest_token.counter);
        // Writing to a `String` can't fail.
        if let Some(lease) = &status.lease {
            let held = seconds(now.since(lease.acquired_at));
            let remaining = seconds(lease.expires_at.since(now));
            let _ = write!(line, ", held here since {held}, {remaining} left");
        } else if status.is_candidate {
            line.push_str(", wanted here");
            if let Some(reason) = status.last_refusal {
                let _ = write!(line, ", refused: {reason}");
            }
        }
        if let Some(promise) = &status.promise {
            let remaining = seconds(promise.remaining);
            let _ = write!(line, ", promised to front {}, {remaining} left", promise.candidate.front);
        }
        line
    }

    fn task_name(&self, task: TaskId) -> String {
        let server = self.activity.iter().find(|server| health_check::task_id(&server.server) == task);
        match server {
            Some(server) => format!("sounding {}", server.server),
            None => format!("task {:016x}", task.0),
        }
    }

    /// Returns the metrics in the text format of Prometheus.
    fn counters(&self, now: Moment) -> String {
        let stats = self.gossip.stats();
        let leases_held = self.leases.status(now).iter().filter(|status| status.lease.is_some()).count();
        let mut registry = Registry::default();
        for (name, help, count) in [
            ("datagrams_sent", "Datagrams sent to other fronts", stats.datagrams_sent),
            ("datagram_bytes_sent", "Their bytes", stats.bytes_sent),
            ("datagrams_read", "Datagrams of other fronts that were read", stats.datagrams_received),
            ("datagrams_newer", "Of these, of a newer version", stats.newer_version),
            ("parts_unknown", "Parts of kinds that are not known here", stats.unknown_parts),
            ("datagrams_too_long", "Datagrams that were passed over for their length", stats.too_long),
            ("datagrams_unreadable", "Datagrams that were passed over as none of ours", stats.malformed),
            ("datagrams_mistaken", "Datagrams that said to be another front's", stats.wrong_sender),
            ("words_dropped", "Words that the budget had no room for", stats.messages_dropped),
        ] {
            let counter: Counter = Counter::default();
            counter.inc_by(count);
            registry.register(format!("ochrelead_peers_{name}"), help, counter);
        }
        let gauge: Gauge = Gauge::default();
        gauge.set(i64::try_from(leases_held).unwrap_or(i64::MAX));
        registry.register("ochrelead_leases_held", "Tasks that this front holds", gauge);
        let mut counters = String::new();
        // Writing to a `String` can't fail.
        let _ = encode(&mut counters, &registry);
        counters
    }
}

fn seconds(span: Span) -> String {
    format!("{:.1} s", span.ratio(Span::from_secs(1)))
}
