//! Deliberate mistakes. They are made around the engine: in what it is told, in what arrives, or by whoever acts.

use ochrelead_core::time::Span;
use ochrelead_lease::electorate::Electorate;
use ochrelead_lease::message::{Message, VoteRequest};
use ochrelead_lease::persistence::PersistedState;
use ochrelead_lease::{FencingToken, LeaseConfig, MemberId};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mistake {
    /// A voter that starts anew votes at once, though it kept nothing.
    AbstentionSkipped,
    /// Clocks are taken to run alike.
    RateLeftOut,
    /// One vote is enough.
    MinorityGrants,
    /// Some fronts already have another electorate, without one between that has both.
    SwitchedAtOnce,
    /// Whoever is acted upon looks at no number.
    NumberNotChecked,
    /// All holders have the same number.
    NumberNotRaised,
    /// A withdrawal ends promises of later asks too.
    WithdrawnOutOfOrder,
    /// A grant counts for whatever ask is out.
    LateGrantCounted,
    /// A voter promises half of what it was asked for.
    PromiseCutShort,
    /// A front that starts anew is taken for its former life.
    LivesConfused,
    /// The holder counts from later than it asked.
    CountedFromAnswer,
    /// A holder's clock can be set back.
    ClockSetBack,
    /// One voter's grant counts as two voters'.
    VoteCountedTwice,
    /// A holder that handed its task back goes on acting.
    ActsAfterHandBack,
    /// A promise is said before it is on the disk.
    SaidBeforeKept,
}

/// What a mistake makes of what an engine is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Meddler(pub Option<Mistake>);

impl Meddler {
    fn is(&self, mistake: Mistake) -> bool {
        self.0 == Some(mistake)
    }

    pub fn terms(&self, terms: LeaseConfig) -> LeaseConfig {
        if self.is(Mistake::RateLeftOut) { LeaseConfig { clock_drift_ppm: 0, ..terms } } else { terms }
    }

    /// The electorate as a front has it; `late` marks those that have the next one.
    pub fn electorate(&self, front: u32, fronts: u32, electorate: &Electorate) -> Electorate {
        match self.0 {
            Some(Mistake::MinorityGrants) => Electorate::new(electorate.generation, &[front]),
            Some(Mistake::SwitchedAtOnce) if front % 2 == 1 => {
                let others: Vec<u32> = (0..fronts).filter(|front| !electorate.is_voter(*front)).collect();
                Electorate::new(electorate.generation, &others)
            }
            _ => electorate.clone(),
        }
    }

    /// The life that a front believes to be in.
    pub fn life(&self, life: u32) -> u32 {
        if self.is(Mistake::LivesConfused) { 1 } else { life }
    }

    /// What a voter that starts anew is told to have kept.
    pub fn kept(&self) -> Option<PersistedState> {
        self.is(Mistake::AbstentionSkipped).then(PersistedState::default)
    }

    /// How much later than its clock says a holder takes its ask to have been.
    pub fn late(&self, terms: &LeaseConfig) -> Span {
        if self.is(Mistake::CountedFromAnswer) { terms.vote_timeout } else { Span::ZERO }
    }

    /// What arrives, and from whom. `asked` is the last ask of the one who hears it.
    pub fn arrives(&self, from: MemberId, word: &Message, asked: u64) -> Vec<(MemberId, Message)> {
        let mut word = word.clone();
        match (self.0, &mut word) {
            (Some(Mistake::WithdrawnOutOfOrder), Message::VoteWithdrawn { round, .. }) => *round = u64::MAX,
            (Some(Mistake::LateGrantCounted), Message::VoteGranted { round, .. }) => *round = asked,
            (Some(Mistake::PromiseCutShort), Message::VoteRequest(VoteRequest { duration, .. })) => {
                *duration = *duration / 2;
            }
            (Some(Mistake::NumberNotRaised), Message::VoteRequest(VoteRequest { token, .. })) => {
                *token = FencingToken::NONE.successor(FencingToken::NONE.holder);
            }
            (Some(Mistake::VoteCountedTwice), Message::VoteGranted { .. }) => {
                let more = (0..3).filter(|front| *front != from.front);
                let doubled = more.map(|front| (MemberId { front, ..from }, word.clone()));
                return doubled.chain([(from, word.clone())]).collect();
            }
            _ => {}
        }
        vec![(from, word)]
    }

    pub fn number_checked(&self) -> bool {
        !self.is(Mistake::NumberNotChecked)
    }

    /// The number that an act names.
    pub fn number(&self, number: FencingToken) -> FencingToken {
        if self.is(Mistake::NumberNotRaised) {
            FencingToken::NONE.successor(FencingToken::NONE.holder)
        } else {
            number
        }
    }
}
