//! All datagrams between fronts go through here: a socket for each pair and direction, and what befalls them.

use std::collections::{BTreeMap, BinaryHeap};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use ochrelead_gossip::schema::{Datagram, Part, part::Kind};
use ochrelead_gossip::{MemberId, VERSION};
use ochrelead_lease::codec as lease_codec;
use ochrelead_zone::codec as zone_codec;
use ochrelead_zone::message::Message;
use prost::Message as _;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::mistake::{Meddler, Mistake};

/// What befalls datagrams.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Ways that are cut, from and to.
    pub cut: Vec<(u32, u32)>,
    pub loss: f64,
    pub doubled: f64,
    /// Each takes up to so much longer, so that they overtake each other.
    pub delay: Duration,
    /// A share that takes that much longer still.
    pub very_late: (f64, Duration),
    /// A front whose datagrams are of a newer version, with parts that nobody knows yet.
    pub newer: Option<u32>,
    /// A deliberate mistake in what is said of leases.
    pub mistake: Option<Mistake>,
}

/// A datagram on its way: when, through which socket, where to.
struct Flying {
    when: Instant,
    nth: u64,
    socket: usize,
    to: SocketAddr,
    bytes: Vec<u8>,
}

impl PartialEq for Flying {
    fn eq(&self, other: &Self) -> bool {
        self.nth == other.nth
    }
}

impl Eq for Flying {}

impl PartialOrd for Flying {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Flying {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.when, other.nth).cmp(&(self.when, self.nth))
    }
}

struct Shared {
    faults: Mutex<Faults>,
    chance: Mutex<Pcg64Mcg>,
    flying: Mutex<BinaryHeap<Flying>>,
    news: Condvar,
    over: AtomicBool,
    count: AtomicU64,
    bytes: AtomicU64,
    longest: AtomicU64,
    /// When each front last spoke as its district's observer.
    observed: Mutex<BTreeMap<u32, Instant>>,
}

pub struct Relay {
    fronts: u32,
    addresses: Vec<SocketAddr>,
    shared: Arc<Shared>,
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.over.store(true, Ordering::Relaxed);
        self.shared.news.notify_all();
    }
}

/// A datagram as a newer version of the program would send it: its version raised, a part and a field that do not exist.
fn newer(bytes: &[u8]) -> Vec<u8> {
    let mut bytes = bytes.to_vec();
    // The version is the first field, one byte long.
    if let [0x08, version, ..] = bytes.as_mut_slice() {
        *version = VERSION as u8 + 1;
    }
    if bytes.len() + 8 <= 256 {
        bytes.extend([0x22, 3, 0xfa, 0x01, 0, 0x78, 9]);
    }
    bytes
}

/// Whether a part is a word of an observer.
fn speaks(part: &Part) -> bool {
    let Some(Kind::Zone(bytes)) = &part.kind else { return false };
    matches!(zone_codec::decode(bytes), Some(Message::Verdicts { .. }))
}

/// What a mistake makes of a datagram: the datagrams that arrive, and from whom.
fn mistaken(mistake: Mistake, bytes: &[u8]) -> Vec<(u32, Vec<u8>)> {
    let Ok(datagram) = Datagram::decode(bytes) else { return Vec::new() };
    let from = MemberId { front: datagram.front, incarnation: datagram.incarnation };
    let mut said: Vec<(MemberId, Vec<Part>)> = vec![(from, Vec::new())];
    for part in datagram.parts {
        let Some(Kind::Lease(word)) = &part.kind else {
            said[0].1.push(part);
            continue;
        };
        let Some(word) = lease_codec::decode(word) else { continue };
        for (of, word) in Meddler(Some(mistake)).arrives(from, &word, 0) {
            let part = Part { kind: Some(Kind::Lease(lease_codec::encode(&word))) };
            match said.iter_mut().find(|(who, _)| *who == of) {
                Some((_, parts)) => parts.push(part),
                None => said.push((of, vec![part])),
            }
        }
    }
    let sent = said.into_iter().map(|(who, parts)| {
        let datagram =
            Datagram { version: datagram.version, front: who.front, incarnation: who.incarnation, parts };
        (who.front, datagram.encode_to_vec())
    });
    sent.collect()
}

