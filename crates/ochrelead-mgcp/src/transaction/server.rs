//! Commands that were received: each is executed at most once, and repeats are answered from the history.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

use ochrelead_core::time::Moment;

use super::config::TransactionConfig;
use super::event::TransactionEvent;
use super::{MAX_ACKNOWLEDGEMENTS, OutputQueues};
use crate::message::{Command, Response, TransactionId, code, parameter};

/// A bound on the ranges of a ResponseAck parameter, and on the ids of a range.
const MAX_ACKNOWLEDGED_IDS: usize = MAX_ACKNOWLEDGEMENTS * 4;

/// A transaction of a peer.
type TransactionKey = (SocketAddr, TransactionId);

/// What is known of a command that was received.
enum CommandState {
    /// It has no final response yet.
    Executing,
    /// The datagram of its response, for repeated commands.
    Responded(Vec<u8>),
    /// Its sender has the response: a repeat that comes late gets none.
    Acknowledged,
}

/// The transactions that peers have begun.
pub(super) struct ServerTransactions {
    config: TransactionConfig,
    history: HashMap<TransactionKey, CommandState>,
    history_order: VecDeque<(Moment, TransactionKey)>,
}

impl ServerTransactions {
    pub(super) fn new(config: TransactionConfig) -> ServerTransactions {
        ServerTransactions { config, history: HashMap::new(), history_order: VecDeque::new() }
    }

    /// A command was received.
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

    /// Forgets the oldest command. One that is being executed is not forgotten: it would be executed twice.
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

    /// A response was sent.
    pub(super) fn on_response_sent(&mut self, to: SocketAddr, transaction: TransactionId, datagram: &[u8]) {
        if let Some(state) = self.history.get_mut(&(to, transaction)) {
            *state = CommandState::Responded(datagram.to_vec());
        }
    }

    /// The value of a ResponseAck parameter, as in `6234-6236, 6240`. What is wrong in it is skipped.
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

    /// A peer has a response.
    pub(super) fn on_acknowledged(&mut self, from: SocketAddr, transaction: TransactionId) {
        if let Some(state @ CommandState::Responded(_)) = self.history.get_mut(&(from, transaction)) {
            *state = CommandState::Acknowledged;
        }
    }

    /// Forgets what is too old, also commands that were never answered.
    pub(super) fn process(&mut self, now: Moment) {
        while let Some((received_at, key)) = self.history_order.front() {
            if now.since(*received_at) < self.config.history_duration {
                break;
            }
            self.history.remove(key);
            self.history_order.pop_front();
        }
    }

    /// How many commands are remembered.
    pub(super) fn history(&self) -> usize {
        self.history.len()
    }
}
