//! The observer's role: aggregates reports and sets the shares of all zones.

use std::collections::BTreeMap;

use ochrelead_core::time::Moment;

use super::announce_interval;
use crate::codec;
use crate::message::ZoneShare;
use crate::outcome_aggregate::OutcomeAggregate;
use crate::outcome_reporter::ServerSample;
use crate::ramp::ZoneRamp;
use crate::verdict::{ZoneStats, evaluate};
use crate::{ServerLocation, ZoneConfig, ZoneId};

#[derive(Clone, Debug)]
struct Announcement {
    sent_at: Moment,
    shares: Vec<ZoneShare>,
}

/// State of a front that is the observer of its zone.
#[derive(Clone, Debug)]
pub(super) struct Observer {
    config: ZoneConfig,
    aggregate: OutcomeAggregate,
    ramps: BTreeMap<ZoneId, ZoneRamp>,
    last_announcement: Option<Announcement>,
}

impl Observer {
    /// Creates an observer that resumes the shares of the previous one.
    pub(super) fn new(
        config: ZoneConfig,
        locations: &[ServerLocation],
        resumed: &[ZoneShare],
        now: Moment,
    ) -> Observer {
        let mut aggregate = OutcomeAggregate::new(config);
        aggregate.on_server_locations(locations);
        let ramps = resumed
            .iter()
            .map(|share| (share.zone, ZoneRamp::resumed(share.share, share.reason, now)))
            .collect();
        Observer { config, aggregate, ramps, last_announcement: None }
    }

    pub(super) fn on_server_locations(&mut self, locations: &[ServerLocation]) {
        self.aggregate.on_server_locations(locations);
    }

    pub(super) fn on_report(&mut self, now: Moment, front: u32, samples: &[ServerSample]) {
        self.aggregate.on_report(now, front, samples);
    }

    /// Evaluates all zones and advances their ramps. Returns the shares if they have changed or an announcement is due.
    pub(super) fn process(&mut self, now: Moment, zones: &[ZoneId]) -> Option<Vec<ZoneShare>> {
        self.aggregate.expire(now);
        self.advance_ramps(now, zones);
        let shares = self.shares(zones.len());
        let is_due = self.last_announcement.as_ref().is_none_or(|last| {
            last.shares != shares || now.since(last.sent_at) >= announce_interval(&self.config, &shares)
        });
        is_due.then(|| {
            self.last_announcement = Some(Announcement { sent_at: now, shares: shares.clone() });
            shares
        })
    }

    fn advance_ramps(&mut self, now: Moment, zones: &[ZoneId]) {
        let stats: Vec<ZoneStats> = zones.iter().map(|zone| self.aggregate.zone_stats(now, *zone)).collect();
        let verdicts = evaluate(&stats, self.aggregate.reporter_count());
        self.ramps.retain(|zone, _| zones.contains(zone));
        for ((zone, stats), verdict) in zones.iter().zip(&stats).zip(&verdicts) {
            let ramp = self.ramps.entry(*zone).or_default();
            if ramp.process(now, *verdict, stats, &self.config) {
                self.aggregate.begin_step(*zone);
            }
        }
    }

    /// Returns the shares of the zones that are not in full use. If that were all zones, the one with the largest share
    /// is left out, which puts it in full use.
    fn shares(&self, zone_count: usize) -> Vec<ZoneShare> {
        let mut shares: Vec<ZoneShare> = self.ramps.iter().filter_map(zone_share).collect();
        if shares.len() >= zone_count
            && let Some(largest) =
                (0..shares.len()).max_by(|a, b| shares[*a].share.total_cmp(&shares[*b].share))
        {
            shares.remove(largest);
        }
        shares
    }
}

fn zone_share((zone, ramp): (&ZoneId, &ZoneRamp)) -> Option<ZoneShare> {
    let (share, reason) = ramp.share()?;
    // Rounded to the precision of the wire format, so that the observer uses the same share as all other fronts.
    let share = (share * codec::SHARE_SCALE).round() / codec::SHARE_SCALE;
    Some(ZoneShare { zone: *zone, share, reason })
}
