//! What a signalling server's word means to the module.

use ochrelead_core::types::{InviteOutcome, LineCapacity, LoadReport};
use ochrelead_lease::{Number, Who};
use ochrelead_sip::message::Message;

/// The header with the reason of a refusal, and the one with a server's figures.
const DIAGNOSIS: &str = "X-Diagnosis";
const OCCUPANCY: &str = "X-Occupancy";

/// The number under which something is done for the whole fleet; whoever is acted upon refuses less than the highest
/// that it has seen, and names that.
pub const NUMBER: &str = "X-Number";

/// A number as it is written: its count, the front and the life that hold it.
pub fn write_number(number: Number) -> String {
    format!("{}.{}.{}", number.count, number.of.front, number.of.life)
}

pub fn read_number(text: &str) -> Option<Number> {
    let (count, of) = text.trim().split_once('.')?;
    let (front, life) = of.split_once('.')?;
    let of = Who { front: front.parse().ok()?, life: life.parse().ok()? };
    Some(Number { count: count.parse().ok()?, of }).filter(|number| number.is_likely())
}

/// How an INVITE ended by this refusal.
pub fn of_refusal(code: u16, message: &Message) -> InviteOutcome {
    let diagnosis = message.header(DIAGNOSIS);
    match code {
        503 => InviteOutcome::Rejected { no_line: diagnosis == Some("group_full"), retry_after: None },
        480 => InviteOutcome::Unsent,
        504 => InviteOutcome::Reset,
        487 => InviteOutcome::Cancelled,
        _ => InviteOutcome::Failed { lines_busy: diagnosis == Some("user_busy") },
    }
}

/// How a call ended that stood, by its server's release.
pub fn of_release(cause: Option<u32>) -> InviteOutcome {
    if cause == Some(16) { InviteOutcome::Released } else { InviteOutcome::Reset }
}

/// A server's figures, by their names; what is no figure is passed over.
fn figures(message: &Message) -> impl Iterator<Item = (&str, f64)> {
    let pairs = message.header(OCCUPANCY).unwrap_or_default().split([',', ';', ' ']);
    pairs.filter_map(|pair| {
        let (name, value) = pair.split_once(['=', ':'])?;
        let figure = value.trim().parse::<f64>().ok().filter(|figure| figure.is_finite())?;
        Some((name.trim(), figure))
    })
}

/// The lines that a server tells. More free than there are is no news.
pub fn lines(message: &Message) -> Option<LineCapacity> {
    let count = |wanted: &str| {
        let (_, figure) = figures(message).find(|(name, _)| *name == wanted)?;
        (0.0..=f64::from(u32::MAX)).contains(&figure).then_some(figure as u32)
    };
    let lines = LineCapacity { free: count("free")?, total: count("size")? };
    (lines.free <= lines.total).then_some(lines)
}

/// What a server says of its processor; a figure out of its range says nothing.
pub fn report(message: &Message) -> LoadReport {
    let figure = |wanted: &str| {
        figures(message).find(|(name, figure)| *name == wanted && *figure >= 0.0).map(|at| at.1)
    };
    LoadReport {
        accepted_rate: figure("can_take"),
        hold_back_share: figure("hold_back").filter(|share| *share <= 1.0),
    }
}
