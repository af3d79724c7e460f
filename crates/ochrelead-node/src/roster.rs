//! The signalling servers by index, and the connections to each. An index is a server's as long as anything is held
//! of it; that of one that has gone is used again once the table is full. State only: the engine dials, sends, cuts.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;

use ochrelead_core::index::{ServerIx, SessionIx};
use ochrelead_core::time::{Moment, Span};
use ochrelead_core::types::{EndpointState, EndpointUpdate};
use ochrelead_platform::caller_messages::CallId;
use ochrelead_platform::events::{Endpoint, EndpointChange};
use ochrelead_sip::framing::Framer;

use crate::bounds::platform;
use crate::sounding::counts_as_heard;

/// A connection to a signalling server, counted; never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    Dialing,
    Up,
    /// The node sends nothing on it any more and reads until its server ends it too: a release may be on its way.
    Ending,
}

/// One connection.
#[derive(Debug)]
pub struct Link {
    pub server: ServerIx,
    pub way: Way,
    /// When its dialing began, when it came up, or when the node began to end it.
    pub since: Moment,
    pub framer: Framer,
    /// A message has begun at this moment and not ended.
    pub midway: Option<Moment>,
    /// The set-ups that are out on it.
    pub open: Vec<SessionIx>,
    pub used: Moment,
}

/// One signalling server.
#[derive(Debug)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    pub number: i64,
    pub state: EndpointState,
    /// The district that it is in, as the list says it.
    pub district: Option<String>,
    pub links: Vec<LinkId>,
    /// INVITEs that wait for a connection.
    pub waiting: Vec<SessionIx>,
    /// Releases that wait for one.
    pub owed: Vec<CallId>,
    /// The last byte from it, or the last connection that came up.
    pub heard: Moment,
    /// The last word of its own, not an answer to a test.
    pub spoke: Moment,
    /// The last that another front heard of it.
    pub vouched: Option<Moment>,
    /// Connections that did not come up since then.
    pub failed: u32,
    /// No connection is tried before.
    pub dial_at: Moment,
}

impl Server {
    pub fn is_gone(&self) -> bool {
        self.state == EndpointState::Gone
    }

    pub fn is_ready(&self) -> bool {
        matches!(self.state, EndpointState::Ready { .. })
    }

    /// Silent for so long that it is to be looked after: a quarter of what is allowed for noticing its end.
    pub fn is_silent(&self, now: Moment) -> bool {
        now.since(counts_as_heard(self.heard, self.vouched)) >= platform::SILENT_END / 4
    }
}

/// What a change of the list means for what is held of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Turn {
    /// Nothing new goes there.
    Closed(ServerIx),
    /// The process that was there before this moment has ended, and its calls with it.
    Replaced(ServerIx, Moment),
    /// Another listens at its address: it has ended, whatever answers there.
    Displaced(ServerIx),
}

pub struct Roster {
    servers: Vec<Server>,
    by_id: HashMap<String, ServerIx>,
    links: BTreeMap<LinkId, Link>,
    /// Those that have gone, the longest ago first.
    gone: VecDeque<ServerIx>,
    most: usize,
    counted: u64,
}

impl Roster {
    pub fn new(most: usize) -> Roster {
        Roster {
            servers: Vec::new(),
            by_id: HashMap::new(),
            links: BTreeMap::new(),
            gone: VecDeque::new(),
            most,
            counted: 0,
        }
    }

    pub fn get(&self, server: ServerIx) -> &Server {
        &self.servers[server.index()]
    }

    pub fn get_mut(&mut self, server: ServerIx) -> &mut Server {
        &mut self.servers[server.index()]
    }

    pub fn named(&self, id: &str) -> Option<ServerIx> {
        self.by_id.get(id).copied()
    }

    pub fn all(&self) -> impl Iterator<Item = ServerIx> + use<> {
        (0..self.servers.len()).map(ServerIx::new)
    }

    /// Whether any server of that number is or was listed.
    pub fn knows_number(&self, number: i64) -> bool {
        self.servers.iter().any(|server| server.number == number)
    }

