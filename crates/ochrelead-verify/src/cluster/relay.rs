//! A relay for all datagrams between fronts, with a socket for each pair of sender and recipient. It injects network
//! faults.

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

/// Interval at which a waiting thread checks whether the relay is closed.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Larger than any valid datagram, so that the size of an oversized one is seen.
const BUFFER_SIZE: usize = 512;
const RNG_SEED: u64 = 5;
/// An encoded part of an unknown kind, followed by an unknown field.
const UNKNOWN_PARTS: [u8; 7] = [0x22, 3, 0xfa, 0x01, 0, 0x78, 9];

/// The network faults that the relay injects.
#[derive(Clone, Debug, Default)]
pub struct NetworkFaults {
    /// Links that drop all datagrams, each as a pair of sender and recipient.
    pub cut: Vec<(u32, u32)>,
    /// Probability that a datagram is lost.
    pub loss: f64,
    /// Probability that a datagram is duplicated.
    pub duplicates: f64,
    /// Upper bound of the random delay of each datagram. Different delays reorder datagrams.
    pub delay: Duration,
    /// Probability that a datagram is delayed by `very_late_delay` as well.
    pub very_late: f64,
    /// Additional delay of very late datagrams.
    pub very_late_delay: Duration,
    /// A front whose datagrams are rewritten to a newer protocol version with unknown parts. Has no effect together
    /// with a mutation.
    pub newer_front: Option<u32>,
    /// A mutation of lease messages.
    pub mutation: Option<Mutation>,
}

/// Counters of the datagrams that a relay received from fronts, before any faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayStats {
    /// Number of datagrams.
    pub datagrams: u64,
    /// Total size, in bytes.
    pub bytes: u64,
    /// Size of the longest datagram, in bytes.
    pub longest: u64,
}

/// A datagram that waits for its time of delivery.
struct InFlight {
    arrives_at: Instant,
    sequence: u64,
    /// Index of the socket that sends it.
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

/// Reverses the order, because [`BinaryHeap`] is a max-heap and the earliest datagram is sent first.
impl Ord for InFlight {
    fn cmp(&self, other: &Self) -> Ordering {
        other.key().cmp(&self.key())
    }
}

/// A datagram and the front that its recipient takes for the sender.
struct Outgoing {
    sender: u32,
    bytes: Vec<u8>,
}

/// The link of a receiving thread.
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
    /// Signals that `in_flight` has new datagrams or that the relay is closed.
    wakes_sender: Condvar,
    is_closed: AtomicBool,
    datagrams: AtomicU64,
    bytes: AtomicU64,
    longest: AtomicU64,
    /// When each front last sent verdicts as the observer of its zone.
    observers: Mutex<BTreeMap<u32, Instant>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A relay for all datagrams between fronts. Dropping it stops its threads.
pub struct Relay {
    addresses: Vec<SocketAddr>,
    shared: Arc<Shared>,
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.is_closed.store(true, atomic::Ordering::Relaxed);
        self.shared.wakes_sender.notify_all();
    }
}

/// Rewrites a datagram as a newer version of the program would send it: with a higher version, and with an unknown
/// part and an unknown field if they fit.
fn as_newer_version(bytes: &[u8]) -> Vec<u8> {
    let mut bytes = bytes.to_vec();
    // The version is the first field; its value takes one byte.
    if let [0x08, version, ..] = bytes.as_mut_slice() {
        *version = u8::try_from(VERSION + 1).expect("the version number fits in a byte");
    }
    if bytes.len() + UNKNOWN_PARTS.len() < MAX_DATAGRAM_SIZE {
        bytes.extend(UNKNOWN_PARTS);
    }
    bytes
}

/// Whether a part holds the verdicts of a zone's observer.
fn is_verdicts(part: &Part) -> bool {
    let Some(Kind::Zone(bytes)) = &part.kind else { return false };
    matches!(zone_codec::decode(bytes), Some(Message::Verdicts { .. }))
}

/// Applies a mutation to the lease messages of a datagram. Returns a datagram for each apparent sender.
fn mutate(mutation: Mutation, bytes: &[u8]) -> Vec<Outgoing> {
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
    let outgoing = |(MemberId { front, incarnation }, parts)| Outgoing {
        sender: front,
        bytes: Datagram { version, front, incarnation, parts }.encode_to_vec(),
    };
    parts_by_sender.into_iter().map(outgoing).collect()
}

