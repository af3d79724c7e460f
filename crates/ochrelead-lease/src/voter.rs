//! A voter and its promises. A task is promised to one candidate at a time, for a duration on the voter's own clock.

use std::collections::BTreeMap;

use ochrelead_core::time::{Moment, Span};
use ochrelead_gossip::MemberId;

use crate::config::LeaseConfig;
use crate::message::{Message, Refusal, RefusalReason, VoteRequest};
use crate::persistence::{PersistedPromise, PersistedState, PersistedVote};
use crate::token::{FencingToken, TaskId};

/// How many tasks a voter remembers the highest token of.
const MAX_TASKS: usize = 256;

/// A voter's promise not to grant the task to another candidate before it expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Promise {
    /// The candidate that the task is promised to.
    pub candidate: MemberId,
    /// The vote round in which it was promised.
    pub round: u64,
    /// When the promise ends, by the voter's clock.
    pub expires_at: Moment,
}

/// The last rounds of a candidate that it withdrew. Requests of these rounds may still be in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Withdrawal {
    candidate: MemberId,
    round: u64,
}

/// What a voter remembers of one task.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Vote {
    promise: Option<Promise>,
    /// The highest token that was promised here or heard of.
    highest_token: FencingToken,
    withdrawn: Option<Withdrawal>,
    /// The first candidate that was refused because of the promise. It is told when the promise ends early.
    first_refused: Option<MemberId>,
}

impl Vote {
    fn new(promise: Option<Promise>, highest_token: FencingToken) -> Vote {
        Vote { promise, highest_token, withdrawn: None, first_refused: None }
    }

    /// Whether no promise of this vote still runs.
    fn is_free(&self, now: Moment) -> bool {
        self.promise.is_none_or(|promise| promise.expires_at <= now)
    }

    /// A refusal that lasts as long as a promise.
    fn refuse_for(&self, promise: Promise, now: Moment) -> Refusal {
        Refusal {
            reason: RefusalReason::PromisedTo(promise.candidate),
            highest_token: self.highest_token,
            remaining: promise.expires_at.since(now),
        }
    }
}

/// What becomes of a vote request.
enum Verdict {
    Granted,
    /// Granted before: the request is a duplicate.
    AlreadyGranted,
    Refused(Refusal),
    /// The request is outdated; nobody waits for an answer.
    Ignored,
}

/// A front's part as a voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    votes: BTreeMap<TaskId, Vote>,
    /// No promise is made before.
    abstains_until: Moment,
    /// The highest generation of an electorate in which a promise was made.
    promised_generation: u32,
    /// The generation of this front's own electorate.
    generation: u32,
}

impl Voter {
    /// A voter without persisted state: it abstains until no promise that it may have made can still run.
    pub fn new(config: &LeaseConfig, generation: u32, now: Moment) -> Voter {
        Voter {
            votes: BTreeMap::new(),
            abstains_until: now + config.abstention(),
            promised_generation: generation,
            generation,
        }
    }

