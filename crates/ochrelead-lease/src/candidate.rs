//! One front's candidacy for one task: back-off, vote rounds, holding, renewal and release of the lease.

use std::collections::BTreeSet;

use ochrelead_core::time::{Moment, Span};
use ochrelead_gossip::MemberId;

use crate::config::LeaseConfig;
use crate::electorate::Electorate;
use crate::lease::{Lease, Permit};
use crate::message::{Refusal, RefusalReason};
use crate::token::FencingToken;

/// The limit of the exponential back-off, `(2^n - 1) * duration` after n consecutive rounds that no other front
/// answered. Promises whose grants do not reach the candidate only keep the task from other candidates.
const MAX_BACKOFF_EXPONENT: u32 = 3;

/// The time, electorate and durations that a candidate's decisions depend on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Context<'a> {
    pub(crate) now: Moment,
    pub(crate) electorate: &'a Electorate,
    pub(crate) config: &'a LeaseConfig,
}

/// A round of vote requests that is still collecting votes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct VoteRound {
    number: u64,
    started_at: Moment,
    granted_by: BTreeSet<u32>,
    refused_by: BTreeSet<u32>,
    /// The longest remaining time that a refusal in this round reported.
    max_remaining: Span,
}

/// A message to all voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Broadcast {
    VoteRequest { round: u64, token: FencingToken, is_renewal: bool },
    VoteWithdrawn { round: u64 },
}

/// A front's candidacy for one task.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Candidate {
    local: MemberId,
    /// How many candidates have precedence over this front; `None` if it is not a candidate.
    rank: Option<u32>,
    vote_round: Option<VoteRound>,
    lease: Option<Lease>,
    /// No vote round starts before this time.
    backoff_until: Moment,
    /// The highest known token of the task.
    highest_token: FencingToken,
    /// The reason of the last refusal since the lease was last granted.
    last_refusal: Option<RefusalReason>,
    /// The token requested in the open round, or else in the last one.
    token: FencingToken,
    /// The number of this candidate's last round.
    last_round: u64,
    /// When a round last failed; [`Moment::START`] if none has failed.
    failed_at: Moment,
    /// The number of consecutive rounds that no other front answered, at most [`MAX_BACKOFF_EXPONENT`].
    unanswered_rounds: u32,
}

impl Candidate {
    pub(crate) fn new(local: MemberId, highest_token: FencingToken, now: Moment) -> Candidate {
        Candidate {
            local,
            rank: None,
            vote_round: None,
            lease: None,
            backoff_until: now,
            highest_token,
            last_refusal: None,
            token: FencingToken::NONE,
            last_round: 0,
            failed_at: Moment::START,
            unanswered_rounds: 0,
        }
    }

    /// Whether this front is a candidate for the task.
    pub(crate) fn is_active(&self) -> bool {
        self.rank.is_some()
    }

    pub(crate) fn highest_token(&self) -> FencingToken {
        self.highest_token
    }

    pub(crate) fn last_refusal(&self) -> Option<RefusalReason> {
        self.last_refusal
    }

    /// Raises the highest known token to `token` if that is higher.
    pub(crate) fn observe_token(&mut self, token: FencingToken) {
        self.highest_token = self.highest_token.max(token);
    }

    /// Starts or continues the candidacy with `rank` candidates before this one; `None` ends it and releases the
    /// lease. A new candidate waits for `rank` vote timeouts before its first round.
    pub(crate) fn set_rank(
        &mut self,
        rank: Option<u32>,
        config: &LeaseConfig,
        now: Moment,
    ) -> Option<Broadcast> {
        if let Some(rank) = rank
            && self.rank.is_none()
        {
            self.backoff_until = self.backoff_until.max(now + config.vote_timeout * u64::from(rank));
        }
        self.rank = rank;
        if rank.is_none() { self.release(now) } else { None }
    }

    /// The lease, if it has not expired.
    pub(crate) fn lease(&self, now: Moment) -> Option<&Lease> {
        self.lease.as_ref().filter(|lease| now < lease.expires_at)
    }

