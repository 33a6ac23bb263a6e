use crate::amount::Amount;
use crate::limit::QuotaLimit;
use types::{ConfigEpoch, Milliseconds, TenantName, messages};

messages! {
    /// What a node reports and requests of one tenant's quota.
    #[derive(Eq)]
    pub struct TenantCreditRequest {
        /// The name of the tenant.
        pub tenant: TenantName,
        /// The tenant's limit by the plan that the node has.
        pub limit: QuotaLimit,
        /// The credit that the node has and has not spent.
        pub available: Amount,
        /// What the first request that waits at the node needs beyond that. It is granted in full or not at all.
        pub required: Amount,
        /// What the node requests in all, `required` included, for waiting and future requests.
        pub requested: Amount,
    }

    /// A request for credit, from a node to the authority.
    #[derive(Eq)]
    pub struct CreditRequest {
        /// The incarnation of the node: a number that no other run of its process has.
        pub incarnation: u64,
        /// The number of the request, which grows by one. Only the grant for the newest request is accepted.
        pub number: u64,
        /// The epoch of the plan that the limits are from.
        pub plan_epoch: ConfigEpoch,
        /// The time since the node started, if it was never granted anything. Whatever its former incarnations
        /// spent was spent before it started.
        pub since_start: Option<Milliseconds>,
        /// Whether all tenants of whom the node has credit are listed.
        pub is_complete: bool,
        /// The requests by tenant.
        pub entries: Vec<TenantCreditRequest>,
    }

    /// What is granted of one tenant's quota.
    #[derive(Eq)]
    pub struct TenantCreditGrant {
        /// The name of the tenant.
        pub tenant: TenantName,
        /// The additional credit.
        pub granted: Amount,
        /// When to request again, if what was required is not granted; 0 otherwise.
        pub retry_after: Milliseconds,
    }

    /// The authority's response to a request for credit.
    #[derive(Eq)]
    pub struct CreditGrant {
        /// The number of the request.
        pub number: u64,
        /// How long after the request was sent the credit may be spent: the credit that the request listed, and the
        /// credit granted.
        pub lifetime: Milliseconds,
        /// Whether the authority needs a complete list of the node's credit.
        pub wants_complete: bool,
        /// The grants by tenant.
        pub entries: Vec<TenantCreditGrant>,
    }
}
