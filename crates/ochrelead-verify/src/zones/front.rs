//! One simulated front: its call controller, its coordination with other fronts, and the calls that it handles.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use ochrelead_core::controller::Controller;
use ochrelead_core::index::ServerIx;
use ochrelead_core::time::Moment;
use ochrelead_core::types::{EndpointState, EndpointUpdate};
use ochrelead_lease::electorate::{DEFAULT_SIZE, Electorate};
use ochrelead_node::coordination::{CoordinationConfig, FleetCoordination, ZoneSettings};
use ochrelead_zone::engine::Engine as ZoneEngine;
use ochrelead_zone::{ServerKey, ZoneConfig, ZoneId};

use super::scenario::Scenario;
use super::server::{self, MS, Server};

/// Stands for all fronts in a broadcast address.
pub(super) const ALL_FRONTS: u32 = 0x00ff_ffff;
/// The network 10.0.0.0/8, with the front's number in the other bits.
const NETWORK: u32 = 0x0a00_0000;
const PORT: u16 = 7946;

pub(super) fn address_of(front: u32) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::from(NETWORK + front)), PORT)
}

pub(super) fn front_at(address: SocketAddr) -> u32 {
    match address.ip() {
        IpAddr::V4(ip) => u32::from(ip) & ALL_FRONTS,
        IpAddr::V6(_) => 0,
    }
}

/// The engines' time for a time of the simulation: an hour after their epoch.
pub(super) fn moment(now: u64) -> Moment {
    Moment::from_micros(3_600_000 * MS + now)
}

pub(super) fn server_key(server: u32) -> ServerKey {
    ServerKey::from_name(&format!("s-{server:08x}"))
}

/// A zone that is not in full use, and the share that it takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ReducedShare {
    pub(super) zone: ZoneId,
    pub(super) share: f64,
}

/// The share of a zone, if it is not in full use.
pub(super) fn reduced_share(shares: &[ReducedShare], zone: ZoneId) -> Option<f64> {
    shares.iter().find(|reduced| reduced.zone == zone).map(|reduced| reduced.share)
}

/// A session that a front handles.
pub(super) struct ActiveCall {
    /// The caller's session, over all its attempts.
    pub(super) request: usize,
    /// The INVITE that is pending, or that established the call; 0 before the first.
    pub(super) invite: u64,
    pub(super) is_established: bool,
    pub(super) deadline: u64,
}

pub(super) struct Front {
    pub(super) zone: u32,
    pub(super) controller: Controller,
    pub(super) coordination: Option<FleetCoordination>,
    pub(super) up_since: u64,
    pub(super) is_halted: bool,
    pub(super) calls: BTreeMap<usize, ActiveCall>,
    /// When the front is scheduled to run next; 0 while it runs.
    pub(super) next_run_at: u64,
    /// Datagrams that have arrived and were not read.
    pub(super) unread: Vec<ReceivedDatagram>,
    /// The shares that the controller was given last.
    pub(super) shares: Vec<ReducedShare>,
    /// All zones have been in full use at some time since its start.
    pub(super) has_had_full_use: bool,
    /// Number of sessions that were ever active at once.
    pub(super) session_count: usize,
    free_sessions: Vec<usize>,
}

pub(super) struct ReceivedDatagram {
    pub(super) from: SocketAddr,
    pub(super) bytes: Vec<u8>,
}

impl Front {
    /// A front that starts at `start`, with the servers as they are now.
    pub(super) fn new(scenario: &Scenario, servers: &[Server], front: u32, seed: u64, start: u64) -> Front {
        let now = moment(start);
        let config = server::controller_config(scenario.fronts, seed);
        let zone = front % scenario.zones;
        let coordination = scenario.is_coordinated.then(|| {
            let zone_config = ZoneConfig::from_controller(&config);
            coordination(scenario, front, zone_config, seed, now)
        });
        let mut controller = Controller::new(&config, now);
        let endpoints: Vec<EndpointUpdate> =
            servers.iter().enumerate().map(|(index, server)| endpoint_update(index, server)).collect();
        controller.advance_to(now);
        controller.on_endpoints(true, &endpoints);
        for (index, server) in servers.iter().enumerate() {
            controller.on_line_capacity(ServerIx::new(index), server.lines());
        }
        Front {
            zone,
            controller,
            coordination,
            up_since: start,
            is_halted: false,
            calls: BTreeMap::new(),
            next_run_at: start,
            unread: Vec::new(),
            shares: Vec::new(),
            has_had_full_use: false,
            session_count: 0,
            free_sessions: Vec::new(),
        }
    }

    pub(super) fn zone_engine(&self) -> Option<&ZoneEngine> {
        self.coordination.as_ref().and_then(FleetCoordination::zone_engine)
    }

    pub(super) fn is_observer(&self) -> bool {
        self.zone_engine().is_some_and(ZoneEngine::is_observer)
    }

    /// An index for a new session.
    pub(super) fn allocate_session(&mut self) -> usize {
        self.free_sessions.pop().unwrap_or_else(|| {
            self.session_count += 1;
            self.session_count - 1
        })
    }

    /// Ends a session; its index may be used again.
    pub(super) fn end_call(&mut self, session: usize) -> Option<ActiveCall> {
        let call = self.calls.remove(&session)?;
        self.free_sessions.push(session);
        Some(call)
    }

    /// The session's call, if this INVITE is still pending.
    pub(super) fn pending_call(&mut self, session: usize, invite: u64) -> Option<&mut ActiveCall> {
        self.calls.get_mut(&session).filter(|call| call.invite == invite && !call.is_established)
    }
}

pub(super) fn endpoint_update(index: usize, server: &Server) -> EndpointUpdate {
    EndpointUpdate {
        server: ServerIx::new(index),
        number: index as i64,
        state: EndpointState::Ready { started: server.started_at.map(moment) },
        weight: 1.0,
    }
}

fn coordination(
    scenario: &Scenario,
    front: u32,
    zone_config: ZoneConfig,
    seed: u64,
    now: Moment,
) -> FleetCoordination {
    let voters = DEFAULT_SIZE.min(scenario.fronts as usize);
    let config = CoordinationConfig {
        local_address: address_of(front),
        addresses: (0..scenario.fronts).map(address_of).collect(),
        front: Some(front),
        electorate: Electorate::evenly_spaced(1, scenario.fronts, voters),
        seed,
    };
    let mut coordination =
        FleetCoordination::new(config, now).expect("a fleet of more than one front, this one among them");
    coordination.set_zones_only();
    let settings = ZoneSettings {
        local_zone: ZoneId(front % scenario.zones),
        names: (0..scenario.zones).map(|zone| format!("d{zone}")).collect(),
        config: zone_config,
        broadcast_address: Some(address_of(ALL_FRONTS)),
        seed,
    };
    coordination.enable_zones(settings, now);
    coordination
}
