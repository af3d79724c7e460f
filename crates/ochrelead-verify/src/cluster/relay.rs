//! All datagrams between fronts go through a relay: a socket for each sender and recipient, and faults on the way.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::atomic::{self, AtomicBool, AtomicU64};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use ochrelead_gossip::schema::{Datagram, Part, part::Kind};
use ochrelead_gossip::wire::MAX_DATAGRAM_SIZE;
use ochrelead_gossip::{MemberId, VERSION};
use ochrelead_lease::codec as lease_codec;
use ochrelead_zone::codec as zone_codec;
use ochrelead_zone::message::Message;
use prost::Message as _;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::mutation::{FaultyProxy, Mutation};

/// How long a thread waits before it looks whether the relay is closed.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Longer than any datagram, so that one that is too long shows.
const BUFFER_SIZE: usize = 512;
/// A part of an unknown kind, and an unknown field.
const UNKNOWN_PARTS: [u8; 7] = [0x22, 3, 0xfa, 0x01, 0, 0x78, 9];

/// What happens to datagrams.
#[derive(Clone, Debug, Default)]
pub struct NetworkFaults {
    /// Links that are cut, each from a sender to a recipient.
    pub cut: Vec<(u32, u32)>,
    /// The share of datagrams that are lost.
    pub loss: f64,
    /// The share of datagrams that arrive twice.
    pub duplicates: f64,
    /// Each takes up to so much longer, so that they overtake each other.
    pub delay: Duration,
    /// The share of datagrams that are very late.
    pub very_late: f64,
    /// How much longer a very late one takes.
    pub very_late_delay: Duration,
    /// A front whose datagrams are of a newer version, with parts that nobody knows yet.
    pub newer_front: Option<u32>,
    /// What is wrong on purpose with messages about leases.
    pub mutation: Option<Mutation>,
}

/// What went through a relay, as fronts sent it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayStats {
    /// How many datagrams.
    pub datagrams: u64,
    /// Their bytes.
    pub bytes: u64,
    /// The bytes of the longest.
    pub longest: u64,
}

/// A datagram on its way.
struct InFlight {
    arrives_at: Instant,
    sequence: u64,
    /// The socket that it leaves by.
    socket: usize,
    recipient: SocketAddr,
    bytes: Vec<u8>,
}

impl InFlight {
    fn key(&self) -> (Instant, u64) {
        (self.arrives_at, self.sequence)
    }
}