    /// A permit under the lease, if it has not expired.
    pub(crate) fn permit(&self, now: Moment) -> Option<Permit> {
        let lease = self.lease(now)?;
        Some(Permit { token: lease.token, expires_at: lease.expires_at })
    }

    /// Gives up the lease and the open round. If the lease was valid or a round was open, returns the withdrawal on
    /// which voters end their promises early.
    fn release(&mut self, now: Moment) -> Option<Broadcast> {
        let was_held = self.lease.take().is_some_and(|lease| now < lease.expires_at);
        let was_requested = self.vote_round.take().is_some();
        (was_held || was_requested).then_some(Broadcast::VoteWithdrawn { round: self.last_round })
    }

    /// An operation was refused because the resource had seen the token `highest`; a lease with a lower token is
    /// released.
    pub(crate) fn on_fenced(&mut self, highest: FencingToken, now: Moment) -> Option<Broadcast> {
        self.observe_token(highest);
        let is_stale = self.lease.as_ref().is_some_and(|lease| lease.token < highest);
        if is_stale { self.release(now) } else { None }
    }

    /// The open round, if it has this number.
    fn open_round(&mut self, number: u64) -> Option<&mut VoteRound> {
        self.vote_round.as_mut().filter(|round| round.number == number)
    }

    pub(crate) fn on_vote_granted(&mut self, voter: u32, round: u64, context: Context<'_>) {
        let Some(round) = self.open_round(round) else { return };
        round.granted_by.insert(voter);
        if !context.electorate.is_majority(&round.granted_by) {
            return;
        }
        // Measured from the request: every promise started after it.
        let expires_at = round.started_at + context.config.holder_duration();
        self.vote_round = None;
        if context.now < expires_at {
            let token = self.token;
            let renewed = self.lease.as_ref().filter(|lease| lease.token == token);
            let acquired_at = renewed.map_or(context.now, |lease| lease.acquired_at);
            self.lease = Some(Lease { token, expires_at, acquired_at });
            self.observe_token(token);
            self.last_refusal = None;
        }
    }

    pub(crate) fn on_vote_refused(&mut self, voter: u32, round: u64, refusal: Refusal) {
        self.observe_token(refusal.highest_token);
        if let Some(round) = self.open_round(round) {
            round.refused_by.insert(voter);
            round.max_remaining = round.max_remaining.max(refusal.remaining);
            self.last_refusal = Some(refusal.reason);
        }
    }

    /// A voter's promise to another candidate ended early. A waiting candidate reduces its back-off to
    /// `(rank - 1) * vote_timeout / 4`, but not within `vote_timeout / 4` of its last failed round, so that these
    /// notifications do not raise the rate of requests.
    pub(crate) fn on_released(&mut self, now: Moment, config: &LeaseConfig) {
        let step = config.vote_timeout / 4;
        let is_idle = self.vote_round.is_none() && self.lease(now).is_none();
        if let Some(rank) = self.rank.filter(|_| is_idle && now.since(self.failed_at) >= step) {
            let delay = step * u64::from(rank.saturating_sub(1));
            self.backoff_until = self.backoff_until.min(now + delay);
        }
    }

    /// Drops an expired lease, ends a round that timed out or can no longer win, and starts a round that is due.
    /// `last_round` numbers the vote rounds of this front for all tasks; `draw_jitter(limit)` draws a random duration
    /// below `limit`.
    pub(crate) fn process(
        &mut self,
        context: Context<'_>,
        last_round: &mut u64,
        draw_jitter: impl FnOnce(Span) -> Span,
    ) -> Option<Broadcast> {
        if self.lease.as_ref().is_some_and(|lease| lease.expires_at <= context.now) {
            // A lease acquired after expiry is a new one, with a new token.
            self.lease = None;
            if self.vote_round.is_some() {
                return self.fail_round(context, draw_jitter);
            }
        }
        if let Some(round) = &self.vote_round {
            let is_open = context.electorate.can_reach_majority(&round.refused_by);
            if is_open && context.now.since(round.started_at) < context.config.vote_timeout {
                return None;
            }
            return self.fail_round(context, draw_jitter);
        }
        self.rank?;
        if context.now < self.next_round_at(context.config) {
            return None;
        }
        *last_round += 1;
        Some(self.start_round(*last_round, context.now))
    }

