//! Lease engines of several fronts on one clock, connected by a network with links that a test can cut.

use std::collections::{BTreeMap, BTreeSet};

use ochrelead_core::time::{Moment, Span};
use ochrelead_lease::electorate::Electorate;
use ochrelead_lease::engine::{Engine, EngineConfig, Transmit};
use ochrelead_lease::message::{Message, RefusalReason, VoteRequest};
use ochrelead_lease::{FencingToken, LeaseConfig, MemberId, TaskId};
use test_case::test_case;

const TASK: TaskId = TaskId(7);
const DURATION: Span = Span::from_millis(4_000);

fn moment(ms: u64) -> Moment {
    Moment::from_micros(1_000_000 + ms * 1_000)
}

const REQUEST: VoteRequest = VoteRequest {
    task: TASK,
    round: 9,
    token: FencingToken::NONE,
    duration: DURATION,
    generation: 1,
    is_renewal: false,
};

fn member(front: u32) -> MemberId {
    MemberId { front, incarnation: 1 }
}

fn token(counter: u64, front: u32) -> FencingToken {
    FencingToken { counter, holder: member(front) }
}

fn vote_request(request: VoteRequest) -> Message {
    Message::VoteRequest(request)
}

/// A sent message with its sender and recipient.
struct SentMessage {
    sender: MemberId,
    recipient: u32,
    message: Message,
}

/// Engines by front number, on one clock. Messages arrive without delay unless their link is cut.
struct Network {
    fronts: BTreeMap<u32, Engine>,
    electorate: Electorate,
    /// The time since the start of the test, in milliseconds.
    now_ms: u64,
    /// Links that lose all messages, as (sender, recipient).
    cut_links: Vec<(u32, u32)>,
    sent: Vec<SentMessage>,
}

impl Network {
    /// A network whose fronts have run for longer than voters abstain.
    fn new(fronts: u32, voters: usize) -> Network {
        let electorate = Electorate::evenly_spaced(1, fronts, voters);
        let mut net = Network {
            fronts: BTreeMap::new(),
            electorate,
            now_ms: 0,
            cut_links: Vec::new(),
            sent: Vec::new(),
        };
        (0..fronts).for_each(|front| net.start(front, 1));
        net.advance(5_000);
        net
    }

    fn config(&self, front: u32, incarnation: u32) -> EngineConfig {
        EngineConfig {
            local: MemberId { front, incarnation },
            electorate: self.electorate.clone(),
            lease: LeaseConfig::with_duration(DURATION),
            seed: 7,
        }
    }

    fn start(&mut self, front: u32, incarnation: u32) {
        let engine = Engine::new(self.config(front, incarnation), None, moment(self.now_ms));
        self.fronts.insert(front, engine);
    }

    /// Processes all engines and delivers their messages until none is left.
    fn deliver_all(&mut self) {
        loop {
            let mut sent = Vec::new();
            for engine in self.fronts.values_mut() {
                engine.process(moment(self.now_ms));
                while let Some(Transmit { recipient, message }) = engine.poll_output() {
                    sent.push(SentMessage { sender: engine.local(), recipient, message });
                }
            }
            if sent.is_empty() {
                return;
            }
            for SentMessage { sender, recipient, message } in &sent {
                if !self.cut_links.contains(&(sender.front, *recipient))
                    && let Some(engine) = self.fronts.get_mut(recipient)
                {
                    engine.handle_input(moment(self.now_ms), *sender, message);
                }
            }
            self.sent.extend(sent);
        }
    }

    /// Advances the clock in steps of 10 ms.
    fn advance(&mut self, ms: u64) {
        for _ in 0..ms / 10 {
            self.now_ms += 10;
            self.deliver_all();
        }
    }

    fn add_candidate(&mut self, front: u32, rank: u32) {
        self.fronts.get_mut(&front).unwrap().set_candidacy(moment(self.now_ms), TASK, Some(rank));
        self.deliver_all();
    }

    /// The front that has a permit, with its token. Asserts that there is at most one.
    fn holder(&self) -> Option<(u32, FencingToken)> {
        let permit_of = |(front, engine): (&u32, &Engine)| {
            Some((*front, engine.permit(moment(self.now_ms), TASK)?.token))
        };
        let holders: Vec<_> = self.fronts.iter().filter_map(permit_of).collect();
        assert!(holders.len() <= 1, "more than one holder: {holders:?}");
        holders.first().copied()
    }

