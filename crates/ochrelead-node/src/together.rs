//! What a node does with its peers: their talk, the leases on it, sounding, and leaving districts. Without I/O; off unless
//! it is asked for.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

use ochrelead_core::time::{Moment, Span};
use ochrelead_gossip::engine::{Engine as Peers, EngineConfig as PeersConfig, Recipient, Transmit};
use ochrelead_gossip::{GossipConfig, GossipStats, RumorId};
use ochrelead_lease::electorate::Electorate;
use ochrelead_lease::engine::{Engine as Leases, EngineConfig as LeasesConfig};
use ochrelead_lease::message::Message;
use ochrelead_lease::persistence::PersistedState;
use ochrelead_lease::{FencingToken, LeaseConfig, MemberId, TaskId, codec};
use ochrelead_zone::engine::{Engine as Districts, Recipient as ZoneRecipient};
use ochrelead_zone::message::ZoneShare;
use ochrelead_zone::{ServerLocation, ZoneConfig as Paces, ZoneId};
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use tracing::{Level, debug};

use crate::engine::Observation;
use crate::sounding::{self, Quiet, Sounding};

/// How long a lease runs.
const SPAN: Span = Span::from_secs(4);
/// Servers are looked at so often.
const LOOK: Span = Span::from_millis(100);
/// Words that wait for the disk.
const MOST_WAITING: usize = 256;

/// What the node is to do for the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Duty {
    /// Test a server now, naming the number.
    Sound { server: String, number: FencingToken },
    /// Another front heard the server so lately.
    Vouched { server: String, at: Moment },
}

pub struct Together {
    addresses: Vec<SocketAddr>,
    /// Where one datagram reaches all of them.
    all: Option<SocketAddr>,
    numbers: HashMap<SocketAddr, u32>,
    peers: Peers,
    leases: Leases,
    sounding: Sounding,
    /// It takes no part in tasks of the fleet, and does not ask who is there: districts alone.
    only_districts: bool,
    districts: Option<Districts>,
    /// Their names, and the shares that were last handed out.
    district_names: Vec<String>,
    eased: Vec<(ZoneId, f64)>,
    /// Datagrams for all, that go to each by itself.
    copies: VecDeque<(SocketAddr, Vec<u8>)>,
    duties: VecDeque<Duty>,
    /// How servers stood when they were looked at last, and when they are next.
    quiet: Vec<Quiet>,
    look_at: Moment,
    tell_at: Moment,
    status_at: Moment,
    keeping: Option<Keeping>,
}

/// Words about leases that wait until what was promised is on the disk.
struct Keeping {
    /// What was handed out to be saved last, as the so-manieth, and whether it still has to be.
    kept: PersistedState,
    nth: u64,
    is_new: bool,
    saved: u64,
    waiting: VecDeque<(u64, u32, Message)>,
}

impl Together {
    /// This front's part; none where it is not among the peers, or alone.
    pub fn new(
        own: SocketAddr,
        addresses: Vec<SocketAddr>,
        number: Option<u32>,
        electorate: Electorate,
        seed: u64,
        now: Moment,
    ) -> Option<Together> {
        let listed = addresses.iter().position(|address| *address == own);
        let front =
            number.or(listed.map(|at| at as u32)).filter(|front| (*front as usize) < addresses.len())?;
        let fronts = addresses.len() as u32;
        if fronts < 2 {
            return None;
        }
        // A thousandth of a second of the start, which wraps after weeks: no two lives of a front are alike. 0 is no life.
        let local = MemberId { front, incarnation: ((now.micros() / 1_000) as u32).max(1) };
        let peers =
            PeersConfig { local, fleet_size: fronts, zone: None, gossip: GossipConfig::DEFAULT, seed };
        let leases =
            LeasesConfig { local, electorate, lease: LeaseConfig::with_duration(SPAN), seed: seed ^ 1 };
        let numbers = addresses.iter().enumerate().map(|(at, address)| (*address, at as u32)).collect();
        Some(Together {
            addresses,
            all: None,
            numbers,
            peers: Peers::new(peers, now),
            leases: Leases::new(leases, None, now),
            sounding: Sounding::default(),
            only_districts: false,
            districts: None,
            district_names: Vec::new(),
            eased: Vec::new(),
            copies: VecDeque::new(),
            duties: VecDeque::new(),
            quiet: Vec::new(),
            look_at: now,
            tell_at: now,
            status_at: now,
            keeping: None,
        })
    }

    /// From its start on this front acts with the others of its district where districts fail. `all`: where one datagram
    /// reaches all fronts.
    pub fn act_on_districts(
        &mut self,
        own: ZoneId,
        names: &[String],
        pace: Paces,
        all: Option<SocketAddr>,
        seed: u64,
        now: Moment,
    ) {
        self.all = all;
        self.district_names = names.to_vec();
        self.districts = Some(Districts::new(self.leases.local(), own, pace, seed ^ 2, now));
    }

