//! Client transactions: retransmits commands, times them out, and matches responses to them.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;

use ochrelead_core::time::{Moment, Span};

use super::config::TransactionConfig;
use super::event::{ResponseMatch, TransactionEvent};
use super::rto::RtoEstimator;
use super::{MAX_ACKNOWLEDGEMENTS, OutputQueues, TooManyOutstanding};
use crate::message::{Command, MAX_TRANSACTION_ID, Message, TransactionId, parameter};
use crate::write;

/// A command that waits for its final response.
struct OutstandingCommand {
    to: SocketAddr,
    datagram: Vec<u8>,
    sent_at: Moment,
    rto: Span,
    next_retransmission: Moment,
    retransmissions: u32,
    max_retransmissions: u32,
    last_sent_at: Moment,
}

/// A transaction that was answered, abandoned or timed out.
struct FinishedTransaction {
    peer: SocketAddr,
    /// No response has arrived yet: the first one counts as late, any further one as a duplicate.
    is_unanswered: bool,
}

/// The transactions that this side has started.
pub(super) struct ClientTransactions {
    config: TransactionConfig,
    last_id: TransactionId,
    outstanding: HashMap<TransactionId, OutstandingCommand>,
    retransmissions: BTreeSet<(Moment, TransactionId)>,
    finished: HashMap<TransactionId, FinishedTransaction>,
    finished_order: VecDeque<(Moment, TransactionId)>,
    rto_estimators: HashMap<SocketAddr, RtoEstimator>,
    /// Per peer, the responses that the next command to it acknowledges (RFC 3435 section 3.2.2.19).
    acknowledgements: HashMap<SocketAddr, Vec<TransactionId>>,
}

impl ClientTransactions {
    pub(super) fn new(config: TransactionConfig, first_transaction: u32) -> ClientTransactions {
        ClientTransactions {
            config,
            last_id: first_transaction % MAX_TRANSACTION_ID,
            outstanding: HashMap::new(),
            retransmissions: BTreeSet::new(),
            finished: HashMap::new(),
            finished_order: VecDeque::new(),
            rto_estimators: HashMap::new(),
            acknowledgements: HashMap::new(),
        }
    }

    /// Starts a transaction. Returns its id and the datagram to send.
    pub(super) fn begin(
        &mut self,
        now: Moment,
        to: SocketAddr,
        command: Command,
        max_retransmissions: u32,
    ) -> Result<(TransactionId, Vec<u8>), TooManyOutstanding> {
        if self.outstanding.len() >= self.config.max_outstanding {
            return Err(TooManyOutstanding(self.outstanding.len()));
        }
        let transaction = self.next_id();
        let command = self.with_acknowledgements(to, Command { transaction, ..command });
        let datagram = write::datagram(&[Message::Command(command)]);
        let estimator = self.rto_estimators.get(&to);
        let rto = estimator.map_or(self.config.initial_rto, |estimator| estimator.initial_rto(&self.config));
        let next_retransmission = now + rto;
        self.retransmissions.insert((next_retransmission, transaction));
        let outstanding = OutstandingCommand {
            to,
            datagram: datagram.clone(),
            sent_at: now,
            rto,
            next_retransmission,
            retransmissions: 0,
            max_retransmissions,
            last_sent_at: now,
        };
        self.outstanding.insert(transaction, outstanding);
        Ok((transaction, datagram))
    }

    /// Returns the next id that no outstanding or finished transaction uses (RFC 3435 section 3.5.1).
    fn next_id(&mut self) -> TransactionId {
        loop {
            self.last_id = self.last_id % MAX_TRANSACTION_ID + 1;
            if !self.outstanding.contains_key(&self.last_id) && !self.finished.contains_key(&self.last_id) {
                return self.last_id;
            }
        }
    }

    fn with_acknowledgements(&mut self, to: SocketAddr, mut command: Command) -> Command {
        if let Some(ids) = self.acknowledgements.remove(&to) {
            let ids: Vec<String> = ids.iter().map(TransactionId::to_string).collect();
            command.parameters.add(parameter::RESPONSE_ACK, ids.join(","));
        }
        command
    }

    /// Finishes a transaction that has no response.
    pub(super) fn abandon(&mut self, now: Moment, transaction: TransactionId) {
        if let Some(command) = self.remove_outstanding(transaction) {
            self.finish(now, transaction, FinishedTransaction { peer: command.to, is_unanswered: true });
        }
    }

    fn remove_outstanding(&mut self, transaction: TransactionId) -> Option<OutstandingCommand> {
        let command = self.outstanding.remove(&transaction)?;
        self.retransmissions.remove(&(command.next_retransmission, transaction));
        Some(command)
    }

