//! Transactions over datagrams that get lost, doubled and late (RFC 3435 sections 3.5 and 4.3).
//!
//! The host hands in datagrams and its clock and takes out datagrams and news until there is none. A command
//! that is asked is repeated at doubling gaps until it is answered, abandoned or given up. A command that
//! comes in is told once; its answer is kept, and a repeat is answered from what is kept.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;

use ochrelead_core::time::{Moment, Span};

use crate::message::{Command, LAST_TRANSACTION, Message, Response, TransactionId, code, name};
use crate::parse::{self, Broken, Fault};
use crate::write;

/// How transactions are paced, and how many are remembered.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// The first gap between two repeats; it doubles.
    pub first_gap: Span,
    /// The longest gap, and the gap after a provisional answer (RFC 3435 section 3.5.5, LONGTRAN-TIMER).
    pub longest_gap: Span,
    /// A command is given up after this (RFC 3435 section 4.3, T-Max).
    pub give_up: Span,
    /// Answers are kept for this long (RFC 3435 section 3.5.1, T-HIST).
    pub kept: Span,
    /// The most commands that wait for an answer.
    pub most_open: usize,
    /// The most answers that are kept, and the most finished transactions that are remembered.
    pub most_kept: usize,
    /// Whether a repeat of a command in work is answered by a provisional 100.
    pub provisional: bool,
}

impl Default for Pace {
    fn default() -> Pace {
        Pace {
            first_gap: Span::from_millis(500),
            longest_gap: Span::from_secs(4),
            give_up: Span::from_secs(20),
            kept: Span::from_secs(30),
            most_open: 65_536,
            most_kept: 262_144,
            provisional: false,
        }
    }
}

impl Pace {
    /// How many repeats a command may see that waits for so long.
    pub fn repeats(&self, wait: Span) -> u32 {
        let (mut gap, mut at, mut count) = (self.first_gap, self.first_gap, 0);
        while gap < self.longest_gap && at <= wait {
            gap = (gap * 2).min(self.longest_gap);
            (at, count) = (at + gap, count + 1);
        }
        if at > wait {
            return count;
        }
        let steady = (wait - at).micros() / gap.micros().max(1);
        count.saturating_add(u32::try_from(steady).unwrap_or(u32::MAX)).saturating_add(1)
    }
}

/// Whose answer a response is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// Of a command that waited for it.
    Awaited,
    /// Of a command that was abandoned or given up; told once.
    Late,
    /// Of no command that this exchange remembers.
    Unknown,
}

/// What the host learns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum News {
    /// A command has come for the first time. It is to be answered.
    Asked { from: SocketAddr, command: Command },
    /// A command came again while it is in work.
    Repeated { from: SocketAddr, transaction: TransactionId },
    /// A final response.
    Answered { from: SocketAddr, response: Response, claim: Claim },
    /// A command was given up unanswered.
    Unanswered { to: SocketAddr, transaction: TransactionId },
    /// A message that could not be read; its sender has been told where that is possible.
    Unread { from: SocketAddr, broken: Broken },
    /// A datagram that is none.
    Refused { from: SocketAddr, fault: Fault },
    /// A command was turned away, for there is no room to remember its answer.
    Crowded { from: SocketAddr, transaction: TransactionId },
}

/// No room for a further command of our own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0} commands wait for an answer already")]
pub struct Full(pub usize);

struct Open {
    to: SocketAddr,
    bytes: Vec<u8>,
    asked: Moment,
    gap: Span,
    next: Moment,
    repeats: u32,
    repeated: Moment,
    most_repeats: u32,
}

/// How long a peer takes to answer (RFC 3435 section 4.3): the mean, how far off it the answers are, and the gap that
/// the last repeated command had come to. What was repeated tells no time: which copy was answered is not known.
#[derive(Clone, Copy, Default)]
struct Delay {
    /// None where nothing was measured yet.
    mean: Option<Span>,
    off: Span,
    backed_off: Option<Span>,
}

impl Delay {
    /// How far one answer moves the figures, and how many deviations a repeat waits (as in RFC 6298 section 2).
    const STEP: u64 = 8;
    const DEVIATIONS: u64 = 4;

    fn learn(&mut self, took: Span) {
        let toward = |own: Span, to: Span| own - own / Self::STEP + to / Self::STEP;
        let (mean, off) = match self.mean {
            None => (took, took / 2),
            Some(mean) => (toward(mean, took), toward(self.off, (took - mean) + (mean - took))),
        };
        *self = Delay { mean: Some(mean), off, backed_off: None };
    }

