//! The product's own HTTP interface for operators: routes, and the requests to the core that each of them makes.

use crate::admin::control_client::{Attempt, ControlClient, OPERATOR_PATIENCE};
use crate::admin::handler::not_found;
use crate::controller::OperatorRequest;
use crate::event_loop::ControlEvent;
use crate::metrics::{CONTENT_TYPE, Metrics};
use config::{Command, PlanError, Proposal};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use transport::{Request, Response};
use types::{Address, ConfigEpoch, Milliseconds, ResultCode, ServiceName};
use wire::Query;

/// The longest that the control thread may take to report what it believes.
const BELIEFS_TIMEOUT: Duration = Duration::from_secs(5);

/// The body of `POST /v1/members/forget`: members that an operator declares lost for good.
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct LostMembers {
    members: Vec<Address>,
}

/// One request on the product's own interface. Plans are parsed here, on the connection's own thread, so that a large
/// one never holds the control thread up.
pub(crate) struct HttpInterface<'a> {
    request: &'a Request,
    control: &'a ControlClient,
    sender: &'a flume::Sender<ControlEvent>,
    is_ready: &'a AtomicBool,
    metrics: &'a Metrics,
    attempt: Attempt,
}

impl<'a> HttpInterface<'a> {
    /// The interface for this request, whose time-out starts now.
    pub(crate) fn new(
        request: &'a Request,
        control: &'a ControlClient,
        sender: &'a flume::Sender<ControlEvent>,
        is_ready: &'a AtomicBool,
        metrics: &'a Metrics,
    ) -> Self {
        let attempt = Attempt::of_request(request, OPERATOR_PATIENCE);
        HttpInterface {
            request,
            control,
            sender,
            is_ready,
            metrics,
            attempt,
        }
    }

    /// Routes the request by its method and path, and returns its response.
    pub(crate) fn respond(&self) -> Response {
        let parts = self.request.path_segments();
        match self.request.method.as_str() {
            "GET" => self.respond_get(&parts),
            "PUT" if parts == ["v1", "plan"] => self.put_plan(),
            "PATCH" if parts == ["v1", "plan"] => self.patch_plan(),
            "POST" => self.respond_post(&parts),
            _ => not_found(self.request),
        }
    }

    fn respond_get(&self, parts: &[&str]) -> Response {
        match parts {
            ["ready"] => self.readiness(),
            ["metrics"] => Response::complete(200, CONTENT_TYPE, self.metrics.render()),
            ["v1", "believes"] => self.beliefs(),
            ["v1", "latest"] => self.read(Query::Latest),
            ["v1", "tenants"] => self.read(Query::Tenants),
            ["v1", "plan"] => self.read(Query::AcceptedCommand {
                epoch: ConfigEpoch(0),
            }),
            ["v1", "plans", epoch] => self.read_plan(epoch),
            ["v1", "fates", id] => self.read(Query::CommandStatus {
                id: (*id).to_owned(),
            }),
            _ => not_found(self.request),
        }
    }

    fn respond_post(&self, parts: &[&str]) -> Response {
        match parts {
            ["v1", "members", "forget"] => self.forget_members(),
            ["v1", "zones", zone, "withdraw"] => {
                let zone = (*zone).into();
                self.propose(Command::Withdraw { zone }, false)
            }
            ["v1", "zones", zone, "restore"] => {
                let zone = (*zone).into();
                self.propose(Command::Restore { zone }, false)
            }
            _ => not_found(self.request),
        }
    }

    fn readiness(&self) -> Response {
        match self.is_ready.load(Ordering::Relaxed) {
            true => Response::complete(200, "text/plain", "ready\n"),
            false => Response::complete(503, "text/plain", "not in the chain\n"),
        }
    }

    fn beliefs(&self) -> Response {
        let (sender, receiver) = flume::bounded(1);
        let _ = self.sender.send(ControlEvent::Beliefs(sender));
        match receiver.recv_timeout(BELIEFS_TIMEOUT) {
            Ok(value) => Response::json(200, &value),
            Err(_) => Response::result(
                ResultCode::CoreNotReady,
                "the control thread gave no answer",
            ),
        }
    }

    /// The plan as it was sent as this epoch.
    fn read_plan(&self, epoch: &str) -> Response {
        match epoch.parse() {
            Ok(epoch) if epoch > 0 => self.read(Query::AcceptedCommand {
                epoch: ConfigEpoch(epoch),
            }),
            _ => Response::result(
                ResultCode::UnknownEpoch,
                format!("`{epoch}` is not an epoch"),
            ),
        }
    }

