//! One front's part in all leases of its fleet, without I/O.
//!
//! The host hands in received messages, says which tasks this front is a candidate for, asks for a permit right before
//! each act, and sends what [`Engine::poll_output`] returns.

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

/// How many tasks one front is a candidate for at once.
const MAX_CANDIDACIES: usize = 256;

/// A candidate whose lease has expired may request votes again in the same call.
const STEPS_PER_CALL: usize = 2;

/// What an engine is made from.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// This front, in its present incarnation.
    pub local: MemberId,
    /// Who votes.
    pub electorate: Electorate,
    /// How leases run.
    pub lease: LeaseConfig,
    /// The seed of the random waits.
    pub seed: u64,
}

/// A promise that a voter has made, as shown in a status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromiseStatus {
    /// The candidate that the task is promised to.
    pub candidate: MemberId,
    /// How much longer the promise runs.
    pub remaining: Span,
}

/// The state of one task at this front, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseStatus {
    /// The task.
    pub task: TaskId,
    /// Whether this front wants to hold it.
    pub is_candidate: bool,
    /// The lease, where this front holds it.
    pub lease: Option<Lease>,
    /// As a voter: the promise in force.
    pub promise: Option<PromiseStatus>,
    /// The highest token known.
    pub highest_token: FencingToken,
    /// Why a vote was refused last, where the lease was not granted since.
    pub last_refusal: Option<RefusalReason>,
}

/// A message to send.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Transmit {
    /// The front that it goes to.
    pub recipient: u32,
    /// What is sent.
    pub message: Message,
}

/// The state machine of one front: a voter, where the electorate says so, and a candidate for any number of tasks.
#[derive(Clone, Debug)]
pub struct Engine {
    local: MemberId,
    config: LeaseConfig,
    electorate: Electorate,
    voter: Option<Voter>,
    candidates: BTreeMap<TaskId, Candidate>,
    /// The number of the last vote round.
    last_round: u64,
    rng: Pcg64Mcg,
    /// When the other voters are next asked for their tokens; only while this voter abstains.
    token_query_at: Option<Moment>,
    outbox: VecDeque<Transmit>,
    /// Leaving service: no more candidacies.
    is_leaving: bool,
}

impl Engine {
    /// A front's part from its start on; `persisted` where it has a disk with the promises of its last incarnation.
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
            // Rounds of another incarnation are never taken for this one's.
            last_round: u64::from(local.incarnation) << 32,
            rng: Pcg64Mcg::seed_from_u64(seed),
            token_query_at: is_abstaining.then_some(now),
            outbox: VecDeque::new(),
            is_leaving: false,
        }
    }

    /// This front, in its present incarnation.
    pub fn local(&self) -> MemberId {
        self.local
    }

    /// Who votes.
    pub fn electorate(&self) -> &Electorate {
        &self.electorate
    }

    /// This front's part as a voter, where it is one.
    pub fn voter(&self) -> Option<&Voter> {
        self.voter.as_ref()
    }

    /// Handles a message of another front, or of this one to itself.
    pub fn handle_input(&mut self, now: Moment, sender: MemberId, message: &Message) {
        match *message {
            Message::VoteRequest(request) => self.on_vote_request(now, sender, &request),
            Message::VoteWithdrawn { task, round } => self.on_vote_withdrawn(now, sender, task, round),
            Message::TokenQuery => self.on_token_query(now, sender),
            // The rest counts from voters only.
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

    /// Remembers a token, from whatever source.
    pub fn observe_token(&mut self, now: Moment, task: TaskId, token: FencingToken) {
        if let Some(voter) = &mut self.voter {
            voter.observe_token(task, token, now);
        }
        if let Some(candidate) = self.candidates.get_mut(&task) {
            candidate.observe_token(token);
        }
    }

    /// Makes this front a candidate for a task, behind `rank` others, or with `None` ends its candidacy.
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

    /// Bounds the table: an ended candidacy knows nothing that voters do not know.
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

    /// Whether this front may act now. To be asked right before each act.
    pub fn permit(&self, now: Moment, task: TaskId) -> Option<Permit> {
        self.candidates.get(&task)?.permit(now)
    }

    /// An act was refused by whoever was acted upon, because it had seen a higher token.
    pub fn on_fenced(&mut self, now: Moment, task: TaskId, highest: FencingToken) {
        self.observe_token(now, task, highest);
        let candidate = self.candidates.get_mut(&task);
        let broadcast = candidate.and_then(|candidate| candidate.on_fenced(highest, now));
        self.broadcast(now, task, broadcast);
    }

    /// Does all that is due.
    pub fn process(&mut self, now: Moment) {
        self.query_tokens(now);
        for task in self.candidates.keys().copied().collect::<Vec<_>>() {
            for _ in 0..STEPS_PER_CALL {
                let broadcast = self.process_candidate(now, task);
                if broadcast.is_none() {
                    break;
                }
                self.broadcast(now, task, broadcast);
            }
        }
    }

    /// While this voter abstains, it learns the others' tokens.
    fn query_tokens(&mut self, now: Moment) {
        if self.token_query_at.is_none_or(|query_at| now < query_at) {
            return;
        }
        let is_abstaining = self.voter.as_ref().is_some_and(|voter| voter.abstaining_until(now).is_some());
        self.token_query_at = is_abstaining.then(|| now + self.config.vote_timeout);
        if is_abstaining {
            let others = self.electorate.voters().into_iter().filter(|front| *front != self.local.front);
            let query = |recipient| Transmit { recipient, message: Message::TokenQuery };
            self.outbox.extend(others.map(query));
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

    /// To other fronts by way of the host, to itself at once.
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

    /// When [`Engine::process`] is due although no message came.
    pub fn poll_timeout(&self) -> Option<Moment> {
        let candidates = self.candidates.values();
        let timeouts = candidates.map(|candidate| candidate.poll_timeout(&self.electorate, &self.config));
        timeouts.chain([self.token_query_at]).flatten().min()
    }

    /// The state of each task that this front knows of.
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

    /// Hashes all state that the future of this engine depends on, except the random draws of its waits. Two engines
    /// with equal fingerprints go on alike; a model checker recognizes states by it.
    pub fn fingerprint(&self, hasher: &mut impl Hasher) {
        let Engine { local, electorate, voter, candidates, last_round, token_query_at, .. } = self;
        (local, electorate, voter, candidates, last_round, token_query_at).hash(hasher);
        (&self.outbox, self.is_leaving).hash(hasher);
    }
}
