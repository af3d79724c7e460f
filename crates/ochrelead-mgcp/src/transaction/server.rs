//! Server transactions: each received command is executed at most once; retransmissions are answered from the history.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

use ochrelead_core::time::Moment;

use super::config::TransactionConfig;
use super::event::TransactionEvent;
use super::{MAX_ACKNOWLEDGEMENTS, OutputQueues};
use crate::message::{Command, Response, TransactionId, code, parameter};

/// Maximum number of ranges that are read from a ResponseAck parameter. A range is cut at this many ids past its first.
const MAX_ACKNOWLEDGED_IDS: usize = MAX_ACKNOWLEDGEMENTS * 4;

/// Identifies a transaction by the peer that started it and the id that the peer assigned.
type TransactionKey = (SocketAddr, TransactionId);

/// The state of a received command.
enum CommandState {
    /// No final response was sent yet.
    Executing,
    /// A final response was sent. Holds its datagram, which answers retransmissions of the command.
    Responded(Vec<u8>),
    /// The sender has acknowledged the response: a delayed retransmission of the command is ignored.
    Acknowledged,
}

/// The transactions that peers have started.
pub(super) struct ServerTransactions {
    config: TransactionConfig,
    history: HashMap<TransactionKey, CommandState>,
    history_order: VecDeque<(Moment, TransactionKey)>,
}

impl ServerTransactions {
    pub(super) fn new(config: TransactionConfig) -> ServerTransactions {
        ServerTransactions { config, history: HashMap::new(), history_order: VecDeque::new() }
    }

    /// Reports a new command, answers a retransmitted one, or refuses the command if the history is full.
    pub(super) fn on_command(
        &mut self,
        now: Moment,
        from: SocketAddr,
        command: Command,
        outputs: &mut OutputQueues,
    ) {
        if let Some(ids) = command.parameters.get(parameter::RESPONSE_ACK) {
            self.on_response_ack(from, ids);
        }
        let transaction = command.transaction;
        if self.history.contains_key(&(from, transaction)) {
            self.on_repeated_command(from, transaction, outputs);
        } else if self.history.len() >= self.config.max_history && !self.evict_oldest() {
            outputs.push_response(from, Response::new(code::OVERLOAD, transaction));
            outputs.events.push_back(TransactionEvent::CommandRefused { from, transaction });
        } else {
            self.history.insert((from, transaction), CommandState::Executing);
            self.history_order.push_back((now, (from, transaction)));
            outputs.events.push_back(TransactionEvent::CommandReceived { from, command });
        }
    }

    fn on_repeated_command(&self, from: SocketAddr, transaction: TransactionId, outputs: &mut OutputQueues) {
        match self.history.get(&(from, transaction)) {
            Some(CommandState::Executing) => {
                if self.config.sends_provisional {
                    outputs.push_response(from, Response::new(code::PENDING, transaction));
                }
                outputs.events.push_back(TransactionEvent::CommandRepeated { from, transaction });
            }
            Some(CommandState::Responded(datagram)) => outputs.datagrams.push_back((from, datagram.clone())),
            Some(CommandState::Acknowledged) | None => {}
        }
    }

    /// Removes the oldest command from the history. Returns false if it is still being executed: after its removal, a
    /// retransmission would be executed a second time.
    fn evict_oldest(&mut self) -> bool {
        match self.history_order.front() {
            Some((_, key)) if !matches!(self.history.get(key), Some(CommandState::Executing)) => {
                self.history.remove(key);
                self.history_order.pop_front();
                true
            }
            _ => false,
        }
    }

    /// Stores a final response that was sent.
    pub(super) fn on_response_sent(&mut self, to: SocketAddr, transaction: TransactionId, datagram: &[u8]) {
        if let Some(state) = self.history.get_mut(&(to, transaction)) {
            *state = CommandState::Responded(datagram.to_vec());
        }
    }

    /// Handles the value of a ResponseAck parameter, for example `6234-6236, 6240`. Invalid ranges are skipped.
    fn on_response_ack(&mut self, from: SocketAddr, ids: &str) {
        for range in ids.split(',').take(MAX_ACKNOWLEDGED_IDS) {
            let (first, last) = range.split_once('-').unwrap_or((range, range));
            let (Ok(first), Ok(last)) = (first.trim().parse::<u32>(), last.trim().parse::<u32>()) else {
                continue;
            };
            let limit = first.saturating_add(MAX_ACKNOWLEDGED_IDS as u32);
            for transaction in first..=last.min(limit) {
                self.on_acknowledged(from, transaction);
            }
        }
    }

    /// Drops the stored response of a command whose sender has acknowledged it.
    pub(super) fn on_acknowledged(&mut self, from: SocketAddr, transaction: TransactionId) {
        if let Some(state @ CommandState::Responded(_)) = self.history.get_mut(&(from, transaction)) {
            *state = CommandState::Acknowledged;
        }
    }

    /// Removes commands that are older than the history duration, including those that were never answered.
    pub(super) fn process(&mut self, now: Moment) {
        while let Some((received_at, key)) = self.history_order.front() {
            if now.since(*received_at) < self.config.history_duration {
                break;
            }
            self.history.remove(key);
            self.history_order.pop_front();
        }
    }

    /// Returns the number of commands in the history.
    pub(super) fn history(&self) -> usize {
        self.history.len()
    }
}