    /// It takes no part in tasks of the fleet, and does not ask who is there: nobody has to know that for districts.
    pub fn only_districts(&mut self) {
        self.only_districts = true;
        self.peers.set_passive();
    }

    /// Whether it wants to be told what came of INVITEs.
    pub fn observes(&self) -> bool {
        self.districts.is_some()
    }

    /// Its part in leaving districts.
    pub fn districts(&self) -> Option<&Districts> {
        self.districts.as_ref()
    }

    /// What was met at a server.
    pub fn met(&mut self, now: Moment, observation: Observation) {
        let Some(districts) = &mut self.districts else { return };
        match observation {
            Observation::Asked(server, ask) => districts.on_invite_sent(now, server, ask),
            Observation::Answered(ask) => districts.on_answer(now, ask),
            Observation::Failed(ask) => districts.on_transport_failure(ask),
            Observation::CalledOff(ask) => districts.on_invite_cancelled(ask),
            Observation::Alive(server) => districts.on_server_alive(now, server),
        }
    }

    /// The shares in force, where they have changed since they were last asked for.
    pub fn shares(&mut self, now: Moment) -> Option<Vec<(ZoneId, f64)>> {
        let districts = self.districts.as_ref()?;
        let share = |district: ZoneId| (district, districts.zone_share(now, district));
        let eased: Vec<(ZoneId, f64)> =
            districts.zones().into_iter().map(share).filter(|(_, share)| *share < 1.0).collect();
        (eased != self.eased).then(|| {
            self.eased.clone_from(&eased);
            eased
        })
    }

    /// The number of this front among its peers.
    pub fn front(&self) -> u32 {
        self.leases.local().front
    }

    /// From its start on this front keeps what it promises; `kept` is what it had kept before, where that can be used.
    pub fn keep(&mut self, kept: Option<&PersistedState>, seed: u64, now: Moment) {
        let config = LeasesConfig {
            local: self.leases.local(),
            electorate: self.leases.electorate().clone(),
            lease: LeaseConfig::with_duration(SPAN),
            seed: seed ^ 1,
        };
        self.leases = Leases::new(config, kept, now);
        let kept = PersistedState::default();
        self.keeping = Some(Keeping { kept, nth: 0, is_new: false, saved: 0, waiting: VecDeque::new() });
    }

    /// What is to be saved now, and its place in order; words wait until [`Together::saved`] has told of it.
    pub fn to_save(&mut self) -> Option<(u64, Vec<u8>)> {
        let front = self.leases.local().front;
        let keeping = self.keeping.as_mut().filter(|keeping| keeping.is_new)?;
        keeping.is_new = false;
        Some((keeping.nth, keeping.kept.encode(front)))
    }

    /// What was handed out as the so-manieth is on the disk.
    pub fn saved(&mut self, nth: u64) {
        if let Some(keeping) = &mut self.keeping {
            keeping.saved = keeping.saved.max(nth);
        }
    }

    /// Words about leases on their way; where promises are kept, not before they are.
    fn say_words(&mut self) {
        let Some(keeping) = &mut self.keeping else {
            while let Some(transmit) = self.leases.poll_output() {
                self.peers.send_lease_message(transmit.recipient, codec::encode(&transmit.message));
            }
            return;
        };
        if let Some(voter) = self.leases.voter() {
            let kept = voter.persisted_state();
            if kept != keeping.kept {
                (keeping.kept, keeping.is_new) = (kept, true);
                keeping.nth += 1;
            }
        }
        while let Some(transmit) = self.leases.poll_output() {
            // A disk that fails for long: what waits is old by then, and the oldest of no use.
            if keeping.waiting.len() >= MOST_WAITING {
                keeping.waiting.pop_front();
            }
            keeping.waiting.push_back((keeping.nth, transmit.recipient, transmit.message));
        }
        while keeping.waiting.front().is_some_and(|(nth, ..)| *nth <= keeping.saved)
            && let Some((_, to, word)) = keeping.waiting.pop_front()
        {
            self.peers.send_lease_message(to, codec::encode(&word));
        }
    }

    /// A datagram, from whichever address; only listed ones are heard.
    pub fn take(&mut self, now: Moment, from: SocketAddr, bytes: &[u8]) {
        if let Some(front) = self.numbers.get(&from) {
            self.peers.handle_input(now, *front, bytes);
        }
    }

    /// Whoever was acted upon has seen a higher number.
    pub fn outrun(&mut self, now: Moment, server: &str, highest: FencingToken) {
        self.leases.on_fenced(now, sounding::task(server), highest);
    }

