//! Words about districts as bytes, for a datagram between fronts.

use ochrelead_core::time::Span;
use prost::Message;

use crate::course::Why;
use crate::evidence::Met;
use crate::schema::{self, word::What};
use crate::{District, MOST_DISTRICTS, ServerKey};

/// The most bytes of a word: what a datagram leaves beside its head and a part's.
pub const LONGEST: usize = 232;

/// Shares are said in ten-thousandths.
pub const PARTS: f64 = 10_000.0;

/// A district that is not wholly in use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Eased {
    pub district: District,
    pub share: f64,
    pub why: Why,
}

/// What one front says to another.
#[derive(Clone, Debug, PartialEq)]
pub enum Word {
    Report {
        from: District,
        met: Vec<(ServerKey, Met)>,
    },
    Verdicts {
        from: District,
        /// Which word of its speaker's life this is.
        nth: u32,
        lasts: Span,
        eased: Vec<Eased>,
    },
}

fn plus_one(district: District) -> u32 {
    district.0.saturating_add(1)
}

fn read_district(plus_one: u32) -> Option<District> {
    plus_one.checked_sub(1).filter(|district| *district < MOST_DISTRICTS).map(District)
}

/// As bytes: one word, or more where a report is too long for one.
pub fn write(word: &Word) -> Vec<Vec<u8>> {
    match word {
        Word::Verdicts { from, nth, lasts, eased } => {
            let share = |eased: &Eased| schema::Share {
                district: plus_one(eased.district),
                share: (eased.share.clamp(0.0, 1.0) * PARTS).round() as u32,
                why: match eased.why {
                    Why::Gone => 1,
                    Why::Returns => 2,
                },
            };
            let what = What::Verdicts(schema::Verdicts {
                from: plus_one(*from),
                nth: *nth,
                lasts_ms: u32::try_from(lasts.micros() / 1_000).unwrap_or(u32::MAX),
                share: eased.iter().take(MOST_DISTRICTS as usize).map(share).collect(),
            });
            vec![schema::Word { what: Some(what) }.encode_to_vec()]
        }
        Word::Report { from, met } => {
            let mut words = Vec::new();
            let mut report = schema::Report { from: plus_one(*from), met: Vec::new() };
            for (server, met) in met {
                let bounded = met.bounded();
                let said = schema::Met {
                    server: u32::from(server.0),
                    in_time: bounded.in_time,
                    late: bounded.late,
                    lost: bounded.lost,
                    alive: bounded.alive,
                    old: bounded.old,
                };
                // A part's key and length, and those of the report in the word.
                if report.encoded_len() + said.encoded_len() + 2 > LONGEST - 4 {
                    let next = schema::Report { from: report.from, met: Vec::new() };
                    words.push(std::mem::replace(&mut report, next));
                }
                report.met.push(said);
            }
            words.push(report);
            words
                .into_iter()
                .map(|report| schema::Word { what: Some(What::Report(report)) }.encode_to_vec())
                .collect()
        }
    }
}

/// Reads a word; none where it is unreadable, out of range or of a kind that is not known here.
pub fn read(bytes: &[u8]) -> Option<Word> {
    match schema::Word::decode(bytes).ok()?.what? {
        What::Report(report) => {
            let from = read_district(report.from)?;
            let met = report.met.iter().map(|met| {
                let server = ServerKey(u16::try_from(met.server).ok()?);
                let (in_time, late, lost) = (met.in_time, met.late, met.lost);
                Some((server, Met { in_time, late, lost, alive: met.alive, old: met.old }.bounded()))
            });
            Some(Word::Report { from, met: met.collect::<Option<_>>()? })
        }
        What::Verdicts(verdicts) => {
            let from = read_district(verdicts.from)?;
            if verdicts.share.len() > MOST_DISTRICTS as usize {
                return None;
            }
            let eased = verdicts.share.iter().map(|share| {
                let (district, why) = (read_district(share.district)?, share.why);
                let share = (f64::from(share.share) / PARTS).min(1.0);
                let why = match why {
                    1 => Why::Gone,
                    // A reason of a newer version: a share all the same.
                    _ => Why::Returns,
                };
                Some(Eased { district, share, why })
            });
            Some(Word::Verdicts {
                from,
                nth: verdicts.nth,
                lasts: Span::from_millis(u64::from(verdicts.lasts_ms)),
                eased: eased.collect::<Option<_>>()?,
            })
        }
    }
}