impl PartialEq for InFlight {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for InFlight {}

impl PartialOrd for InFlight {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// Reversed, so that the earliest is the greatest.
impl Ord for InFlight {
    fn cmp(&self, other: &Self) -> Ordering {
        other.key().cmp(&self.key())
    }
}

/// A datagram, and the front that it seems to come from.
struct Arrival {
    sender: u32,
    bytes: Vec<u8>,
}

/// The link that a thread of the relay serves.
#[derive(Clone, Copy)]
struct Link {
    sender: u32,
    recipient: u32,
    recipient_address: SocketAddr,
}

struct Shared {
    fronts: u32,
    faults: Mutex<NetworkFaults>,
    rng: Mutex<Pcg64Mcg>,
    in_flight: Mutex<BinaryHeap<InFlight>>,
    has_more: Condvar,
    is_closed: AtomicBool,
    datagrams: AtomicU64,
    bytes: AtomicU64,
    longest: AtomicU64,
    /// When each front last spoke as its zone's observer.
    observers: Mutex<BTreeMap<u32, Instant>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The relay.
pub struct Relay {
    addresses: Vec<SocketAddr>,
    shared: Arc<Shared>,
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.is_closed.store(true, atomic::Ordering::Relaxed);
        self.shared.has_more.notify_all();
    }
}

/// A datagram as a newer version of the program would send it: its version raised, with a part and a field that do not
/// exist.
fn as_newer_version(bytes: &[u8]) -> Vec<u8> {
    let mut bytes = bytes.to_vec();
    // The version is the first field, one byte long.
    if let [0x08, version, ..] = bytes.as_mut_slice() {
        *version = u8::try_from(VERSION + 1).expect("versions are small");
    }
    if bytes.len() + UNKNOWN_PARTS.len() < MAX_DATAGRAM_SIZE {
        bytes.extend(UNKNOWN_PARTS);
    }
    bytes
}

/// Whether a part is a message of a zone's observer.
fn is_of_observer(part: &Part) -> bool {
    let Some(Kind::Zone(bytes)) = &part.kind else { return false };
    matches!(zone_codec::decode(bytes), Some(Message::Verdicts { .. }))
}

/// What a mutation makes of a datagram.
fn mutate(mutation: Mutation, bytes: &[u8]) -> Vec<Arrival> {
    let Ok(datagram) = Datagram::decode(bytes) else { return Vec::new() };
    let sender = MemberId { front: datagram.front, incarnation: datagram.incarnation };
    let mut parts_by_sender: Vec<(MemberId, Vec<Part>)> = vec![(sender, Vec::new())];
    for part in datagram.parts {
        let Some(Kind::Lease(bytes)) = &part.kind else {
            parts_by_sender[0].1.push(part);
            continue;
        };
        let Some(message) = lease_codec::decode(bytes) else { continue };
        for delivery in FaultyProxy::new(Some(mutation)).deliver(sender, &message, 0) {
            let part = Part { kind: Some(Kind::Lease(lease_codec::encode(&delivery.message))) };
            match parts_by_sender.iter_mut().find(|(known, _)| *known == delivery.sender) {
                Some((_, parts)) => parts.push(part),
                None => parts_by_sender.push((delivery.sender, vec![part])),
            }
        }
    }
    let version = datagram.version;
    let arrival = |(MemberId { front, incarnation }, parts)| Arrival {
        sender: front,
        bytes: Datagram { version, front, incarnation, parts }.encode_to_vec(),
    };
    parts_by_sender.into_iter().map(arrival).collect()
}

impl Relay {
    /// Starts a relay for fronts that listen at these addresses.
    ///
    /// # Errors
    ///
    /// Where sockets can't be made.
    pub fn start(fronts: u32, address: impl Fn(u32) -> SocketAddr) -> io::Result<Relay> {
        let mut sockets = Vec::new();
        for _ in 0..fronts * fronts {
            let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
            socket.set_read_timeout(Some(POLL_INTERVAL))?;
            sockets.push(Arc::new(socket));
        }
        let addresses = sockets.iter().map(|socket| socket.local_addr()).collect::<Result<_, _>>()?;
        let shared = Arc::new(Shared {
            fronts,
            faults: Mutex::new(NetworkFaults::default()),
            rng: Mutex::new(Pcg64Mcg::seed_from_u64(5)),
            in_flight: Mutex::new(BinaryHeap::new()),
            has_more: Condvar::new(),
            is_closed: AtomicBool::new(false),
            datagrams: AtomicU64::new(0),
            bytes: AtomicU64::new(0),
            longest: AtomicU64::new(0),
            observers: Mutex::new(BTreeMap::new()),
        });
        for sender in 0..fronts {
            for recipient in (0..fronts).filter(|recipient| *recipient != sender) {
                let socket = Arc::clone(&sockets[shared.socket_index(sender, recipient)]);
                let link = Link { sender, recipient, recipient_address: address(recipient) };
                let shared = Arc::clone(&shared);
                thread::spawn(move || shared.receive(&socket, link));
            }
        }
        let sender = Arc::clone(&shared);
        thread::spawn(move || sender.send(&sockets));
        Ok(Relay { addresses, shared })
    }

    /// Where one front reaches another.
    pub fn address(&self, sender: u32, recipient: u32) -> SocketAddr {
        self.addresses[self.shared.socket_index(sender, recipient)]
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: NetworkFaults) {
        *lock(&self.shared.faults) = faults;
    }