    /// A repeated command was answered. An answer that comes as soon after a repeat as answers usually come is that
    /// repeat's: the first copy was lost, and the peer is not slow.
    fn learn_repeated(&mut self, since_repeat: Span, gap: Span) {
        if self.mean.is_none() || since_repeat > self.usual() {
            self.backed_off = Some(gap);
        }
    }

    fn usual(&self) -> Span {
        self.mean.unwrap_or_default() + self.off * Self::DEVIATIONS
    }

    fn gap(&self, pace: &Pace) -> Span {
        self.backed_off.unwrap_or(self.usual()).clamp(pace.first_gap, pace.longest_gap)
    }
}

enum Kept {
    InWork,
    Answered(Vec<u8>),
    /// Its sender has the answer: a late repeat is passed over.
    Acknowledged,
}

/// The transactions of one party with all its peers.
pub struct Exchange {
    pace: Pace,
    last: TransactionId,
    open: HashMap<TransactionId, Open>,
    due: BTreeSet<(Moment, TransactionId)>,
    /// Answered, abandoned or given up: what comes for them is late (true) or a double (false).
    finished: HashMap<TransactionId, (SocketAddr, bool)>,
    finished_in_order: VecDeque<(Moment, TransactionId)>,
    kept: HashMap<(SocketAddr, TransactionId), Kept>,
    kept_in_order: VecDeque<(Moment, (SocketAddr, TransactionId))>,
    /// How long those took to answer that were asked.
    delays: HashMap<SocketAddr, Delay>,
    /// Responses that a peer is to be told of with the next command (RFC 3435 section 3.2.2.19).
    acknowledge: HashMap<SocketAddr, Vec<TransactionId>>,
    datagrams: VecDeque<(SocketAddr, Vec<u8>)>,
    news: VecDeque<News>,
}

/// So many responses are acknowledged in one command.
const ACKNOWLEDGED_AT_ONCE: usize = 8;

impl Exchange {
    /// `first`: where transaction ids begin. A party that starts anew must not begin where it did before,
    /// or old answers of its peers pass for new ones.
    pub fn new(pace: Pace, first: u32) -> Exchange {
        Exchange {
            pace,
            last: first % LAST_TRANSACTION,
            open: HashMap::new(),
            due: BTreeSet::new(),
            finished: HashMap::new(),
            finished_in_order: VecDeque::new(),
            kept: HashMap::new(),
            kept_in_order: VecDeque::new(),
            delays: HashMap::new(),
            acknowledge: HashMap::new(),
            datagrams: VecDeque::new(),
            news: VecDeque::new(),
        }
    }

    /// Sends a command and repeats it until it is answered; its transaction id is given here.
    ///
    /// # Errors
    ///
    /// Where as many commands as there may be wait for an answer.
    pub fn ask(&mut self, now: Moment, to: SocketAddr, command: Command) -> Result<TransactionId, Full> {
        self.ask_at_most(now, to, command, u32::MAX)
    }

    /// Like [`Exchange::ask`], with so many repeats at most.
    ///
    /// # Errors
    ///
    /// Where as many commands as there may be wait for an answer.
    pub fn ask_at_most(
        &mut self,
        now: Moment,
        to: SocketAddr,
        command: Command,
        most_repeats: u32,
    ) -> Result<TransactionId, Full> {
        if self.open.len() >= self.pace.most_open {
            return Err(Full(self.open.len()));
        }
        let transaction = self.unused();
        let mut command = Command { transaction, ..command };
        if let Some(ids) = self.acknowledge.remove(&to) {
            let ids: Vec<String> = ids.iter().map(TransactionId::to_string).collect();
            command.parameters.add(name::ACKNOWLEDGED, ids.join(","));
        }
        let bytes = write::datagram(&[Message::Command(command)]);
        self.datagrams.push_back((to, bytes.clone()));
        let gap = self.delays.get(&to).map_or(self.pace.first_gap, |delay| delay.gap(&self.pace));
        let next = now + gap;
        self.due.insert((next, transaction));
        let open = Open { to, bytes, asked: now, gap, next, repeats: 0, repeated: now, most_repeats };
        self.open.insert(transaction, open);
        Ok(transaction)
    }

