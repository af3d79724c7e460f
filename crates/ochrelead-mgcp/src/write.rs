//! Encodes messages as a datagram.

use std::io::Write;

use crate::message::{Message, Parameters};

/// Bytes reserved for each message before it is encoded.
const TYPICAL_MESSAGE_LENGTH: usize = 160;

/// Encodes the messages as one datagram. Several messages are separated by a line with a dot (RFC 3435 section 3.5.5).
pub fn datagram(messages: &[Message]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(messages.len() * TYPICAL_MESSAGE_LENGTH);
    for (index, message) in messages.iter().enumerate() {
        if index > 0 {
            bytes.extend_from_slice(b".\r\n");
        }
        write_message(&mut bytes, message);
    }
    bytes
}

fn write_message(bytes: &mut Vec<u8>, message: &Message) {
    write_first_line(bytes, message);
    let (parameters, description) = match message {
        Message::Command(command) => (&command.parameters, &command.description),
        Message::Response(response) => (&response.parameters, &response.description),
    };
    write_parameters(bytes, parameters);
    if let Some(description) = description {
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(description);
    }
}

fn write_first_line(bytes: &mut Vec<u8>, message: &Message) {
    let result = match message {
        Message::Command(command) => {
            write!(bytes, "{} {} {} MGCP 1.0", command.verb.code(), command.transaction, command.endpoint)
        }
        Message::Response(response) if response.comment.is_empty() => {
            write!(bytes, "{:03} {}", response.code, response.transaction)
        }
        Message::Response(response) => {
            write!(bytes, "{:03} {} {}", response.code, response.transaction, response.comment)
        }
    };
    result.expect("writing to a vector never fails");
    bytes.extend_from_slice(b"\r\n");
}

fn write_parameters(bytes: &mut Vec<u8>, parameters: &Parameters) {
    for (name, value) in parameters.iter() {
        bytes.extend_from_slice(name.as_bytes());
        bytes.extend_from_slice(if value.is_empty() { b":" } else { b": " });
        bytes.extend_from_slice(value.as_bytes());
        bytes.extend_from_slice(b"\r\n");
    }
}
