//! The data plane: a router takes clients' requests, places them, and carries the streams.

mod admin;
mod control;
mod dialect;
mod discovery;
mod dissemination;
mod downstream;
mod interface;
mod request;
mod settings;
mod shared;
mod startup;
mod suspension;
mod upstream;

pub use admin::decision_log::DecisionLog;
pub use admin::metrics::Metrics;
pub use admin::replay::replay;
pub use control::node::{
    KvTask, Node, NodeInput, NodeOutput, NodeTiming, Placement, PlacementRequest, Rejection,
    resume_id,
};
pub use dialect::{Access, Call, CallDialect, Sending, ServerLoad};
pub use discovery::endpoint_list::{
    EndpointList, EndpointListOutput, EndpointListPeers, EndpointListReading, EndpointListTiming,
    ReadRetryPolicy,
};
pub use dissemination::{DigestTiming, Dissemination};
pub use interface::{
    ClientRequest, LIFE_HEADER, ResumeRequest, RunRecord, RunRequest, ServerListReport,
    ServerReport,
};
pub use request::attempts::{AttemptInput, AttemptOutput, AttemptSequence, PlacementRound};
pub use request::resume_token::{Token, run_id};
pub use request::state_machine::{
    Failure, RequestInput, RequestOutput, RequestState, RequestStateMachine,
};
pub use settings::Settings;
pub use startup::{Dialects, ReadSeeds, run};
pub use upstream::chunk_reader::{ChunkReader, RelayedLine};
pub use upstream::event_reader::{EventError, EventReader, MalformedEvent, StreamEvent};
pub use upstream::event_splitter::{BlockTooLong, EventSplitter, MAX_BLOCK_BYTES};
pub use upstream::forwarding::detached::{DetachedForwarder, PlacementResponse, PlacementSource};
pub use upstream::response_validation::{
    AnswerIdentity, AnswerPlace, ClaimedIdentity, ResponseValidation,
};
