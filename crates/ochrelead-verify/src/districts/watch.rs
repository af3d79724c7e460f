//! What must hold of a fleet that leaves districts, looked at ten times a second; and what is counted of it. Judged from
//! what the module was told and what was sent, beside what the world did.

use std::collections::{BTreeMap, VecDeque};

use ochrelead_gossip::schema::part::Kind as PartKind;
use ochrelead_gossip::wire::{self, DatagramBuilder};
use ochrelead_node::coordination::FleetCoordination;
use ochrelead_zone::codec::{decode, encode};
use ochrelead_zone::message::Message;
use ochrelead_zone::outcome_reporter::{OutcomeSample, ServerSample};
use ochrelead_zone::{ServerKey, ZoneId};

use super::load::{MS, Server};
use super::world::{Front, World, moment};
use super::{Day, Kind, Shown, Slip};

/// So long what an observer said may still be in force at a front that hears it no more, and so long may a front lag.
const IN_FORCE: u64 = 2_000 * MS;
const LAG: u64 = 600 * MS;
/// A front that has just started has heard no observer yet.
const NEW: u64 = 3_000 * MS;
/// After that no INVITE goes to a district that ended.
const LEFT: u64 = 4_000 * MS;

type Shares = Vec<(ZoneId, f64)>;

pub(super) struct Watch {
    /// What observers of each district had in force, and when.
    said: BTreeMap<u32, VecDeque<(u64, Shares)>>,
    /// The first district that ended, when, and when it came back.
    ended: Option<(u64, u32)>,
    returned: Option<u64>,
    left_at: Vec<Option<u64>>,
    last_invite: Vec<u64>,
    whole_at: Option<u64>,
    late: u64,
    /// The talk of fronts, and the fronts, are in order all day.
    undisturbed: bool,
    /// Something disturbed a front until then.
    disturbed: Vec<u64>,
}

impl Watch {
    pub fn new(day: &Day) -> Watch {
        let disturbs = |kind: Kind| {
            !matches!(kind, Kind::Dead { .. } | Kind::Slow { .. } | Kind::Silent { .. } | Kind::Surge { .. })
        };
        let fronts = day.fronts as usize;
        Watch {
            said: BTreeMap::new(),
            ended: None,
            returned: None,
            left_at: vec![None; fronts],
            last_invite: vec![0; fronts],
            whole_at: None,
            late: 0,
            undisturbed: !day.troubles.iter().any(|trouble| disturbs(trouble.kind)),
            disturbed: vec![0; fronts],
        }
    }

    pub fn ended(&mut self, now: u64, district: u32) {
        self.ended = self.ended.or(Some((now, district)));
    }

    pub fn returned(&mut self, now: u64, district: u32) {
        if self.ended.is_some_and(|(_, own)| own == district) {
            self.returned = self.returned.or(Some(now));
        }
    }

    /// An INVITE left, with that share in force for its district.
    pub fn invited(
        &mut self,
        now: u64,
        front: u32,
        of: u32,
        share: Option<f64>,
        to: &Server,
        shown: &mut Shown,
    ) {
        if share == Some(0.0) {
            shown
                .found
                .get_or_insert(format!("front {front}: an INVITE to district {of}, which it has left"));
        }
        if to.up {
            return;
        }
        shown.lost += 1;
        let Some((ended, own)) = self.ended.filter(|(_, own)| *own == of && self.returned.is_none()) else {
            return;
        };
        self.last_invite[front as usize] = now;
        if self.undisturbed && now > ended + LEFT {
            self.late += 1;
            if self.late > 5 {
                shown
                    .found
                    .get_or_insert(format!("INVITEs still go to district {own}, dead since {ended} us"));
            }
        }
    }

    /// A cold server was pushed over.
    pub fn fell(&mut self, now: u64, day: &Day, server: &Server, shown: &mut Shown) {
        let alone = day.troubles.iter().any(|trouble| trouble.kind == Kind::Peers { loss: 1.0 });
        if day.together && !alone {
            shown.found.get_or_insert(format!("a server of district {} fell at {now} us", server.district));
        }
    }

