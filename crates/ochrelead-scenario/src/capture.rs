//! Packet captures. Each datagram is recorded twice: when it is sent (time to live 64) and when it is delivered (63,
//! one hop later). A lost datagram has only the first record.
//!
//! Events of the test harness are recorded as datagrams from 10.0.0.1 to itself ([`crate::harness_event`]).

use std::fs::File;
use std::io::{self, BufReader, BufWriter, Read, Write};
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::time::Duration;

use etherparse::err::packet::{BuildWriteError, SliceError};
use etherparse::{NetSlice, PacketBuilder, SlicedPacket, TransportSlice};
use ochrelead_core::time::Moment;
use pcap_file::pcap::{PcapHeader, PcapPacket, PcapReader, PcapWriter};
use pcap_file::{DataLink, PcapError, TsResolution};
use thiserror::Error;

use crate::participant::Participant;

/// The time to live in the record of a sent datagram.
const TTL_SENT: u8 = 64;
/// The time to live in the record of a delivered datagram.
const TTL_DELIVERED: u8 = 63;

/// The error when a capture can't be written or read.
#[derive(Debug, Error)]
pub enum CaptureError {
    /// An error in a file, with the cause as source.
    #[error("{}", path.display())]
    File {
        /// The capture file.
        path: PathBuf,
        /// The cause.
        source: Box<CaptureError>,
    },
    /// The file can't be opened, read or written.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The file is not a valid pcap file.
    #[error(transparent)]
    Pcap(#[from] PcapError),
    /// A packet can't be parsed.
    #[error(transparent)]
    ReadPacket(#[from] SliceError),
    /// A packet can't be built.
    #[error(transparent)]
    WritePacket(#[from] BuildWriteError),
    /// A packet is not UDP over IPv4.
    #[error("packet {number} of the capture is not UDP over IPv4")]
    UnexpectedProtocol {
        /// The packet's number, from 1.
        number: usize,
    },
    /// The address of a packet's sender or receiver represents no participant.
    #[error("packet {number} of the capture: the sender or receiver address is not that of a participant")]
    UnknownParticipant {
        /// The packet's number, from 1.
        number: usize,
    },
}

/// One record of a capture: a datagram that was sent, or one that was delivered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CapturedDatagram {
    /// When it was recorded, on the test harness's clock.
    pub time: Moment,
    /// Its sender.
    pub from: Participant,
    /// Its receiver.
    pub to: Participant,
    /// Whether this is the record of its delivery (true) or of its sending (false).
    pub delivered: bool,
    /// Its payload.
    pub bytes: Vec<u8>,
}

/// Writes a capture.
pub struct CaptureWriter<W: Write> {
    pcap: PcapWriter<W>,
}

impl CaptureWriter<BufWriter<File>> {
    /// Creates a capture file.
    ///
    /// # Errors
    ///
    /// If the file can't be created or written.
    pub fn create(path: &Path) -> Result<Self, CaptureError> {
        let file = File::create(path).map_err(|error| in_file(path, error.into()))?;
        CaptureWriter::new(BufWriter::new(file))
    }
}

impl<W: Write> CaptureWriter<W> {
    /// Writes the header of a capture to `target`.
    ///
    /// # Errors
    ///
    /// If the header can't be written.
    pub fn new(target: W) -> Result<Self, CaptureError> {
        let header = PcapHeader {
            datalink: DataLink::RAW,
            ts_resolution: TsResolution::MicroSecond,
            ..PcapHeader::default()
        };
        Ok(CaptureWriter { pcap: PcapWriter::with_header(target, header)? })
    }

    /// Appends one record.
    ///
    /// # Errors
    ///
    /// If the datagram is too long for an IPv4 packet, or can't be written.
    pub fn write(&mut self, datagram: &CapturedDatagram) -> Result<(), CaptureError> {
        let (from, to) = (datagram.from.capture_address(), datagram.to.capture_address());
        let time_to_live = if datagram.delivered { TTL_DELIVERED } else { TTL_SENT };
        let packet = PacketBuilder::ipv4(from.ip().octets(), to.ip().octets(), time_to_live)
            .udp(from.port(), to.port());
        let mut bytes = Vec::with_capacity(packet.size(datagram.bytes.len()));
        packet.write(&mut bytes, &datagram.bytes)?;
        let timestamp = Duration::from_micros(datagram.time.micros());
        let packet = PcapPacket::new_owned(timestamp, bytes.len() as u32, bytes);
        self.pcap.write_packet(&packet)?;
        Ok(())
    }

    /// Flushes buffered records.
    ///
    /// # Errors
    ///
    /// If they can't be written.
    pub fn finish(self) -> Result<(), CaptureError> {
        Ok(self.pcap.into_writer().flush()?)
    }
}

/// Reads a capture file.
///
/// # Errors
///
/// If the file can't be opened, and as for [`read_from`]; the error names the file.
pub fn read_file(path: &Path) -> Result<Vec<CapturedDatagram>, CaptureError> {
    let file = File::open(path).map_err(|error| in_file(path, error.into()))?;
    read_from(BufReader::new(file)).map_err(|error| in_file(path, error))
}

/// Reads a capture.
///
/// # Errors
///
/// If it can't be read, or contains anything but UDP datagrams between participants.
pub fn read_from(source: impl Read) -> Result<Vec<CapturedDatagram>, CaptureError> {
    let mut pcap = PcapReader::new(source)?;
    let mut datagrams = Vec::new();
    while let Some(packet) = pcap.next_packet() {
        datagrams.push(parse_packet(&packet?, datagrams.len() + 1)?);
    }
    Ok(datagrams)
}

fn parse_packet(packet: &PcapPacket<'_>, number: usize) -> Result<CapturedDatagram, CaptureError> {
    let sliced = SlicedPacket::from_ip(&packet.data)?;
    let (Some(NetSlice::Ipv4(ip)), Some(TransportSlice::Udp(udp))) = (&sliced.net, &sliced.transport) else {
        return Err(CaptureError::UnexpectedProtocol { number });
    };
    let participant = |ip, port| {
        Participant::from_capture_address(SocketAddrV4::new(ip, port))
            .ok_or(CaptureError::UnknownParticipant { number })
    };
    Ok(CapturedDatagram {
        time: Moment::from_micros(packet.timestamp.as_micros() as u64),
        from: participant(ip.header().source_addr(), udp.source_port())?,
        to: participant(ip.header().destination_addr(), udp.destination_port())?,
        delivered: ip.header().ttl() < TTL_SENT,
        bytes: udp.payload().to_vec(),
    })
}

fn in_file(path: &Path, source: CaptureError) -> CaptureError {
    CaptureError::File { path: path.to_owned(), source: Box::new(source) }
}
