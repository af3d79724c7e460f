//! The header with which a signalling server reports its lines and its processor's load.

use ochrelead_core::types::{LineCapacity, LoadReport};
use ochrelead_sip::message::Message;

const OCCUPANCY: &str = "X-Occupancy";

/// The figures of the header by name; what is not a finite figure is skipped.
fn figures(message: &Message) -> impl Iterator<Item = (&str, f64)> {
    let pairs = message.header(OCCUPANCY).unwrap_or_default().split([',', ';', ' ']);
    pairs.filter_map(|pair| {
        let (name, value) = pair.split_once(['=', ':'])?;
        let figure = value.trim().parse::<f64>().ok().filter(|figure| figure.is_finite())?;
        Some((name.trim(), figure))
    })
}

/// The line capacity that a server reports; `None` where it is incomplete or more lines are free than there are.
pub(crate) fn line_capacity(message: &Message) -> Option<LineCapacity> {
    let count = |wanted: &str| {
        let (_, figure) = figures(message).find(|(name, _)| *name == wanted)?;
        (0.0..=f64::from(u32::MAX)).contains(&figure).then_some(figure as u32)
    };
    let lines = LineCapacity { free: count("free")?, total: count("size")? };
    (lines.free <= lines.total).then_some(lines)
}

/// The load that a server reports; a figure out of its range is ignored.
pub(crate) fn load_report(message: &Message) -> LoadReport {
    let non_negative = |wanted: &str| {
        figures(message).find(|(name, figure)| *name == wanted && *figure >= 0.0).map(|(_, figure)| figure)
    };
    LoadReport {
        accepted_rate: non_negative("can_take"),
        hold_back_share: non_negative("hold_back").filter(|share| *share <= 1.0),
    }
}
