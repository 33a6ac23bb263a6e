//! The product's own interface for operators, over HTTP.

use crate::admin::control_client::OPERATOR_PATIENCE;
use crate::admin::control_client::{Attempt, ReplicationTransport};
use crate::controller::OperatorRequest;
use crate::event_loop::ControlEvent;
use crate::metrics::Metrics;
use config::{Command, PlanError, Proposal};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use transport::{Request, Response};
use types::{Address, ConfigEpoch, Milliseconds, ResultCode, ServiceName};
use wire::Query;

/// The control thread tells what it believes within this.
const BELIEVES_PATIENCE: Duration = Duration::from_secs(5);

/// Members that an operator says are lost for good.
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct Lost {
    members: Vec<Address>,
}

/// Answers one request. Plans are read here, on the connection's own thread, and never on the control thread.
pub(crate) struct OwnInterface<'a> {
    request: &'a Request,
    core: &'a ReplicationTransport,
    sender: &'a flume::Sender<ControlEvent>,
    is_ready: &'a AtomicBool,
    metrics: &'a Metrics,
    attempt: Attempt,
}

impl<'a> OwnInterface<'a> {
    /// For this request.
    pub(crate) fn new(
        request: &'a Request,
        core: &'a ReplicationTransport,
        sender: &'a flume::Sender<ControlEvent>,
        is_ready: &'a AtomicBool,
        metrics: &'a Metrics,
    ) -> Self {
        let attempt = Attempt::new(OPERATOR_PATIENCE, Some(request.client.clone()));
        OwnInterface {
            request,
            core,
            sender,
            is_ready,
            metrics,
            attempt,
        }
    }

    /// The answer.
    pub(crate) fn respond(&self) -> Response {
        let body = || self.request.body.to_vec();
        match (
            self.request.method.as_str(),
            self.request.path_segments().as_slice(),
        ) {
            ("GET", ["ready"]) => self.readiness(),
            ("GET", ["metrics"]) => metrics(self.metrics),
            ("GET", ["v1", "believes"]) => self.believes(),
            ("GET", ["v1", "latest"]) => self.read(Query::Latest),
            ("GET", ["v1", "tenants"]) => self.read(Query::Tenants),
            ("GET", ["v1", "plan"]) => self.read(Query::ConfigEpoch {
                epoch: ConfigEpoch(0),
            }),
            ("GET", ["v1", "plans", epoch]) => match epoch.parse() {
                Ok(epoch) if epoch > 0 => self.read(Query::ConfigEpoch {
                    epoch: ConfigEpoch(epoch),
                }),
                _ => Response::result(
                    ResultCode::UnknownEpoch,
                    format!("`{epoch}` is not an epoch"),
                ),
            },
            ("GET", ["v1", "fates", id]) => self.read(Query::CommandStatus {
                id: (*id).to_owned(),
            }),
            ("PUT", ["v1", "plan"]) => match Command::plan(body()) {
                Ok(command) => self.propose(command, true),
                Err(faults) => self.refuse(faults),
            },
            ("PATCH", ["v1", "plan"]) => match self.change(body()) {
                Ok(command) => self.propose(command, true),
                Err(response) => *response,
            },
            ("POST", ["v1", "members", "forget"]) => self.forget(),
            ("POST", ["v1", "zones", zone, "withdraw"]) => self.propose(
                Command::Withdraw {
                    zone: (*zone).into(),
                },
                false,
            ),
            ("POST", ["v1", "zones", zone, "restore"]) => self.propose(
                Command::Restore {
                    zone: (*zone).into(),
                },
                false,
            ),
            _ => {
                let why = format!(
                    "{} {} is not known here",
                    self.request.method, self.request.path
                );
                Response::result(ResultCode::NotFound, why)
            }
        }
    }

    fn readiness(&self) -> Response {
        match self.is_ready.load(Ordering::Relaxed) {
            true => Response::complete(200, "text/plain", "ready\n"),
            false => Response::complete(503, "text/plain", "not in the chain\n"),
        }
    }

