//! What a node does with its peers, under its host.

use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

use async_io::Async;
use ochrelead_core::time::Moment;

use super::connections::State;
use crate::engine::TrafficShare;
use crate::promises::{Job, Promises};
use crate::together::{Duty, Together};

/// So many datagrams are taken before the next turn.
const DATAGRAMS: usize = 64;

/// What a node does with its peers, where their datagrams arrive, and where it keeps its promises.
pub struct Peers {
    pub together: Together,
    pub listen: SocketAddr,
    pub promises: Option<Promises>,
}

/// The same with its socket, and the way to the disk.
pub struct PeerHost {
    pub together: Together,
    pub socket: Rc<Async<UdpSocket>>,
    pub out: Option<std::sync::mpsc::Sender<Job>>,
}

impl State {
    /// A turn of what it does with its peers; when the next is due.
    pub fn work_together(&mut self, now: Moment) -> Option<Moment> {
        let PeerHost { together, socket, out } = self.peer_host.as_mut()?;
        while let Some(token) = self.engine.poll_superseded_token() {
            together.outrun(now, &token.server, token.highest);
        }
        while let Some(observation) = self.engine.poll_observation() {
            together.met(now, observation);
        }
        together.turn(now);
        together.look(now, || (self.engine.server_activity(), self.engine.server_locations()));
        if let Some(eased) = together.shares(now) {
            let share = |(zone, share)| TrafficShare { zone, share };
            self.engine.set_traffic_shares(eased.into_iter().map(share).collect());
        }
        while let Some(duty) = together.duty() {
            match duty {
                Duty::Sound { server, number } => self.engine.send_health_check(&server, number),
                Duty::Vouched { server, at } => self.engine.on_heard_by_peer(&server, at),
            }
        }
        if let Some(out) = out {
            // The thread lives as long as its sender.
            if let Some((nth, bytes)) = together.to_save() {
                let _ = out.send(Job::Promises(nth, bytes));
            }
            if let Some((status, counters)) = together.status(now) {
                let _ = out.send(Job::Status { status, counters });
            }
        }
        while let Some((to, bytes)) = together.next() {
            // What a socket does not take is lost, as any datagram may be.
            let _ = socket.get_ref().send_to(&bytes, to);
        }
        together.wake()
    }

    pub fn hear_peers(&mut self, socket: &Async<UdpSocket>) {
        let now = self.clock.now();
        let mut bytes = [0; 512];
        for _ in 0..DATAGRAMS {
            let Ok((length, from)) = socket.get_ref().recv_from(&mut bytes) else { break };
            if let Some(peer_host) = &mut self.peer_host {
                peer_host.together.take(now, from, &bytes[..length]);
            }
        }
        let _ = self.news.try_send(());
    }
}
