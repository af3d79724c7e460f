//! What the pooled counts say of each district.
//!
//! A district that lives answers, be it late and a quarter as often as before: a processor that has become slow answers
//! what it took before. For such a one the chance that none of its silent servers answers anybody for as long as they have
//! not is e^-m, where m is a quarter of the answers that these servers would have given meanwhile at their rate of late.
//! A verdict that it is gone wants that to be [`WRONG`] at the most, most of its servers silent, and INVITEs lost there by
//! several fronts: else nobody may have asked. Of m no server counts for much more than its part: one that has been silent
//! for long would else carry the verdict, and two that only answer little beside it would make a district.
//!
//! A district that only does less is not eased here: measured, that cost more than it brought (docs/districts.md). The
//! module holds back each of its servers by what that server answers.

/// The chance that one look at a district that lives calls it gone: one in a million.
pub const WRONG: f64 = 1e-6;
/// What is left of a server's answers where it lives.
const LEFT: f64 = 0.25;
/// No silent server speaks for more than so many times an even part of what is needed: one alone is no district.
const OF_ONE: f64 = 1.5;
/// INVITEs lost at its silent servers since their last answers.
const LOST: u32 = 20;
/// Of the servers that anybody asked, so many must be silent.
const SILENT_SHARE: f64 = 0.75;
/// Of the servers in service, so many must have been asked.
const ASKED_SHARE: f64 = 0.5;
/// Fronts that must have met it; fewer where fewer report.
const FRONTS: u32 = 3;
/// A district does well that answers this share in time.
const WELL_SHARE: f64 = 0.8;

/// What fronts met at one district.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneStats {
    /// Its servers in service, those that were asked of late, and those of these that answer nobody.
    pub servers: u32,
    pub contacted: u32,
    pub silent: u32,
    /// INVITEs lost at silent servers since their last answers, and by how many fronts.
    pub lost: u32,
    pub reporting_fronts: u32,
    /// Answers that its silent servers would have given meanwhile, at their rate of late.
    pub missed_answers: f64,
    /// Servers that gave a sign of life of any kind just now.
    pub alive: u32,
    /// INVITEs of the last while.
    pub recent_in_time: u32,
    pub recent_late: u32,
    pub recent_lost: u32,
}

impl ZoneStats {
    /// INVITEs of the last while that were answered or are overdue. One that is late was lost before: it counts once.
    pub fn recent(&self) -> u32 {
        self.recent_in_time + self.recent_lost.max(self.recent_late)
    }

    fn in_time_share(&self) -> f64 {
        f64::from(self.recent_in_time) / f64::from(self.recent().max(1))
    }

    /// Enough was met to say so, and nearly all of it was answered in time.
    pub fn is_well(&self) -> bool {
        self.recent() >= 4 && self.in_time_share() >= WELL_SHARE
    }
}

/// What is held of a district.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing that would change anything.
    Unchanged,
    /// Nobody who says anything is answered there.
    Unreachable,
}

/// What the counts say, district by district. Never all of them: where none does well, it is not the districts, or
/// nobody is left to go to, and nothing is left.
pub fn evaluate(counts: &[ZoneStats], reporters: u32) -> Vec<Verdict> {
    let well = counts.iter().filter(|count| count.is_well()).count();
    let verdict = |count: &ZoneStats| {
        if well > 0 && is_gone(count, reporters) { Verdict::Unreachable } else { Verdict::Unchanged }
    };
    counts.iter().map(verdict).collect()
}

/// The answers missed at silent servers together, from what was missed at each.
pub fn total_missed_answers(each: &[f64]) -> f64 {
    let needed = -WRONG.ln() / LEFT;
    let most = needed * OF_ONE / each.len().max(1) as f64;
    each.iter().map(|missed| missed.min(most)).sum()
}

fn is_gone(count: &ZoneStats, reporters: u32) -> bool {
    // One server is no district: the module deals with it.
    count.servers >= 2
        && f64::from(count.contacted) >= f64::from(count.servers) * ASKED_SHARE
        && f64::from(count.silent) >= (f64::from(count.contacted) * SILENT_SHARE).max(2.0)
        && count.reporting_fronts >= FRONTS.min(reporters)
        && count.lost >= LOST
        && (-count.missed_answers * LEFT).exp() <= WRONG
}