    fn last_refusal(&self, front: u32) -> Option<RefusalReason> {
        let status = self.fronts[&front].status(moment(self.now_ms));
        status.iter().find(|status| status.task == TASK).and_then(|status| status.last_refusal)
    }

    /// Advances the clock until a front holds the lease, for less than `limit_ms`. Returns the elapsed time in ms.
    fn advance_until_held(&mut self, limit_ms: u64) -> u64 {
        let started_ms = self.now_ms;
        while self.holder().is_none() {
            assert!(self.now_ms - started_ms < limit_ms, "no front holds the lease after {limit_ms} ms");
            self.advance(10);
        }
        self.now_ms - started_ms
    }
}

#[test]
fn the_candidate_of_lower_rank_acquires_and_renews_the_lease() {
    let mut net = Network::new(7, 5);
    net.add_candidate(3, 0);
    net.add_candidate(4, 1);
    let (holder, token) = net.holder().unwrap();
    assert_eq!((holder, token.counter), (3, 1));
    net.advance(60_000);
    assert_eq!(net.holder(), Some((holder, token)), "the lease is renewed under the same token");
}

#[test_case(true, 50; "at once if the holder leaves")]
#[test_case(false, 6_000; "after its promises expire if the holder is killed")]
fn another_candidate_takes_over_with_a_higher_token(holder_leaves: bool, within_ms: u64) {
    let mut net = Network::new(7, 5);
    net.add_candidate(3, 0);
    let (_, first_token) = net.holder().unwrap();
    net.add_candidate(4, 1);
    net.advance(2_500);
    if holder_leaves {
        let now = moment(net.now_ms);
        net.fronts.get_mut(&3).unwrap().leave(now);
        assert_eq!(net.fronts[&3].permit(now, TASK), None, "no permit after leaving");
        net.deliver_all();
        assert!(net.advance_until_held(6_000) <= within_ms);
    } else {
        net.fronts.remove(&3);
        let took_ms = net.advance_until_held(within_ms);
        assert!(took_ms > 1_000, "taken over after {took_ms} ms, while the lease may still be held");
    }
    assert!(net.holder().unwrap().1 > first_token);
}

/// The lease of a holder that is cut off from the voters expires before they promise the task to another candidate.
#[test_case(&[(3, 0), (3, 1), (3, 2), (3, 4), (3, 5)]; "its requests are lost")]
#[test_case(&[(0, 3), (1, 3), (2, 3), (4, 3), (5, 3)]; "the answers are lost")]
fn a_holder_cut_off_from_the_voters_loses_the_lease_before_the_next_holder(cut_links: &[(u32, u32)]) {
    let mut net = Network::new(7, 5);
    net.add_candidate(3, 0);
    net.add_candidate(6, 1);
    net.cut_links = cut_links.to_vec();
    let mut last_holder = net.holder();
    for _ in 0..2_000 {
        net.advance(10);
        // `holder` asserts that there are never two holders.
        if let Some(holder) = net.holder() {
            last_holder = Some(holder);
        }
    }
    assert_eq!(last_holder.map(|(front, _)| front), Some(6));
}

#[test]
fn voters_that_restart_without_persisted_state_abstain() {
    let mut net = Network::new(7, 3);
    net.add_candidate(3, 0);
    for (incarnation, voter) in (2..).zip(net.electorate.voters()) {
        net.start(voter, incarnation);
    }
    net.fronts.remove(&3);
    net.add_candidate(5, 0);
    assert_eq!(net.last_refusal(5), Some(RefusalReason::Abstaining));
    assert!(net.advance_until_held(9_000) >= 3_900);
}

