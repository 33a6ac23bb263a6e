//! Where a request goes, and which ids are in hand.

use crate::control::node::{Node, NodeOutput, Placement, PlacementRequest, Rejection};
use crate::request::resume_token::Token;
use config::ServicePlan;
use placement::{Decision, Event};
use types::{Milliseconds, RequestId, ResultCode, ServerName};

/// Ids of ended requests that are remembered.
pub(super) const MAX_FINISHED_IDS: usize = 8192;

impl Node {
    pub(super) fn place(
        &mut self,
        placement_request: PlacementRequest,
    ) -> Result<Placement, Rejection> {
        let PlacementRequest {
            number,
            request,
            service,
            kind,
            route,
            key,
            hashes,
            request_cost,
            round,
            tried,
            may_have_run,
            run,
        } = placement_request;
        let reject = |code: ResultCode, why: &str, retry_after: u64| {
            Err(Rejection {
                code,
                why: why.to_owned(),
                retry_after: Milliseconds(retry_after),
            })
        };
        if self.is_draining {
            return reject(
                ResultCode::Draining,
                "this node is stopping; another takes it",
                0,
            );
        }
        let status = self.lease_state.status(self.now);
        if !status.may_act() || self.now >= self.may_act_until(self.now) {
            let why = format!("this node's lease state is `{}`", status.word());
            return reject(ResultCode::NotReady, &why, 1000);
        }
        let (Some(plan), Some(token_key)) = (self.plan.clone(), self.key) else {
            return reject(ResultCode::NotReady, "no configuration yet", 1000);
        };
        let is_kind = |found: &&ServicePlan| route.is_some() || found.kind == kind;
        let Some(of_service) = plan.services.get(service.as_str()).filter(is_kind) else {
            return reject(
                ResultCode::UnknownService,
                "no accepted plan allows this service in this way",
                0,
            );
        };
        let may_repeat = match route.as_deref() {
            None => of_service.may_repeat(),
            Some(name) => match plan.allowed_route(name, service.as_str()) {
                Some(found) => found.may_repeat(),
                // The plan has changed since it was read here: its client may come back under the new one.
                None => {
                    return reject(
                        ResultCode::NotReady,
                        "the plan in force has this route no more",
                        50,
                    );
                }
            },
        };
        let access = self.access(&plan, route.as_deref(), key.as_ref())?;
        if may_have_run && !may_repeat {
            return reject(
                ResultCode::NoServer,
                "the plan in force lets no request that may have run repeat",
                0,
            );
        }
        let holder = *self.in_flight.entry(request.clone()).or_insert(number);
        if holder != number {
            return reject(
                ResultCode::RequestIdTaken,
                "a request of this id is in hand here",
                0,
            );
        }
        if round == 0 && self.finished_ids.contains(&request) {
            let why = "a request of this id was given to a server here; that one may have run";
            return reject(ResultCode::RequestIdTaken, why, 0);
        }
        let before = self.outputs.len();
        let token_service = service.clone();
        self.notify_scheduler(Event::Prompt {
            request: request.clone(),
            service,
            hashes,
            round,
            tried,
            request_cost,
        });
        let decided = self.outputs[before..]
            .iter()
            .find_map(|output| match output {
                NodeOutput::Decision(
                    _,
                    Decision::Placed {
                        request: placed,
                        server,
                        candidates,
                        ..
                    },
                ) if *placed == request => {
                    let expected = candidates
                        .iter()
                        .find(|candidate| candidate.server == *server);
                    Some(Ok((
                        server.clone(),
                        expected.map_or(Milliseconds(0), |candidate| candidate.expected),
                    )))
                }
                NodeOutput::Decision(
                    _,
                    Decision::Refused {
                        request: refused,
                        code,
                        why,
                        retry_after,
                        ..
                    },
                ) if *refused == request => {
                    let code = ResultCode::ALL.iter().find(|known| known.number() == *code);
                    let code = code.copied().unwrap_or(ResultCode::NoServer);
                    Some(Err(Rejection {
                        code,
                        why: why.clone(),
                        retry_after: *retry_after,
                    }))
                }
                _ => None,
            });
        let (server, expected) = decided.unwrap_or_else(no_decision)?;
        let address = self
            .addresses
            .get(&server)
            .cloned()
            .unwrap_or_else(|| server.0.clone());
        let token = of_service.resumable.then(|| {
            let (server, run) = (server.clone(), run.clone());
            Token {
                request,
                service: token_service,
                server,
                run,
            }
            .seal(&token_key)
        });
        let (epoch, first_token) = (
            self.lease_state.epoch(),
            Milliseconds(of_service.first_token_ms),
        );
        let incarnation = self
            .scheduler
            .servers()
            .get(&server)
            .and_then(|state| state.incarnation);
        Ok(Placement {
            server,
            address,
            run,
            token,
            may_repeat,
            expected,
            first_token,
            epoch,
            incarnation,
            access,
        })
    }

    /// Which run a token is good for, if it is one of this fleet's and names a server that is known
    /// here. Reading on is no new work: it needs no lease, and a withdrawn zone's runs end well.
    pub(super) fn resume(&mut self, number: u64, token: &str) -> Result<Token, Rejection> {
        let reject = |code: ResultCode, why: String| {
            Err(Rejection {
                code,
                why,
                retry_after: Milliseconds(0),
            })
        };
        if self.is_draining {
            return reject(
                ResultCode::Draining,
                "this node is stopping; another reads it on".into(),
            );
        }
        let Some(key) = self.key.filter(|_| self.has_endpoint_list) else {
            let why = "this node has just started; nothing of the run is lost".into();
            return reject(ResultCode::NotReady, why);
        };
        let Some(token) = Token::open(token, &key) else {
            return reject(
                ResultCode::BadToken,
                "the token is not one of this fleet's".into(),
            );
        };
        if !self.scheduler.servers().contains_key(&token.server) {
            return reject(
                ResultCode::ResumeFailed,
                format!("server {} is no more listed", token.server),
            );
        }
        self.in_flight.insert(resume_id(number), number);
        Ok(token)
    }

    /// Remembers an id that may have run, and forgets the oldest beyond the bound.
    pub(super) fn remember_finished_id(&mut self, request: RequestId) {
        if self.finished_ids.insert(request.clone()) {
            self.finished.push_back(request);
        }
        if self.finished.len() > MAX_FINISHED_IDS
            && let Some(oldest) = self.finished.pop_front()
        {
            self.finished_ids.remove(&oldest);
        }
    }
}

/// What a stream that is read on is called among the requests in hand. No client's id has a slash.
pub fn resume_id(number: u64) -> RequestId {
    RequestId(format!("resume/{number}"))
}

fn no_decision() -> Result<(ServerName, Milliseconds), Rejection> {
    let why = "the scheduler decided nothing".to_owned();
    Err(Rejection {
        code: ResultCode::NoServer,
        why,
        retry_after: Milliseconds(1000),
    })
}
