//! The data plane: a router takes clients' requests, places them, and carries the streams.

mod authorization;
mod call;
mod call_limits;
mod carrier;
mod chart;
mod control_event;
mod daemon;
mod dissemination;
mod errand;
mod event_splitter;
mod forward;
mod ingress;
mod interface;
mod journal;
mod judgement;
mod list_reader;
mod node;
mod piece_reader;
mod poller;
mod replay;
mod server_list;
mod settings;
mod shared;
mod tallies;
mod token;
mod trip;

/// What each file imports.
pub mod prelude {
    pub use crate::call::{Access, Call, CallDialect, Sending, ServerLoad};
    pub use crate::chart::{Chart, ChartInput, ChartOutput, Failure, RequestState};
    pub use crate::daemon::{Dialects, ReadSeeds, run};
    pub use crate::dissemination::{DigestTiming, Dissemination};
    pub use crate::errand::{Errand, ErrandInput, ErrandOutput};
    pub use crate::event_splitter::{EventSplitter, StreamEvent};
    pub use crate::forward::detached::{DetachedForwarder, Placed, Placer};
    pub use crate::interface::{
        ClientRequest, LIFE_HEADER, ResumeRequest, RunPiece, RunRequest, ServerListReport,
        ServerReport,
    };
    pub use crate::journal::Journal;
    pub use crate::judgement::{AnswerClaim, AnswerIdentity, AnswerPlace, Judgement};
    pub use crate::node::{
        Denial, KvTask, Node, NodeInput, NodeOutput, NodeTiming, PlaceAsk, Placing, resume_id,
    };
    pub use crate::piece_reader::{Passed, PieceReader};
    pub use crate::replay::replay;
    pub use crate::server_list::{
        ListOutput, ListPeers, ListReading, ListTiming, ReadEffort, ServerList,
    };
    pub use crate::settings::Settings;
    pub use crate::tallies::Tallies;
    pub use crate::token::{Token, run_id};
    pub use config::prelude::*;
    pub use placement::prelude::*;
    pub use quota::prelude::{Amount, CreditHolder, HeldCredit, QuotaLimit};
    pub use replication::prelude::{LeaseState, LeaseStatus};
    pub use transport::prelude::*;
    pub use wire::prelude::*;
}
