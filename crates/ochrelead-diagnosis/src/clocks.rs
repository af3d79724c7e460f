//! One time for all fronts.
//!
//! Fronts' clocks disagree. What all fronts see at nearly one moment (a server's word on its restart, a fleet's
//! adoption) ties them together: the gap between two fronts' moments of it is the offset of their clocks, give or
//! take the time that news needs. Within one life a front's clock does not step, for it is made of a steady one; a
//! new life may have another offset, and is tied on its own.

use std::collections::BTreeMap;

use ochrelead_core::time::Span;
use ochrelead_records::reader::{Life, Record};
use ochrelead_records::schema::event::What;

/// The longest that one news needs from the first front to the last: two repeats of a datagram.
const NEWS_TAKES: i64 = 1_600_000;

/// What ties clocks: server and word, or a fleet's generation; and which of its kind in each life's course.
type Knot = (String, usize);

/// The offset of one life's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offset {
    /// To be added to its moments, in microseconds.
    pub add: i64,
    /// Give or take; none where nothing ties this clock to the others and it is taken as it is.
    pub bound: Option<Span>,
}

/// The offsets of all lives.
#[derive(Clone, Debug, Default)]
pub struct Clocks {
    offsets: BTreeMap<Life, Offset>,
}

impl Clocks {
    /// Estimates all offsets. The reference is the life with the most ties; a life that shares none with it is
    /// tied through others where that is possible.
    pub fn estimate<'a>(records: impl Iterator<Item = &'a Record>) -> Clocks {
        let mut knots: BTreeMap<Life, BTreeMap<Knot, i64>> = BTreeMap::new();
        let mut counts: BTreeMap<(Life, String), usize> = BTreeMap::new();
        for record in records {
            let own = knots.entry(record.life.clone()).or_default();
            let name = match &record.event.what {
                Some(What::Told(told)) => format!("{} {}", told.server, told.what),
                Some(What::Fleet(fleet)) if fleet.generation > 0 => format!("fleet {}", fleet.generation),
                _ => continue,
            };
            let count = counts.entry((record.life.clone(), name.clone())).or_insert(0);
            own.entry((name, *count)).or_insert(record.event.at_us as i64);
            *count += 1;
        }
        let mut clocks = Clocks::default();
        while let Some(root) = Self::untied(&knots, &clocks) {
            clocks.offsets.insert(root.clone(), Offset { add: 0, bound: None });
            clocks.tie_all(&knots);
        }
        clocks
    }

    /// The life with the most knots that has no offset yet.
    fn untied(knots: &BTreeMap<Life, BTreeMap<Knot, i64>>, clocks: &Clocks) -> Option<Life> {
        let open = knots.iter().filter(|(life, _)| !clocks.offsets.contains_key(life));
        open.max_by_key(|(life, own)| (own.len(), std::cmp::Reverse((*life).clone())))
            .map(|(life, _)| life.clone())
    }

    /// Ties whatever shares a knot with what is tied, until nothing more does.
    fn tie_all(&mut self, knots: &BTreeMap<Life, BTreeMap<Knot, i64>>) {
        loop {
            let mut tied = None;
            for (life, own) in knots.iter().filter(|(life, _)| !self.offsets.contains_key(*life)) {
                let mut gaps = Vec::new();
                for (other, offset) in &self.offsets {
                    let theirs = &knots[other];
                    let shared =
                        own.iter().filter_map(|(knot, at)| Some(theirs.get(knot)? + offset.add - at));
                    gaps.extend(shared);
                }
                if let Some(offset) = agreed(gaps) {
                    tied = Some((life.clone(), offset));
                    break;
                }
            }
            match tied {
                Some((life, offset)) => self.offsets.insert(life, offset),
                None => return,
            };
        }
    }

    pub fn of(&self, life: &Life) -> Offset {
        self.offsets.get(life).copied().unwrap_or(Offset { add: 0, bound: None })
    }

    /// An event's moment on the common clock, in microseconds.
    pub fn common(&self, life: &Life, at_us: u64) -> u64 {
        at_us.saturating_add_signed(self.of(life).add)
    }

    /// Lives whose clock nothing ties to the others.
    pub fn loose(&self) -> Vec<&Life> {
        let loose = self.offsets.iter().filter(|(_, offset)| offset.bound.is_none());
        let mut loose: Vec<&Life> = loose.map(|(life, _)| life).collect();
        // The reference itself is not loose where others hang on it.
        if loose.len() == 1 && self.offsets.len() > 1 {
            loose.clear();
        }
        loose
    }
}

/// The offset that most gaps agree on: the middle one of the largest cluster, so that a knot that was counted
/// wrong (one front missed a word) does no harm.
fn agreed(mut gaps: Vec<i64>) -> Option<Offset> {
    gaps.sort_unstable();
    let within = |from: usize| gaps[from..].iter().take_while(|gap| **gap - gaps[from] <= NEWS_TAKES).count();
    let (from, count) = (0..gaps.len())
        .map(|from| (from, within(from)))
        .max_by_key(|(from, count)| (*count, std::cmp::Reverse(*from)))?;
    let cluster = &gaps[from..from + count];
    let spread = cluster[count - 1] - cluster[0];
    let bound = if count > 2 { spread / 2 } else { NEWS_TAKES.max(spread) };
    Some(Offset { add: cluster[count / 2], bound: Some(Span::from_micros(bound as u64)) })
}
