//! A simulated front: its call controller, its coordination with other fronts, and its active calls.

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

/// The host part of the broadcast address.
pub(super) const ALL_FRONTS: u32 = 0x00ff_ffff;
/// The network 10.0.0.0/8; the front's number is the host part.
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

/// Converts simulated time to the engines' time. The run starts one hour after the engines' epoch.
pub(super) fn moment(now: u64) -> Moment {
    Moment::from_micros(3_600_000 * MS + now)
}

pub(super) fn server_key(server: u32) -> ServerKey {
    ServerKey::from_name(&format!("s-{server:08x}"))
}

/// A zone that is not in full use, and the share of its usual traffic that it receives. Violations print it with
/// `Debug`, so its names stay.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ReducedShare {
    pub(super) zone: ZoneId,
    pub(super) share: f64,
}

/// The share of a zone; `None` if the zone is in full use.
pub(super) fn reduced_share(shares: &[ReducedShare], zone: ZoneId) -> Option<f64> {
    shares.iter().find(|reduced| reduced.zone == zone).map(|reduced| reduced.share)
}

/// A session at a front, pending or established.
pub(super) struct ActiveCall {
    /// Index of the caller's [`SessionRequest`](super::traffic::SessionRequest).
    pub(super) request: usize,
    /// Identifier of the pending INVITE or of the one that established the call; 0 before the first INVITE.
    pub(super) invite: u64,
    pub(super) is_established: bool,
    pub(super) deadline: u64,
}

pub(super) struct Front {
    pub(super) zone: u32,
    pub(super) controller: Controller,
    pub(super) coordination: Option<FleetCoordination>,
    /// Start time of the process; in the future while a killed front is down.
    pub(super) up_since: u64,
    /// Whether the process does not run: halted by a fault, or killed and not restarted yet.
    pub(super) is_halted: bool,
    /// Active calls by session index.
    pub(super) calls: BTreeMap<usize, ActiveCall>,
    /// Time of the next scheduled run; 0 once that run has begun.
    pub(super) next_run_at: u64,
    /// Datagrams in the receive buffer of the socket.
    pub(super) unread: Vec<ReceivedDatagram>,
    /// The reduced shares that were last applied to the controller.
    pub(super) shares: Vec<ReducedShare>,
    /// Whether all zones were in full use after any change of shares since the start.
    pub(super) has_had_full_use: bool,
    /// Number of session indices allocated so far, free ones included.
    pub(super) session_count: usize,
    free_sessions: Vec<usize>,
}

pub(super) struct ReceivedDatagram {
    pub(super) from: SocketAddr,
    pub(super) bytes: Vec<u8>,
}

impl Front {
    /// Creates a front that starts at `start`, with the present state of the servers.
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

    /// Returns a free session index.
    pub(super) fn allocate_session(&mut self) -> usize {
        self.free_sessions.pop().unwrap_or_else(|| {
            self.session_count += 1;
            self.session_count - 1
        })
    }

    /// Removes a session's call and frees its index.
    pub(super) fn end_call(&mut self, session: usize) -> Option<ActiveCall> {
        let call = self.calls.remove(&session)?;
        self.free_sessions.push(session);
        Some(call)
    }

    /// Returns the session's call if the INVITE is still pending.
    pub(super) fn pending_call(&mut self, session: usize, invite: u64) -> Option<&mut ActiveCall> {
        self.calls.get_mut(&session).filter(|call| call.invite == invite && !call.is_established)
    }
}

/// The entry of a server in the endpoint list.
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