    pub fn look(&mut self, world: &mut World) {
        let now = world.now;
        if !world.day.together {
            return;
        }
        self.disturb(world);
        for state in &world.fronts {
            self.hear(now, state);
        }
        for said in self.said.values_mut() {
            while said.front().is_some_and(|(at, _)| at + IN_FORCE < now) {
                said.pop_front();
            }
        }
        let found = (0..world.fronts.len()).find_map(|front| self.found(world, front));
        if let Some(found) = found {
            world.shown.found.get_or_insert(format!("at {} ms: {found}", now / MS));
        }
        self.count(world);
    }

    /// What a front has in force as an observer, if it is one.
    pub fn hear(&mut self, now: u64, front: &Front) {
        let Some(shares) = observed(front, now) else { return };
        let said = self.said.entry(front.district).or_default();
        if said.back().is_none_or(|(at, last)| *at + 100 * MS <= now || *last != shares) {
            said.push_back((now, shares));
        }
    }

    fn disturb(&mut self, world: &World) {
        let now = world.now;
        for (nth, trouble) in world.day.troubles.iter().enumerate().filter(|(nth, _)| world.on[*nth]) {
            let _ = nth;
            let until = now + IN_FORCE * 2;
            match trouble.kind {
                Kind::Peers { .. } | Kind::ObserversKilled | Kind::ObserversHalted | Kind::Cut { .. } => {
                    self.disturbed.iter_mut().for_each(|own| *own = until);
                }
                Kind::OwnLink { front } => self.disturbed[front as usize] = until,
                _ => {}
            }
        }
    }

    /// What does not hold at a front.
    fn found(&self, world: &World, front: usize) -> Option<String> {
        let (now, state, day) = (world.now, &world.fronts[front], &world.day);
        if state.halted
            || state.eased.is_empty() && (now < state.up_since + NEW || now < self.disturbed[front])
        {
            return None;
        }
        if !state.eased.is_empty() && !day.may_leave() {
            return Some(format!(
                "front {front} leaves {:?}, and nothing is wrong with a district",
                state.eased
            ));
        }
        if state.eased.len() >= day.districts as usize {
            return Some(format!("front {front} leaves all districts"));
        }
        for (district, _) in state.eased.iter().filter(|(_, share)| *share == 0.0) {
            let fails = |kind: &Kind| match *kind {
                Kind::Dead { district: own } => own == district.0,
                Kind::Cut { from, to } => [(from, to), (to, from)].contains(&(state.district, district.0)),
                _ => false,
            };
            if !day.troubles.iter().any(|trouble| fails(&trouble.kind)) {
                return Some(format!("front {front} leaves district {}, which is answered", district.0));
            }
        }
        let span = if state.eased.is_empty() { LAG } else { IN_FORCE };
        let said = self.said.get(&state.district)?;
        // Nothing was in force when the observer was heard last, and nothing is while nobody observes.
        if state.eased.is_empty() && said.back().is_none_or(|(_, shares)| shares.is_empty()) {
            return None;
        }
        // Before anybody had observed for that long there is nothing to go by.
        let known = said.front().is_some_and(|(at, _)| at + LAG < now || *at + span <= now);
        let recent = said.iter().filter(|(at, _)| at + span >= now);
        if known && !recent.clone().any(|(_, shares)| *shares == state.eased) {
            let last = said.back();
            // What was said and changed again between two looks is not known here.
            let districts = state.together.as_ref().and_then(FleetCoordination::zone_engine);
            let row = districts
                .and_then(|districts| districts.active_verdicts(moment(now), ZoneId(state.district)));
            if row.is_some_and(|told| told.received_at.micros() + LAG / 4 > moment(now).micros()) {
                return None;
            }
            return Some(format!("front {front} has {:?} in force, its observer {last:?}", state.eased));
        }
        None
    }

    fn count(&mut self, world: &mut World) {
        let now = world.now;
        let Some((_, district)) = self.ended else { return };
        let share = |front: &Front| {
            let own = front.eased.iter().find(|(of, _)| of.0 == district);
            own.map_or(1.0, |(_, share)| *share)
        };
        for (front, state) in world.fronts.iter().enumerate() {
            if share(state) == 0.0 {
                self.left_at[front].get_or_insert(now);
            }
        }
        let all_whole = world.fronts.iter().all(|front| front.halted || share(front) == 1.0);
        if self.returned.is_some() && all_whole {
            self.whole_at.get_or_insert(now);
        }
        if now % (500 * MS) == 0 {
            world.shown.shares.push(world.fronts.first().map_or(1.0, share));
        }
    }

