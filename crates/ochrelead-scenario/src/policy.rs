//! The routing policy of the fronts in a run.

use ochrelead_core::config::ControllerConfig;
use ochrelead_core::controller::Controller;
use ochrelead_core::time::Moment;
use ochrelead_host::call_policy::CallPolicy;

use crate::baseline::{Baseline, BaselineKind};

/// A kind of routing policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyKind {
    /// The project's controller.
    Controller,
    /// The baseline [`BaselineKind::Random`].
    Random,
    /// The baseline [`BaselineKind::Unbounded`].
    Unbounded,
}

impl PolicyKind {
    /// All policies with their names on the command line and in reports; the controller is the first.
    pub const ALL: [(&'static str, PolicyKind); 3] = [
        ("module", PolicyKind::Controller),
        ("random", PolicyKind::Random),
        ("unbounded", PolicyKind::Unbounded),
    ];

    /// Returns the policy's name.
    pub fn name(self) -> &'static str {
        PolicyKind::ALL.iter().find(|(_, policy)| *policy == self).map_or("", |(name, _)| name)
    }

    /// Returns the policy with this name, if any.
    pub fn from_name(name: &str) -> Option<PolicyKind> {
        PolicyKind::ALL.iter().find(|(other, _)| *other == name).map(|(_, policy)| *policy)
    }

    /// Builds a policy of this kind for a front with this configuration. Baselines give up an INVITE after the
    /// longest post-dial target of the services.
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
