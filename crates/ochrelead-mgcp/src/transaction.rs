//! Transactions over datagrams that may be lost, duplicated and delayed (RFC 3435 sections 3.5 and 4.3).
//!
//! The layer does no I/O: the host passes in received datagrams and the current time, and polls datagrams and events
//! until both queues are empty. A command that was sent is retransmitted with exponential back-off until it is
//! answered, abandoned or timed out (`client`). A command that was received is reported once; its response is kept in
//! the history, from which retransmissions of the command are answered (`server`).

mod client;
mod config;
mod event;
mod rto;
mod server;

use std::collections::VecDeque;
use std::net::SocketAddr;

use ochrelead_core::time::Moment;

use crate::message::{Command, Message, Response, TransactionId, code, parameter};
use crate::parse::{self, MessageError};
use crate::write;
use client::ClientTransactions;
pub use config::TransactionConfig;
pub use event::{ResponseMatch, TransactionEvent};
use server::ServerTransactions;

/// Maximum number of responses that one command acknowledges.
const MAX_ACKNOWLEDGEMENTS: usize = 8;

/// The number of outstanding commands has reached [`TransactionConfig::max_outstanding`]. Holds that number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("limit of {0} outstanding commands reached")]
pub struct TooManyOutstanding(pub usize);

/// Table sizes of a [`TransactionLayer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TransactionLoad {
    /// Commands that were sent and wait for a response.
    pub outstanding: usize,
    /// Received commands in the history.
    pub history: usize,
}

/// Datagrams and events that the host has not polled yet.
#[derive(Default)]
struct OutputQueues {
    datagrams: VecDeque<(SocketAddr, Vec<u8>)>,
    events: VecDeque<TransactionEvent>,
}

impl OutputQueues {
    fn push_response(&mut self, to: SocketAddr, response: Response) {
        self.datagrams.push_back((to, write::datagram(&[Message::Response(response)])));
    }
}

/// The MGCP transactions of one call agent or gateway with all its peers.
pub struct TransactionLayer {
    client: ClientTransactions,
    server: ServerTransactions,
    outputs: OutputQueues,
}

impl TransactionLayer {
    /// Creates a layer without transactions. Transaction ids are assigned from `first_transaction + 1` upwards.
    /// `first_transaction` must differ from one process start to the next; otherwise responses to commands of the
    /// previous process would be matched to commands of this one.
    pub fn new(config: TransactionConfig, first_transaction: u32) -> TransactionLayer {
        TransactionLayer {
            client: ClientTransactions::new(config, first_transaction),
            server: ServerTransactions::new(config),
            outputs: OutputQueues::default(),
        }
    }

    /// Sends a command and retransmits it until it is answered. Assigns its transaction id and returns it.
    ///
    /// # Errors
    ///
    /// [`TransactionConfig::max_outstanding`] commands already wait for a response.
    pub fn send_command(
        &mut self,
        now: Moment,
        to: SocketAddr,
        command: Command,
    ) -> Result<TransactionId, TooManyOutstanding> {
        self.send_command_with_limit(now, to, command, u32::MAX)
    }

    /// Like [`TransactionLayer::send_command`], with at most `max_retransmissions` retransmissions.
    ///
    /// # Errors
    ///
    /// [`TransactionConfig::max_outstanding`] commands already wait for a response.
    pub fn send_command_with_limit(
        &mut self,
        now: Moment,
        to: SocketAddr,
        command: Command,
        max_retransmissions: u32,
    ) -> Result<TransactionId, TooManyOutstanding> {
        let (transaction, datagram) = self.client.begin(now, to, command, max_retransmissions)?;
        self.outputs.datagrams.push_back((to, datagram));
        Ok(transaction)
    }

    /// Stops waiting for a response and retransmitting the command. The first response that still arrives is reported
    /// as [`ResponseMatch::Late`].
    pub fn abandon(&mut self, now: Moment, transaction: TransactionId) {
        self.client.abandon(now, transaction);
    }

    /// Responds to a command that was reported. A provisional response must be followed by a final one.
    pub fn respond(&mut self, to: SocketAddr, response: Response) {
        let (transaction, is_final) = (response.transaction, !response.is_provisional());
        let datagram = write::datagram(&[Message::Response(response)]);
        if is_final {
            self.server.on_response_sent(to, transaction, &datagram);
        }
        self.outputs.datagrams.push_back((to, datagram));
    }

    /// Handles a received datagram.
    pub fn handle_datagram(&mut self, now: Moment, from: SocketAddr, bytes: &[u8]) {
        let messages = match parse::datagram(bytes) {
            Ok(messages) => messages,
            Err(error) => {
                return self.outputs.events.push_back(TransactionEvent::InvalidDatagram { from, error });
            }
        };
        for message in messages {
            match message {
                Ok(Message::Command(command)) => {
                    self.server.on_command(now, from, command, &mut self.outputs);
                }
                Ok(Message::Response(response)) => self.handle_response(now, from, response),
                Err(error) => self.handle_invalid_message(from, error),
            }
        }
    }

    fn handle_invalid_message(&mut self, from: SocketAddr, error: MessageError) {
        if let Some(transaction) = error.transaction {
            self.outputs.push_response(from, Response::new(code::PROTOCOL_ERROR, transaction));
        }
        self.outputs.events.push_back(TransactionEvent::InvalidMessage { from, error });
    }

    fn handle_response(&mut self, now: Moment, from: SocketAddr, response: Response) {
        let transaction = response.transaction;
        if response.code == code::ACKNOWLEDGED {
            return self.server.on_acknowledged(from, transaction);
        }
        if response.is_provisional() {
            return self.client.on_provisional_response(now, from, transaction);
        }
        // An empty ResponseAck parameter requests an immediate acknowledgement (RFC 3435 section 3.5.6).
        if response.parameters.get(parameter::RESPONSE_ACK).is_some_and(str::is_empty) {
            self.outputs.push_response(from, Response::new(code::ACKNOWLEDGED, transaction));
        }
        if let Some(matched) = self.client.on_final_response(now, from, transaction) {
            self.outputs.events.push_back(TransactionEvent::ResponseReceived { from, response, matched });
        }
    }

    /// Sends due retransmissions, times out commands, and removes expired history entries.
    pub fn process(&mut self, now: Moment) {
        self.client.process(now, &mut self.outputs);
        self.server.process(now);
    }

    /// Returns when [`TransactionLayer::process`] must be called next if no datagram arrives before.
    pub fn poll_timeout(&self) -> Option<Moment> {
        self.client.poll_timeout()
    }

    /// Takes the next datagram to send, with its destination.
    pub fn poll_datagram(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.outputs.datagrams.pop_front()
    }

    /// Takes the next event.
    pub fn poll_event(&mut self) -> Option<TransactionEvent> {
        self.outputs.events.pop_front()
    }

    /// Returns the current table sizes.
    pub fn load(&self) -> TransactionLoad {
        TransactionLoad { outstanding: self.client.outstanding(), history: self.server.history() }
    }
}
