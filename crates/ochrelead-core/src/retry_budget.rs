//! The retry budget of a server: the first INVITE of a session deposits a tenth of a token, a re-send withdraws
//! one, and unused tokens expire.

use crate::time::{Moment, Span};
use crate::types::BudgetGrant;

/// Units of one token; integer arithmetic makes ten deposits exactly one token.
const TOKEN_UNITS: u64 = 1_000_000_000;
/// Units that the first INVITE of a session deposits.
const DEPOSIT_UNITS: u64 = TOKEN_UNITS / 10;
/// Time in which tokens that are not used expire.
const TOKEN_LIFETIME: Span = Span::from_secs(10);
/// The floor: a re-send is granted without a token if no re-send was granted for this long.
const FLOOR_INTERVAL: Span = Span::from_secs(1);

/// The retry budget of one server.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    units: u64,
    updated_at: Moment,
    last_resend_at: Option<Moment>,
}

impl RetryBudget {
    /// Expires units in proportion to the time since the last update: units * elapsed / `TOKEN_LIFETIME`.
    fn expire(&mut self, now: Moment) {
        let elapsed = u128::from(now.since(self.updated_at).micros());
        let expired = u128::from(self.units) * elapsed / u128::from(TOKEN_LIFETIME.micros());
        self.units = self.units.saturating_sub(u64::try_from(expired).unwrap_or(u64::MAX));
        self.updated_at = now;
    }

    /// Deposits a tenth of a token, for the first INVITE of a session sent to the server.
    pub fn deposit(&mut self, now: Moment) {
        self.expire(now);
        self.units += DEPOSIT_UNITS;
    }

    /// Grants a re-send by a token, or by the floor if no token is left. Returns `None` if it may not be sent.
    pub fn withdraw(&mut self, now: Moment) -> Option<BudgetGrant> {
        self.expire(now);
        let grant = if self.units >= TOKEN_UNITS {
            self.units -= TOKEN_UNITS;
            BudgetGrant::Token
        } else if self.last_resend_at.is_none_or(|last| now.since(last) >= FLOOR_INTERVAL) {
            BudgetGrant::Floor
        } else {
            return None;
        };
        self.last_resend_at = Some(now);
        Some(grant)
    }

    /// Returns the token of a re-send that was granted but is not sent to the server.
    pub fn refund(&mut self, now: Moment, grant: BudgetGrant) {
        self.expire(now);
        if grant == BudgetGrant::Token {
            self.units += TOKEN_UNITS;
        }
    }
}
