//! The data plane: a router takes clients' requests, places them, and carries the streams.

mod attempts;
mod authorization;
mod call;
mod call_limits;
mod carrier;
mod control_event;
mod daemon;
mod dissemination;
mod event_splitter;
mod forward;
mod ingress;
mod interface;
mod journal;
mod list_reader;
mod metrics;
mod node;
mod piece_reader;
mod poller;
mod replay;
mod request_state;
mod response_validation;
mod server_list;
mod settings;
mod shared;
mod token;
mod trip;

pub use attempts::{AttemptInput, AttemptOutput, AttemptSequence};
pub use call::{Access, Call, CallDialect, Sending, ServerLoad};
pub use daemon::{Dialects, ReadSeeds, run};
pub use dissemination::{DigestTiming, Dissemination};
pub use event_splitter::{EventSplitter, StreamEvent};
pub use forward::detached::{DetachedForwarder, Placed, Placer};
pub use interface::{
    ClientRequest, LIFE_HEADER, ResumeRequest, RunPiece, RunRequest, ServerListReport, ServerReport,
};
pub use journal::Journal;
pub use metrics::Metrics;
pub use node::{
    KvTask, Node, NodeInput, NodeOutput, NodeTiming, Placement, PlacementRequest, Rejection,
    resume_id,
};
pub use piece_reader::{ChunkReader, Passed};
pub use replay::replay;
pub use request_state::{Failure, RequestInput, RequestOutput, RequestState, RequestStateMachine};
pub use response_validation::{AnswerIdentity, AnswerPlace, ClaimedIdentity, ResponseValidation};
pub use server_list::{ListOutput, ListPeers, ListReading, ListTiming, ReadEffort, ServerList};
pub use settings::Settings;
pub use token::{Token, run_id};
