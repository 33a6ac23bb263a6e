use college::prelude::*;
use primer::prelude::Sketch;

messages! {
    /// A node of the data plane, as others see it.
    #[derive(Eq)]
    pub struct Member {
        /// Its inner address.
        pub address: Address,
        /// Its zone.
        pub hall: HallName,
    }

    /// A member asks the core for a lease and for news.
    pub struct Poll {
        /// Who asks.
        pub member: Member,
        /// Tells polls of one life apart.
        pub round: u64,
        /// The newest epoch that it has whole.
        pub epoch: Epoch,
        /// Other members that it has heard within the last second.
        pub hears: Vec<Address>,
    }

    /// What the core answers to a poll.
    pub enum PollReply {
        /// Ask that one; these are the core's machines.
        Elsewhere {
            /// The tail, if known.
            tail: Option<Address>,
            /// All voters.
            voters: Vec<Address>,
        },
        /// A lease, reckoned from when the poll was sent, and the news.
        Lease {
            /// For this long.
            span: Span,
            /// The newest epoch.
            epoch: Epoch,
            /// The epoch of the plan in force, to be asked for if not held.
            plan_epoch: Epoch,
            /// Zones that are withdrawn.
            withdrawn: Vec<HallName>,
            /// The members.
            members: Vec<Address>,
            /// The core's machines.
            voters: Vec<Address>,
            /// What tokens are checked with, once it was drawn.
            key: Option<TokenKey>,
        },
    }

    /// What an operator wants read at the tail.
    pub enum Reading {
        /// The newest state, without plans.
        Latest,
        /// The plan in force behind its epoch (eight bytes), for a change to be merged into.
        Base {
            /// Known to whoever replies at least up to this epoch.
            at_least: Epoch,
        },
        /// What was accepted as this epoch.
        Epoch {
            /// It.
            epoch: Epoch,
        },
        /// Whether these members, said to be lost, are heard by the core or by any member.
        Heard {
            /// The operator's id for forgetting them.
            id: String,
            /// Who.
            members: Vec<Address>,
        },
        /// What became of a change.
        Fate {
            /// The operator's id for it.
            id: String,
        },
    }

    /// All letters.
    pub enum Letter {
        /// Between fellows of the core.
        Note {
            /// It.
            note: Note,
        },
        /// From a member to the core.
        Poll {
            /// It.
            poll: Poll,
        },
        /// From the core to a member.
        PollReply {
            /// Of the poll.
            round: u64,
            /// It.
            reply: PollReply,
        },
        /// Asks for a plan, by pieces, from the core or from a peer.
        PlanAsk {
            /// The epoch it was accepted as.
            epoch: Epoch,
            /// From this byte.
            offset: u64,
            /// The epoch of the plan that the asker holds.
            have: Epoch,
        },
        /// What makes a plan of the one before, for one that holds that.
        PlanSplice {
            /// The epoch it was accepted as.
            epoch: Epoch,
            /// The epoch of the plan before.
            base: Epoch,
            /// It.
            splice: Splice,
        },
        /// A piece of a plan as it is in force.
        PlanPiece {
            /// The epoch it was accepted as.
            epoch: Epoch,
            /// From this byte.
            offset: u64,
            /// The length of the whole.
            length: u64,
            /// The bytes.
            bytes: Vec<u8>,
        },
        /// Between members: a sketch, and the sender's news.
        Trade {
            /// The sender's zone.
            hall: HallName,
            /// The sketch.
            sketch: Sketch,
            /// The newest epoch that the sender has whole. Zero from one that may not act.
            epoch: Epoch,
            /// The epoch of its plan.
            plan_epoch: Epoch,
            /// Zones that it knows as withdrawn.
            withdrawn: Vec<HallName>,
            /// The members that it knows.
            members: Vec<Address>,
            /// Tells trades of one life apart.
            round: u64,
            /// For the one addressed: the newest round of its own that the sender has had.
            echo: u64,
        },
        /// Between registrars: something to be read at the tail.
        Ask {
            /// The asker's number, which no other question or proposal of its has in all its lives.
            number: u64,
            /// What.
            reading: Reading,
        },
        /// The tail's answer: a status and a body for HTTP.
        Told {
            /// Of the question.
            number: u64,
            /// HTTP status.
            status: u16,
            /// The body.
            body: Vec<u8>,
        },
    }
}

/// Bytes of a plan that one letter carries.
const PIECE: usize = 256 << 10;
/// A splice that is longer goes by pieces of the whole plan.
pub const SPLICE_MOST: usize = PIECE;

impl Letter {
    /// The piece of a plan from this byte on; `None` beyond its end.
    pub fn plan_piece(epoch: Epoch, plan: &[u8], offset: u64) -> Option<Letter> {
        let rest = plan.get(usize::try_from(offset).ok()?..)?;
        let bytes = rest[..rest.len().min(PIECE)].to_vec();
        Some(Letter::PlanPiece { epoch, offset, length: plan.len() as u64, bytes })
    }
}
