//! The lease state machine of one front, as voter and candidate, without I/O.
//!
//! The host passes in received messages, sets the tasks for which this front is a candidate, requests a permit
//! directly before each operation under a lease, and sends the messages that [`Engine::poll_output`] returns.

use std::collections::{BTreeMap, VecDeque};
use std::hash::{Hash, Hasher};

use ochrelead_core::time::{Moment, Span};
use ochrelead_gossip::MemberId;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::candidate::{Broadcast, Candidate, Context};
use crate::config::LeaseConfig;
use crate::electorate::Electorate;
use crate::lease::{Lease, Permit};
use crate::message::{Message, RefusalReason, VoteRequest};
use crate::persistence::PersistedState;
use crate::token::{FencingToken, TaskId};
use crate::voter::Voter;

/// The maximum number of tasks for which one front is a candidate at the same time.
const MAX_CANDIDACIES: usize = 256;

/// The maximum number of broadcasts for a task in one call of [`Engine::process`]: a candidate that withdraws a failed
/// round may request votes again in the same call.
const MAX_BROADCASTS_PER_TASK: usize = 2;

/// The configuration of an [`Engine`].
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// This front in its current incarnation.
    pub local: MemberId,
    /// The voters.
    pub electorate: Electorate,
    /// The durations of leases and vote rounds.
    pub lease: LeaseConfig,
    /// The seed of the random back-off.
    pub seed: u64,
}

/// An unexpired promise of this voter, for the status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromiseStatus {
    /// The candidate that the task is promised to.
    pub candidate: MemberId,
    /// The time until the promise expires.
    pub remaining: Span,
}

/// The state of one task at this front, for the status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseStatus {
    /// The task.
    pub task: TaskId,
    /// Whether this front is a candidate for the task.
    pub is_candidate: bool,
    /// The lease, if this front holds it.
    pub lease: Option<Lease>,
    /// The unexpired promise, if this front is a voter and has made one.
    pub promise: Option<PromiseStatus>,
    /// The highest known token of the task.
    pub highest_token: FencingToken,
    /// The reason of the last refusal since the lease was last granted.
    pub last_refusal: Option<RefusalReason>,
}

/// A message to send.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Transmit {
    /// The number of the receiving front.
    pub recipient: u32,
    /// The message.
    pub message: Message,
}

/// The state machine of one front: a voter, if the electorate contains it, and a candidate for up to 256 tasks.
#[derive(Clone, Debug)]
pub struct Engine {
    local: MemberId,
    config: LeaseConfig,
    electorate: Electorate,
    voter: Option<Voter>,
    candidates: BTreeMap<TaskId, Candidate>,
    /// The number of the last vote round, counted over all tasks.
    last_round: u64,
    rng: Pcg64Mcg,
    /// When the other voters are next queried for their tokens; `None` unless this voter abstains.
    token_query_at: Option<Moment>,
    outbox: VecDeque<Transmit>,
    /// This front is leaving service and starts no candidacies.
    is_leaving: bool,
}

impl Engine {
    /// The state of a front at its start. `persisted` contains the promises of its previous incarnation, if they were
    /// stored on disk.
    pub fn new(config: EngineConfig, persisted: Option<&PersistedState>, now: Moment) -> Engine {
        let EngineConfig { local, electorate, lease: config, seed } = config;
        let generation = electorate.generation;
        let voter = electorate.is_voter(local.front).then(|| match persisted {
            Some(state) => Voter::restored(state, &config, generation, now),
            None => Voter::new(&config, generation, now),
        });
        let is_abstaining = voter.as_ref().is_some_and(|voter| voter.abstaining_until(now).is_some());
        Engine {
            local,
            config,
            electorate,
            voter,
            candidates: BTreeMap::new(),
            // The incarnation in the upper 32 bits keeps the round numbers of incarnations apart.
            last_round: u64::from(local.incarnation) << 32,
            rng: Pcg64Mcg::seed_from_u64(seed),
            token_query_at: is_abstaining.then_some(now),
            outbox: VecDeque::new(),
            is_leaving: false,
        }
    }

    /// This front in its current incarnation.
    pub fn local(&self) -> MemberId {
        self.local
    }

    /// The voters.
    pub fn electorate(&self) -> &Electorate {
        &self.electorate
    }

    /// The voter state of this front; `None` if it is not a voter.
    pub fn voter(&self) -> Option<&Voter> {
        self.voter.as_ref()
    }