    /// Takes a change of the list in: the lines for the module, and what ends by it. `idle` tells whether nothing is
    /// held of a server any more.
    pub fn change(
        &mut self,
        change: &EndpointChange,
        now: Moment,
        idle: impl Fn(ServerIx) -> bool,
    ) -> (Vec<EndpointUpdate>, Vec<Turn>) {
        let mut turns = Vec::new();
        let mut listings = Vec::new();
        if change.is_full {
            let named = |server: &Server| change.endpoints.iter().any(|post| post.id == server.id);
            let missing: Vec<ServerIx> =
                self.all().filter(|at| !named(self.get(*at)) && !self.get(*at).is_gone()).collect();
            for server in missing {
                self.set_gone(server);
                turns.push(Turn::Closed(server));
            }
        }
        for post in &change.endpoints {
            let new = !self.by_id.contains_key(&post.id);
            let Some(server) = self.place(post, now, &idle) else { continue };
            if new {
                let there = |at: &ServerIx| *at != server && self.get(*at).address == post.address;
                let displaced: Vec<ServerIx> = self.all().filter(there).collect();
                for old in displaced {
                    // Whatever the list still says of it: what is sent there would reach the new one.
                    if !self.get(old).is_gone() {
                        let (number, state) = (self.get(old).number, EndpointState::Gone);
                        listings.push(EndpointUpdate { server: old, number, state, weight: 1.0 });
                        self.set_gone(old);
                    }
                    turns.push(Turn::Displaced(old));
                }
            }
            let at = &mut self.servers[server.index()];
            let former = at.state;
            (at.address, at.number, at.state) = (post.address, post.number, post.state);
            at.district.clone_from(&post.zone);
            if let EndpointState::Ready { started: Some(started) } = post.state
                && !matches!(former, EndpointState::Ready { started: Some(known) } if known >= started)
            {
                turns.push(Turn::Replaced(server, started));
            }
            if post.state == EndpointState::Gone {
                self.set_gone(server);
            }
            if !matches!(post.state, EndpointState::Ready { .. }) {
                turns.push(Turn::Closed(server));
            }
            let (number, weight) = (post.number, post.weight);
            listings.push(EndpointUpdate { server, number, state: post.state, weight });
        }
        (listings, turns)
    }

    fn set_gone(&mut self, server: ServerIx) {
        self.servers[server.index()].state = EndpointState::Gone;
        if !self.gone.contains(&server) {
            self.gone.push_back(server);
        }
    }

    /// The index of a post's server; none where it is new and has gone already, or the table is full of live ones.
    fn place(&mut self, post: &Endpoint, now: Moment, idle: impl Fn(ServerIx) -> bool) -> Option<ServerIx> {
        if let Some(server) = self.by_id.get(&post.id) {
            self.gone.retain(|gone| gone != server);
            return Some(*server);
        }
        if post.state == EndpointState::Gone {
            return None;
        }
        let fresh = Server {
            id: post.id.clone(),
            address: post.address,
            number: post.number,
            state: EndpointState::Draining,
            district: post.zone.clone(),
            links: Vec::new(),
            waiting: Vec::new(),
            owed: Vec::new(),
            heard: now,
            spoke: now,
            vouched: None,
            failed: 0,
            dial_at: now,
        };
        let server = if self.servers.len() < self.most {
            self.servers.push(fresh);
            ServerIx::new(self.servers.len() - 1)
        } else {
            // The module takes it for a restart of the same server: that fits best where the number is the same.
            let free = |at: &&ServerIx| self.get(**at).links.is_empty() && idle(**at);
            let same = |at: &&ServerIx| self.get(**at).number == post.number;
            let server = *self.gone.iter().filter(free).find(same).or_else(|| self.gone.iter().find(free))?;
            self.gone.retain(|gone| *gone != server);
            let former = std::mem::replace(&mut self.servers[server.index()], fresh);
            self.by_id.remove(&former.id);
            server
        };
        self.by_id.insert(post.id.clone(), server);
        Some(server)
    }

