//! A few engines and a network whose links a test can cut.

use std::collections::BTreeMap;

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

fn request(request: VoteRequest) -> Message {
    Message::VoteRequest(request)
}

/// A message and the link that it was sent over.
struct Sent {
    sender: MemberId,
    recipient: u32,
    message: Message,
}

/// Fronts by number, on one clock. Messages arrive at once, unless the link is cut.
struct Network {
    fronts: BTreeMap<u32, Engine>,
    electorate: Electorate,
    ms: u64,
    cut: Vec<(u32, u32)>,
    sent: Vec<Sent>,
}

impl Network {
    /// All fronts have run for longer than voters abstain.
    fn with(fronts: u32, voters: usize) -> Network {
        let electorate = Electorate::evenly_spaced(1, fronts, voters);
        let mut net =
            Network { fronts: BTreeMap::new(), electorate, ms: 0, cut: Vec::new(), sent: Vec::new() };
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
        let engine = Engine::new(self.config(front, incarnation), None, moment(self.ms));
        self.fronts.insert(front, engine);
    }

    fn deliver_all(&mut self) {
        loop {
            let mut sent = Vec::new();
            for engine in self.fronts.values_mut() {
                engine.process(moment(self.ms));
                while let Some(Transmit { recipient, message }) = engine.poll_output() {
                    sent.push(Sent { sender: engine.local(), recipient, message });
                }
            }
            if sent.is_empty() {
                return;
            }
            for Sent { sender, recipient, message } in &sent {
                if !self.cut.contains(&(sender.front, *recipient))
                    && let Some(engine) = self.fronts.get_mut(recipient)
                {
                    engine.handle_input(moment(self.ms), *sender, message);
                }
            }
            self.sent.extend(sent);
        }
    }

    fn advance(&mut self, ms: u64) {
        for _ in 0..ms / 10 {
            self.ms += 10;
            self.deliver_all();
        }
    }

    fn add_candidate(&mut self, front: u32, rank: u32) {
        self.fronts.get_mut(&front).unwrap().set_candidacy(moment(self.ms), TASK, Some(rank));
        self.deliver_all();
    }

    fn holder(&self) -> Option<(u32, FencingToken)> {
        let held =
            |(front, engine): (&u32, &Engine)| Some((*front, engine.permit(moment(self.ms), TASK)?.token));
        let holders: Vec<_> = self.fronts.iter().filter_map(held).collect();
        assert!(holders.len() <= 1, "{holders:?}");
        holders.first().copied()
    }

    fn last_refusal(&self, front: u32) -> Option<RefusalReason> {
        let status = self.fronts[&front].status(moment(self.ms));
        status.iter().find(|status| status.task == TASK).and_then(|status| status.last_refusal)
    }

    /// Advances until a front holds the lease; returns how long that took, in ms.
    fn until_held(&mut self, limit_ms: u64) -> u64 {
        let started_ms = self.ms;
        while self.holder().is_none() {
            assert!(self.ms - started_ms < limit_ms, "no holder after {limit_ms} ms");
            self.advance(10);
        }
        self.ms - started_ms
    }
}

#[test]
fn the_first_of_two_candidates_holds_and_renews() {
    let mut net = Network::with(7, 5);
    net.add_candidate(3, 0);
    net.add_candidate(4, 1);
    let first = net.holder().unwrap();
    assert_eq!((first.0, first.1.counter), (3, 1));
    net.advance(60_000);
    assert_eq!(net.holder(), Some(first), "renewed, under the same token");
}

#[test_case(true, 50; "handed back: at once")]
#[test_case(false, 6_000; "killed: when its promises are over")]
fn another_takes_over_with_a_higher_token(orderly: bool, within: u64) {
    let mut net = Network::with(7, 5);
    net.add_candidate(3, 0);
    let (_, first) = net.holder().unwrap();
    net.add_candidate(4, 1);
    net.advance(2_500);
    if orderly {
        let now = moment(net.ms);
        net.fronts.get_mut(&3).unwrap().leave(now);
        assert_eq!(net.fronts[&3].permit(now, TASK), None, "no act from that moment on");
        net.deliver_all();
        assert!(net.until_held(6_000) <= within);
    } else {
        net.fronts.remove(&3);
        let took = net.until_held(within);
        assert!(took > 1_000, "not while it may still be held");
    }
    assert!(net.holder().unwrap().1 > first);
}

