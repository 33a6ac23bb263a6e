//! One request, without any input or output: its state machine, its attempts, its in-flight guard and its resume
//! token.
//!
//! # The phases of a request
//!
//! | phase | what happens | function |
//! | --- | --- | --- |
//! | accept | the request is read, counted and checked for its form | `Forwarder::accept`, `client_api::parse_run` |
//! | route | the route and the service are found; only for calls of another dialect | `Forwarder::route`, `choose_service` |
//! | authenticate | the API key is looked up in the plan in force | [`authenticate`](crate::downstream::authentication::authenticate) |
//! | admit | the bound of requests in flight and the drain deadline; the tenant's quota is charged by the node while it places | [`InFlightGuard::admit`](in_flight::InFlightGuard::admit), `Node::place` |
//! | place | the scheduler chooses a server, under an epoch of the configuration | `Dispatcher::place`, `Shared::place` |
//! | send | the request is sent; right before its first byte the epoch fence is asked | `Attempt::send`, `server_client::send_run`, [`Shared::may_send`](crate::shared::Shared::may_send) |
//! | relay | the response is validated and relayed | `ForwardedRequest::relay`, `RelayedStream`, `stream_proxy::relay` |
//! | retry | an attempt failed, or a stream was interrupted, and another server may be tried | `Dispatcher::record_failure`, `RelayedStream::retry` |
//! | resume | a client continues a stream that it lost; the run is read, never run again | `client_api::resume` |
//! | finish | the final record or the final rejection; dropping the guard releases the request's id | [`AttemptOutput::Finish`](attempts::AttemptOutput::Finish), `RelayedStream::finish` |
//!
//! A call of another dialect is routed before it is authenticated, since its route says whether it is public.

pub(crate) mod attempts;
pub(crate) mod in_flight;
pub(crate) mod resume_token;
pub(crate) mod state_machine;
