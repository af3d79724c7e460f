//! One time for all fronts.
//!
//! Fronts' clocks disagree. What all fronts see at nearly one moment (a server's word on its restart, a fleet's
//! adoption) ties them together: the gap between two fronts' moments of it is the offset of their clocks, give or
//! take the time that news needs. Which word of one front is which of another's is not known where records are
//! missing, so all that could be the same vote, and the offset with the most votes wins.
//!
//! Within one life a clock may run fast or slow, and may be set. A life is cut where its moments step: back, which
//! its own order shows, or far ahead with no event missing. Each piece is tied on its own, or to the piece before.

use std::collections::BTreeMap;

use ochrelead_core::time::Span;
use ochrelead_event_log::LINES;
use ochrelead_event_log::reader::{FrontIncarnation, Record};
use ochrelead_event_log::schema::{Event, event::What};

/// The longest that one news needs from the first front to the last: two repeats of a datagram.
const NEWS_TAKES: i64 = 1_600_000;
/// Clocks that are further apart than this are not tied: a zone set wrong by an hour or two is.
const FURTHEST: i64 = 2 * 3_600_000_000 + NEWS_TAKES;
/// A moment that is so much before the last of its life is a clock set back.
const BACK: u64 = 250_000;
/// A front writes each second: so much later than the last event, with none missing, and it stood still or its
/// clock was set ahead.
const AHEAD: u64 = 3_000_000;
/// The most that a clock runs fast or slow, and how many ties over how long tell it.
const FASTEST: f64 = 1e-3;
const DRIFT_TIES: usize = 6;
const DRIFT_OVER: i64 = 600_000_000;
/// Ties that the slope is taken from; more of them are thinned out.
const SLOPE_FROM: usize = 64;

/// The offset of one life's clock, or of a piece of it between two steps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Offset {
    /// To be added to its moments at the piece's first, in microseconds.
    pub add: i64,
    /// What is added more with each of its own microseconds: negative for a clock that runs fast.
    pub drift: f64,
    /// Give or take; none where nothing ties this clock to the others and it is taken as it is.
    pub bound: Option<Span>,
}

/// Words that are kept of a piece before those on lines are thinned out, and how far that goes.
const MOST_WORDS: usize = 4_096;
const COARSEST: u64 = 1 << 20;
/// So many more words on lines are worth settling anew.
const SETTLE_EACH: usize = 32;
/// News that was not repeated is this near to the middle of its kind.
const PROMPT: i64 = 100_000;

/// The free lines that a word tells.
fn free_lines(name: &str) -> Option<u64> {
    let (_, figure) = name.split_once(LINES)?;
    figure.split('/').next()?.parse().ok()
}

const UNTIED: Offset = Offset { add: 0, drift: 0.0, bound: None };

impl Offset {
    fn at(&self, since_first: i64) -> i64 {
        self.add + (self.drift * since_first as f64) as i64
    }
}

/// A stretch of a life in which its clock was not set.
#[derive(Clone, Debug)]
struct Piece {
    first_nth: u64,
    first_at: u64,
    /// From the last event before it to its first, on the front's own clock.
    step: i64,
    words: Vec<(String, i64)>,
    /// Of words on lines only those are kept whose free lines are a multiple of this.
    coarse: u64,
    offset: Option<Offset>,
}

#[derive(Clone, Debug)]
struct Course {
    last_nth: u64,
    last_at: u64,
    pieces: Vec<Piece>,
}

/// What ties clocks together, gathered event by event, each life's in its order. Grows with what servers say of
/// themselves, not with the sessions.
#[derive(Clone, Debug, Default)]
pub struct Ties {
    lives: BTreeMap<FrontIncarnation, Course>,
}