/// The lease of a holder that hears no voters expires before they promise it to another.
#[test_case(&[(3, 0), (3, 1), (3, 2), (3, 4), (3, 5)]; "its requests are lost")]
#[test_case(&[(0, 3), (1, 3), (2, 3), (4, 3), (5, 3)]; "the answers are lost")]
fn the_lease_of_a_holder_that_is_cut_off_expires(cut: &[(u32, u32)]) {
    let mut net = Network::with(7, 5);
    net.add_candidate(3, 0);
    net.add_candidate(6, 1);
    net.cut = cut.to_vec();
    let mut former = net.holder();
    for _ in 0..2_000 {
        net.advance(10);
        // `holder` asserts that there are never two.
        if let Some(now) = net.holder() {
            former = Some(now);
        }
    }
    assert_eq!(former.map(|(front, _)| front), Some(6));
}

#[test]
fn a_voter_that_restarts_abstains() {
    let mut net = Network::with(7, 3);
    net.add_candidate(3, 0);
    for (incarnation, voter) in (2..).zip(net.electorate.voters()) {
        net.start(voter, incarnation);
    }
    net.fronts.remove(&3);
    net.add_candidate(5, 0);
    assert_eq!(net.last_refusal(5), Some(RefusalReason::Abstaining));
    assert!(net.until_held(9_000) >= 3_900);
}

#[test]
fn tokens_rise_although_all_voters_restart() {
    let mut net = Network::with(7, 3);
    net.add_candidate(3, 0);
    net.fronts.get_mut(&3).unwrap().leave(moment(net.ms));
    net.add_candidate(6, 0);
    let (_, second) = net.holder().unwrap();
    assert!(second.counter >= 1);
    net.fronts.remove(&6);
    for voter in net.electorate.voters() {
        net.start(voter, 2);
    }
    net.add_candidate(5, 0);
    net.until_held(9_000);
    let (_, fresh) = net.holder().unwrap();
    // No voter remembers the token. Whoever is acted upon does and refuses; the holder asks again above that.
    assert!(fresh < second);
    net.fronts.get_mut(&5).unwrap().on_fenced(moment(net.ms), TASK, second);
    assert_eq!(net.holder(), None, "no act under a token that is too low");
    net.deliver_all();
    net.until_held(2_000);
    assert!(net.holder().unwrap().1 > second);
}

#[test]
fn a_voter_that_restarts_learns_the_tokens_of_the_others() {
    let mut net = Network::with(7, 3);
    net.add_candidate(3, 0);
    let (_, token) = net.holder().unwrap();
    let voter = *net.electorate.voters().iter().next().unwrap();
    net.start(voter, 2);
    net.deliver_all();
    let known = net.fronts[&voter].voter().unwrap().tokens().next();
    assert_eq!(known, Some((TASK, token)));
}

#[test]
fn a_voter_with_persisted_promises_votes_at_once_and_keeps_them() {
    let mut net = Network::with(7, 3);
    net.add_candidate(3, 0);
    let voter = *net.electorate.voters().iter().next().unwrap();
    let persisted = net.fronts[&voter].voter().unwrap().persisted_state();
    let now = moment(net.ms);
    let restarted = Engine::new(net.config(voter, 2), Some(&persisted), now);
    let restored = restarted.voter().unwrap();
    assert_eq!(
        (restored.abstaining_until(now), restored.promise(TASK, now).map(|promise| promise.candidate.front)),
        (None, Some(3))
    );
}

/// Earlier requests and withdrawals change nothing.
#[test_case(|round| Message::VoteWithdrawn { task: TASK, round: round - 1 }; "a withdrawal of an earlier round")]
#[test_case(|round| request(VoteRequest { round: round - 1, ..REQUEST }); "an earlier request")]
#[test_case(|round| request(VoteRequest { round, ..REQUEST }); "the same request again")]
fn a_late_or_duplicate_message_changes_no_promise(late: fn(u64) -> Message) {
    let mut net = Network::with(7, 3);
    net.add_candidate(3, 0);
    net.advance(2_500);
    let last_round = net.sent.iter().rev().find_map(|sent| match sent.message {
        Message::VoteRequest(request) => Some(request.round),
        _ => None,
    });
    let voter = *net.electorate.voters().iter().next().unwrap();
    let now = moment(net.ms);
    let engine = net.fronts.get_mut(&voter).unwrap();
    let before = engine.voter().unwrap().promise(TASK, now);
    engine.handle_input(now, member(3), &late(last_round.unwrap()));
    assert_eq!(net.fronts[&voter].voter().unwrap().promise(TASK, now), before);
}

