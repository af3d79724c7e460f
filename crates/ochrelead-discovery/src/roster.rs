//! The servers by index, and who wins where the list, a server's own word and what was kept disagree.
//!
//! | the list says | the server said | in force |
//! | --- | --- | --- |
//! | draining | anything | draining |
//! | ready | nothing, or that it started | ready |
//! | ready | that it drains, or that it is gone | draining, gone |
//! | ready after draining (news) | anything | ready: the operator takes it back |
//! | another address (news) | anything | ready; another process, started now or as who was there before |
//! | new in a list that was in force | - | ready, started now unless the list says when |
//! | a later start than known | - | ready, started then |
//! | not there | anything | gone |

use std::collections::HashMap;
use std::net::SocketAddr;

use ochrelead_config::server_endpoint::ServerEndpoint;
use ochrelead_core::index::ServerIx;
use ochrelead_core::time::Moment;
use ochrelead_core::types::{EndpointState, EndpointUpdate};

/// What a restart method asks for (RFC 3435 section 2.3.12).
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

/// What a server last said of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Said {
    #[default]
    Nothing,
    Drains,
    Gone,
}

/// What follows from news of a server.
#[derive(Clone, Copy, Debug)]
pub struct News {
    pub listing: EndpointUpdate,
    /// Its calls are gone.
    pub cut: bool,
}

struct Known {
    post: ServerEndpoint,
    listed: bool,
    said: Said,
}

impl Known {
    fn state(&self) -> EndpointState {
        match self.said {
            _ if !self.listed => EndpointState::Gone,
            Said::Gone => EndpointState::Gone,
            Said::Drains => EndpointState::Draining,
            Said::Nothing if self.post.draining => EndpointState::Draining,
            Said::Nothing => EndpointState::Ready { started: self.post.started },
        }
    }
}

/// The servers in the order in which they were first heard of.
#[derive(Default)]
pub struct Roster {
    servers: Vec<Known>,
    by_address: HashMap<SocketAddr, ServerIx>,
    by_name: HashMap<String, ServerIx>,
    begun: bool,
}

impl Roster {
    /// The list is given anew and whole: what it names is listed, all else is gone. A server that moves to
    /// another address keeps its index.
    pub fn relist(&mut self, posts: &[ServerEndpoint], now: Moment) -> Vec<EndpointUpdate> {
        let listed = self.servers.iter().filter(|known| known.listed);
        let processes: HashMap<SocketAddr, Option<Moment>> =
            listed.map(|known| (known.post.address, known.post.started)).collect();
        for known in &mut self.servers {
            known.listed = false;
        }
        for post in posts {
            match self.by_name.get(&post.name) {
                Some(index) => {
                    let process = processes.get(&post.address).copied();
                    self.servers[index.index()].renew(post, process.unwrap_or(Some(now)));
                }
                None => {
                    let mut post = post.clone();
                    // One more server in a running fleet is most likely a fresh one.
                    if self.begun {
                        post.started = post.started.or(Some(now));
                    }
                    self.by_name.insert(post.name.clone(), ServerIx::new(self.servers.len()));
                    self.servers.push(Known { post, listed: true, said: Said::Nothing });
                }
            }
        }
        // Who has left an address is still known by it, until another takes it.
        for (at, known) in self.servers.iter().enumerate().filter(|(_, known)| known.listed) {
            self.by_address.insert(known.post.address, ServerIx::new(at));
        }
        self.begun |= !posts.is_empty();
        (0..self.servers.len()).map(ServerIx::new).map(|server| self.listing(server)).collect()
    }

    /// What was kept from a former life: the servers' own words, for those that the list has.
    pub fn remember(&mut self, kept: &[(ServerEndpoint, Said)]) -> Vec<EndpointUpdate> {
        for (post, said) in kept {
            if let Some(index) = self.by_name.get(&post.name) {
                let known = &mut self.servers[index.index()];
                if known.post.address == post.address {
                    known.said = *said;
                    known.post.started = known.post.started.max(post.started);
                }
            }
        }
        (0..self.servers.len()).map(ServerIx::new).map(|server| self.listing(server)).collect()
    }

    fn listing(&self, server: ServerIx) -> EndpointUpdate {
        let known = &self.servers[server.index()];
        EndpointUpdate { server, number: known.post.number, state: known.state(), weight: known.post.weight }
    }

    /// A server speaks of its own restart. A drain told late does not bring back what is gone, and what is
    /// gone is not back without a start.
    pub fn told(&mut self, server: ServerIx, restart: Restart, now: Moment) -> Option<News> {
        let known = &mut self.servers[server.index()];
        let cut = match (restart, known.said) {
            (Restart::Started, _) => {
                known.said = Said::Nothing;
                known.post.started = Some(now);
                true
            }
            (Restart::Drains, Said::Nothing) => {
                known.said = Said::Drains;
                false
            }
            (Restart::Gone, _) => {
                known.said = Said::Gone;
                true
            }
            (Restart::Back, Said::Drains) => {
                known.said = Said::Nothing;
                false
            }
            _ => return None,
        };
        Some(News { listing: self.listing(server), cut })
    }

    pub fn at(&self, address: SocketAddr) -> Option<ServerIx> {
        self.by_address.get(&address).copied()
    }

    pub fn named(&self, name: &str) -> Option<ServerIx> {
        self.by_name.get(&name.to_ascii_lowercase()).copied()
    }

    pub fn post(&self, server: ServerIx) -> &ServerEndpoint {
        &self.servers[server.index()].post
    }

    /// The list as it stands, with what each server said of itself.
    pub fn posts(&self) -> Vec<(ServerEndpoint, Said)> {
        let here = self.servers.iter().filter(|known| known.listed);
        here.map(|known| (known.post.clone(), known.said)).collect()
    }

    /// One line a server: its state and the reason for it.
    pub fn status(&self) -> Vec<String> {
        let line = |known: &Known| {
            let (state, why) = match (known.listed, known.said, known.post.draining) {
                (false, ..) => ("gone", "the list does not name it"),
                (_, Said::Gone, _) => ("gone", "it said so (RSIP forced)"),
                (_, Said::Drains, _) => ("draining", "it said so (RSIP graceful)"),
                (_, _, true) => ("draining", "the list says so"),
                _ => ("ready", "listed"),
            };
            let ServerEndpoint { name, address, number, weight, .. } = &known.post;
            format!("{name} {address} number {number} weight {weight}: {state}, {why}")
        };
        self.servers.iter().map(line).collect()
    }
}

impl Known {
    /// Listed again. `started`: the start of the process that a moved server is now.
    fn renew(&mut self, post: &ServerEndpoint, started: Option<Moment>) {
        let (moved, back) = (self.post.address != post.address, self.post.draining && !post.draining);
        let known = if moved { started } else { self.post.started };
        let started = known.max(post.started);
        if moved || back {
            self.said = Said::Nothing;
        }
        self.post = ServerEndpoint { started, ..post.clone() };
        self.listed = true;
    }
}