    pub fn sum_up(&self, shown: &mut Shown) {
        let Some((ended, _)) = self.ended else { return };
        let mut last: Vec<u64> =
            self.last_invite.iter().filter(|at| **at > 0).map(|at| at.saturating_sub(ended) / MS).collect();
        last.sort_unstable();
        shown.nine_in_ten_ms = last.get(last.len() * 9 / 10).copied();
        shown.last_ms = last.last().copied();
        let left: Vec<u64> = self.left_at.iter().flatten().copied().collect();
        shown.spread_ms = left.iter().max().zip(left.iter().min()).map(|(last, first)| (last - first) / MS);
        shown.whole_ms = self.whole_at.zip(self.returned).map(|(whole, back)| (whole - back) / MS);
    }
}

/// What an observer has in force.
fn observed(front: &Front, now: u64) -> Option<Shares> {
    let districts = front.together.as_ref().and_then(FleetCoordination::zone_engine)?;
    if !districts.is_observer() || front.halted {
        return None;
    }
    let share = |district: ZoneId| (district, districts.zone_share(moment(now), district));
    Some(districts.zones().into_iter().map(share).filter(|(_, share)| *share < 1.0).collect())
}

/// A datagram on its way, with a word about districts in it changed where that is the day's mistake.
pub(super) fn meddle(
    day: &Day,
    servers: &[Server],
    key: impl Fn(u32) -> ServerKey,
    to: u32,
    from: u32,
    bytes: Vec<u8>,
) -> Vec<u8> {
    let own = ZoneId(to % day.districts);
    match day.slip {
        Some(Slip::LateNotTold) => rewrite(bytes, from, |word| {
            if let Message::Report { samples: met, .. } = word {
                met.iter_mut().for_each(|sample| sample.outcomes.late = 0);
            }
        }),
        Some(Slip::OneForAll) => rewrite(bytes, from, |word| {
            let Message::Report { samples: met, .. } = word else { return };
            let mut bad: BTreeMap<u32, u32> = BTreeMap::new();
            let of = |server: ServerKey| (0..servers.len() as u32).find(|nth| key(*nth) == server);
            for sample in met.iter().filter(|sample| sample.outcomes.lost > 0) {
                if let Some(nth) = of(sample.server) {
                    *bad.entry(servers[nth as usize].district).or_default() += sample.outcomes.lost;
                }
            }
            for (district, lost) in bad {
                let all = (0..servers.len() as u32).filter(|nth| servers[*nth as usize].district == district);
                for server in all.map(&key) {
                    met.retain(|sample| sample.server != server);
                    met.push(ServerSample { server, outcomes: OutcomeSample { lost, ..Default::default() } });
                }
            }
            met.sort_unstable_by_key(|sample| sample.server);
        }),
        Some(Slip::OthersWordsHeeded) => rewrite(bytes, from, |word| {
            if let Message::Verdicts { zone: from, .. } = word {
                *from = own;
            }
        }),
        _ => bytes,
    }
}

/// An observer's word with a later place in its order.
pub(super) fn renewed(bytes: Vec<u8>, from: u32) -> Vec<u8> {
    rewrite(bytes, from, |word| {
        if let Message::Verdicts { sequence: nth, .. } = word {
            *nth += 1_000_000;
        }
    })
}

fn rewrite(bytes: Vec<u8>, from: u32, change: impl Fn(&mut Message)) -> Vec<u8> {
    let Ok(datagram) = wire::decode(&bytes, from) else { return bytes };
    let mut sheet = DatagramBuilder::new(datagram.sender);
    for part in datagram.parts {
        let part = match part {
            PartKind::Zone(word) => match decode(&word) {
                Some(mut word) => {
                    change(&mut word);
                    PartKind::Zone(encode(&word).swap_remove(0))
                }
                None => PartKind::Zone(word),
            },
            other => other,
        };
        sheet.try_push(part);
    }
    sheet.encode()
}
