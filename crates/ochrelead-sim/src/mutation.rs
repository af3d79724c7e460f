//! Deliberate faults around the front's engine, as in mutation testing: the simulation must detect each of them.
//!
//! A mutation changes only the inputs and outputs of the engine, never its code: the call policy, the configuration,
//! the datagrams or the persisted state.

use ochrelead_config::front_config::FrontConfig;
use ochrelead_discovery::persistence::PersistedEndpoints;
use ochrelead_host::call_policy::CallPolicy;

/// A deliberate fault at the boundary of a front's engine. The default methods change nothing.
pub trait Mutation: Send {
    /// Returns the call policy that a front uses in place of `policy`.
    fn wrap_policy(&self, policy: Box<dyn CallPolicy + Send>) -> Box<dyn CallPolicy + Send> {
        policy
    }

    /// Changes the configuration of a front before it starts.
    fn change_config(&self, _config: &mut FrontConfig) {}

    /// Returns the datagrams that are put on the network when a front sends one.
    fn on_send(&mut self, _front: usize, bytes: Vec<u8>) -> Vec<Vec<u8>> {
        vec![bytes]
    }

    /// Returns the datagram that a front reads when one reaches it, or `None` to drop it.
    fn on_receive(&mut self, _front: usize, bytes: Vec<u8>) -> Option<Vec<u8>> {
        Some(bytes)
    }

    /// Returns the persisted state that a front restores at its start in place of `persisted`.
    fn on_restore(&self, persisted: Option<PersistedEndpoints>) -> Option<PersistedEndpoints> {
        persisted
    }
}

/// A mutation that changes nothing.
pub struct NoMutation;

impl Mutation for NoMutation {}