    /// The fronts that spoke as observers of their zones within a time.
    pub fn observers(&self, within: Duration) -> Vec<u32> {
        let observers = lock(&self.shared.observers);
        let recent = observers.iter().filter(|(_, spoke_at)| spoke_at.elapsed() < within);
        recent.map(|(front, _)| *front).collect()
    }

    /// What went through it.
    pub fn stats(&self) -> RelayStats {
        let load = |count: &AtomicU64| count.load(atomic::Ordering::Relaxed);
        let Shared { datagrams, bytes, longest, .. } = &*self.shared;
        RelayStats { datagrams: load(datagrams), bytes: load(bytes), longest: load(longest) }
    }
}

impl Shared {
    /// What a sender sends to a recipient comes to this socket; it leaves by the socket at which the recipient knows
    /// the sender.
    fn socket_index(&self, sender: u32, recipient: u32) -> usize {
        (sender * self.fronts + recipient) as usize
    }

    fn is_closed(&self) -> bool {
        self.is_closed.load(atomic::Ordering::Relaxed)
    }

    fn receive(&self, socket: &UdpSocket, link: Link) {
        let mut buffer = [0; BUFFER_SIZE];
        while !self.is_closed() {
            let Ok((length, _)) = socket.recv_from(&mut buffer) else { continue };
            let bytes = &buffer[..length];
            self.count(bytes, link.sender);
            self.forward(bytes, link);
        }
    }

    fn count(&self, bytes: &[u8], sender: u32) {
        let length = bytes.len() as u64;
        self.datagrams.fetch_add(1, atomic::Ordering::Relaxed);
        self.bytes.fetch_add(length, atomic::Ordering::Relaxed);
        self.longest.fetch_max(length, atomic::Ordering::Relaxed);
        if let Ok(datagram) = Datagram::decode(bytes)
            && datagram.parts.iter().any(is_of_observer)
        {
            lock(&self.observers).insert(sender, Instant::now());
        }
    }

    /// Sends a datagram on its way, with the faults that are in force.
    fn forward(&self, bytes: &[u8], link: Link) {
        let Link { sender, recipient, recipient_address } = link;
        let faults = lock(&self.faults).clone();
        let mut rng = lock(&self.rng);
        if faults.cut.contains(&(sender, recipient)) || rng.random_bool(faults.loss) {
            return;
        }
        let copies = 1 + u32::from(rng.random_bool(faults.duplicates));
        let mut in_flight = lock(&self.in_flight);
        for _ in 0..copies {
            let mut delay = faults.delay.mul_f64(rng.random_range(0.0..1.0));
            if rng.random_bool(faults.very_late) {
                delay += faults.very_late_delay;
            }
            let arrivals = match faults.mutation {
                Some(mutation) => mutate(mutation, bytes),
                None if faults.newer_front == Some(sender) => {
                    vec![Arrival { sender, bytes: as_newer_version(bytes) }]
                }
                None => vec![Arrival { sender, bytes: bytes.to_vec() }],
            };
            let arrives_at = Instant::now() + delay;
            for Arrival { sender, bytes } in arrivals.into_iter().filter(|one| one.sender != recipient) {
                let sequence = in_flight.len() as u64;
                let socket = self.socket_index(recipient, sender);
                in_flight.push(InFlight {
                    arrives_at,
                    sequence,
                    socket,
                    recipient: recipient_address,
                    bytes,
                });
            }
        }
        self.has_more.notify_one();
    }

    fn send(&self, sockets: &[Arc<UdpSocket>]) {
        let mut in_flight = lock(&self.in_flight);
        while !self.is_closed() {
            let now = Instant::now();
            while in_flight.peek().is_some_and(|next| next.arrives_at <= now) {
                if let Some(next) = in_flight.pop() {
                    let _ = sockets[next.socket].send_to(&next.bytes, next.recipient);
                }
            }
            let wait = in_flight.peek().map_or(POLL_INTERVAL, |next| next.arrives_at - now);
            let waited = self.has_more.wait_timeout(in_flight, wait);
            in_flight = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}
