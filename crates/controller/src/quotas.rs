//! Tenants' quotas: the tail grants credit of them.

use crate::controller::Controller;
use quota::{CreditAsk, QuotaAuthority};
use replication::View;
use types::Address;
use wire::Message;

impl Controller {
    /// This is the tail, and may answer for the core.
    pub(crate) fn begin_quotas(&mut self) {
        if self.quotas.is_none() {
            let authority = QuotaAuthority::new(self.timing.quota, self.now);
            self.quotas = Some((self.replica.view().epoch, authority));
        }
    }

    /// The view was replaced. What was granted is known here only if no other tail came between.
    pub(crate) fn keep_quotas(&mut self, view: &View) {
        let is_tail = view.tail() == Some(self.replica.me());
        self.quotas = match self.quotas.take() {
            Some((former, authority)) if is_tail && former.next() == view.epoch => {
                Some((view.epoch, authority))
            }
            _ => None,
        };
    }

    pub(crate) fn on_credit_ask(&mut self, from: Address, ask: &CreditAsk) {
        if !self.may_respond() {
            return;
        }
        self.begin_quotas();
        let members = &self.replica.state_machine().membership.members;
        let Some((_, authority)) = &mut self.quotas else {
            return;
        };
        let grant = authority.on_ask(self.now, from, ask, members);
        grant.into_iter().for_each(|grant| {
            self.send(
                from,
                Message::CreditGrant {
                    grant: Box::new(grant),
                },
            )
        });
    }

    /// Tenants with a quota, as far as nodes have asked for credit of theirs.
    pub(crate) fn tenants(&self) -> serde_json::Value {
        let tenants = self
            .quotas
            .as_ref()
            .map(|(_, authority)| authority.tenants(self.now));
        serde_json::json!({"window_ms": self.timing.quota.window, "tenants": tenants.unwrap_or_default()})
    }
}