impl Ties {
    /// True where the offsets may be known better by it.
    pub fn take(&mut self, life: &FrontIncarnation, event: &Event) -> bool {
        let (at, nth) = (event.at_us, event.nth);
        let piece =
            |step| Piece { first_nth: nth, first_at: at, step, words: Vec::new(), coarse: 1, offset: None };
        if !self.lives.contains_key(life) {
            let course = Course { last_nth: nth, last_at: at, pieces: vec![piece(0)] };
            self.lives.insert(life.clone(), course);
        }
        let Some(course) = self.lives.get_mut(life) else { return false };
        let stood = matches!(event.what, Some(What::PausedUs(_)));
        let ahead = at > course.last_at + AHEAD && nth == course.last_nth + 1 && !stood;
        let cut = at + BACK < course.last_at || ahead;
        if cut {
            course.pieces.push(piece(at as i64 - course.last_at as i64));
        }
        (course.last_nth, course.last_at) = (nth, at);
        let name = match &event.what {
            Some(What::Told(told)) => format!("{} {}", told.server, told.what),
            Some(What::Fleet(fleet)) if fleet.generation > 0 => format!("fleet {}", fleet.generation),
            _ => return cut,
        };
        if let Some(piece) = course.pieces.last_mut() {
            let free = free_lines(&name);
            if free.is_none_or(|free| free % piece.coarse == 0) {
                piece.words.push((name, at as i64));
            }
            // Thinned out by what they say, so that the words that are left are the same in each life.
            while piece.words.len() > MOST_WORDS && piece.coarse < COARSEST {
                piece.coarse *= 2;
                let coarse = piece.coarse;
                piece.words.retain(|(name, _)| free_lines(name).is_none_or(|free| free % coarse == 0));
            }
            return free.is_none() || piece.words.len() % SETTLE_EACH == 0;
        }
        true
    }

    /// The offsets, as far as what was gathered tells them. The reference is the life with the most ties; a life
    /// that shares none with it is tied through others where that is possible.
    pub fn settle(mut self) -> Clocks {
        let mut open: Vec<(FrontIncarnation, usize)> = Vec::new();
        for (life, course) in &self.lives {
            open.extend((0..course.pieces.len()).map(|nth| (life.clone(), nth)));
        }
        open.sort_by_key(|(life, nth)| {
            (std::cmp::Reverse(self.lives[life].pieces[*nth].words.len()), life.clone(), *nth)
        });
        let mut loose = Vec::new();
        while !open.is_empty() {
            // Whatever hangs on nothing yet: a new group with a reference of its own. The first piece of a life
            // whose later pieces are all that is left carries them.
            let root = open.iter().position(|(_, nth)| *nth == 0).unwrap_or(0);
            let (life, nth) = open.remove(root);
            let mut news = News::default();
            self.set(&life, nth, UNTIED, &mut news);
            self.tie_all(&mut open, &mut news);
            loose.push(life);
        }
        // The one reference of all is not loose.
        if loose.len() == 1 {
            loose.clear();
        }
        Clocks { lives: self.lives, loose }
    }

    fn set(&mut self, life: &FrontIncarnation, nth: usize, offset: Offset, news: &mut News) {
        let Some(piece) = self.lives.get_mut(life).and_then(|course| course.pieces.get_mut(nth)) else {
            return;
        };
        piece.offset = Some(offset);
        for (name, at) in &piece.words {
            news.add(name, at + offset.at(at - piece.first_at as i64));
        }
    }

    /// Ties whatever shares a word with what is tied, until nothing more does.
    fn tie_all(&mut self, open: &mut Vec<(FrontIncarnation, usize)>, news: &mut News) {
        loop {
            let before = open.len();
            for (life, nth) in std::mem::take(open) {
                match self.offset_of(&life, nth, news) {
                    Some(offset) => self.set(&life, nth, offset, news),
                    None => open.push((life, nth)),
                }
            }
            if open.len() == before {
                return;
            }
        }
    }

