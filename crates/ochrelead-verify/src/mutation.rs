//! Deliberate mutations, as in mutation testing: each verification has to find them.
//!
//! They are made around the engine and never in it: in its configuration, in the messages that it receives, or by
//! whoever acts or is acted upon.

use ochrelead_core::time::Span;
use ochrelead_lease::electorate::Electorate;
use ochrelead_lease::message::{Message, VoteRequest};
use ochrelead_lease::persistence::PersistedState;
use ochrelead_lease::{FencingToken, LeaseConfig, MemberId};

/// A rule of the lease protocol that is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum Mutation {
    /// A voter that restarts without persisted state votes at once.
    AbstentionSkipped,
    /// Clocks are taken to run at the same rate.
    ClockDriftIgnored,
    /// One vote is enough.
    MinorityGrants,
    /// Some fronts already have another electorate, without a joint generation between.
    ElectorateSwitchedAtOnce,
    /// Whoever is acted upon checks no token.
    TokenNotChecked,
    /// All holders have the same token.
    TokenNotRaised,
    /// A withdrawal ends promises of later rounds too.
    WithdrawalOutOfOrder,
    /// A granted vote counts for whatever round is open.
    LateGrantCounted,
    /// A voter promises half of the requested duration.
    PromiseCutShort,
    /// A front that restarts is taken for its former incarnation.
    IncarnationsConfused,
    /// The holder counts from later than it asked.
    CountedFromAnswer,
    /// A holder's clock can be set back.
    ClockSetBack,
    /// One voter's grant counts as that of three others too.
    VoteCountedTwice,
    /// A holder that released its lease goes on acting.
    ActsAfterRelease,
    /// A promise is sent before it is on disk.
    SentBeforePersisted,
}

/// A message and its sender, as they reach an engine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Delivery {
    /// Who is said to have sent it.
    pub sender: MemberId,
    /// What arrives.
    pub message: Message,
}

/// Stands between an engine and its surroundings, and passes everything on as it is, except for one mutation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct FaultyProxy {
    mutation: Option<Mutation>,
}

impl FaultyProxy {
    /// A proxy with a mutation; without one it changes nothing.
    pub fn new(mutation: Option<Mutation>) -> FaultyProxy {
        FaultyProxy { mutation }
    }

    fn has(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    /// The configuration that a front gets.
    pub fn lease_config(&self, config: LeaseConfig) -> LeaseConfig {
        if self.has(Mutation::ClockDriftIgnored) {
            LeaseConfig { clock_drift_ppm: 0, ..config }
        } else {
            config
        }
    }

    /// The electorate that a front gets.
    pub fn electorate(&self, front: u32, fleet_size: u32, electorate: &Electorate) -> Electorate {
        match self.mutation {
            Some(Mutation::MinorityGrants) => Electorate::new(electorate.generation, &[front]),
            Some(Mutation::ElectorateSwitchedAtOnce) if front % 2 == 1 => {
                let others: Vec<u32> = (0..fleet_size).filter(|front| !electorate.is_voter(*front)).collect();
                Electorate::new(electorate.generation, &others)
            }
            _ => electorate.clone(),
        }
    }

    /// The incarnation that a front believes to be.
    pub fn incarnation(&self, incarnation: u32) -> u32 {
        if self.has(Mutation::IncarnationsConfused) { 1 } else { incarnation }
    }

    /// What a voter that restarts finds on disk beside what it persisted.
    pub fn persisted_state(&self) -> Option<PersistedState> {
        self.has(Mutation::AbstentionSkipped).then(PersistedState::default)
    }

    /// How much later than its clock says a holder believes to have asked.
    pub fn processing_delay(&self, config: &LeaseConfig) -> Span {
        if self.has(Mutation::CountedFromAnswer) { config.vote_timeout } else { Span::ZERO }
    }

    /// What arrives of a message; `last_round` is the recipient's last vote round.
    pub fn deliver(&self, sender: MemberId, message: &Message, last_round: u64) -> Vec<Delivery> {
        let mut message = message.clone();
        match (self.mutation, &mut message) {
            (Some(Mutation::WithdrawalOutOfOrder), Message::VoteWithdrawn { round, .. }) => *round = u64::MAX,
            (Some(Mutation::LateGrantCounted), Message::VoteGranted { round, .. }) => *round = last_round,
            (Some(Mutation::PromiseCutShort), Message::VoteRequest(VoteRequest { duration, .. })) => {
                *duration = *duration / 2;
            }
            (Some(Mutation::TokenNotRaised), Message::VoteRequest(VoteRequest { token, .. })) => {
                *token = first_token();
            }
            (Some(Mutation::VoteCountedTwice), Message::VoteGranted { .. }) => {
                let others = (0..3).filter(|front| *front != sender.front);
                let copies = others.map(|front| MemberId { front, ..sender }).chain([sender]);
                return copies.map(|sender| Delivery { sender, message: message.clone() }).collect();
            }
            _ => {}
        }
        vec![Delivery { sender, message }]
    }

    /// Whether whoever is acted upon checks tokens.
    pub fn checks_tokens(&self) -> bool {
        !self.has(Mutation::TokenNotChecked)
    }

    /// The token that an act carries.
    pub fn act_token(&self, token: FencingToken) -> FencingToken {
        if self.has(Mutation::TokenNotRaised) { first_token() } else { token }
    }
}

/// The lowest token that can be granted.
fn first_token() -> FencingToken {
    FencingToken::NONE.successor(FencingToken::NONE.holder)
}
