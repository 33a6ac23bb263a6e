use crate::config_update::ConfigUpdate;
use types::{Address, ConfigEpoch, Milliseconds, TokenKey, ViewNumber, ZoneName, messages};

messages! {
    /// A node of the data plane, as other processes know it.
    #[derive(Eq)]
    pub struct Member {
        /// The inner address.
        pub address: Address,
        /// The zone.
        pub zone: ZoneName,
    }

    /// A member's request to the core for a lease and for configuration updates.
    pub struct LeaseRequest {
        /// The member that sends the request.
        pub member: Member,
        /// The number of the request among those of this incarnation.
        pub round: u64,
        /// The newest epoch whose configuration the member has completely.
        pub epoch: ConfigEpoch,
        /// The view whose voters the member knows.
        pub view: ViewNumber,
        /// Whether the member has the token key.
        pub has_key: bool,
        /// Other nodes from which the member received something lately.
        pub reachable_peers: Vec<Address>,
    }

    /// The core's response to a lease request.
    pub enum LeaseResponse {
        /// The receiver cannot grant a lease; the request is to be sent to another controller.
        Elsewhere {
            /// The view that the response is of. A controller that was away may know an old one only.
            view: ViewNumber,
            /// The tail of the chain, if known.
            tail: Option<Address>,
            /// The voters of the view.
            voters: Vec<Address>,
        },
        /// A lease. What the member has by its request is left out.
        Lease {
            /// The duration of the lease, counted from when the request was sent.
            span: Milliseconds,
            /// The newest epoch.
            epoch: ConfigEpoch,
            /// The configuration update, if the member's epoch is older.
            update: Option<ConfigUpdate>,
            /// The view.
            view: ViewNumber,
            /// The voters of the view, if the member knows those of another one.
            voters: Vec<Address>,
            /// The key that resume tokens are checked with, if it was drawn and the member does not have it.
            key: Option<TokenKey>,
        },
    }
}
