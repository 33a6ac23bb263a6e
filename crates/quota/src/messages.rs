use crate::limit::{Amount, QuotaLimit};
use types::{ConfigEpoch, Milliseconds, TenantName, messages};

messages! {
    /// What a node tells and wants of one tenant.
    #[derive(Eq)]
    pub struct CreditRequest {
        /// The tenant.
        pub tenant: TenantName,
        /// Its limit, by the plan that the node holds.
        pub limit: QuotaLimit,
        /// Credit that the node has and has not spent.
        pub held: Amount,
        /// What a request that waits at the node needs besides: granted whole or not at all.
        pub need: Amount,
        /// What the node would like in all, for requests to come.
        pub want: Amount,
    }

    /// From a node to the authority.
    #[derive(Eq)]
    pub struct CreditAsk {
        /// The node's life.
        pub incarnation: u64,
        /// Grows by one with each of the node's asks: only the answer to the newest is taken.
        pub number: u64,
        /// The epoch of the plan that the limits are from.
        pub plan_epoch: ConfigEpoch,
        /// How long ago the node's life began, if it was never granted anything: what its former lives may have spent
        /// was spent by then.
        pub fresh_for: Option<Milliseconds>,
        /// Whether it lists all tenants of whom the node holds credit.
        pub is_whole: bool,
        /// By tenant.
        pub entries: Vec<CreditRequest>,
    }

    /// What is granted of one tenant's quota.
    #[derive(Eq)]
    pub struct TenantGrant {
        /// The tenant.
        pub tenant: TenantName,
        /// So much more.
        pub granted: Amount,
        /// Where what was needed is not granted: when it's worth asking again.
        pub wait: Milliseconds,
    }

    /// The authority's answer.
    #[derive(Eq)]
    pub struct CreditGrant {
        /// Of the ask.
        pub number: u64,
        /// All credit that the ask listed, and this, is spent within so long after the ask was sent, or never.
        pub incarnation: Milliseconds,
        /// Whether the authority needs a whole list of what the node holds.
        pub wants_whole: bool,
        /// By tenant.
        pub entries: Vec<TenantGrant>,
    }
}