    /// What a piece's clock is off by: as its words say, or as the piece before it does.
    fn offset_of(&self, life: &FrontIncarnation, nth: usize, news: &News) -> Option<Offset> {
        let pieces = &self.lives.get(life)?.pieces;
        let piece = pieces.get(nth)?;
        let voted = agreed(piece, news);
        let Some(before) = nth.checked_sub(1).and_then(|nth| pieces.get(nth)) else { return voted };
        let offset = before.offset?;
        let (drift, second) = (offset.drift, Span::from_secs(1));
        let held = offset.at(piece.first_at as i64 - piece.step - before.first_at as i64);
        let bound = offset.bound.map(|bound| bound + second);
        if piece.step < 0 {
            // A front writes each second: time went on by less than that.
            let carried = Offset { add: held - piece.step, drift, bound: bound.or(Some(second)) };
            return Some(voted.filter(|own| own.bound < carried.bound).unwrap_or(carried));
        }
        // Ahead: unless its words say otherwise, time did pass.
        let carried = Offset { add: held, drift, bound };
        Some(voted.filter(|own| own.add.abs_diff(held) > NEWS_TAKES as u64).unwrap_or(carried))
    }
}

/// Moments of each word on the common clock, one of each news.
#[derive(Default)]
struct News {
    words: BTreeMap<String, Vec<i64>>,
}

impl News {
    fn add(&mut self, name: &str, at: i64) {
        let known = self.words.entry(name.to_owned()).or_default();
        let place = known.partition_point(|own| *own < at);
        let near = |own: Option<&i64>| own.is_some_and(|own| (own - at).abs() < NEWS_TAKES / 8);
        if !near(known.get(place)) && !near(place.checked_sub(1).and_then(|place| known.get(place))) {
            known.insert(place, at);
        }
    }

    fn near(&self, name: &str, at: i64) -> &[i64] {
        let Some(known) = self.words.get(name) else { return &[] };
        let from = known.partition_point(|own| *own < at - FURTHEST);
        &known[from..known.partition_point(|own| *own <= at + FURTHEST)]
    }
}

/// The offset that most words agree on.
fn agreed(piece: &Piece, news: &News) -> Option<Offset> {
    let first = piece.first_at as i64;
    let votes: Vec<(i64, i64)> = piece
        .words
        .iter()
        .flat_map(|(name, at)| news.near(name, *at).iter().map(move |own| (at - first, own - at)))
        .collect();
    let length = piece.words.iter().map(|(_, at)| at - first).max()?;
    let steady = cluster(&votes, 0.0, NEWS_TAKES)?;
    // Whatever a clock that runs fast or slow could have made of it.
    let wide = cluster(&votes, 0.0, NEWS_TAKES + (length as f64 * FASTEST) as i64)?;
    let drift = if length >= DRIFT_OVER && wide.len() >= DRIFT_TIES { slope(&wide) } else { 0.0 };
    let drifting = cluster(&votes, drift, NEWS_TAKES)?;
    let spread = |own: &[(i64, i64)], drift: f64| {
        let levels = own.iter().map(|vote| level(*vote, drift));
        levels.clone().max().unwrap_or(0) - levels.min().unwrap_or(0)
    };
    // Half of the votes are nearer than this to the middle: late news do not count in it.
    let around = |own: &[(i64, i64)], drift: f64| {
        let mut levels: Vec<i64> = own.iter().map(|vote| level(*vote, drift)).collect();
        levels.sort_unstable();
        let middle = levels[levels.len() / 2];
        levels.iter_mut().for_each(|own| *own = (*own - middle).abs());
        levels.sort_unstable();
        levels[levels.len() / 2]
    };
    let better = drifting.len() > steady.len() || around(&drifting, drift) * 2 < around(&steady, 0.0);
    let (kept, drift) = if better { (drifting, drift) } else { (steady, 0.0) };
    // Where most came promptly, what came late says nothing more.
    let prompt = cluster(&kept, drift, PROMPT)?;
    let kept = if prompt.len() > 2 && prompt.len() * 2 >= kept.len() { prompt } else { kept };
    let wide = spread(&kept, drift);
    let bound = if kept.len() > 2 { wide / 2 } else { NEWS_TAKES.max(wide) };
    let mut levels: Vec<i64> = kept.iter().map(|vote| level(*vote, drift)).collect();
    levels.sort_unstable();
    Some(Offset { add: levels[levels.len() / 2], drift, bound: Some(Span::from_micros(bound as u64)) })
}