    /// A voter that has persisted its promises and votes at once. It cannot know for how long it was down, so all
    /// promises run for a whole duration from now.
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
            promised_generation: generation.max(state.generation),
            generation,
        }
    }

    /// What has to be on disk before a promise is sent.
    pub fn persisted_state(&self) -> PersistedState {
        let persist = |(task, vote): (&TaskId, &Vote)| PersistedVote {
            task: *task,
            promise: vote
                .promise
                .map(|Promise { candidate, round, .. }| PersistedPromise { candidate, round }),
            highest_token: vote.highest_token,
        };
        PersistedState {
            generation: self.promised_generation,
            votes: self.votes.iter().map(persist).collect(),
        }
    }

    /// Until when this voter makes no promises; `None` where it votes.
    pub fn abstaining_until(&self, now: Moment) -> Option<Moment> {
        (now < self.abstains_until).then_some(self.abstains_until)
    }

    /// The promise on a task that is in force.
    pub fn promise(&self, task: TaskId, now: Moment) -> Option<Promise> {
        self.votes.get(&task)?.promise.filter(|promise| now < promise.expires_at)
    }

    /// The highest token known of each task.
    pub fn tokens(&self) -> impl Iterator<Item = (TaskId, FencingToken)> {
        let tokens = self.votes.iter().map(|(task, vote)| (*task, vote.highest_token));
        tokens.filter(|(_, token)| *token > FencingToken::NONE)
    }

    /// The highest token known of a task.
    pub fn highest_token(&self, task: TaskId) -> FencingToken {
        self.votes.get(&task).map_or(FencingToken::NONE, |vote| vote.highest_token)
    }

    /// Remembers a token, from whatever source.
    pub fn observe_token(&mut self, task: TaskId, token: FencingToken, now: Moment) {
        if let Some(vote) = self.vote_mut(task, now) {
            vote.highest_token = vote.highest_token.max(token);
        }
    }

    /// The vote on a task. Where the table is full, a new one replaces the vote without a running promise that has the
    /// lowest token; `None` where all promises still run.
    fn vote_mut(&mut self, task: TaskId, now: Moment) -> Option<&mut Vote> {
        if !self.votes.contains_key(&task) && self.votes.len() >= MAX_TASKS {
            let free = self.votes.iter().filter(|(_, vote)| vote.is_free(now));
            let lowest = *free.min_by_key(|(_, vote)| vote.highest_token)?.0;
            self.votes.remove(&lowest);
        }
        Some(self.votes.entry(task).or_insert_with(|| Vote::new(None, FencingToken::NONE)))
    }

    /// Answers a vote request; `None` where it is outdated.
    pub fn on_vote_request(
        &mut self,
        now: Moment,
        config: &LeaseConfig,
        candidate: MemberId,
        request: &VoteRequest,
    ) -> Option<Message> {
        let VoteRequest { task, round, .. } = *request;
        match self.decide(now, config, candidate, request) {
            Verdict::Granted | Verdict::AlreadyGranted => Some(Message::VoteGranted { task, round }),
            Verdict::Refused(refusal) => Some(Message::VoteRefused { task, round, refusal }),
            Verdict::Ignored => None,
        }
    }

    fn decide(
        &mut self,
        now: Moment,
        config: &LeaseConfig,
        candidate: MemberId,
        request: &VoteRequest,
    ) -> Verdict {
        let refused = |reason| {
            let (highest_token, remaining) = (FencingToken::NONE, config.duration);
            Verdict::Refused(Refusal { reason, highest_token, remaining })
        };
        // Only neighbouring generations share a voter in all majorities.
        let max_generation = self.generation.saturating_add(1);
        if request.generation < self.promised_generation || request.generation > max_generation {
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
            return Verdict::Refused(Refusal { reason, highest_token: vote.highest_token, remaining });
        }
        let verdict = vote.decide(now, candidate, request);
        if matches!(verdict, Verdict::Granted) {
            self.promised_generation = request.generation;
        }
        verdict
    }

    /// A candidate needs no promise of this round and of earlier ones. Returns who waits for the task, where that has
    /// ended a promise.
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
    fn decide(&mut self, now: Moment, candidate: MemberId, request: &VoteRequest) -> Verdict {
        let VoteRequest { round, token, .. } = *request;
        let is_withdrawn =
            |withdrawn: Withdrawal| withdrawn.candidate == candidate && round <= withdrawn.round;
        if self.withdrawn.is_some_and(is_withdrawn) {
            return Verdict::Ignored;
        }
        if let Some(promise) = self.promise.filter(|promise| now < promise.expires_at) {
            if promise.candidate != candidate {
                self.first_refused = self.first_refused.or(Some(candidate));
                return Verdict::Refused(self.refuse_for(promise, now));
            }
            if round < promise.round {
                return Verdict::Ignored;
            }
            if round == promise.round {
                // The answer may have been lost. The promise runs from the first request.
                return Verdict::AlreadyGranted;
            }
            if !request.is_renewal {
                // The candidate does not hold what it was promised, perhaps because it hears nobody. When the promise
                // is over, others have their chance.
                return Verdict::Refused(self.refuse_for(promise, now));
            }
        }
        // Only the holder itself may ask with the same token again.
        if token < self.highest_token {
            let (reason, highest_token) = (RefusalReason::StaleToken, self.highest_token);
            return Verdict::Refused(Refusal { reason, highest_token, remaining: Span::ZERO });
        }
        self.highest_token = token;
        self.first_refused = self.first_refused.filter(|first| *first != candidate);
        self.promise = Some(Promise { candidate, round, expires_at: now + request.duration });
        Verdict::Granted
    }
}
