//! The data plane: a router takes clients' requests, places them, and carries the streams.

mod admin;
mod attempts;
mod authorization;
mod call;
mod call_limits;
mod carrier;
mod control;
mod daemon;
mod discovery;
mod dissemination;
mod event_splitter;
mod forward;
mod ingress;
mod interface;
mod piece_reader;
mod request_state;
mod response_validation;
mod settings;
mod shared;
mod token;
mod trip;

pub use admin::decision_log::Journal;
pub use admin::metrics::Metrics;
pub use admin::replay::replay;
pub use attempts::{AttemptInput, AttemptOutput, AttemptSequence};
pub use call::{Access, Call, CallDialect, Sending, ServerLoad};
pub use control::node::{
    KvTask, Node, NodeInput, NodeOutput, NodeTiming, Placement, PlacementRequest, Rejection,
    resume_id,
};
pub use daemon::{Dialects, ReadSeeds, run};
pub use discovery::endpoint_list::{
    ListOutput, ListPeers, ListReading, ListTiming, ReadEffort, ServerList,
};
pub use dissemination::{DigestTiming, Dissemination};
pub use event_splitter::{EventSplitter, StreamEvent};
pub use forward::detached::{DetachedForwarder, Placed, Placer};
pub use interface::{
    ClientRequest, LIFE_HEADER, ResumeRequest, RunPiece, RunRequest, ServerListReport, ServerReport,
};
pub use piece_reader::{ChunkReader, Passed};
pub use request_state::{Failure, RequestInput, RequestOutput, RequestState, RequestStateMachine};
pub use response_validation::{AnswerIdentity, AnswerPlace, ClaimedIdentity, ResponseValidation};
pub use settings::Settings;
pub use token::{Token, run_id};