/// A vote's gap, brought back to the piece's first moment.
fn level((since, gap): (i64, i64), drift: f64) -> i64 {
    gap - (drift * since as f64) as i64
}

/// The most votes within `width`; of equals those that move the clock least.
fn cluster(votes: &[(i64, i64)], drift: f64, width: i64) -> Option<Vec<(i64, i64)>> {
    let mut sorted = votes.to_vec();
    sorted.sort_by_key(|vote| level(*vote, drift));
    let (mut best, mut to) = ((0, 0), 0);
    for from in 0..sorted.len() {
        let lowest = level(sorted[from], drift);
        while to < sorted.len() && level(sorted[to], drift) - lowest <= width {
            to += 1;
        }
        let least = |at: usize| level(sorted[at], drift).abs();
        if to - from > best.1 - best.0 || (to - from == best.1 - best.0 && least(from) < least(best.0)) {
            best = (from, to);
        }
    }
    (best.1 > best.0).then(|| sorted[best.0..best.1].to_vec())
}

/// The middle of the slopes between votes that are far apart (Theil and Sen), within what clocks do.
fn slope(votes: &[(i64, i64)]) -> f64 {
    let mut own = votes.to_vec();
    own.sort_unstable();
    let thinned: Vec<(i64, i64)> = own.iter().step_by(own.len() / SLOPE_FROM + 1).copied().collect();
    let length = thinned.last().map_or(0, |last| last.0) - thinned.first().map_or(0, |first| first.0);
    let mut slopes = Vec::new();
    for (nth, early) in thinned.iter().enumerate() {
        let far = thinned[nth..].iter().filter(|late| late.0 - early.0 > length / 4);
        slopes.extend(far.map(|late| (late.1 - early.1) as f64 / (late.0 - early.0) as f64));
    }
    slopes.sort_by(f64::total_cmp);
    slopes.get(slopes.len() / 2).copied().unwrap_or(0.0).clamp(-FASTEST, FASTEST)
}

/// The offsets of all lives.
#[derive(Clone, Debug, Default)]
pub struct Clocks {
    lives: BTreeMap<FrontIncarnation, Course>,
    loose: Vec<FrontIncarnation>,
}

impl Clocks {
    /// From records, those of one life in its order.
    pub fn estimate<'a>(records: impl Iterator<Item = &'a Record>) -> Clocks {
        let mut ties = Ties::default();
        for record in records {
            ties.take(&record.incarnation, &record.event);
        }
        ties.settle()
    }

    /// The offset at a life's start.
    pub fn of(&self, life: &FrontIncarnation) -> Offset {
        self.lives.get(life).and_then(|course| course.pieces.first()?.offset).unwrap_or(UNTIED)
    }

    /// How often a life's clock was set.
    pub fn steps(&self, life: &FrontIncarnation) -> usize {
        self.lives.get(life).map_or(0, |course| course.pieces.len() - 1)
    }

    /// An event's moment on the common clock, in microseconds.
    pub fn common(&self, life: &FrontIncarnation, event: &Event) -> u64 {
        let piece = self.lives.get(life).and_then(|course| {
            let behind = course.pieces.partition_point(|piece| piece.first_nth <= event.nth);
            course.pieces.get(behind.saturating_sub(1))
        });
        let Some(piece) = piece else { return event.at_us };
        let since = event.at_us as i64 - piece.first_at as i64;
        event.at_us.saturating_add_signed(piece.offset.unwrap_or(UNTIED).at(since))
    }

    /// Lives whose clock nothing ties to the others'.
    pub fn loose(&self) -> &[FrontIncarnation] {
        &self.loose
    }
}
