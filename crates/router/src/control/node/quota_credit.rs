//! Tenants' quotas: requests are let in by credit that the core's tail grants.

use crate::control::node::{Node, NodeOutput, PlacementRequest, Rejection};
use crate::dialect::Access;
use crate::downstream::authentication::{quota_amount, quota_limit, unauthorized};
use config::{KeyDigest, Plan, TenantPlan, TenantTable};
use quota::{Admission, AdmissionDecision, CreditGrant, QuotaRejection};
use quota::{Amount, QuotaLimit};
use std::sync::Arc;
use types::{Address, Milliseconds, ResultCode, TenantName};
use wire::Message;

impl Node {
    /// The plan was replaced: its tenants and their limits are taken up.
    pub(super) fn update_tenants(&mut self) {
        let Some(plan) = self.plan.clone() else {
            return;
        };
        self.tenants = Arc::new(TenantTable::new(&plan.tenants, self.key_hasher.clone()));
        let limited = |tenant: &TenantPlan| {
            Some((TenantName::from(tenant.name.as_str()), quota_limit(tenant)?))
        };
        let limits: Vec<(TenantName, QuotaLimit)> =
            plan.tenants.iter().filter_map(limited).collect();
        let released = self.credit.set_limits(self.plan_epoch, &limits);
        self.resolve_waiting(released);
    }

    /// By whose right a request goes, under the plan held.
    pub(super) fn access(
        &self,
        plan: &Plan,
        route: Option<&str>,
        key: Option<&KeyDigest>,
    ) -> Result<Access, Rejection> {
        if self.tenants.is_empty() {
            return Ok(Access::Unrestricted);
        }
        let is_of = |name: &str| plan.routes.iter().find(|known| known.name == name);
        if route.and_then(is_of).is_some_and(|found| found.public) {
            return Ok(Access::Public);
        }
        let Some(key) = key else {
            // The plan had no tenants, or the route was public, when the request came.
            let why = "the plan in force wants an API key for this".to_owned();
            return Err(Rejection {
                code: ResultCode::NotReady,
                why,
                retry_after: Milliseconds(50),
            });
        };
        let tenant = self.tenants.tenant(key).ok_or_else(unauthorized)?;
        Ok(Access::Tenant(tenant.name.as_str().into()))
    }

    /// A request wants a server: it gets one once its tenant's quota has room for it.
    pub(super) fn on_place(&mut self, request: PlacementRequest) {
        let number = request.number;
        match self.admit(&request) {
            Admission::Admitted => self.place_admitted(request),
            Admission::Waiting => drop(self.waiting_for_credit.insert(number, request)),
            Admission::Rejected(rejection) => {
                let outcome = Err(rejection_of(rejection));
                self.outputs.push(NodeOutput::Place { number, outcome });
            }
        }
    }

    fn admit(&mut self, request: &PlacementRequest) -> Admission {
        let Some((tenant, amount)) = self.quota_of(request) else {
            return Admission::Admitted;
        };
        if request.round == 0 {
            return self.credit.admit(self.now, request.number, &tenant, amount);
        }
        // It has been let in. If the server before may have run it, it counts once more.
        if request.may_have_run {
            self.credit.debit_again(self.now, &tenant, amount);
        }
        Admission::Admitted
    }

    /// Whose quota a request takes from, and how much of it.
    fn quota_of(&self, request: &PlacementRequest) -> Option<(TenantName, Amount)> {
        let tenant = self
            .tenants
            .tenant(request.key.as_ref()?)
            .filter(|tenant| tenant.is_limited())?;
        Some((
            tenant.name.as_str().into(),
            quota_amount(tenant, &request.request_cost),
        ))
    }

    fn place_admitted(&mut self, request: PlacementRequest) {
        let (number, round, taken) = (request.number, request.round, self.quota_of(&request));
        let outcome = self.place(request);
        if let (Err(_), 0, Some((tenant, amount))) = (&outcome, round, taken) {
            self.credit.refund(self.now, &tenant, amount);
        }
        self.outputs.push(NodeOutput::Place { number, outcome });
    }

    /// What waited is placed or turned away.
    fn resolve_waiting(&mut self, settlements: Vec<AdmissionDecision>) {
        for settlement in settlements {
            let number = settlement.number;
            let Some(request) = self.waiting_for_credit.remove(&number) else {
                continue;
            };
            match settlement.outcome {
                Ok(()) => self.place_admitted(request),
                Err(rejection) => self.outputs.push(NodeOutput::Place {
                    number,
                    outcome: Err(rejection_of(rejection)),
                }),
            }
        }
    }

    pub(super) fn expire_waiting_requests(&mut self) {
        let settled = self.credit.on_clock(self.now);
        self.resolve_waiting(settled);
    }

    pub(super) fn on_credit_grant(&mut self, from: Address, grant: &CreditGrant) {
        let settled = self.credit.on_grant(self.now, from, grant);
        self.resolve_waiting(settled);
    }

    /// Nobody waits for this request any more.
    pub(super) fn abandon_credit(&mut self, number: u64) {
        if self.waiting_for_credit.remove(&number).is_some() {
            self.credit.cancel(number);
        }
    }

    /// Asks the tail for credit, where some is wanted.
    pub(super) fn request_credit(&mut self) {
        if let Some((tail, ask)) = self.credit.next_request(self.now, self.tail) {
            self.send(
                tail,
                Message::CreditRequest {
                    request: Box::new(ask),
                },
            );
        }
    }
}

fn rejection_of(rejection: QuotaRejection) -> Rejection {
    match rejection {
        QuotaRejection::OverQuota { retry_after } => Rejection {
            code: ResultCode::OverQuota,
            why: "the tenant is beyond its quota".into(),
            retry_after,
        },
        QuotaRejection::Unknown { retry_after } => {
            let why = "the core did not tell in time whether the tenant's quota has room".into();
            Rejection {
                code: ResultCode::QuotaUnknown,
                why,
                retry_after,
            }
        }
    }
}