    fn finish(&mut self, now: Moment, transaction: TransactionId, finished: FinishedTransaction) {
        self.finished.insert(transaction, finished);
        self.finished_order.push_back((now, transaction));
        while self.finished_order.len() > self.config.max_history {
            self.forget_oldest_finished();
        }
    }

    fn forget_oldest_finished(&mut self) {
        if let Some((_, transaction)) = self.finished_order.pop_front() {
            self.finished.remove(&transaction);
        }
    }

    /// Raises the retransmission timeout to the maximum: a provisional response says that the command was received and
    /// is being executed.
    pub(super) fn on_provisional_response(
        &mut self,
        now: Moment,
        from: SocketAddr,
        transaction: TransactionId,
    ) {
        let outstanding = self.outstanding.get_mut(&transaction);
        let Some(command) = outstanding.filter(|command| command.to == from) else { return };
        self.retransmissions.remove(&(command.next_retransmission, transaction));
        command.rto = self.config.max_rto;
        command.next_retransmission = now + command.rto;
        self.retransmissions.insert((command.next_retransmission, transaction));
    }

    /// Matches a final response to a transaction. Returns none if the response is a duplicate.
    pub(super) fn on_final_response(
        &mut self,
        now: Moment,
        from: SocketAddr,
        transaction: TransactionId,
    ) -> Option<ResponseMatch> {
        let is_outstanding = self.outstanding.get(&transaction).is_some_and(|command| command.to == from);
        if !is_outstanding {
            return self.match_finished(from, transaction);
        }
        let command = self.remove_outstanding(transaction)?;
        self.finish(now, transaction, FinishedTransaction { peer: from, is_unanswered: false });
        self.update_rto(now, &command);
        let acknowledgements = self.acknowledgements.entry(from).or_default();
        if acknowledgements.len() < MAX_ACKNOWLEDGEMENTS {
            acknowledgements.push(transaction);
        }
        Some(ResponseMatch::Outstanding)
    }

    fn match_finished(&mut self, from: SocketAddr, transaction: TransactionId) -> Option<ResponseMatch> {
        let finished = self.finished.get_mut(&transaction);
        match finished.filter(|finished| finished.peer == from) {
            Some(finished) => std::mem::take(&mut finished.is_unanswered).then_some(ResponseMatch::Late),
            None => Some(ResponseMatch::Unknown),
        }
    }

    /// Updates the response time estimate of a peer. The number of peers with an estimate is limited to `max_history`.
    fn update_rto(&mut self, now: Moment, command: &OutstandingCommand) {
        let is_known = self.rto_estimators.contains_key(&command.to);
        if !is_known && self.rto_estimators.len() >= self.config.max_history {
            return;
        }
        let estimator = self.rto_estimators.entry(command.to).or_default();
        if command.retransmissions == 0 {
            estimator.on_response(now.since(command.sent_at));
        } else {
            estimator.on_response_to_retransmission(now.since(command.last_sent_at), command.rto);
        }
    }

    /// Sends due retransmissions, times out commands, and removes expired finished transactions.
    pub(super) fn process(&mut self, now: Moment, outputs: &mut OutputQueues) {
        while let Some(&(due, transaction)) = self.retransmissions.first() {
            if due > now {
                break;
            }
            self.retransmissions.pop_first();
            self.retransmit_or_time_out(now, transaction, outputs);
        }
        let history = self.config.history_duration;
        while self.finished_order.front().is_some_and(|(finished_at, _)| now.since(*finished_at) >= history) {
            self.forget_oldest_finished();
        }
    }

    fn retransmit_or_time_out(
        &mut self,
        now: Moment,
        transaction: TransactionId,
        outputs: &mut OutputQueues,
    ) {
        let Some(command) = self.outstanding.get_mut(&transaction) else { return };
        if now.since(command.sent_at) >= self.config.response_timeout {
            let to = command.to;
            self.outstanding.remove(&transaction);
            self.finish(now, transaction, FinishedTransaction { peer: to, is_unanswered: true });
            return outputs.events.push_back(TransactionEvent::TimedOut { to, transaction });
        }
        command.rto = (command.rto * 2).min(self.config.max_rto);
        command.next_retransmission = now + command.rto;
        self.retransmissions.insert((command.next_retransmission, transaction));
        if command.retransmissions < command.max_retransmissions {
            command.retransmissions += 1;
            command.last_sent_at = now;
            outputs.datagrams.push_back((command.to, command.datagram.clone()));
        }
    }

    /// Returns when the next retransmission or time-out is due.
    pub(super) fn poll_timeout(&self) -> Option<Moment> {
        self.retransmissions.first().map(|(due, _)| *due)
    }

    /// Returns the number of commands that wait for a response.
    pub(super) fn outstanding(&self) -> usize {
        self.outstanding.len()
    }
}
