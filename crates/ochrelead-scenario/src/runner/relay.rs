//! The relay between all processes. It has one socket for each pair of sender and receiver, forwards datagrams
//! through the emulated network, and captures each datagram when it is sent and when it is delivered.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::BufWriter;
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::future;
use ochrelead_core::time::Moment;
use ochrelead_emulator::network::{Datagram, Network, link_faults};
use ochrelead_host::clock::Clock;

use super::{RunError, ScenarioRun, capture_file};
use crate::capture::{CaptureWriter, CapturedDatagram};
use crate::harness_event::HarnessEvent;
use crate::loopback::{LoopbackNetwork, MAX_DATAGRAM};
use crate::participant::Participant;

/// A sender and receiver of datagrams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Route {
    from: Participant,
    to: Participant,
}

/// The relay, shared by its tasks.
pub(super) type SharedRelay = Rc<RefCell<Relay>>;

pub(super) struct Relay {
    network: Network<Participant>,
    capture: CaptureWriter<BufWriter<File>>,
    /// By route: the socket to which the sender sends datagrams for the receiver.
    sockets: BTreeMap<Route, Rc<Async<UdpSocket>>>,
    /// The last error of a task that has not been taken.
    error: Option<RunError>,
}

impl Relay {
    /// Opens the sockets and the capture.
    pub(super) fn open(run: &ScenarioRun, start: Moment) -> Result<SharedRelay, RunError> {
        let mut sockets = BTreeMap::new();
        for front in run.fronts() {
            for peer in run.servers().chain([Participant::Gateway]) {
                for route in [Route { from: peer, to: front }, Route { from: front, to: peer }] {
                    sockets.insert(route, Rc::new(open_socket(run.network, route)?));
                }
            }
        }
        let faults = link_faults(
            &run.scenario,
            start,
            |index| Participant::Front(index as u16),
            |index| Participant::Server(index as u16),
            Participant::Gateway,
        );
        Ok(Rc::new(RefCell::new(Relay {
            network: Network::new(run.scenario.network, faults, run.scenario.seed),
            capture: CaptureWriter::create(&capture_file(&run.output))?,
            sockets,
            error: None,
        })))
    }

    /// Records an event of the test harness in the capture.
    pub(super) fn record_event(&mut self, now: Moment, event: HarnessEvent) -> Result<(), RunError> {
        Ok(self.capture.write(&event.into_datagram(now))?)
    }

    /// Stores an error for [`Relay::take_error`]; it replaces an earlier one.
    pub(super) fn set_error(&mut self, error: RunError) {
        self.error = Some(error);
    }

    pub(super) fn take_error(&mut self) -> Option<RunError> {
        self.error.take()
    }

    fn on_received(&mut self, now: Moment, route: Route, bytes: Vec<u8>) {
        let Route { from, to } = route;
        self.network.send(now, from, to, &bytes);
        self.capture_datagram(&CapturedDatagram { time: now, from, to, delivered: false, bytes });
    }

    /// Delivers the datagrams that are due, and returns the arrival time of the next one.
    fn deliver_arrived(&mut self, addresses: LoopbackNetwork, clock: Clock) -> Option<Moment> {
        while let Some(Datagram { from, to, bytes }) = self.network.poll_arrival(clock.now()) {
            let time = clock.now();
            self.capture_datagram(&CapturedDatagram {
                time,
                from,
                to,
                delivered: true,
                bytes: bytes.clone(),
            });
            // If the receiver does not listen, the datagram is lost.
            if let Some(socket) = self.sockets.get(&Route { from: to, to: from }) {
                let _ = socket.get_ref().send_to(&bytes, addresses.listen_address(to));
            }
        }
        self.network.poll_timeout()
    }

    fn capture_datagram(&mut self, datagram: &CapturedDatagram) {
        if let Err(error) = self.capture.write(datagram) {
            self.set_error(error.into());
        }
    }
}

fn open_socket(addresses: LoopbackNetwork, route: Route) -> Result<Async<UdpSocket>, RunError> {
    let address = addresses.relay_address(route.to, route.from);
    let socket = UdpSocket::bind(address).map_err(|source| RunError::Relay { address, source })?;
    Ok(Async::new(socket)?)
}

/// Starts the tasks that receive and deliver datagrams.
pub(super) fn spawn_tasks(
    executor: &LocalExecutor<'_>,
    relay: &SharedRelay,
    addresses: LoopbackNetwork,
    clock: Clock,
) {
    let (wake, woken) = async_channel::bounded(1);
    for (route, socket) in &relay.borrow().sockets {
        let sender = addresses.listen_address(route.from);
        let receiver = RouteReceiver { route: *route, sender, socket: socket.clone() };
        executor.spawn(receiver.run(relay.clone(), clock, wake.clone())).detach();
    }
    executor.spawn(deliver(relay.clone(), clock, addresses, woken)).detach();
}

/// Finishes the capture after all tasks have ended. Returns `run_result`, or the error that a task left if it is
/// `Ok`.
pub(super) fn close(relay: SharedRelay, run_result: Result<(), RunError>) -> Result<(), RunError> {
    let relay = Rc::try_unwrap(relay).map_err(|_| RunError::RelayInUse)?.into_inner();
    relay.capture.finish()?;
    run_result?;
    relay.error.map_or(Ok(()), Err)
}

/// Receives the datagrams of one route.
struct RouteReceiver {
    route: Route,
    /// The sender's address; datagrams from other addresses are ignored.
    sender: SocketAddrV4,
    socket: Rc<Async<UdpSocket>>,
}

impl RouteReceiver {
    async fn run(self, relay: SharedRelay, clock: Clock, wake: Sender<()>) {
        let mut buffer = vec![0; MAX_DATAGRAM];
        while let Ok((length, from)) = self.socket.recv_from(&mut buffer).await {
            if from != SocketAddr::V4(self.sender) {
                continue;
            }
            relay.borrow_mut().on_received(clock.now(), self.route, buffer[..length].to_vec());
            // The channel holds one message, which is enough to wake the delivery for all datagrams.
            let _ = wake.try_send(());
        }
    }
}

/// Delivers datagrams at their arrival times.
async fn deliver(relay: SharedRelay, clock: Clock, addresses: LoopbackNetwork, woken: Receiver<()>) {
    loop {
        let next_arrival = relay.borrow_mut().deliver_arrived(addresses, clock);
        let timer = clock.timer(next_arrival);
        let arrival = async {
            let _ = timer.await;
        };
        let wake_up = async {
            let _ = woken.recv().await;
        };
        future::or(arrival, wake_up).await;
    }
}
