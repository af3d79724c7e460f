//! The plain UDP relay with which a front is compared.

use std::net::{SocketAddr, SocketAddrV4, UdpSocket};

use super::LoadError;
use crate::loopback::MAX_DATAGRAM;

/// Forwards datagrams from `callers` to `server`, and all others to `callers`; returns only with an error.
///
/// # Errors
///
/// If it can't listen, or its socket fails.
pub fn run_relay(listen: SocketAddrV4, callers: SocketAddrV4, server: SocketAddrV4) -> Result<(), LoadError> {
    let socket = UdpSocket::bind(listen).map_err(|error| LoadError::listen(listen, error))?;
    let mut buffer = [0; MAX_DATAGRAM];
    loop {
        let (length, from) = socket.recv_from(&mut buffer)?;
        let to = if from == SocketAddr::V4(callers) { server } else { callers };
        socket.send_to(&buffer[..length], to)?;
    }
}