    /// The next id that no transaction in memory has (RFC 3435 section 3.5.1).
    fn unused(&mut self) -> TransactionId {
        loop {
            self.last = self.last % LAST_TRANSACTION + 1;
            if !self.open.contains_key(&self.last) && !self.finished.contains_key(&self.last) {
                return self.last;
            }
        }
    }

    /// No answer is waited for any more: no repeat goes out. One that comes all the same is told as late.
    pub fn abandon(&mut self, now: Moment, transaction: TransactionId) {
        if let Some(open) = self.open.remove(&transaction) {
            self.due.remove(&(open.next, transaction));
            self.finish(now, transaction, open.to, true);
        }
    }

    fn finish(&mut self, now: Moment, transaction: TransactionId, peer: SocketAddr, awaited: bool) {
        self.finished.insert(transaction, (peer, awaited));
        self.finished_in_order.push_back((now, transaction));
        while self.finished_in_order.len() > self.pace.most_kept {
            self.forget_finished();
        }
    }

    fn forget_finished(&mut self) {
        if let Some((_, transaction)) = self.finished_in_order.pop_front() {
            self.finished.remove(&transaction);
        }
    }

    /// Answers a command that was told. A provisional answer leaves it in work.
    pub fn answer(&mut self, to: SocketAddr, response: Response) {
        let (transaction, provisional) = (response.transaction, response.is_provisional());
        let bytes = write::datagram(&[Message::Response(response)]);
        if !provisional && let Some(kept) = self.kept.get_mut(&(to, transaction)) {
            *kept = Kept::Answered(bytes.clone());
        }
        self.datagrams.push_back((to, bytes));
    }

    /// A datagram has come.
    pub fn take(&mut self, now: Moment, from: SocketAddr, bytes: &[u8]) {
        let messages = match parse::datagram(bytes) {
            Ok(messages) => messages,
            Err(fault) => return self.news.push_back(News::Refused { from, fault }),
        };
        for message in messages {
            match message {
                Ok(Message::Command(command)) => self.command(now, from, command),
                Ok(Message::Response(response)) => self.response(now, from, response),
                Err(broken) => {
                    if let Some(transaction) = broken.transaction {
                        let refusal = Response::new(code::PROTOCOL_ERROR, transaction);
                        let refusal = write::datagram(&[Message::Response(refusal)]);
                        self.datagrams.push_back((from, refusal));
                    }
                    self.news.push_back(News::Unread { from, broken });
                }
            }
        }
    }

    fn command(&mut self, now: Moment, from: SocketAddr, command: Command) {
        if let Some(ids) = command.parameters.get(name::ACKNOWLEDGED) {
            self.acknowledged(from, ids);
        }
        let transaction = command.transaction;
        if let Some(kept) = self.kept.get(&(from, transaction)) {
            match kept {
                Kept::InWork => {
                    if self.pace.provisional {
                        let pending = Response::new(code::PENDING, transaction);
                        self.datagrams.push_back((from, write::datagram(&[Message::Response(pending)])));
                    }
                    self.news.push_back(News::Repeated { from, transaction });
                }
                Kept::Answered(bytes) => self.datagrams.push_back((from, bytes.clone())),
                Kept::Acknowledged => {}
            }
        } else if self.kept.len() >= self.pace.most_kept && !self.make_room() {
            let refusal = Response::new(code::OVERLOAD, transaction);
            self.datagrams.push_back((from, write::datagram(&[Message::Response(refusal)])));
            self.news.push_back(News::Crowded { from, transaction });
        } else {
            self.kept.insert((from, transaction), Kept::InWork);
            self.kept_in_order.push_back((now, (from, transaction)));
            self.news.push_back(News::Asked { from, command });
        }
    }

    /// Forgets the oldest answer. A command in work is not forgotten: it would be executed twice.
    fn make_room(&mut self) -> bool {
        match self.kept_in_order.front() {
            Some((_, key)) if !matches!(self.kept.get(key), Some(Kept::InWork)) => {
                self.kept.remove(key);
                self.kept_in_order.pop_front();
                true
            }
            _ => false,
        }
    }

