//! Where a request goes, and which ids are in hand.

use crate::control::node::{Node, NodeOutput, Placement, PlacementRequest, Rejection};
use crate::dialect::Access;
use crate::request::resume_token::Token;
use config::{Plan, ServicePlan};
use placement::{Decision, Event};
use std::sync::Arc;
use types::{Milliseconds, RequestId, ResultCode, ServerName, ServiceName, TokenKey};

/// Ids of ended requests that are remembered.
pub(super) const MAX_FINISHED_IDS: usize = 8192;

/// What the plan in force says about a request.
struct Permission {
    plan: Arc<Plan>,
    token_key: TokenKey,
    access: Access,
    may_repeat: bool,
}

impl Permission {
    fn service(&self, name: &ServiceName) -> Result<&ServicePlan, Rejection> {
        self.plan
            .services
            .get(name.as_str())
            .ok_or_else(unknown_service)
    }
}

impl Node {
    /// Chooses a server for a request, or says why it gets none now.
    pub(super) fn place(
        &mut self,
        placement_request: PlacementRequest,
    ) -> Result<Placement, Rejection> {
        self.check_may_place()?;
        let permission = self.check_permission(&placement_request)?;
        self.claim_request_id(&placement_request)?;
        let (request, service, run) = (
            placement_request.request.clone(),
            placement_request.service.clone(),
            placement_request.run.clone(),
        );
        let (server, expected) = self.choose_server(placement_request)?;
        let service_plan = permission.service(&service)?;
        let token = service_plan.resumable.then(|| {
            let token = Token {
                request,
                service,
                server: server.clone(),
                run: run.clone(),
            };
            token.seal(&permission.token_key)
        });
        Ok(Placement {
            address: self.address_of(&server),
            incarnation: self.incarnation_of(&server),
            server,
            run,
            token,
            may_repeat: permission.may_repeat,
            expected,
            first_token: Milliseconds(service_plan.first_token_ms),
            epoch: self.lease_state.epoch(),
            access: permission.access,
        })
    }

    fn check_may_place(&self) -> Result<(), Rejection> {
        if self.is_draining {
            let why = "this node is stopping; another takes it";
            return Err(rejection(ResultCode::Draining, why, 0));
        }
        let status = self.lease_state.status(self.now);
        if !status.may_act() || self.now >= self.may_act_until(self.now) {
            let why = format!("this node's lease state is `{}`", status.word());
            return Err(rejection(ResultCode::NotReady, why, 1000));
        }
        Ok(())
    }

    fn check_permission(
        &self,
        placement_request: &PlacementRequest,
    ) -> Result<Permission, Rejection> {
        let PlacementRequest {
            service,
            kind,
            route,
            key,
            may_have_run,
            ..
        } = placement_request;
        let (Some(plan), Some(token_key)) = (self.plan.clone(), self.key) else {
            let why = "no configuration yet";
            return Err(rejection(ResultCode::NotReady, why, 1000));
        };
        let service_plan = plan
            .services
            .get(service.as_str())
            .filter(|found| route.is_some() || found.kind == *kind)
            .ok_or_else(unknown_service)?;
        let may_repeat = match route.as_deref() {
            None => service_plan.may_repeat(),
            // The plan has changed since it was read here: its client may come back under the new one.
            Some(name) => plan
                .allowed_route(name, service.as_str())
                .ok_or_else(route_removed)?
                .may_repeat(),
        };
        let access = self.access(&plan, route.as_deref(), key.as_ref())?;
        if *may_have_run && !may_repeat {
            let why = "the plan in force lets no request that may have run repeat";
            return Err(rejection(ResultCode::NoServer, why, 0));
        }
        Ok(Permission {
            plan,
            token_key,
            access,
            may_repeat,
        })
    }

    /// Marks the id as in flight, unless another request of the same id is, or may have run here.
    fn claim_request_id(&mut self, placement_request: &PlacementRequest) -> Result<(), Rejection> {
        let PlacementRequest {
            request,
            number,
            round,
            ..
        } = placement_request;
        let owner = *self.in_flight.entry(request.clone()).or_insert(*number);
        if owner != *number {
            let why = "a request of this id is in hand here";
            return Err(rejection(ResultCode::RequestIdTaken, why, 0));
        }
        if *round == 0 && self.finished_ids.contains(request) {
            let why = "a request of this id was given to a server here; that one may have run";
            return Err(rejection(ResultCode::RequestIdTaken, why, 0));
        }
        Ok(())
    }

    /// The server that the scheduler chooses, and when its first piece is expected.
    fn choose_server(
        &mut self,
        placement_request: PlacementRequest,
    ) -> Result<(ServerName, Milliseconds), Rejection> {
        let request = placement_request.request.clone();
        let earlier_outputs = self.outputs.len();
        self.notify_scheduler(Event::Prompt {
            request: placement_request.request,
            service: placement_request.service,
            hashes: placement_request.hashes,
            round: placement_request.round,
            tried: placement_request.tried,
            request_cost: placement_request.request_cost,
        });
        self.outputs[earlier_outputs..]
            .iter()
            .find_map(|output| match output {
                NodeOutput::Decision(_, decision) => placement_decision(decision, &request),
                _ => None,
            })
            .unwrap_or_else(no_decision)
    }

    /// Where a server is reached: its name is its address, unless the list says otherwise.
    fn address_of(&self, server: &ServerName) -> String {
        self.addresses
            .get(server)
            .cloned()
            .unwrap_or_else(|| server.0.clone())
    }

    fn incarnation_of(&self, server: &ServerName) -> Option<u64> {
        self.scheduler
            .servers()
            .get(server)
            .and_then(|state| state.incarnation)
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

/// What a decision of the scheduler means for this request; `None` if it is about something else.
fn placement_decision(
    decision: &Decision,
    request: &RequestId,
) -> Option<Result<(ServerName, Milliseconds), Rejection>> {
    match decision {
        Decision::Placed {
            request: placed,
            server,
            candidates,
            ..
        } if placed == request => {
            let expected = candidates
                .iter()
                .find(|candidate| candidate.server == *server)
                .map_or(Milliseconds(0), |candidate| candidate.expected);
            Some(Ok((server.clone(), expected)))
        }
        Decision::Refused {
            request: refused,
            code,
            why,
            retry_after,
            ..
        } if refused == request => {
            let known = ResultCode::ALL.iter().find(|known| known.number() == *code);
            Some(Err(Rejection {
                code: known.copied().unwrap_or(ResultCode::NoServer),
                why: why.clone(),
                retry_after: *retry_after,
            }))
        }
        _ => None,
    }
}

fn rejection(code: ResultCode, why: impl Into<String>, retry_after_ms: u64) -> Rejection {
    Rejection {
        code,
        why: why.into(),
        retry_after: Milliseconds(retry_after_ms),
    }
}

fn unknown_service() -> Rejection {
    let why = "no accepted plan allows this service in this way";
    rejection(ResultCode::UnknownService, why, 0)
}

fn route_removed() -> Rejection {
    let why = "the plan in force has this route no more";
    rejection(ResultCode::NotReady, why, 50)
}

fn no_decision() -> Result<(ServerName, Milliseconds), Rejection> {
    let why = "the scheduler decided nothing".to_owned();
    Err(Rejection {
        code: ResultCode::NoServer,
        why,
        retry_after: Milliseconds(1000),
    })
}
