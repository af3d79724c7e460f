//! Deliberate mutations around the front's engine, as in mutation testing: the simulation has to find them.
//!
//! They are made at the engine's borders and never in it: by whoever decides, in the configuration, on the wire or on
//! the disk.

use ochrelead_config::front_config::FrontConfig;
use ochrelead_discovery::persistence::PersistedEndpoints;
use ochrelead_host::call_policy::CallPolicy;

/// Something that is changed on purpose.
pub trait Mutation: Send {
    /// The policy that a front decides with.
    fn wrap_policy(&self, policy: Box<dyn CallPolicy + Send>) -> Box<dyn CallPolicy + Send> {
        policy
    }

    /// The configuration of a front.
    fn change_config(&self, _config: &mut FrontConfig) {}

    /// The datagrams that leave a front where it sends one.
    fn on_send(&mut self, _front: usize, bytes: Vec<u8>) -> Vec<Vec<u8>> {
        vec![bytes]
    }

    /// The datagram that a front reads where one reaches it; none where it is lost.
    fn on_receive(&mut self, _front: usize, bytes: Vec<u8>) -> Option<Vec<u8>> {
        Some(bytes)
    }

    /// The persisted state that a front starts with.
    fn on_restore(&self, persisted: Option<PersistedEndpoints>) -> Option<PersistedEndpoints> {
        persisted
    }
}

/// Changes nothing.
pub struct NoMutation;

impl Mutation for NoMutation {}