    /// `K: 6234-6236, 6240`: ids and spans of ids, read only as far as anything is kept for them.
    fn acknowledged(&mut self, from: SocketAddr, ids: &str) {
        for part in ids.split(',').take(ACKNOWLEDGED_AT_ONCE * 4) {
            let (first, last) = part.split_once('-').unwrap_or((part, part));
            let (Ok(first), Ok(last)) = (first.trim().parse::<u32>(), last.trim().parse::<u32>()) else {
                continue;
            };
            for id in first..=last.min(first.saturating_add(ACKNOWLEDGED_AT_ONCE as u32 * 4)) {
                if let Some(kept @ Kept::Answered(_)) = self.kept.get_mut(&(from, id)) {
                    *kept = Kept::Acknowledged;
                }
            }
        }
    }

    fn response(&mut self, now: Moment, from: SocketAddr, response: Response) {
        let transaction = response.transaction;
        if response.code == code::ACKNOWLEDGED {
            return self.acknowledged(from, &transaction.to_string());
        }
        if response.is_provisional() {
            // It is being worked on: repeats need not come at the short gaps.
            let patient = now + self.pace.longest_gap;
            if let Some(open) = self.open.get_mut(&transaction).filter(|open| open.to == from) {
                self.due.remove(&(open.next, transaction));
                (open.next, open.gap) = (patient, self.pace.longest_gap);
                self.due.insert((patient, transaction));
            }
            return;
        }
        // An empty K asks for an acknowledgement at once (RFC 3435 section 3.5.6).
        if response.parameters.get(name::ACKNOWLEDGED).is_some_and(str::is_empty) {
            let thanks = Response::new(code::ACKNOWLEDGED, transaction);
            self.datagrams.push_back((from, write::datagram(&[Message::Response(thanks)])));
        }
        let claim = if self.open.get(&transaction).is_some_and(|open| open.to == from) {
            let open = self.open.remove(&transaction).expect("just seen");
            self.due.remove(&(open.next, transaction));
            self.finish(now, transaction, from, false);
            // Of more peers than answers are kept for, no delay is kept.
            if self.delays.len() < self.pace.most_kept || self.delays.contains_key(&from) {
                let delay = self.delays.entry(from).or_default();
                if open.repeats == 0 {
                    delay.learn(now.since(open.asked));
                } else {
                    delay.learn_repeated(now.since(open.repeated), open.gap);
                }
            }
            let heard = self.acknowledge.entry(from).or_default();
            if heard.len() < ACKNOWLEDGED_AT_ONCE {
                heard.push(transaction);
            }
            Claim::Awaited
        } else {
            match self.finished.get_mut(&transaction).filter(|(peer, _)| *peer == from) {
                Some((_, awaited)) => match std::mem::take(awaited) {
                    true => Claim::Late,
                    false => return,
                },
                None => Claim::Unknown,
            }
        };
        self.news.push_back(News::Answered { from, response, claim });
    }

    /// The clock: repeats what is due, gives up what has waited too long, forgets what is old.
    pub fn tick(&mut self, now: Moment) {
        while let Some(&(moment, transaction)) = self.due.first() {
            if moment > now {
                break;
            }
            self.due.pop_first();
            let Some(open) = self.open.get_mut(&transaction) else { continue };
            if now.since(open.asked) >= self.pace.give_up {
                let to = open.to;
                self.open.remove(&transaction);
                self.finish(now, transaction, to, true);
                self.news.push_back(News::Unanswered { to, transaction });
                continue;
            }
            open.gap = (open.gap * 2).min(self.pace.longest_gap);
            open.next = now + open.gap;
            self.due.insert((open.next, transaction));
            if open.repeats < open.most_repeats {
                (open.repeats, open.repeated) = (open.repeats + 1, now);
                self.datagrams.push_back((open.to, open.bytes.clone()));
            }
        }
        let kept = self.pace.kept;
        while self.finished_in_order.front().is_some_and(|(at, _)| now.since(*at) >= kept) {
            self.forget_finished();
        }
        while let Some((at, key)) = self.kept_in_order.front() {
            if now.since(*at) < kept {
                break;
            }
            // What is in work after all that time was never answered; it is forgotten with the rest.
            self.kept.remove(key);
            self.kept_in_order.pop_front();
        }
    }

    /// When [`Exchange::tick`] has something to do.
    pub fn wake(&self) -> Option<Moment> {
        self.due.first().map(|(moment, _)| *moment)
    }

    pub fn next_datagram(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.datagrams.pop_front()
    }

    pub fn next_news(&mut self) -> Option<News> {
        self.news.pop_front()
    }

    /// How many commands wait for an answer, and how many answers are kept.
    pub fn load(&self) -> (usize, usize) {
        (self.open.len(), self.kept.len())
    }
}