    // ---- Connections ----

    pub fn dial(&mut self, server: ServerIx, now: Moment) -> LinkId {
        self.counted += 1;
        let id = LinkId(self.counted);
        let link = Link {
            server,
            way: Way::Dialing,
            since: now,
            framer: Framer::default(),
            midway: None,
            open: Vec::new(),
            used: now,
        };
        self.links.insert(id, link);
        self.servers[server.index()].links.push(id);
        id
    }

    pub fn link(&self, id: LinkId) -> Option<&Link> {
        self.links.get(&id)
    }

    pub fn link_mut(&mut self, id: LinkId) -> Option<&mut Link> {
        self.links.get_mut(&id)
    }

    pub fn close(&mut self, id: LinkId) -> Option<Link> {
        let link = self.links.remove(&id)?;
        self.servers[link.server.index()].links.retain(|own| *own != id);
        Some(link)
    }

    pub fn links(&self) -> usize {
        self.links.len()
    }

    fn own(&self, server: ServerIx) -> impl Iterator<Item = (LinkId, &Link)> {
        self.servers[server.index()].links.iter().filter_map(|id| Some((*id, self.links.get(id)?)))
    }

    fn up(&self, server: ServerIx) -> impl Iterator<Item = (LinkId, &Link)> {
        self.own(server).filter(|(_, link)| link.way == Way::Up)
    }

    pub fn is_up(&self, server: ServerIx) -> bool {
        self.up(server).next().is_some()
    }

    pub fn dialing(&self, server: ServerIx) -> usize {
        self.own(server).filter(|(_, link)| link.way == Way::Dialing).count()
    }

    /// Connections that count against a server's part: all but those that the node has begun to end.
    pub fn held(&self, server: ServerIx) -> usize {
        self.own(server).filter(|(_, link)| link.way != Way::Ending).count()
    }

    /// Where the next message to a server leaves: on the connection with the fewest set-ups, of those none that is
    /// in the middle of a message, and the one that was used last.
    pub fn pick(&self, server: ServerIx) -> Option<LinkId> {
        let free = |link: &Link| (link.open.len(), link.midway.is_some(), std::cmp::Reverse(link.used));
        self.up(server).min_by_key(|(_, link)| free(link)).map(|(id, _)| id)
    }

    /// Connections without a set-up on them, idle for longest first.
    pub fn idle(&self, server: ServerIx) -> Vec<LinkId> {
        let mut idle: Vec<(Moment, LinkId)> = self
            .up(server)
            .filter(|(_, link)| link.open.is_empty())
            .map(|(id, link)| (link.used, id))
            .collect();
        idle.sort();
        idle.into_iter().map(|(_, id)| id).collect()
    }

    /// The connection of all that was idle for longest.
    pub fn idlest(&self) -> Option<LinkId> {
        let idle = self.links.iter().filter(|(_, link)| link.way == Way::Up && link.open.is_empty());
        idle.min_by_key(|(_, link)| link.used).map(|(id, _)| *id)
    }

    /// Connections that did not come up in time, and those in the middle of a message for as long: what follows on
    /// such a one can't be read. Besides, those that the node has begun to end and whose servers keep silent.
    pub fn stuck(&self, now: Moment, limit: Span) -> Vec<LinkId> {
        let is_stuck = |link: &Link| match link.way {
            Way::Dialing => now.since(link.since) >= limit,
            Way::Ending => now.since(link.since) >= platform::SILENT_END / 4,
            Way::Up => link.midway.is_some_and(|since| now.since(since) >= limit),
        };
        self.links.iter().filter(|(_, link)| is_stuck(link)).map(|(id, _)| *id).collect()
    }

    /// How many connections a server may have: an even part of all, by the servers that have not gone.
    pub fn part(&self, links: usize) -> usize {
        let live = self.servers.iter().filter(|server| !server.is_gone()).count();
        (links / live.max(1)).max(1)
    }
}
