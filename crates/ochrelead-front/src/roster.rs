//! Which servers there are and what they said of themselves. What RSIP says (RFC 3435 section 2.3.12) goes
//! before the list, until the list is given anew.

use std::collections::HashMap;
use std::net::SocketAddr;

use ochrelead_core::call::{ListState, Listing};
use ochrelead_core::index::ServerIx;
use ochrelead_core::time::{Moment, Span};
use ochrelead_settings::commission::Post;

/// What a restart method asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Restart {
    /// `restart`: the process has started; its calls of before are gone.
    Started,
    /// `graceful`: nothing new; what stands may stand on.
    Drains,
    /// `forced`: it is gone, with all its calls.
    Gone,
    /// `cancel-graceful`: in service after all.
    Back,
    /// `disconnected`: it had lost sight of us; nothing changes.
    Disconnected,
}

impl Restart {
    /// The method of an `RM` line; none where RFC 3435 has no such method.
    pub fn read(method: &str) -> Option<Restart> {
        match method.to_ascii_lowercase().as_str() {
            "restart" => Some(Restart::Started),
            "graceful" => Some(Restart::Drains),
            "forced" => Some(Restart::Gone),
            "cancel-graceful" => Some(Restart::Back),
            "disconnected" => Some(Restart::Disconnected),
            _ => None,
        }
    }
}

/// What follows from news of a server.
#[derive(Clone, Copy, Debug)]
pub struct News {
    pub listing: Listing,
    /// Its calls are gone.
    pub cut: bool,
}

struct Known {
    post: Post,
    state: ListState,
}

/// The servers in the order in which they were first heard of.
#[derive(Default)]
pub struct Roster {
    servers: Vec<Known>,
    by_address: HashMap<SocketAddr, ServerIx>,
    by_name: HashMap<String, ServerIx>,
}

impl Roster {
    /// The list is given anew and whole: what it names is listed, all else is gone. A server that moves to
    /// another address keeps its index.
    pub fn relist(&mut self, posts: &[Post]) -> Vec<Listing> {
        self.by_address.clear();
        for known in &mut self.servers {
            known.state = ListState::Gone;
        }
        for post in posts {
            let state =
                if post.draining { ListState::Draining } else { ListState::Ready { started: post.started } };
            let index = *self.by_name.entry(post.name.clone()).or_insert_with(|| {
                self.servers.push(Known { post: post.clone(), state });
                ServerIx::new(self.servers.len() - 1)
            });
            self.servers[index.at()] = Known { post: post.clone(), state };
            self.by_address.insert(post.address, index);
        }
        (0..self.servers.len()).map(ServerIx::new).map(|server| self.listing(server)).collect()
    }

    fn listing(&self, server: ServerIx) -> Listing {
        let known = &self.servers[server.at()];
        Listing { server, number: known.post.number, state: known.state, weight: known.post.weight }
    }

    /// A server speaks of its own restart. Nothing follows from what is known already: a server that drains
    /// or is gone stays so until it says that it started or is back.
    pub fn told(&mut self, server: ServerIx, restart: Restart, delay: Span, now: Moment) -> Option<News> {
        let known = &mut self.servers[server.at()];
        let before = known.state;
        let (state, cut) = match restart {
            Restart::Started => (ListState::Ready { started: Some(now + delay) }, true),
            Restart::Drains if before == ListState::Gone => return None,
            Restart::Drains => (ListState::Draining, false),
            Restart::Gone => (ListState::Gone, true),
            Restart::Back => match before {
                ListState::Draining => (ListState::Ready { started: known.post.started }, false),
                _ => return None,
            },
            Restart::Disconnected => return None,
        };
        if let ListState::Ready { started } = state {
            known.post.started = started;
        }
        known.state = state;
        known.post.draining = state == ListState::Draining;
        Some(News { listing: self.listing(server), cut })
    }

    pub fn at(&self, address: SocketAddr) -> Option<ServerIx> {
        self.by_address.get(&address).copied()
    }

    pub fn named(&self, name: &str) -> Option<ServerIx> {
        self.by_name.get(&name.to_ascii_lowercase()).copied()
    }

    pub fn post(&self, server: ServerIx) -> &Post {
        &self.servers[server.at()].post
    }

    /// The list as it stands, for a front that starts anew: all but what is gone.
    pub fn posts(&self) -> Vec<Post> {
        let here = self.servers.iter().filter(|known| known.state != ListState::Gone);
        here.map(|known| known.post.clone()).collect()
    }
}
