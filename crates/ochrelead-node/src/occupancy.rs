//! Parsing of the header in which a signalling server reports its lines and its load.

use ochrelead_core::types::{LineCapacity, LoadReport};
use ochrelead_sip::message::Message;

const OCCUPANCY: &str = "X-Occupancy";

/// The values in the header with their names. Entries without a finite number are skipped.
fn values(message: &Message) -> impl Iterator<Item = (&str, f64)> {
    let pairs = message.header(OCCUPANCY).unwrap_or_default().split([',', ';', ' ']);
    pairs.filter_map(|pair| {
        let (name, value) = pair.split_once(['=', ':'])?;
        let value = value.trim().parse::<f64>().ok().filter(|value| value.is_finite())?;
        Some((name.trim(), value))
    })
}

/// The line capacity that a server reports; `None` if the report is incomplete or more lines are free than exist.
pub(crate) fn line_capacity(message: &Message) -> Option<LineCapacity> {
    let count = |key: &str| {
        let (_, value) = values(message).find(|(name, _)| *name == key)?;
        (0.0..=f64::from(u32::MAX)).contains(&value).then_some(value as u32)
    };
    let lines = LineCapacity { free: count("free")?, total: count("size")? };
    (lines.free <= lines.total).then_some(lines)
}

/// The load that a server reports. Ignores negative values, and a `hold_back` share above 1.
pub(crate) fn load_report(message: &Message) -> LoadReport {
    let non_negative = |key: &str| {
        values(message).find(|(name, value)| *name == key && *value >= 0.0).map(|(_, value)| value)
    };
    LoadReport {
        accepted_rate: non_negative("can_take"),
        hold_back_share: non_negative("hold_back").filter(|share| *share <= 1.0),
    }
}