#[test_case(VoteRequest { token: token(9, 9), duration: Span::from_secs(3_600), ..REQUEST }, RefusalReason::DurationTooLong; "a duration of an hour")]
#[test_case(VoteRequest { token: token(9, 9), generation: 0, ..REQUEST }, RefusalReason::GenerationMismatch; "an earlier electorate")]
#[test_case(REQUEST, RefusalReason::StaleToken; "an earlier token")]
fn a_voter_refuses(request: VoteRequest, expected: RefusalReason) {
    let mut net = Network::with(7, 3);
    net.add_candidate(3, 0);
    net.fronts.get_mut(&3).unwrap().leave(moment(net.ms));
    net.deliver_all();
    let voter = *net.electorate.voters().iter().next().unwrap();
    let engine = net.fronts.get_mut(&voter).unwrap();
    engine.handle_input(moment(net.ms), member(6), &Message::VoteRequest(request));
    let Some(Transmit { recipient: 6, message: Message::VoteRefused { refusal, .. } }) = engine.poll_output()
    else {
        panic!("not refused")
    };
    assert_eq!(refusal.reason, expected);
}

/// A faulty peer does bounded harm: it locks no candidate out, and nothing overflows.
#[test_case(&request(VoteRequest { token: token(1, 6), generation: u32::MAX, ..REQUEST }); "a generation that is far ahead")]
#[test_case(&Message::TokenReport { task: TASK, token: token(u64::MAX, 6) }; "a token at the end of its range, from a front that does not vote")]
fn a_faulty_peer_locks_nobody_out(lie: &Message) {
    let mut net = Network::with(7, 3);
    let now = moment(net.ms);
    for engine in net.fronts.values_mut() {
        engine.handle_input(now, member(6), lie);
    }
    net.advance(5_000);
    net.add_candidate(3, 0);
    net.until_held(2_000);
}

#[test]
fn no_voters_are_no_majority() {
    assert!(!Electorate::new(1, &[]).is_majority(&std::collections::BTreeSet::new()));
    assert_eq!(token(u64::MAX, 0).successor(member(1)).counter, u64::MAX);
}

/// While an electorate changes, fronts of two neighbouring generations never have two majorities.
#[test_case(5, 5; "of the same size")]
#[test_case(3, 7; "larger")]
#[test_case(7, 3; "smaller")]
fn an_electorate_changes_by_way_of_a_joint_generation(from: usize, to: usize) {
    let old = Electorate::evenly_spaced(1, 40, from);
    let new = Electorate::evenly_spaced(1, 41, to);
    let joint = Electorate::joint(&old, &new);
    let last = joint.without_former_voters();
    let voters: Vec<u32> = joint.voters().into_iter().collect();
    for bits in 0_u32..1 << voters.len() {
        let side = |is_set: bool| -> std::collections::BTreeSet<u32> {
            let chosen = voters.iter().enumerate().filter(|(index, _)| (bits >> index & 1 == 1) == is_set);
            chosen.map(|(_, front)| *front).collect()
        };
        let (one, other) = (side(true), side(false));
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

/// Many candidates at once: the lease is granted soon, and requests stay bounded.
#[test_case(3; "three")]
#[test_case(12; "twelve")]
fn contention_ends(candidates: u32) {
    let mut net = Network::with(20, 5);
    for front in 0..candidates {
        net.fronts.get_mut(&front).unwrap().set_candidacy(moment(net.ms), TASK, Some(0));
    }
    let took = net.until_held(12_000);
    net.sent.clear();
    net.advance(60_000);
    let requests = net.sent.iter().filter(|sent| matches!(sent.message, Message::VoteRequest(_))).count();
    // A minute of 4 s leases, requested by each candidate when one may have expired, of five voters.
    assert!(requests < 60 * 5 * candidates as usize, "{requests} requests, granted after {took} ms");
}

#[test]
fn tables_stay_bounded() {
    let mut net = Network::with(3, 3);
    let now = moment(net.ms);
    let engine = net.fronts.get_mut(&0).unwrap();
    for task in 0..10_000 {
        engine.set_candidacy(now, TaskId(task), Some(0));
        let request = VoteRequest { task: TaskId(task), round: task, token: token(1, 1), ..REQUEST };
        engine.handle_input(now, member(1), &Message::VoteRequest(request));
    }
    assert!(engine.status(now).len() <= 512, "{}", engine.status(now).len());
}
