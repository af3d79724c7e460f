//! Validation of set-ups against the settings and the capacity of the tables; valid ones go to the controller.

use ochrelead_core::config::ControllerConfig;
use ochrelead_core::index::{ServiceIx, TenantIx};
use ochrelead_core::time::Span;
use ochrelead_core::types::CallRequest;
use ochrelead_platform::caller_messages::{self, MessageError, SetUpRequest, cause};
use ochrelead_platform::settings::Settings;

use super::{Engine, requests};
use crate::call_table::{Call, Phase};
use crate::caller_table::CallerTrust;
use crate::io::{CallerId, Output};

/// The places that one caller's connection may hold, in multiples of the free ones.
const MAX_SHARE_OF_FREE: usize = 4;
/// The destination number of a set-up that any server may take.
const ANY_DESTINATION: i64 = -1;

/// A service class of the settings.
struct Service {
    name: String,
    /// The maximum time that a set-up may allow for its answer; zero for no limit.
    max_wait: Span,
}

/// The service classes, tenants and servers that set-ups may refer to.
pub(super) struct ServiceCatalog {
    services: Vec<Service>,
    tenants: Vec<String>,
    /// For each service class, the numbers of the servers that may take its calls.
    server_numbers: Vec<Vec<i64>>,
}

/// The indices of the service class and the tenant that a valid set-up refers to.
struct ResolvedSetUp {
    class: usize,
    tenant: Option<TenantIx>,
}

impl ServiceCatalog {
    pub(super) fn new(settings: &Settings, config: &ControllerConfig) -> ServiceCatalog {
        let service = |(name, max_wait): (&str, Span)| Service { name: name.to_owned(), max_wait };
        ServiceCatalog {
            services: settings.services().map(service).collect(),
            tenants: settings.tenants().map(str::to_owned).collect(),
            server_numbers: config.services.iter().map(|service| service.servers.clone()).collect(),
        }
    }

    /// The name of a service class.
    pub(super) fn service_name(&self, class: usize) -> &str {
        &self.services[class].name
    }

    /// The longest `max_wait` of all service classes; zero if any class has no limit.
    pub(super) fn longest_wait(&self) -> Span {
        let waits = || self.services.iter().map(|service| service.max_wait);
        if waits().any(|wait| wait == Span::ZERO) { Span::ZERO } else { waits().max().unwrap_or(Span::ZERO) }
    }

    fn tenant(&self, name: Option<&str>) -> Result<Option<TenantIx>, MessageError> {
        match name {
            Some(name) => {
                let index = self.tenants.iter().position(|tenant| tenant == name);
                Ok(Some(TenantIx::new(index.ok_or(MessageError::UnknownTenant)?)))
            }
            None if self.tenants.is_empty() => Ok(None),
            None => Err(MessageError::MissingTenant),
        }
    }
}

impl Engine {
    /// Validates a set-up and passes it to the controller. Refuses it if the tables are full or the shutdown
    /// deadline has passed.
    pub(super) fn on_set_up(&mut self, id: CallerId, set_up: SetUpRequest) -> Result<(), MessageError> {
        let ResolvedSetUp { class, tenant } = self.check_set_up(&set_up)?;
        self.raise_trust(id, CallerTrust::Plausible);
        if self.exceeds_capacity(id, &set_up) || self.refuses_set_ups() {
            let line = caller_messages::encode_down(set_up.call, cause::REFUSED, None);
            self.outputs.push_back(Output::SendToCaller(id, line));
            return Ok(());
        }
        let deadline = self.answer_deadline(self.now + set_up.time_left);
        let request = CallRequest {
            service: ServiceIx::new(class),
            tenant,
            called_number: Some(self.called_numbers.index(&set_up.called_number)),
            destination: set_up.destination.unwrap_or(ANY_DESTINATION),
            deadline,
            is_redial: false,
        };
        let session = self.calls.insert(Call {
            id: set_up.call,
            caller: id,
            class,
            called_number: set_up.called_number,
            description: set_up.description,
            deadline,
            invite_count: 0,
            phase: Phase::Waiting,
        });
        if let Some(caller) = self.callers.get_mut(id) {
            caller.pending_sessions.push(session);
        }
        self.policy.on_call_request(session, request);
        Ok(())
    }

    fn check_set_up(&self, set_up: &SetUpRequest) -> Result<ResolvedSetUp, MessageError> {
        if self.calls.find(set_up.call).is_some() || self.invited_calls.contains(&set_up.call) {
            return Err(MessageError::DuplicateCall);
        }
        let services = &self.catalog.services;
        let class = services.iter().position(|service| service.name == set_up.class);
        let class = class.ok_or(MessageError::UnknownClass)?;
        let tenant = self.catalog.tenant(set_up.tenant.as_deref())?;
        let max_wait = services[class].max_wait;
        if max_wait > Span::ZERO && set_up.time_left > max_wait {
            return Err(MessageError::TimeLeftTooLong);
        }
        let is_known = |number: i64| {
            self.servers.knows_number(number) || self.catalog.server_numbers[class].contains(&number)
        };
        if set_up.destination.is_some_and(|number| number >= 0 && !is_known(number)) {
            return Err(MessageError::UnknownDestination);
        }
        let invite = requests::Invite {
            call: set_up.call,
            called_number: &set_up.called_number,
            sequence: 1,
            service: self.catalog.service_name(class),
            timer_ms: 1,
            description: &set_up.description,
        };
        if !invite.always_fits() {
            return Err(MessageError::DescriptionTooLong);
        }
        Ok(ResolvedSetUp { class, tenant })
    }

    /// Whether a set-up finds no place. A connection may hold up to `MAX_SHARE_OF_FREE` times as many places as it leaves
    /// free, so that no single one takes those of all others.
    fn exceeds_capacity(&self, caller: CallerId, set_up: &SetUpRequest) -> bool {
        let usage = self.calls.usage(caller);
        let free_calls = self.bounds.calls.saturating_sub(self.calls.len());
        let free_bytes = self.bounds.description_bytes.saturating_sub(self.calls.description_bytes());
        let length = set_up.description.len();
        usage.calls / MAX_SHARE_OF_FREE >= free_calls
            || length > free_bytes
            || usage.description_bytes / MAX_SHARE_OF_FREE > free_bytes - length
    }
}