#[test]
fn tokens_increase_after_all_voters_lost_their_state() {
    let mut net = Network::new(7, 3);
    net.add_candidate(3, 0);
    net.fronts.get_mut(&3).unwrap().leave(moment(net.now_ms));
    net.add_candidate(6, 0);
    let (_, forgotten) = net.holder().unwrap();
    assert!(forgotten.counter >= 1);
    net.fronts.remove(&6);
    for voter in net.electorate.voters() {
        net.start(voter, 2);
    }
    net.add_candidate(5, 0);
    net.advance_until_held(9_000);
    let (_, lower) = net.holder().unwrap();
    // No voter knows the highest token. The resource does and refuses the holder, which then requests a higher one.
    assert!(lower < forgotten);
    net.fronts.get_mut(&5).unwrap().on_fenced(moment(net.now_ms), TASK, forgotten);
    assert_eq!(net.holder(), None, "no permit under a token that is too low");
    net.deliver_all();
    net.advance_until_held(2_000);
    assert!(net.holder().unwrap().1 > forgotten);
}

#[test]
fn a_voter_that_restarts_learns_the_tokens_from_other_voters() {
    let mut net = Network::new(7, 3);
    net.add_candidate(3, 0);
    let (_, token) = net.holder().unwrap();
    let voter = *net.electorate.voters().iter().next().unwrap();
    net.start(voter, 2);
    net.deliver_all();
    let known = net.fronts[&voter].voter().unwrap().tokens().next();
    assert_eq!(known, Some((TASK, token)));
}

#[test]
fn a_voter_restored_from_persisted_state_votes_at_once_and_keeps_its_promises() {
    let mut net = Network::new(7, 3);
    net.add_candidate(3, 0);
    let voter = *net.electorate.voters().iter().next().unwrap();
    let persisted = net.fronts[&voter].voter().unwrap().persisted_state();
    let now = moment(net.now_ms);
    let restarted = Engine::new(net.config(voter, 2), Some(&persisted), now);
    let restored = restarted.voter().unwrap();
    assert_eq!(
        (restored.abstaining_until(now), restored.promise(TASK, now).map(|promise| promise.candidate.front)),
        (None, Some(3))
    );
}

#[test_case(|round| Message::VoteWithdrawn { task: TASK, round: round - 1 }; "a withdrawal of an earlier round")]
#[test_case(|round| vote_request(VoteRequest { round: round - 1, ..REQUEST }); "a request of an earlier round")]
#[test_case(|round| vote_request(VoteRequest { round, ..REQUEST }); "a duplicate of the last request")]
fn a_late_or_duplicate_message_changes_no_promise(message_of: fn(u64) -> Message) {
    let mut net = Network::new(7, 3);
    net.add_candidate(3, 0);
    net.advance(2_500);
    let last_round = net.sent.iter().rev().find_map(|sent| match sent.message {
        Message::VoteRequest(request) => Some(request.round),
        _ => None,
    });
    let voter = *net.electorate.voters().iter().next().unwrap();
    let now = moment(net.now_ms);
    let engine = net.fronts.get_mut(&voter).unwrap();
    let before = engine.voter().unwrap().promise(TASK, now);
    engine.handle_input(now, member(3), &message_of(last_round.unwrap()));
    assert_eq!(net.fronts[&voter].voter().unwrap().promise(TASK, now), before);
}

#[test_case(VoteRequest { token: token(9, 9), duration: Span::from_secs(3_600), ..REQUEST }, RefusalReason::DurationTooLong; "for an hour")]
#[test_case(VoteRequest { token: token(9, 9), generation: 0, ..REQUEST }, RefusalReason::GenerationMismatch; "of an earlier electorate")]
#[test_case(REQUEST, RefusalReason::StaleToken; "with a lower token")]
fn a_voter_refuses_a_request(request: VoteRequest, expected: RefusalReason) {
    let mut net = Network::new(7, 3);
    net.add_candidate(3, 0);
    net.fronts.get_mut(&3).unwrap().leave(moment(net.now_ms));
    net.deliver_all();
    let voter = *net.electorate.voters().iter().next().unwrap();
    let engine = net.fronts.get_mut(&voter).unwrap();
    engine.handle_input(moment(net.now_ms), member(6), &Message::VoteRequest(request));
    let Some(Transmit { recipient: 6, message: Message::VoteRefused { refusal, .. } }) = engine.poll_output()
    else {
        panic!("the voter did not refuse the request")
    };
    assert_eq!(refusal.reason, expected);
}

