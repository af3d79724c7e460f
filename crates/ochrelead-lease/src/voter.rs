//! A voter and its promises. A voter promises each task to at most one candidate at a time, for a duration measured on
//! the voter's clock.

use std::collections::BTreeMap;

use ochrelead_core::time::{Moment, Span};
use ochrelead_gossip::MemberId;

use crate::config::LeaseConfig;
use crate::message::{Message, Refusal, RefusalReason, VoteRequest};
use crate::persistence::{PersistedPromise, PersistedState, PersistedVote};
use crate::token::{FencingToken, TaskId};

/// The maximum number of tasks whose votes a voter stores.
const MAX_TASKS: usize = 256;

/// A voter's promise not to grant the task to another candidate before it expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Promise {
    /// The candidate that the task is promised to.
    pub candidate: MemberId,
    /// The vote round in which it was promised.
    pub round: u64,
    /// When the promise expires, by the voter's clock.
    pub expires_at: Moment,
}

/// The withdrawal of all rounds of a candidate up to `round`. Requests of these rounds may still be in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Withdrawal {
    candidate: MemberId,
    round: u64,
}

/// The state of a voter for one task.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Vote {
    promise: Option<Promise>,
    /// The highest token that this voter promised or learned from others.
    highest_token: FencingToken,
    withdrawn: Option<Withdrawal>,
    /// The first candidate refused because of the promise; it is notified if the promise ends early.
    first_refused: Option<MemberId>,
}

impl Vote {
    fn new(promise: Option<Promise>, highest_token: FencingToken) -> Vote {
        Vote { promise, highest_token, withdrawn: None, first_refused: None }
    }

    /// Whether there is no unexpired promise.
    fn is_free(&self, now: Moment) -> bool {
        self.promise.is_none_or(|promise| promise.expires_at <= now)
    }

    /// A refusal until `promise` expires.
    fn refusal_until_expiry_of(&self, promise: Promise, now: Moment) -> Refusal {
        Refusal {
            reason: RefusalReason::PromisedTo(promise.candidate),
            highest_token: self.highest_token,
            remaining: promise.expires_at.since(now),
        }
    }
}

/// A voter's decision on a vote request.
enum Decision {
    Granted,
    /// The request is a duplicate of one that was granted.
    AlreadyGranted,
    Refused(Refusal),
    /// The request is outdated, and its candidate no longer waits for an answer.
    Ignored,
}

/// The state machine of a front as a voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    votes: BTreeMap<TaskId, Vote>,
    /// The voter makes no promises before this time.
    abstains_until: Moment,
    /// Requests of lower generations are refused: the highest of this front's generation at its start and of the
    /// generations in which the voter made a promise.
    min_generation: u32,
    /// The generation of this front's electorate.
    generation: u32,
}

impl Voter {
    /// A voter without persisted state. It abstains until every promise that its previous incarnation may have made
    /// has expired.
    pub fn new(config: &LeaseConfig, generation: u32, now: Moment) -> Voter {
        Voter {
            votes: BTreeMap::new(),
            abstains_until: now + config.abstention(),
            min_generation: generation,
            generation,
        }
    }

    /// A voter restored from persisted promises, which votes at once. The length of its downtime is unknown, so each
    /// restored promise runs for a full lease duration from `now`.
    pub fn restored(state: &PersistedState, config: &LeaseConfig, generation: u32, now: Moment) -> Voter {
        let expires_at = now + config.duration;
        let restore = |vote: &PersistedVote| {
            let promise = vote.promise.map(|PersistedPromise { candidate, round }| Promise {
                candidate,
                round,
                expires_at,
            });
            (vote.task, Vote::new(promise, vote.highest_token))
        };
        Voter {
            votes: state.votes.iter().map(restore).collect(),
            abstains_until: now,
            min_generation: generation.max(state.generation),
            generation,
        }
    }

    /// The state that must be on disk before a promise is sent.
    pub fn persisted_state(&self) -> PersistedState {
        let persist = |(task, vote): (&TaskId, &Vote)| PersistedVote {
            task: *task,
            promise: vote
                .promise
                .map(|Promise { candidate, round, .. }| PersistedPromise { candidate, round }),
            highest_token: vote.highest_token,
        };
        PersistedState { generation: self.min_generation, votes: self.votes.iter().map(persist).collect() }
    }

    /// Until when this voter abstains; `None` if it votes.
    pub fn abstaining_until(&self, now: Moment) -> Option<Moment> {
        (now < self.abstains_until).then_some(self.abstains_until)
    }

    /// The unexpired promise of a task.
    pub fn promise(&self, task: TaskId, now: Moment) -> Option<Promise> {
        self.votes.get(&task)?.promise.filter(|promise| now < promise.expires_at)
    }

    /// The highest known token of each task that has one.
    pub fn tokens(&self) -> impl Iterator<Item = (TaskId, FencingToken)> {
        let tokens = self.votes.iter().map(|(task, vote)| (*task, vote.highest_token));
        tokens.filter(|(_, token)| *token > FencingToken::NONE)
    }