impl Relay {
    /// Starts a relay for fronts that listen at the addresses that `front_address` returns.
    ///
    /// # Errors
    ///
    /// Returns an error if a socket can't be opened.
    pub fn start(fronts: u32, front_address: impl Fn(u32) -> SocketAddr) -> io::Result<Relay> {
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
            rng: Mutex::new(Pcg64Mcg::seed_from_u64(RNG_SEED)),
            in_flight: Mutex::new(BinaryHeap::new()),
            wakes_sender: Condvar::new(),
            is_closed: AtomicBool::new(false),
            datagrams: AtomicU64::new(0),
            bytes: AtomicU64::new(0),
            longest: AtomicU64::new(0),
            observers: Mutex::new(BTreeMap::new()),
        });
        for sender in 0..fronts {
            for recipient in (0..fronts).filter(|recipient| *recipient != sender) {
                let socket = Arc::clone(&sockets[shared.socket_index(sender, recipient)]);
                let link = Link { sender, recipient, recipient_address: front_address(recipient) };
                let shared = Arc::clone(&shared);
                thread::spawn(move || shared.receive(&socket, link));
            }
        }
        let sender = Arc::clone(&shared);
        thread::spawn(move || sender.send_scheduled(&sockets));
        Ok(Relay { addresses, shared })
    }

    /// The address to which one front sends datagrams for another.
    pub fn address(&self, sender: u32, recipient: u32) -> SocketAddr {
        self.addresses[self.shared.socket_index(sender, recipient)]
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: NetworkFaults) {
        *lock(&self.shared.faults) = faults;
    }

    /// The fronts that sent verdicts as the observers of their zones less than `within` ago.
    pub fn observers(&self, within: Duration) -> Vec<u32> {
        let observers = lock(&self.shared.observers);
        let recent = observers.iter().filter(|(_, sent_at)| sent_at.elapsed() < within);
        recent.map(|(front, _)| *front).collect()
    }

    /// Counters of the datagrams received so far.
    pub fn stats(&self) -> RelayStats {
        let load = |count: &AtomicU64| count.load(atomic::Ordering::Relaxed);
        let Shared { datagrams, bytes, longest, .. } = &*self.shared;
        RelayStats { datagrams: load(datagrams), bytes: load(bytes), longest: load(longest) }
    }
}

impl Shared {
    /// Index of the socket that receives what `sender` sends to `recipient`. The relay sends it on by the socket at
    /// index `(recipient, sender)`, whose address the recipient knows as that of the sender.
    fn socket_index(&self, sender: u32, recipient: u32) -> usize {
        (sender * self.fronts + recipient) as usize
    }

    fn is_closed(&self) -> bool {
        self.is_closed.load(atomic::Ordering::Relaxed)
    }

    /// Receives the datagrams of a link until the relay is closed.
    fn receive(&self, socket: &UdpSocket, link: Link) {
        let mut buffer = [0; BUFFER_SIZE];
        while !self.is_closed() {
            let Ok((length, _)) = socket.recv_from(&mut buffer) else { continue };
            let bytes = &buffer[..length];
            self.count(bytes, link.sender);
            self.schedule(bytes, link);
        }
    }

    fn count(&self, bytes: &[u8], sender: u32) {
        let length = bytes.len() as u64;
        self.datagrams.fetch_add(1, atomic::Ordering::Relaxed);
        self.bytes.fetch_add(length, atomic::Ordering::Relaxed);
        self.longest.fetch_max(length, atomic::Ordering::Relaxed);
        if let Ok(datagram) = Datagram::decode(bytes)
            && datagram.parts.iter().any(is_verdicts)
        {
            lock(&self.observers).insert(sender, Instant::now());
        }
    }

    /// Applies the current faults to a datagram and schedules what remains of it for sending.
    fn schedule(&self, bytes: &[u8], link: Link) {
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
            let outgoing = match faults.mutation {
                Some(mutation) => mutate(mutation, bytes),
                None if faults.newer_front == Some(sender) => {
                    vec![Outgoing { sender, bytes: as_newer_version(bytes) }]
                }
                None => vec![Outgoing { sender, bytes: bytes.to_vec() }],
            };
            let arrives_at = Instant::now() + delay;
            // A mutation can name the recipient itself as the sender; such a datagram is dropped.
            for Outgoing { sender, bytes } in
                outgoing.into_iter().filter(|datagram| datagram.sender != recipient)
            {
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
        self.wakes_sender.notify_one();
    }

    /// Sends the scheduled datagrams when they are due, until the relay is closed.
    fn send_scheduled(&self, sockets: &[Arc<UdpSocket>]) {
        let mut in_flight = lock(&self.in_flight);
        while !self.is_closed() {
            let now = Instant::now();
            while in_flight.peek().is_some_and(|next| next.arrives_at <= now) {
                if let Some(next) = in_flight.pop() {
                    let _ = sockets[next.socket].send_to(&next.bytes, next.recipient);
                }
            }
            let wait = in_flight.peek().map_or(POLL_INTERVAL, |next| next.arrives_at - now);
            let waited = self.wakes_sender.wait_timeout(in_flight, wait);
            in_flight = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}
