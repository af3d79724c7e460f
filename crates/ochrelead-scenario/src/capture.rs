//! The capture: every datagram twice, as it left its sender (time to live 64) and as it reached its receiver
//! (63, one hop on). One that got lost shows only the first. Marks of the rig are datagrams from 10.0.0.1.

use std::fs::File;
use std::io::{BufReader, BufWriter, Read, Write};
use std::net::SocketAddrV4;
use std::path::Path;
use std::time::Duration;

use anyhow::{Context, bail};
use etherparse::{NetSlice, PacketBuilder, SlicedPacket, TransportSlice};
use ochrelead_core::time::Moment;
use pcap_file::pcap::{PcapHeader, PcapPacket, PcapReader, PcapWriter};
use pcap_file::{DataLink, TsResolution};

use crate::party::Party;

const LEFT: u8 = 64;
const REACHED: u8 = 63;

/// One sight of a datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sight {
    pub at: Moment,
    pub from: Party,
    pub to: Party,
    /// It reached its receiver; else it left its sender.
    pub reached: bool,
    pub bytes: Vec<u8>,
}

/// Writes a capture.
pub struct Tape<W: Write> {
    pcap: PcapWriter<W>,
}

impl Tape<BufWriter<File>> {
    pub fn create(path: &Path) -> anyhow::Result<Self> {
        let file = File::create(path).with_context(|| format!("{}", path.display()))?;
        Tape::new(BufWriter::new(file))
    }
}

impl<W: Write> Tape<W> {
    pub fn new(to: W) -> anyhow::Result<Self> {
        let header = PcapHeader {
            datalink: DataLink::RAW,
            ts_resolution: TsResolution::MicroSecond,
            ..PcapHeader::default()
        };
        Ok(Tape { pcap: PcapWriter::with_header(to, header)? })
    }

    pub fn put(&mut self, sight: &Sight) -> anyhow::Result<()> {
        let (from, to) = (sight.from.shown(), sight.to.shown());
        let hops = if sight.reached { REACHED } else { LEFT };
        let packet =
            PacketBuilder::ipv4(from.ip().octets(), to.ip().octets(), hops).udp(from.port(), to.port());
        let mut bytes = Vec::with_capacity(packet.size(sight.bytes.len()));
        packet.write(&mut bytes, &sight.bytes)?;
        let packet =
            PcapPacket::new_owned(Duration::from_micros(sight.at.micros()), bytes.len() as u32, bytes);
        self.pcap.write_packet(&packet)?;
        Ok(())
    }

    pub fn finish(self) -> anyhow::Result<()> {
        Ok(self.pcap.into_writer().flush()?)
    }
}

/// Reads a capture.
pub fn read(path: &Path) -> anyhow::Result<Vec<Sight>> {
    let file = File::open(path).with_context(|| format!("{}", path.display()))?;
    sights(BufReader::new(file)).with_context(|| format!("{}", path.display()))
}

pub fn sights(from: impl Read) -> anyhow::Result<Vec<Sight>> {
    let mut pcap = PcapReader::new(from)?;
    let mut sights = Vec::new();
    while let Some(packet) = pcap.next_packet() {
        let packet = packet?;
        let sliced = SlicedPacket::from_ip(&packet.data)?;
        let (Some(NetSlice::Ipv4(ip)), Some(TransportSlice::Udp(udp))) = (&sliced.net, &sliced.transport)
        else {
            bail!("packet {}: not UDP over IPv4", sights.len() + 1);
        };
        let party = |address, port| Party::of_shown(SocketAddrV4::new(address, port));
        let from = party(ip.header().source_addr(), udp.source_port());
        let to = party(ip.header().destination_addr(), udp.destination_port());
        let (Some(from), Some(to)) = (from, to) else {
            bail!("packet {}: unknown parties", sights.len() + 1)
        };
        sights.push(Sight {
            at: Moment::from_micros(packet.timestamp.as_micros() as u64),
            from,
            to,
            reached: ip.header().ttl() < LEFT,
            bytes: udp.payload().to_vec(),
        });
    }
    Ok(sights)
}