    fn believes(&self) -> Response {
        let (response, inbox) = flume::bounded(1);
        let _ = self.sender.send(ControlEvent::Believes(response));
        match inbox.recv_timeout(BELIEVES_PATIENCE) {
            Ok(value) => Response::json(200, &value),
            Err(_) => Response::result(
                ResultCode::CoreNotReady,
                "the control thread gave no answer",
            ),
        }
    }

    fn read(&self, reading: Query) -> Response {
        self.ask(OperatorRequest::Read(reading))
    }

    fn ask(&self, what: OperatorRequest) -> Response {
        match self.core.ask(what, &self.attempt) {
            Ok((status, body)) => told(status, body),
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

    /// A document that has faults now may have been taken when it was first sent.
    fn refuse(&self, faults: Vec<PlanError>) -> Response {
        let reading = Query::CommandStatus {
            id: self.change_id(),
        };
        match self.core.ask(OperatorRequest::Read(reading), &self.attempt) {
            Ok((status, _)) if status == ResultCode::UnknownChange.http_status() => faulty(&faults),
            Ok((status, body)) => told(status, body),
            Err(response) => *response,
        }
    }

    /// What these bytes change of the plan that they build on.
    fn change(&self, bytes: Vec<u8>) -> Result<Command, Box<Response>> {
        let builds_on = self
            .request
            .query_parameter("builds_on")
            .and_then(|epoch| epoch.parse().ok());
        let reading = Query::Base {
            at_least: ConfigEpoch(builds_on.unwrap_or(0)),
        };
        let (status, body) = self
            .core
            .ask(OperatorRequest::Read(reading), &self.attempt)?;
        match body.split_at_checked(8) {
            Some((base, plan)) if status == 200 => {
                let base = ConfigEpoch(u64::from_be_bytes(base.try_into().unwrap_or_default()));
                Command::change(bytes, base, plan).map_err(|faults| Box::new(self.refuse(faults)))
            }
            _ => Err(Box::new(told(status, body))),
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
        self.ask(OperatorRequest::Propose(Proposal {
            id,
            builds_on,
            seen: ConfigEpoch(0),
            command,
        }))
    }

    fn forget(&self) -> Response {
        match serde_json::from_slice::<Lost>(&self.request.body) {
            Ok(Lost { members }) if !members.is_empty() => {
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

/// What the core told, with a time to come back where its code has one.
fn told(status: u16, body: Vec<u8>) -> Response {
    let code = ResultCode::ALL
        .iter()
        .find(|code| code.http_status() == status && code.comes_back().is_some());
    let response = Response::complete(status, "application/json", body);
    code.into_iter().fold(response, |response, code| {
        response.with_retry_delay_of(*code, Milliseconds(0))
    })
}

fn faulty(faults: &[PlanError]) -> Response {
    let code = ResultCode::BadPlan;
    let value = serde_json::json!({"code": code.number(), "result": code.word(), "why": "nothing changed", "faults": faults});
    Response::json(code.http_status(), &value)
}

fn metrics(metrics: &Metrics) -> Response {
    let rows: [(&str, &str, &AtomicU64); 8] = [
        (
            "controller_http_requests_total",
            "counter",
            &metrics.requests,
        ),
        ("controller_disk_writes_total", "counter", &metrics.writes),
        ("controller_disk_faults_total", "counter", &metrics.faults),
        ("controller_polls_total", "counter", &metrics.polls),
        ("controller_view_epoch", "gauge", &metrics.view),
        ("controller_config_epoch", "gauge", &metrics.epoch),
        ("controller_chain_length", "gauge", &metrics.chain),
        ("controller_members", "gauge", &metrics.members),
    ];
    let lines = rows.iter().map(|(name, kind, value)| {
        format!(
            "# TYPE {name} {kind}\n{name} {}\n",
            value.load(Ordering::Relaxed)
        )
    });
    Response::complete(200, "text/plain; version=0.0.4", lines.collect::<String>())
}