    fn start_round(&mut self, number: u64, now: Moment) -> Broadcast {
        self.token = match &self.lease {
            Some(lease) => lease.token,
            None => self.highest_token.successor(self.local),
        };
        self.last_round = number;
        self.vote_round = Some(VoteRound {
            number,
            started_at: now,
            granted_by: BTreeSet::new(),
            refused_by: BTreeSet::new(),
            max_remaining: Span::ZERO,
        });
        Broadcast::VoteRequest { round: number, token: self.token, is_renewal: self.lease.is_some() }
    }

    /// When the next round may start. The holder renews its lease once half of its duration has passed.
    fn next_round_at(&self, config: &LeaseConfig) -> Moment {
        let renewal_at = self.lease.as_ref().map(|lease| {
            let half = config.holder_duration().micros() / 2;
            Moment::from_micros(lease.expires_at.micros().saturating_sub(half))
        });
        renewal_at.map_or(self.backoff_until, |renewal_at| renewal_at.max(self.backoff_until))
    }

    /// Ends the open round without a majority and backs off. A holder keeps the promises of the failed round and
    /// retries after at most a quarter of the jitter; any other candidate withdraws the round.
    fn fail_round(
        &mut self,
        context: Context<'_>,
        draw_jitter: impl FnOnce(Span) -> Span,
    ) -> Option<Broadcast> {
        let Context { now, config, .. } = context;
        let round = self.vote_round.take()?;
        self.failed_at = now;
        let local = self.local.front;
        let was_answered = round.granted_by.iter().chain(&round.refused_by).any(|front| *front != local);
        self.unanswered_rounds =
            if was_answered { 0 } else { (self.unanswered_rounds + 1).min(MAX_BACKOFF_EXPONENT) };
        let jitter = draw_jitter(config.jitter);
        if self.lease.is_some() {
            self.backoff_until = now + jitter / 4;
            return None;
        }
        self.backoff_until = now + self.backoff(&round, config) + jitter;
        Some(Broadcast::VoteWithdrawn { round: round.number })
    }

    /// The delay after a failed round, without jitter: `remaining + stagger + unanswered`.
    ///
    /// - `remaining` is the longest remaining time of the refusals, at most one lease duration. It is zero if voters
    ///   refused only because the token was too low; votes are then requested again at once.
    /// - `stagger` is `(rank - 1) * duration` if `remaining` is not zero; it limits the requests for a held task.
    /// - `unanswered` is `(2^n - 1) * duration` after n rounds without an answer from another front.
    fn backoff(&self, failed: &VoteRound, config: &LeaseConfig) -> Span {
        let remaining = failed.max_remaining.min(config.duration);
        let candidates_before = u64::from(self.rank.unwrap_or(0).saturating_sub(1));
        let stagger = if remaining > Span::ZERO { config.duration * candidates_before } else { Span::ZERO };
        let unanswered = config.duration * ((1 << self.unanswered_rounds) - 1);
        remaining + stagger + unanswered
    }

    /// When [`Candidate::process`] is next due.
    pub(crate) fn poll_timeout(&self, electorate: &Electorate, config: &LeaseConfig) -> Option<Moment> {
        let expires_at = self.lease.as_ref().map(|lease| lease.expires_at);
        let next = match &self.vote_round {
            Some(round) if !electorate.can_reach_majority(&round.refused_by) => Some(round.started_at),
            Some(round) => Some(round.started_at + config.vote_timeout),
            None => self.rank.map(|_| self.next_round_at(config)),
        };
        [expires_at, next].into_iter().flatten().min()
    }
}
