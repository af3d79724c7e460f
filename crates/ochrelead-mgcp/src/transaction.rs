//! Transactions over datagrams that may be lost, duplicated and delayed (RFC 3435 sections 3.5 and 4.3).
//!
//! The host hands in datagrams and its clock, and polls datagrams and events until there is none left. A command that
//! was sent is retransmitted with exponential back-off until it is answered, abandoned or has timed out (`client`). A
//! command that was received is reported once; its response is kept, and a repeat is answered from there (`server`).

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

/// The most responses that one command acknowledges.
const MAX_ACKNOWLEDGEMENTS: usize = 8;

/// As many commands as there may be wait for a response already.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0} commands wait for an answer already")]
pub struct TooManyOutstanding(pub usize);

/// How much a [`TransactionLayer`] holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TransactionLoad {
    /// Commands that wait for a response.
    pub outstanding: usize,
    /// Commands of peers that are remembered.
    pub history: usize,
}

/// What waits to be polled.
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

/// The transactions of one party with all its peers.
pub struct TransactionLayer {
    client: ClientTransactions,
    server: ServerTransactions,
    outputs: OutputQueues,
}

impl TransactionLayer {
    /// No transactions. Their ids begin behind `first_transaction`, which has to be another at each start: otherwise
    /// responses to an earlier process of this party would be taken for those of this one.
    pub fn new(config: TransactionConfig, first_transaction: u32) -> TransactionLayer {
        TransactionLayer {
            client: ClientTransactions::new(config, first_transaction),
            server: ServerTransactions::new(config),
            outputs: OutputQueues::default(),
        }
    }

    /// Sends a command and retransmits it until it is answered. Its transaction id is assigned here and returned.
    ///
    /// # Errors
    ///
    /// As many commands as there may be wait for a response.
    pub fn send_command(
        &mut self,
        now: Moment,
        to: SocketAddr,
        command: Command,
    ) -> Result<TransactionId, TooManyOutstanding> {
        self.send_command_with_limit(now, to, command, u32::MAX)
    }

    /// Like [`TransactionLayer::send_command`], with at most so many retransmissions.
    ///
    /// # Errors
    ///
    /// As many commands as there may be wait for a response.
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

    /// Stops waiting for a response: the command is not retransmitted any more. A response that comes all the same is
    /// reported as [`ResponseMatch::Late`].
    pub fn abandon(&mut self, now: Moment, transaction: TransactionId) {
        self.client.abandon(now, transaction);
    }

    /// Responds to a command that was reported. After a provisional response a final one is still owed.
    pub fn respond(&mut self, to: SocketAddr, response: Response) {
        let (transaction, is_final) = (response.transaction, !response.is_provisional());
        let datagram = write::datagram(&[Message::Response(response)]);
        if is_final {
            self.server.on_response_sent(to, transaction, &datagram);
        }
        self.outputs.datagrams.push_back((to, datagram));
    }

    /// Handles a datagram that was received.
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
        // An empty ResponseAck asks for an acknowledgement at once (RFC 3435 section 3.5.6).
        if response.parameters.get(parameter::RESPONSE_ACK).is_some_and(str::is_empty) {
            self.outputs.push_response(from, Response::new(code::ACKNOWLEDGED, transaction));
        }
        if let Some(matched) = self.client.on_final_response(now, from, transaction) {
            self.outputs.events.push_back(TransactionEvent::ResponseReceived { from, response, matched });
        }
    }

    /// Retransmits, times out and forgets what is due.
    pub fn process(&mut self, now: Moment) {
        self.client.process(now, &mut self.outputs);
        self.server.process(now);
    }

    /// When [`TransactionLayer::process`] is due although nothing was received.
    pub fn poll_timeout(&self) -> Option<Moment> {
        self.client.poll_timeout()
    }

    /// The next datagram to send, and its destination.
    pub fn poll_datagram(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.outputs.datagrams.pop_front()
    }

    /// The next event.
    pub fn poll_event(&mut self) -> Option<TransactionEvent> {
        self.outputs.events.pop_front()
    }

    /// How much it holds.
    pub fn load(&self) -> TransactionLoad {
        TransactionLoad { outstanding: self.client.outstanding(), history: self.server.history() }
    }
}
