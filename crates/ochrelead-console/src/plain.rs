//! The console as text, for a pipe.

use ochrelead_core::time::{Moment, Span};
use ochrelead_diagnosis::trouble::Trouble;

use crate::watch::Watch;

pub(crate) fn secs(span: Span) -> f64 {
    span.ratio(Span::from_secs(1))
}

/// A trouble as one line, with how long ago it began.
pub(crate) fn line(own: &Trouble, now: Moment) -> String {
    let since = secs(now.since(own.onset));
    let of = if own.of.is_empty() { "the fleet" } else { &own.of };
    let lasted =
        own.end.map_or("lasts".to_owned(), |end| format!("lasted {:.1} s", secs(end.since(own.onset))));
    format!("{since:.0} s ago, {lasted}: {of}: {}: {}", own.kind.name(), own.evidence)
}

/// One server as a line.
pub(crate) fn server(name: &str, own: &crate::watch::Server, now: Moment) -> String {
    let since = own.since.map_or(0.0, |at| secs(now.since(at)));
    let rate = own.invites.iter().rev().skip(1).take(5).sum::<u64>() as f64 / 5.0;
    format!(
        "{name}: {} for {since:.0} s, answers in {:.2} s, {rate:.1} INVITEs/s, limit {:.1}, lines {}/{} free",
        own.state(),
        secs(own.answer),
        own.limit,
        own.free,
        own.lines
    )
}

/// All of it.
pub fn of(watch: &Watch) -> String {
    let now = watch.now();
    let mut text = format!("{} of {} fronts write\n", watch.fronts_here(), watch.fronts.len());
    for (name, own) in &watch.servers {
        text.push_str(&server(name, own, now));
        text.push('\n');
    }
    let in_hand = watch.in_hand();
    text.push_str(if in_hand.is_empty() { "no trouble in hand\n" } else { "troubles in hand:\n" });
    for own in &in_hand {
        text.push_str(&format!("  {}\n", line(own, now)));
    }
    for own in watch.passed().iter().take(10) {
        text.push_str(&format!("  passed: {}\n", line(own, now)));
    }
    text
}
