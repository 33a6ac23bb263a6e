use types::{Address, ConfigEpoch, messages};

messages! {
    /// A query of operators, which the tail of the chain answers.
    pub enum Query {
        /// The newest state, without plans.
        Latest,
        /// The plan in force, after its epoch in eight bytes, as the base that a change is merged into.
        Base {
            /// The epoch up to which the responder must know the state at least.
            at_least: ConfigEpoch,
        },
        /// The command that was accepted as an epoch.
        AcceptedCommand {
            /// The epoch.
            epoch: ConfigEpoch,
        },
        /// Whether the core or any member lately received something from members that are said to be lost.
        Reachability {
            /// The operator's id for the removal of the members.
            id: String,
            /// The addresses of the members.
            members: Vec<Address>,
        },
        /// The status of a command.
        CommandStatus {
            /// The operator's id for the command.
            id: String,
        },
        /// The newest accepted epoch, in eight bytes.
        Newest,
        /// The tenants with a quota: what they may send and have sent.
        Tenants,
    }
}
