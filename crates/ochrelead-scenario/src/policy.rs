//! Which policy decides in the fronts of a run.

use ochrelead_core::config::ControllerConfig;
use ochrelead_core::controller::Controller;
use ochrelead_core::time::Moment;
use ochrelead_host::call_policy::CallPolicy;

use crate::baseline::{Baseline, BaselineKind};

/// A policy that can decide in a front.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyKind {
    /// The decision module.
    Controller,
    /// The baseline [`BaselineKind::Random`].
    Random,
    /// The baseline [`BaselineKind::Unbounded`].
    Unbounded,
}

impl PolicyKind {
    /// All policies with their names on the command line and in reports, the module's first.
    pub const ALL: [(&'static str, PolicyKind); 3] = [
        ("module", PolicyKind::Controller),
        ("random", PolicyKind::Random),
        ("unbounded", PolicyKind::Unbounded),
    ];

    /// The policy's name.
    pub fn name(self) -> &'static str {
        PolicyKind::ALL.iter().find(|(_, policy)| *policy == self).map_or("", |(name, _)| name)
    }

    /// The policy with this name, if there is one.
    pub fn from_name(name: &str) -> Option<PolicyKind> {
        PolicyKind::ALL.iter().find(|(other, _)| *other == name).map(|(_, policy)| *policy)
    }

    /// A policy of this kind, for a front with this configuration.
    pub fn build(self, config: &ControllerConfig, now: Moment) -> Box<dyn CallPolicy + Send> {
        let baseline = |kind| -> Box<dyn CallPolicy + Send> {
            let targets = config.services.iter().map(|service| service.post_dial_target);
            let answer_timeout = targets.max().unwrap_or_default();
            Box::new(Baseline::new(kind, config.resend_delay, answer_timeout, config.seed))
        };
        match self {
            PolicyKind::Controller => Box::new(Controller::new(config, now)),
            PolicyKind::Random => baseline(BaselineKind::Random),
            PolicyKind::Unbounded => baseline(BaselineKind::Unbounded),
        }
    }
}