    /// It leaves service: what it holds is handed back.
    pub fn leave(&mut self, now: Moment) {
        self.leases.leave(now);
        if let Some(districts) = &mut self.districts {
            districts.leave(now);
        }
    }

    /// Servers are to be looked at; what is handed in then is how they stand, and what districts they are in.
    pub fn look(&mut self, now: Moment, quiet: impl FnOnce() -> (Vec<Quiet>, Vec<ServerLocation>)) {
        if now < self.look_at {
            return;
        }
        self.look_at = now + LOOK;
        let (quiet, places) = quiet();
        self.quiet = quiet;
        if let Some(districts) = &mut self.districts {
            districts.on_server_locations(&places);
        }
        if self.only_districts {
            return;
        }
        for task in self.sounding.answered(&self.quiet) {
            let id = RumorId { topic: sounding::TOPIC, key: task.0 };
            self.peers.publish_rumor(now, id, Vec::new());
        }
        let there = self.peers.members().not_dead();
        for sound in self.sounding.turn(now, &self.quiet, &there, &mut self.leases) {
            // Asked for right before the act.
            if let Some(permit) = self.leases.permit(now, sound.task) {
                self.duties.push_back(Duty::Sound { server: sound.server, number: permit.token });
            }
        }
    }

    /// All that is due.
    pub fn turn(&mut self, now: Moment) {
        while let Some(received) = self.peers.poll_lease_message() {
            if let Some(message) = codec::decode(&received.payload) {
                self.leases.handle_input(now, received.sender, &message);
            }
        }
        while let Some(id) = self.peers.poll_rumor() {
            if id.topic == sounding::TOPIC {
                self.vouched(now, TaskId(id.key));
            }
        }
        while let Some(received) = self.peers.poll_zone_message() {
            if let Some(districts) = &mut self.districts {
                districts.handle_input(now, received.sender, &received.payload);
            }
        }
        self.turn_districts(now);
        if !self.only_districts {
            self.leases.process(now);
            self.say_words();
        }
        self.peers.process(now);
        self.tell(now);
    }

    fn turn_districts(&mut self, now: Moment) {
        let Some(districts) = &mut self.districts else { return };
        districts.process(now);
        while let Some((to, word)) = districts.poll_output() {
            let recipient = match to {
                ZoneRecipient::Front(front) => Recipient::Front(front),
                ZoneRecipient::All => Recipient::All,
            };
            self.peers.send_zone_message(recipient, word);
        }
    }

    /// How it stands with the districts, a line each.
    fn district_lines(&self, now: Moment) -> Vec<String> {
        let Some(districts) = &self.districts else { return Vec::new() };
        let name = |district: ZoneId| {
            let name = self.district_names.get(district.0 as usize);
            name.cloned().unwrap_or_else(|| district.0.to_string())
        };
        let own = districts.local_zone();
        let mut lines = vec![match districts.active_verdicts(now, own) {
            _ if districts.is_observer() => format!("district {}: this front observes", name(own)),
            Some(told) => format!("district {}: front {} observes", name(own), told.observer),
            None => format!("district {}: nobody observes, each front acts alone", name(own)),
        }];
        for from in (0..self.district_names.len() as u32).map(ZoneId) {
            for ZoneShare { zone: district, share, reason: why } in
                districts.active_verdicts(now, from).map(|told| &told.shares).into_iter().flatten()
            {
                let (to, part) = (name(*district), share * 100.0);
                lines.push(format!("from {} to {to}: {part:.0} in 100, {}", name(from), why.description()));
            }
        }
        lines
    }

    fn vouched(&mut self, now: Moment, task: TaskId) {
        let id = RumorId { topic: sounding::TOPIC, key: task.0 };
        let Some(rumor) = self.peers.rumor(now, id) else { return };
        let at = Moment::from_micros(now.micros().saturating_sub(rumor.age.micros()));
        if let Some(server) = self.quiet.iter().find(|server| sounding::task(&server.id) == task) {
            self.duties.push_back(Duty::Vouched { server: server.id.clone(), at });
        }
    }

    /// How the tasks stand, a line each second, for the log.
    fn tell(&mut self, now: Moment) {
        if !tracing::enabled!(Level::DEBUG) || now < self.tell_at {
            return;
        }
        self.tell_at = now + Span::from_secs(1);
        for line in self.lines(now) {
            debug!("{line}");
        }
    }