    /// Handles a message from another front or from this front to itself.
    pub fn handle_input(&mut self, now: Moment, sender: MemberId, message: &Message) {
        match *message {
            Message::VoteRequest(request) => self.on_vote_request(now, sender, &request),
            Message::VoteWithdrawn { task, round } => self.on_vote_withdrawn(now, sender, task, round),
            Message::TokenQuery => self.on_token_query(now, sender),
            // All other messages are accepted from voters only.
            _ if !self.electorate.is_voter(sender.front) => {}
            Message::VoteGranted { task, round } => {
                let context = Context { now, electorate: &self.electorate, config: &self.config };
                if let Some(candidate) = self.candidates.get_mut(&task) {
                    candidate.on_vote_granted(sender.front, round, context);
                }
            }
            Message::VoteRefused { task, round, refusal } => {
                if let Some(candidate) = self.candidates.get_mut(&task) {
                    candidate.on_vote_refused(sender.front, round, refusal);
                }
            }
            Message::Released { task } => {
                if let Some(candidate) = self.candidates.get_mut(&task) {
                    candidate.on_released(now, &self.config);
                }
            }
            Message::TokenReport { task, token } => self.observe_token(now, task, token),
        }
    }

    fn on_vote_request(&mut self, now: Moment, sender: MemberId, request: &VoteRequest) {
        let Some(voter) = &mut self.voter else { return };
        if let Some(answer) = voter.on_vote_request(now, &self.config, sender, request) {
            self.send(now, sender.front, answer);
        }
    }

    fn on_vote_withdrawn(&mut self, now: Moment, sender: MemberId, task: TaskId, round: u64) {
        let Some(voter) = &mut self.voter else { return };
        if let Some(waiting) = voter.on_vote_withdrawn(sender, task, round) {
            self.send(now, waiting.front, Message::Released { task });
        }
    }

    fn on_token_query(&mut self, now: Moment, sender: MemberId) {
        let Some(voter) = &self.voter else { return };
        for (task, token) in voter.tokens().collect::<Vec<_>>() {
            self.send(now, sender.front, Message::TokenReport { task, token });
        }
    }

    /// Raises the highest known token of a task to `token` if that is higher.
    pub fn observe_token(&mut self, now: Moment, task: TaskId, token: FencingToken) {
        if let Some(voter) = &mut self.voter {
            voter.observe_token(task, token, now);
        }
        if let Some(candidate) = self.candidates.get_mut(&task) {
            candidate.observe_token(token);
        }
    }

    /// Makes this front a candidate for a task, with `rank` candidates before it; `None` ends the candidacy.
    pub fn set_candidacy(&mut self, now: Moment, task: TaskId, rank: Option<u32>) {
        let rank = rank.filter(|_| !self.is_leaving);
        if !self.candidates.contains_key(&task) {
            if rank.is_none() || self.candidates.len() >= MAX_CANDIDACIES {
                return;
            }
            let token = self.voter.as_ref().map_or(FencingToken::NONE, |voter| voter.highest_token(task));
            self.candidates.insert(task, Candidate::new(self.local, token, now));
        }
        let Some(candidate) = self.candidates.get_mut(&task) else { return };
        let broadcast = candidate.set_rank(rank, &self.config, now);
        self.broadcast(now, task, broadcast);
        self.drop_ended_candidacies();
    }

    /// Drops ended candidacies once the table is half full. Voters store everything that an ended candidacy knows.
    fn drop_ended_candidacies(&mut self) {
        if self.candidates.len() >= MAX_CANDIDACIES / 2 {
            self.candidates.retain(|_, candidate| candidate.is_active());
        }
    }

    /// Leaves service: releases all leases and ends all candidacies.
    pub fn leave(&mut self, now: Moment) {
        self.is_leaving = true;
        for task in self.candidates.keys().copied().collect::<Vec<_>>() {
            self.set_candidacy(now, task, None);
        }
    }

    /// The permit for an operation under the lease, `None` if this front does not hold it. The host requests a permit
    /// directly before each operation.
    pub fn permit(&self, now: Moment, task: TaskId) -> Option<Permit> {
        self.candidates.get(&task)?.permit(now)
    }

    /// A resource refused an operation of this front because it had seen the higher token `highest`. A lease with a
    /// lower token is released.
    pub fn on_fenced(&mut self, now: Moment, task: TaskId, highest: FencingToken) {
        self.observe_token(now, task, highest);
        let candidate = self.candidates.get_mut(&task);
        let broadcast = candidate.and_then(|candidate| candidate.on_fenced(highest, now));
        self.broadcast(now, task, broadcast);
    }

    /// Sends the token queries, withdrawals and vote requests that are due.
    pub fn process(&mut self, now: Moment) {
        self.query_tokens(now);
        for task in self.candidates.keys().copied().collect::<Vec<_>>() {
            for _ in 0..MAX_BROADCASTS_PER_TASK {
                let broadcast = self.process_candidate(now, task);
                if broadcast.is_none() {
                    break;
                }
                self.broadcast(now, task, broadcast);
            }
        }
    }