    fn put_plan(&self) -> Response {
        match Command::plan(self.request.body.to_vec()) {
            Ok(command) => self.propose(command, true),
            Err(errors) => self.reject_document(errors),
        }
    }

    fn patch_plan(&self) -> Response {
        match self.merge_patch(self.request.body.to_vec()) {
            Ok(command) => self.propose(command, true),
            Err(response) => *response,
        }
    }

    fn read(&self, reading: Query) -> Response {
        self.send_request(OperatorRequest::Read(reading))
    }

    fn send_request(&self, request: OperatorRequest) -> Response {
        match self.control.request(request, &self.attempt) {
            Ok((status, body)) => core_response(status, body),
            Err(response) => *response,
        }
    }

    /// The id that an operator gives to a change.
    fn change_id(&self) -> String {
        self.request
            .query_parameter("id")
            .unwrap_or_default()
            .to_owned()
    }

    /// The response to a document that has faults. It may have been accepted when it was first sent,
    /// so its status is requested first.
    fn reject_document(&self, faults: Vec<PlanError>) -> Response {
        let reading = Query::CommandStatus {
            id: self.change_id(),
        };
        match self
            .control
            .request(OperatorRequest::Read(reading), &self.attempt)
        {
            Ok((status, _)) if status == ResultCode::UnknownChange.http_status() => {
                bad_plan(&faults)
            }
            Ok((status, body)) => core_response(status, body),
            Err(response) => *response,
        }
    }

    /// The command that merges these bytes, a JSON merge patch, into the plan that they build on.
    fn merge_patch(&self, bytes: Vec<u8>) -> Result<Command, Box<Response>> {
        let builds_on = self
            .request
            .query_parameter("builds_on")
            .and_then(|epoch| epoch.parse().ok());
        let reading = Query::Base {
            at_least: ConfigEpoch(builds_on.unwrap_or(0)),
        };
        let (status, body) = self
            .control
            .request(OperatorRequest::Read(reading), &self.attempt)?;
        match body.split_at_checked(8) {
            Some((base, plan)) if status == 200 => {
                let base = ConfigEpoch(u64::from_be_bytes(base.try_into().unwrap_or_default()));
                Command::change(bytes, base, plan)
                    .map_err(|faults| Box::new(self.reject_document(faults)))
            }
            _ => Err(Box::new(core_response(status, body))),
        }
    }

    fn propose(&self, command: Command, needs_base: bool) -> Response {
        let id = self.change_id();
        if !ServiceName::from(id.as_str()).is_valid() {
            let why = "the query must have an id of 1 to 64 letters, digits or any of -_.:";
            return Response::result(ResultCode::BadPlan, why);
        }
        let builds_on = match self.request.query_parameter("builds_on").map(str::parse) {
            Some(Ok(epoch)) => Some(ConfigEpoch(epoch)),
            Some(Err(_)) => {
                return Response::result(ResultCode::BadPlan, "builds_on is not a number");
            }
            None if needs_base => {
                return Response::result(
                    ResultCode::BadPlan,
                    "the query must have builds_on, an epoch",
                );
            }
            None => None,
        };
        self.send_request(OperatorRequest::Propose(Proposal {
            id,
            builds_on,
            seen: ConfigEpoch(0),
            command,
        }))
    }

    fn forget_members(&self) -> Response {
        match serde_json::from_slice::<LostMembers>(&self.request.body) {
            Ok(LostMembers { members }) if !members.is_empty() => {
                self.propose(Command::ForceRemove { members }, false)
            }
            Ok(_) => Response::result(
                ResultCode::BadPlan,
                "members is empty: name each that is lost",
            ),
            Err(fault) => Response::result(
                ResultCode::BadPlan,
                format!("{fault}; wanted is {{\"members\": [\"IP:PORT\"]}}"),
            ),
        }
    }
}

/// The core's response, with a `Retry-After` where its result code has one.
fn core_response(status: u16, body: Vec<u8>) -> Response {
    let code = ResultCode::ALL
        .iter()
        .find(|code| code.http_status() == status && code.comes_back().is_some());
    let response = Response::complete(status, "application/json", body);
    code.into_iter().fold(response, |response, code| {
        response.with_retry_delay_of(*code, Milliseconds(0))
    })
}

fn bad_plan(faults: &[PlanError]) -> Response {
    let code = ResultCode::BadPlan;
    let value = serde_json::json!({"code": code.number(), "result": code.word(), "why": "nothing changed", "faults": faults});
    Response::json(code.http_status(), &value)
}