    /// How it stands with the fleet and each task, a line each.
    fn lines(&self, now: Moment) -> Vec<String> {
        let seconds = |span: Span| format!("{:.1} s", span.ratio(Span::from_secs(1)));
        if self.only_districts {
            return self.district_lines(now);
        }
        let (members, me) = (self.peers.members(), self.leases.local());
        let votes = match self.leases.voter() {
            None => "does not vote".to_owned(),
            Some(voter) => voter.abstaining_until(now).map_or("votes".to_owned(), |until| {
                format!("abstains for {} more", seconds(until.since(now)))
            }),
        };
        let (there, fronts, generation) =
            (members.live().len(), members.fleet_size(), self.leases.electorate().generation);
        let voters: Vec<String> =
            self.leases.electorate().voters().iter().map(|front| front.to_string()).collect();
        let mut lines = vec![format!(
            "front {} of {fronts}, {there} seen; {votes}; voters {}, generation {generation}",
            me.front,
            voters.join(",")
        )];
        lines.extend(self.district_lines(now));
        for status in self.leases.status(now) {
            let server = self.quiet.iter().find(|server| sounding::task(&server.id) == status.task);
            let name = server
                .map_or(format!("task {:016x}", status.task.0), |server| format!("sounding {}", server.id));
            let mut line = format!("{name}: number {}", status.highest_token.counter);
            if let Some(lease) = &status.lease {
                let (since, left) =
                    (seconds(now.since(lease.acquired_at)), seconds(lease.expires_at.since(now)));
                line.push_str(&format!(", held here since {since}, {left} left"));
            } else if status.is_candidate {
                line.push_str(", wanted here");
                if let Some(reason) = status.last_refusal {
                    line.push_str(&format!(", refused: {reason}"));
                }
            }
            if let Some(promise) = status.promise {
                let (to, left) = (promise.candidate.front, seconds(promise.remaining));
                line.push_str(&format!(", promised to front {to}, {left} left"));
            }
            lines.push(line);
        }
        lines
    }

    /// The status and the counters, each second, where there is a folder for them.
    pub fn status(&mut self, now: Moment) -> Option<(String, String)> {
        if now < self.status_at {
            return None;
        }
        self.status_at = now + Span::from_secs(1);
        let written = format!("written_us: {}\n", now.micros());
        let status = self.lines(now).iter().fold(written, |text, line| text + line + "\n");
        let stats = self.peers.stats();
        let held = self.leases.status(now).iter().filter(|status| status.lease.is_some()).count() as u64;
        let mut registry = Registry::default();
        for (name, help, count) in [
            ("datagrams_sent", "Datagrams sent to other fronts", stats.datagrams_sent),
            ("datagram_bytes_sent", "Their bytes", stats.bytes_sent),
            ("datagrams_read", "Datagrams of other fronts that were read", stats.datagrams_received),
            ("datagrams_newer", "Of these, of a newer version", stats.newer_version),
            ("parts_unknown", "Parts of kinds that are not known here", stats.unknown_parts),
            ("datagrams_too_long", "Datagrams that were passed over for their length", stats.too_long),
            ("datagrams_unreadable", "Datagrams that were passed over as none of ours", stats.malformed),
            ("datagrams_mistaken", "Datagrams that said to be another front's", stats.wrong_sender),
            ("words_dropped", "Words that the budget had no room for", stats.messages_dropped),
        ] {
            let counter: Counter = Counter::default();
            counter.inc_by(count);
            registry.register(format!("ochrelead_peers_{name}"), help, counter);
        }
        let gauge: Gauge = Gauge::default();
        gauge.set(held as i64);
        registry.register("ochrelead_leases_held", "Tasks that this front holds", gauge);
        let mut counters = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut counters, &registry);
        Some((status, counters))
    }

    /// What was sent and passed over.
    pub fn counts(&self) -> GossipStats {
        self.peers.stats()
    }

    /// The number under which it may act on a server, if it may.
    pub fn holds(&self, now: Moment, server: &str) -> Option<FencingToken> {
        self.leases.permit(now, sounding::task(server)).map(|permit| permit.token)
    }

    /// The next thing to do for the fleet.
    pub fn duty(&mut self) -> Option<Duty> {
        self.duties.pop_front()
    }

    /// The next datagram, and where it goes.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        if let Some(copy) = self.copies.pop_front() {
            return Some(copy);
        }
        let Transmit { recipient, datagram: bytes } = self.peers.poll_output()?;
        if let Recipient::Front(front) = recipient {
            return Some((*self.addresses.get(front as usize)?, bytes));
        }
        if let Some(all) = self.all {
            return Some((all, bytes));
        }
        let own = self.leases.local().front as usize;
        let others = self.addresses.iter().enumerate().filter(|(front, _)| *front != own);
        self.copies.extend(others.map(|(_, address)| (*address, bytes.clone())));
        self.copies.pop_front()
    }

    /// When [`Together::turn`] is due although nothing came.
    pub fn wake(&self) -> Option<Moment> {
        let districts = self.districts.as_ref().and_then(Districts::poll_timeout);
        let leases = self.leases.poll_timeout().filter(|_| !self.only_districts);
        [self.peers.poll_timeout(), leases, districts, Some(self.look_at)].into_iter().flatten().min()
    }
}
