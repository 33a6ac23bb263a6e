//! The side of the servers: dispatch, forwarding, validation of responses and the proxied streams.

pub(crate) mod chunk_reader;
pub(crate) mod dispatch;
pub(crate) mod event_reader;
pub(crate) mod event_splitter;
pub(crate) mod forwarding;
pub(crate) mod response_validation;
pub(crate) mod server_client;
pub(crate) mod stream_proxy;
