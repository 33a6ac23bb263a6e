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

pub use call::{Access, Call, CallDialect, Sending, ServerLoad};
pub use chart::{Chart, ChartInput, ChartOutput, Failure, RequestState};
pub use daemon::{Dialects, ReadSeeds, run};
pub use dissemination::{DigestTiming, Dissemination};
pub use errand::{Errand, ErrandInput, ErrandOutput};
pub use event_splitter::{EventSplitter, StreamEvent};
pub use forward::detached::{DetachedForwarder, Placed, Placer};
pub use interface::{
    ClientRequest, LIFE_HEADER, ResumeRequest, RunPiece, RunRequest, ServerListReport, ServerReport,
};
pub use journal::Journal;
pub use judgement::{AnswerClaim, AnswerIdentity, AnswerPlace, Judgement};
pub use node::{
    Denial, KvTask, Node, NodeInput, NodeOutput, NodeTiming, PlaceAsk, Placing, resume_id,
};
pub use piece_reader::{Passed, PieceReader};
pub use replay::replay;
pub use server_list::{ListOutput, ListPeers, ListReading, ListTiming, ReadEffort, ServerList};
pub use settings::Settings;
pub use tallies::Tallies;
pub use token::{Token, run_id};