impl Relay {
    /// A relay for so many fronts that listen at `at`.
    ///
    /// # Errors
    ///
    /// Where sockets can't be made.
    pub fn start(fronts: u32, at: impl Fn(u32) -> SocketAddr) -> io::Result<Relay> {
        let mut sockets = Vec::new();
        for _ in 0..fronts * fronts {
            let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
            socket.set_read_timeout(Some(Duration::from_millis(200)))?;
            sockets.push(Arc::new(socket));
        }
        let addresses = sockets.iter().map(|socket| socket.local_addr()).collect::<Result<_, _>>()?;
        let shared = Arc::new(Shared {
            faults: Mutex::new(Faults::default()),
            chance: Mutex::new(Pcg64Mcg::seed_from_u64(5)),
            flying: Mutex::new(BinaryHeap::new()),
            news: Condvar::new(),
            over: AtomicBool::new(false),
            count: AtomicU64::new(0),
            bytes: AtomicU64::new(0),
            longest: AtomicU64::new(0),
            observed: Mutex::new(BTreeMap::new()),
        });
        for from in 0..fronts {
            for to in (0..fronts).filter(|to| *to != from) {
                // What `from` sends to `to` comes here; it leaves by the socket at which `to` knows `from`.
                let socket = sockets[(from * fronts + to) as usize].clone();
                let (address, shared) = (at(to), shared.clone());
                thread::spawn(move || shared.receive(&socket, [from, to], fronts, address));
            }
        }
        let sender = shared.clone();
        thread::spawn(move || sender.send(&sockets));
        Ok(Relay { fronts, addresses, shared })
    }

    /// Where one front reaches another.
    pub fn address(&self, from: u32, to: u32) -> SocketAddr {
        self.addresses[(from * self.fronts + to) as usize]
    }

    pub fn set(&self, faults: Faults) {
        *self.shared.faults.lock().expect("no panic under the lock") = faults;
    }

    /// Fronts that spoke as observers of their districts within that time.
    pub fn observers(&self, within: Duration) -> Vec<u32> {
        let observed = self.shared.observed.lock().expect("no panic under the lock");
        observed.iter().filter(|(_, at)| at.elapsed() < within).map(|(front, _)| *front).collect()
    }

    /// Datagrams, their bytes, and the longest, as fronts sent them.
    pub fn seen(&self) -> [u64; 3] {
        let shared = &self.shared;
        [&shared.count, &shared.bytes, &shared.longest].map(|figure| figure.load(Ordering::Relaxed))
    }
}

impl Shared {
    fn receive(&self, socket: &UdpSocket, [from, to]: [u32; 2], fronts: u32, address: SocketAddr) {
        let mut bytes = [0; 512];
        while !self.over.load(Ordering::Relaxed) {
            let Ok((length, _)) = socket.recv_from(&mut bytes) else { continue };
            self.count.fetch_add(1, Ordering::Relaxed);
            self.bytes.fetch_add(length as u64, Ordering::Relaxed);
            self.longest.fetch_max(length as u64, Ordering::Relaxed);
            if let Ok(datagram) = Datagram::decode(&bytes[..length])
                && datagram.parts.iter().any(speaks)
            {
                self.observed.lock().expect("no panic under the lock").insert(from, Instant::now());
            }
            let faults = self.faults.lock().expect("no panic under the lock").clone();
            let mut chance = self.chance.lock().expect("no panic under the lock");
            if faults.cut.contains(&(from, to)) || chance.random_bool(faults.loss) {
                continue;
            }
            let copies = 1 + u32::from(chance.random_bool(faults.doubled));
            let mut flying = self.flying.lock().expect("no panic under the lock");
            for _ in 0..copies {
                let mut takes = faults.delay.mul_f64(chance.random_range(0.0..1.0));
                if chance.random_bool(faults.very_late.0) {
                    takes += faults.very_late.1;
                }
                let bytes = &bytes[..length];
                let arrive = match faults.mistake {
                    Some(mistake) => mistaken(mistake, bytes),
                    None if faults.newer == Some(from) => vec![(from, newer(bytes))],
                    None => vec![(from, bytes.to_vec())],
                };
                let when = Instant::now() + takes;
                for (as_from, bytes) in arrive.into_iter().filter(|(as_from, _)| *as_from != to) {
                    let (nth, socket) = (flying.len() as u64, (to * fronts + as_from) as usize);
                    flying.push(Flying { when, nth, socket, to: address, bytes });
                }
            }
            self.news.notify_one();
        }
    }

    fn send(&self, sockets: &[Arc<UdpSocket>]) {
        let mut flying = self.flying.lock().expect("no panic under the lock");
        while !self.over.load(Ordering::Relaxed) {
            let now = Instant::now();
            while flying.peek().is_some_and(|next| next.when <= now) {
                if let Some(next) = flying.pop() {
                    let _ = sockets[next.socket].send_to(&next.bytes, next.to);
                }
            }
            let wait = flying.peek().map_or(Duration::from_millis(200), |next| next.when - now);
            flying = self.news.wait_timeout(flying, wait).expect("no panic under the lock").0;
        }
    }
}
