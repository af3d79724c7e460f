//! From messages to a datagram.

use std::io::Write;

use crate::message::{Message, Parameters};

/// The messages as one datagram; several are piggybacked (RFC 3435 section 3.5.5).
pub fn datagram(messages: &[Message]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(messages.len() * 160);
    for (at, message) in messages.iter().enumerate() {
        if at > 0 {
            bytes.extend_from_slice(b".\r\n");
        }
        put(&mut bytes, message);
    }
    bytes
}

fn put(bytes: &mut Vec<u8>, message: &Message) {
    let written = match message {
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
    written.expect("a vector takes all that is written");
    bytes.extend_from_slice(b"\r\n");
    let (parameters, description) = match message {
        Message::Command(command) => (&command.parameters, &command.description),
        Message::Response(response) => (&response.parameters, &response.description),
    };
    lines(bytes, parameters);
    if let Some(description) = description {
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(description);
    }
}

fn lines(bytes: &mut Vec<u8>, parameters: &Parameters) {
    for (name, value) in parameters.iter() {
        bytes.extend_from_slice(name.as_bytes());
        bytes.extend_from_slice(if value.is_empty() { b":" } else { b": " });
        bytes.extend_from_slice(value.as_bytes());
        bytes.extend_from_slice(b"\r\n");
    }
}