    /// The highest known token of a task, [`FencingToken::NONE`] if there is none.
    pub fn highest_token(&self, task: TaskId) -> FencingToken {
        self.votes.get(&task).map_or(FencingToken::NONE, |vote| vote.highest_token)
    }

    /// Raises the highest known token of a task to `token` if that is higher.
    pub fn observe_token(&mut self, task: TaskId, token: FencingToken, now: Moment) {
        if let Some(vote) = self.vote_mut(task, now) {
            vote.highest_token = vote.highest_token.max(token);
        }
    }

    /// The vote of a task, inserted if it is missing. If the table is full, the new entry replaces the one with the
    /// lowest token among those without an unexpired promise; `None` if every entry has such a promise.
    fn vote_mut(&mut self, task: TaskId, now: Moment) -> Option<&mut Vote> {
        if !self.votes.contains_key(&task) && self.votes.len() >= MAX_TASKS {
            let free = self.votes.iter().filter(|(_, vote)| vote.is_free(now));
            let lowest = *free.min_by_key(|(_, vote)| vote.highest_token)?.0;
            self.votes.remove(&lowest);
        }
        Some(self.votes.entry(task).or_insert_with(|| Vote::new(None, FencingToken::NONE)))
    }

    /// Decides on a vote request and returns the answer; `None` if the request is outdated.
    pub fn on_vote_request(
        &mut self,
        now: Moment,
        config: &LeaseConfig,
        candidate: MemberId,
        request: &VoteRequest,
    ) -> Option<Message> {
        let VoteRequest { task, round, .. } = *request;
        match self.decide(now, config, candidate, request) {
            Decision::Granted | Decision::AlreadyGranted => Some(Message::VoteGranted { task, round }),
            Decision::Refused(refusal) => Some(Message::VoteRefused { task, round, refusal }),
            Decision::Ignored => None,
        }
    }

    fn decide(
        &mut self,
        now: Moment,
        config: &LeaseConfig,
        candidate: MemberId,
        request: &VoteRequest,
    ) -> Decision {
        let refused = |reason| {
            let (highest_token, remaining) = (FencingToken::NONE, config.duration);
            Decision::Refused(Refusal { reason, highest_token, remaining })
        };
        // Any two majorities share a voter only if their generations are equal or adjacent.
        let max_generation = self.generation.saturating_add(1);
        if request.generation < self.min_generation || request.generation > max_generation {
            return refused(RefusalReason::GenerationMismatch);
        }
        if request.duration > config.duration {
            return refused(RefusalReason::DurationTooLong);
        }
        let abstaining_until = self.abstaining_until(now);
        let Some(vote) = self.vote_mut(request.task, now) else {
            return refused(RefusalReason::Abstaining);
        };
        if let Some(until) = abstaining_until {
            let (reason, remaining) = (RefusalReason::Abstaining, until.since(now));
            return Decision::Refused(Refusal { reason, highest_token: vote.highest_token, remaining });
        }
        let decision = vote.decide(now, candidate, request);
        if matches!(decision, Decision::Granted) {
            self.min_generation = request.generation;
        }
        decision
    }

    /// A candidate withdraws its requests up to `round`. If that ends a promise, returns the first candidate that was
    /// refused because of it.
    pub fn on_vote_withdrawn(&mut self, candidate: MemberId, task: TaskId, round: u64) -> Option<MemberId> {
        let vote = self.votes.get_mut(&task)?;
        vote.withdrawn = Some(Withdrawal { candidate, round });
        if vote.promise.is_some_and(|promise| promise.candidate == candidate && promise.round <= round) {
            vote.promise = None;
            return vote.first_refused.take();
        }
        None
    }
}

impl Vote {
    fn decide(&mut self, now: Moment, candidate: MemberId, request: &VoteRequest) -> Decision {
        let VoteRequest { round, token, .. } = *request;
        let is_withdrawn =
            |withdrawn: Withdrawal| withdrawn.candidate == candidate && round <= withdrawn.round;
        if self.withdrawn.is_some_and(is_withdrawn) {
            return Decision::Ignored;
        }
        if let Some(promise) = self.promise.filter(|promise| now < promise.expires_at) {
            if promise.candidate != candidate {
                self.first_refused = self.first_refused.or(Some(candidate));
                return Decision::Refused(self.refusal_until_expiry_of(promise, now));
            }
            if round < promise.round {
                return Decision::Ignored;
            }
            if round == promise.round {
                // The answer may have been lost. The duplicate does not extend the promise.
                return Decision::AlreadyGranted;
            }
            if !request.is_renewal {
                // The candidate has this promise but not the lease, for example because no answers reach it. The
                // promise is not extended, so that another candidate can obtain the task when it expires.
                return Decision::Refused(self.refusal_until_expiry_of(promise, now));
            }
        }
        // An equal token comes from the same candidate, because a token contains its holder.
        if token < self.highest_token {
            let (reason, highest_token) = (RefusalReason::StaleToken, self.highest_token);
            return Decision::Refused(Refusal { reason, highest_token, remaining: Span::ZERO });
        }
        self.highest_token = token;
        self.first_refused = self.first_refused.filter(|first| *first != candidate);
        self.promise = Some(Promise { candidate, round, expires_at: now + request.duration });
        Decision::Granted
    }
}
