//! Deliberate faults, as in mutation testing: each mutation has to be detected by a verification.
//!
//! Mutations apply around the lease engine and never inside it: to its configuration, to the messages that it
//! receives, to the acts of holders, or to the checks of the resource.

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
    /// The engines assume that all clocks run at the same rate.
    ClockDriftIgnored,
    /// A single vote grants a lease: each front is the only voter of its electorate.
    MinorityGrants,
    /// Odd-numbered fronts have a new electorate, without a joint generation between the old and the new one.
    ElectorateSwitchedAtOnce,
    /// The resource does not check tokens.
    TokenNotChecked,
    /// All holders have the same token.
    TokenNotRaised,
    /// The withdrawal of a vote also cancels promises of later rounds.
    WithdrawalOutOfOrder,
    /// A vote that was granted in an earlier round counts in the current one.
    LateGrantCounted,
    /// A voter's promise lasts for half of the requested duration.
    PromiseCutShort,
    /// A restarted front has the same incarnation as before.
    IncarnationsConfused,
    /// The holder counts the lease duration from the voters' answers instead of from its request.
    CountedFromAnswer,
    /// A holder's clock can be set back.
    ClockSetBack,
    /// One voter's grant counts as a grant of each of fronts 0, 1 and 2 too.
    VoteCountedTwice,
    /// A holder still acts after it released its lease.
    ActsAfterRelease,
    /// A promise is sent before it is persisted.
    SentBeforePersisted,
}

/// A message and its sender, as an engine receives them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Delivery {
    /// The sender that the message claims.
    pub sender: MemberId,
    /// The message as received.
    pub message: Message,
}

/// Passes configuration, messages and acts between an engine and its environment, and applies at most one mutation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct FaultyProxy {
    mutation: Option<Mutation>,
}

impl FaultyProxy {
    /// Creates a proxy. Without a mutation it changes nothing.
    pub fn new(mutation: Option<Mutation>) -> FaultyProxy {
        FaultyProxy { mutation }
    }

    fn has(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    /// The lease configuration of a front.
    pub fn lease_config(&self, config: LeaseConfig) -> LeaseConfig {
        if self.has(Mutation::ClockDriftIgnored) {
            LeaseConfig { clock_drift_ppm: 0, ..config }
        } else {
            config
        }
    }

    /// The electorate that a front uses.
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

    /// The incarnation that a front takes for its own.
    pub fn incarnation(&self, incarnation: u32) -> u32 {
        if self.has(Mutation::IncarnationsConfused) { 1 } else { incarnation }
    }

    /// The state that a restarting voter reads instead of the one that it persisted; none if the mutation leaves it
    /// alone.
    pub fn persisted_state(&self) -> Option<PersistedState> {
        self.has(Mutation::AbstentionSkipped).then(PersistedState::default)
    }

    /// Delay that is added to the time at which an engine processes its timers, and so to the start of a lease.
    pub fn processing_delay(&self, config: &LeaseConfig) -> Span {
        if self.has(Mutation::CountedFromAnswer) { config.vote_timeout } else { Span::ZERO }
    }

    /// The messages that a recipient receives for one that was sent; `last_round` is the recipient's latest vote
    /// round.
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

    /// Whether the resource checks tokens.
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