    /// Queries the other voters for their tokens, once per vote timeout while this voter abstains.
    fn query_tokens(&mut self, now: Moment) {
        if self.token_query_at.is_none_or(|query_at| now < query_at) {
            return;
        }
        let is_abstaining = self.voter.as_ref().is_some_and(|voter| voter.abstaining_until(now).is_some());
        self.token_query_at = is_abstaining.then(|| now + self.config.vote_timeout);
        if is_abstaining {
            let other_voters =
                self.electorate.voters().into_iter().filter(|front| *front != self.local.front);
            let query = |recipient| Transmit { recipient, message: Message::TokenQuery };
            self.outbox.extend(other_voters.map(query));
        }
    }

    fn process_candidate(&mut self, now: Moment, task: TaskId) -> Option<Broadcast> {
        let context = Context { now, electorate: &self.electorate, config: &self.config };
        let rng = &mut self.rng;
        let draw_jitter = |limit: Span| match limit.micros() {
            0 => Span::ZERO,
            limit => Span::from_micros(rng.random_range(0..limit)),
        };
        self.candidates.get_mut(&task)?.process(context, &mut self.last_round, draw_jitter)
    }

    /// Sends a broadcast to all voters, this front included if it votes.
    fn broadcast(&mut self, now: Moment, task: TaskId, broadcast: Option<Broadcast>) {
        let message = match broadcast {
            None => return,
            Some(Broadcast::VoteRequest { round, token, is_renewal }) => Message::VoteRequest(VoteRequest {
                task,
                round,
                token,
                duration: self.config.duration,
                generation: self.electorate.generation,
                is_renewal,
            }),
            Some(Broadcast::VoteWithdrawn { round }) => Message::VoteWithdrawn { task, round },
        };
        for front in self.electorate.voters() {
            self.send(now, front, message.clone());
        }
    }

    /// Queues a message for another front; a message to this front is handled at once.
    fn send(&mut self, now: Moment, recipient: u32, message: Message) {
        if recipient == self.local.front {
            self.handle_input(now, self.local, &message);
        } else {
            self.outbox.push_back(Transmit { recipient, message });
        }
    }

    /// The next message to send.
    pub fn poll_output(&mut self) -> Option<Transmit> {
        self.outbox.pop_front()
    }

    /// When [`Engine::process`] is due if no message arrives before.
    pub fn poll_timeout(&self) -> Option<Moment> {
        let candidates = self.candidates.values();
        let timeouts = candidates.map(|candidate| candidate.poll_timeout(&self.electorate, &self.config));
        timeouts.chain([self.token_query_at]).flatten().min()
    }

    /// The state of each task for which this front is a candidate or, as a voter, knows a token.
    pub fn status(&self, now: Moment) -> Vec<LeaseStatus> {
        let voted = self.voter.iter().flat_map(|voter| voter.tokens().map(|(task, _)| task));
        let mut tasks: Vec<TaskId> = self.candidates.keys().copied().chain(voted).collect();
        tasks.sort_unstable();
        tasks.dedup();
        tasks.into_iter().map(|task| self.task_status(task, now)).collect()
    }

    fn task_status(&self, task: TaskId, now: Moment) -> LeaseStatus {
        let (candidate, voter) = (self.candidates.get(&task), self.voter.as_ref());
        let promise = voter.and_then(|voter| voter.promise(task, now));
        let voter_token = voter.map_or(FencingToken::NONE, |voter| voter.highest_token(task));
        let candidate_token = candidate.map_or(FencingToken::NONE, Candidate::highest_token);
        LeaseStatus {
            task,
            is_candidate: candidate.is_some_and(Candidate::is_active),
            lease: candidate.and_then(|candidate| candidate.lease(now).cloned()),
            promise: promise.map(|promise| PromiseStatus {
                candidate: promise.candidate,
                remaining: promise.expires_at.since(now),
            }),
            highest_token: voter_token.max(candidate_token),
            last_refusal: candidate.and_then(Candidate::last_refusal),
        }
    }

    /// Hashes all state that determines the behaviour of this engine, except the random generator of its back-off. Two
    /// engines with equal fingerprints behave alike, so the model checker identifies states by their fingerprints.
    pub fn fingerprint(&self, hasher: &mut impl Hasher) {
        let Engine { local, electorate, voter, candidates, last_round, token_query_at, .. } = self;
        (local, electorate, voter, candidates, last_round, token_query_at).hash(hasher);
        (&self.outbox, self.is_leaving).hash(hasher);
    }
}