/// A message of a faulty peer neither keeps candidates from the lease nor causes an overflow.
#[test_case(&vote_request(VoteRequest { token: token(1, 6), generation: u32::MAX, ..REQUEST }); "a generation far ahead")]
#[test_case(&Message::TokenReport { task: TASK, token: token(u64::MAX, 6) }; "the maximum counter, from a front that is no voter")]
fn a_faulty_message_does_not_block_candidates(faulty: &Message) {
    let mut net = Network::new(7, 3);
    let now = moment(net.now_ms);
    for engine in net.fronts.values_mut() {
        engine.handle_input(now, member(6), faulty);
    }
    net.advance(5_000);
    net.add_candidate(3, 0);
    net.advance_until_held(2_000);
}

#[test]
fn an_empty_electorate_has_no_majority_and_the_token_counter_saturates() {
    assert!(!Electorate::new(1, &[]).is_majority(&BTreeSet::new()));
    assert_eq!(token(u64::MAX, 0).successor(member(1)).counter, u64::MAX);
}

/// While an electorate is replaced, two adjacent generations never have disjoint majorities. Checked for every
/// division of the voters into two sets.
#[test_case(5, 5; "same size")]
#[test_case(3, 7; "larger")]
#[test_case(7, 3; "smaller")]
fn adjacent_generations_have_no_disjoint_majorities(from: usize, to: usize) {
    let old = Electorate::evenly_spaced(1, 40, from);
    let new = Electorate::evenly_spaced(1, 41, to);
    let joint = Electorate::joint(&old, &new);
    let last = joint.without_former_voters();
    let voters: Vec<u32> = joint.voters().into_iter().collect();
    for bits in 0_u32..1 << voters.len() {
        let voters_with_bit = |is_set: bool| -> BTreeSet<u32> {
            let chosen = voters.iter().enumerate().filter(|(index, _)| (bits >> index & 1 == 1) == is_set);
            chosen.map(|(_, front)| *front).collect()
        };
        let (one, other) = (voters_with_bit(true), voters_with_bit(false));
        assert!(!(old.is_majority(&one) && joint.is_majority(&other)), "{one:?} {other:?}");
        assert!(!(joint.is_majority(&one) && last.is_majority(&other)), "{one:?} {other:?}");
    }
    assert!(old.generation < joint.generation && joint.generation < last.generation);
}

#[test_case(300, 5, &[0, 60, 120, 180, 240]; "five of 300")]
#[test_case(300, 4, &[0, 100, 200]; "an even size is reduced by one")]
#[test_case(2, 5, &[0]; "one of two")]
#[test_case(1, 5, &[0]; "the only front")]
fn voters_are_evenly_spaced_over_the_fronts(fronts: u32, size: usize, voters: &[u32]) {
    let electorate = Electorate::evenly_spaced(1, fronts, size);
    assert_eq!(electorate.voters().into_iter().collect::<Vec<_>>(), voters);
}

/// Of several candidates that start at the same time, one soon acquires the lease, and the rate of requests is
/// bounded.
#[test_case(3; "three")]
#[test_case(12; "twelve")]
fn concurrent_candidates_elect_a_holder_with_bounded_requests(candidates: u32) {
    let mut net = Network::new(20, 5);
    for front in 0..candidates {
        net.fronts.get_mut(&front).unwrap().set_candidacy(moment(net.now_ms), TASK, Some(0));
    }
    let took_ms = net.advance_until_held(12_000);
    net.sent.clear();
    net.advance(60_000);
    let requests = net.sent.iter().filter(|sent| matches!(sent.message, Message::VoteRequest(_))).count();
    // A candidate requests votes when a lease of 4 s may have expired. The bound is one request per second from each
    // candidate to each of the five voters, for 60 s.
    assert!(
        requests < 60 * 5 * candidates as usize,
        "{requests} vote requests; lease granted after {took_ms} ms"
    );
}

#[test]
fn the_tables_of_candidacies_and_votes_are_bounded() {
    let mut net = Network::new(3, 3);
    let now = moment(net.now_ms);
    let engine = net.fronts.get_mut(&0).unwrap();
    for task in 0..10_000 {
        engine.set_candidacy(now, TaskId(task), Some(0));
        let request = VoteRequest { task: TaskId(task), round: task, token: token(1, 1), ..REQUEST };
        engine.handle_input(now, member(1), &Message::VoteRequest(request));
    }
    assert!(engine.status(now).len() <= 512, "{} tasks in the status", engine.status(now).len());
}
