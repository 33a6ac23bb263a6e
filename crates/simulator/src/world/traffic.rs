//! Clients, their requests' way through a router, and servers.

use crate::schedule::Schedule;
use crate::world::event::Event;
use crate::world::{Mutant, World};
use crate::world::{ServerMachine, SimRequest, streams};
use config::ServiceKind;
use placement::RequestCost;
use placement::block_hashes;
use placement::{Event as SchedulerEvent, Outcome};
use router::RunRequest;
use router::{
    Access, AttemptInput, AttemptOutput, AttemptSequence, Failure, KvTask, Placement,
    PlacementRequest, PlacementRound, Rejection, RequestInput, RequestOutput, run_id,
};
use router::{NodeInput, NodeOutput};
use types::{
    Address, ConfigEpoch, Milliseconds, MonotonicInstant, RequestId, ResultCode, RunId, ServerName,
};

impl World {
    /// A client sends a request, and the next arrival is scheduled.
    pub(super) fn on_arrival(&mut self) {
        self.schedule_next_arrival();
        let number = self.witness.arrivals;
        self.witness.arrivals += 1;
        let (service, prefix, shared_bytes, own_bytes) = self.draw_prompt_shape();
        let id = RequestId(format!("{service}-{number}"));
        let prompt = repeat_to(format!("{service} {prefix} "), shared_bytes)
            + &repeat_to(format!("{id} "), own_bytes);
        let machine = self.below(self.routers.len() as u64) as usize;
        let router = &self.routers[machine];
        if router.node.is_none() || self.now < router.frozen_until || router.is_cut_off {
            return self.witness.record_outcome(&id, "unreached");
        }
        let Ok(owner) = self.draw_ownership(machine) else {
            return self.witness.record_outcome(&id, "unauthorized");
        };
        let (attempts, first) = AttemptSequence::begin();
        let request = self.new_request(number, service, machine, attempts, prompt, owner);
        self.requests.insert(id.clone(), request);
        self.on_attempt_output(&id, first);
    }

    fn schedule_next_arrival(&mut self) {
        let end = self.rules.span.0 + self.rules.calm.0;
        if self.now + 1500 < end {
            let crowd_factor = if self.now < self.crowd_until { 5 } else { 1 };
            let rate = self.rules.requests_a_second.max(1) * crowd_factor;
            let gap = 1 + self.below(2 * 1000 / rate);
            self.put(gap, Event::Arrival);
        }
    }

    /// Draws a request's service, the number of its shared prefix, and the bytes of its shared and own part.
    fn draw_prompt_shape(&mut self) -> (&'static str, u64, usize, usize) {
        let pick = self.below(100);
        match pick {
            0..60 if self.now < self.crowd_until => ("drafts", 900, 6144, 1500),
            0..25 if self.chance(self.rules.hot_share) => {
                ("drafts", 1000 + self.now / 8000, 6144, 1500)
            }
            0..25 => ("drafts", self.below(12), 6144, 1500),
            25..80 => ("questions", self.below(30), 512, 200),
            80..90 => ("extra", 0, 200, 100),
            _ => ("pages", 0, 0, 0),
        }
    }

    fn new_request(
        &self,
        number: u64,
        service: &'static str,
        machine: usize,
        attempts: AttemptSequence,
        prompt: String,
        owner: Option<super::tenants::Ownership>,
    ) -> SimRequest {
        SimRequest {
            owner,
            access: Access::Unrestricted,
            came: self.now,
            number,
            service: service.into(),
            router: machine,
            incarnation: self.routers[machine].incarnation,
            attempts,
            prompt,
            sent_to: None,
            run: None,
            server_incarnation: 0,
            had_first: false,
            epoch: ConfigEpoch(0),
            meant_for: None,
            is_apart: false,
            pieces: if service == "drafts" { 20 } else { 6 },
            stream: None,
            keep: false,
        }
    }

    /// Gives an input to a request's attempts and acts on their output.
    fn attempts(&mut self, id: &RequestId, input: AttemptInput) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let mut output = request.attempts.step(input);
        if self.rules.mutant == Some(Mutant::RepeatAnything)
            && matches!(&output, AttemptOutput::Finish(rejection) if rejection.code == ResultCode::Unknown)
        {
            (request.attempts, output) = AttemptSequence::begin();
        }
        self.on_attempt_output(id, output);
    }

    fn on_attempt_output(&mut self, id: &RequestId, output: AttemptOutput) {
        match output {
            AttemptOutput::Place(PlacementRound {
                round,
                tried,
                may_have_run,
            }) => self.ask_scheduler(id, round, tried, may_have_run),
            AttemptOutput::Send(placing) => self.ask_server(id, placing),
            AttemptOutput::Relay(placing) => {
                if let Some(request) = self
                    .requests
                    .get_mut(id)
                    .filter(|request| request.service.as_str() != "pages")
                {
                    request.stream = Some(streams::SimStream::new(placing.token, placing.run));
                }
            }
            // No request of the simulator's learns here of a torn stream.
            AttemptOutput::Abort(_) => {}
            AttemptOutput::Finish(rejection) => {
                self.close(
                    id,
                    if rejection.code.is_refusal() {
                        "refused"
                    } else {
                        "unknown"
                    },
                );
            }
        }
    }

    /// Gives what came of a server's stream to the request's attempts.
    pub(super) fn on_stream_input(&mut self, id: &RequestId, input: RequestInput) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        match request.attempts.relay(input) {
            RequestOutput::Finish(ResultCode::Complete) => self.close(id, "complete"),
            RequestOutput::Finish(_) => self.close(id, "unknown"),
            RequestOutput::Abort => self.close(id, "broken"),
            RequestOutput::Place
            | RequestOutput::Send
            | RequestOutput::Relay
            | RequestOutput::Idle => {}
        }
    }

    pub(super) fn close(&mut self, id: &RequestId, word: &'static str) {
        if let Some(request) = self.requests.get(id)
            && self.routers[request.router].incarnation == request.incarnation
        {
            let may_have_run = request.attempts.request_state().may_have_run();
            let close = NodeInput::Close {
                request: id.clone(),
                number: request.number,
                may_have_run,
            };
            self.step_node(request.router, close);
        }
        if word == "broken" {
            self.read_on(id, word);
            return;
        }
        self.requests.remove(id);
        self.witness.record_outcome(id, word);
        if word == "complete" {
            self.witness.completions.push(self.now);
        }
    }

    /// The router is gone: nobody tells the client anything.
    pub(super) fn abandon(&mut self, id: &RequestId) {
        let run = self
            .requests
            .get(id)
            .and_then(|request| request.run.clone());
        let is_kept = self
            .requests
            .get(id)
            .is_some_and(|request| request.stream.is_some())
            && self.read_on(id, "unknown");
        if is_kept {
            return;
        }
        if self.requests.remove(id).is_some() {
            self.witness.record_outcome(id, "unknown");
        }
        if let Some((server, run)) = run {
            self.servers[server]
                .schedule
                .abandon(&run, MonotonicInstant(self.now));
        }
    }

    /// Asks the request's router for a placement, and goes on with its answer unless the request waits for credit.
    fn ask_scheduler(
        &mut self,
        id: &RequestId,
        round: u32,
        tried: Vec<ServerName>,
        may_have_run: bool,
    ) {
        if !self.requests.contains_key(id) {
            return;
        }
        let run = run_id((u128::from(self.draw()) << 64 | u128::from(self.draw())).to_be_bytes());
        let request = &self.requests[id];
        let (machine, number) = (request.router, request.number);
        let place = PlacementRequest {
            round,
            tried,
            may_have_run,
            ..request.placement_request(id, run)
        };
        let outputs = self.step_node(machine, NodeInput::Place(place));
        let outcome = outputs.into_iter().find_map(|output| match output {
            NodeOutput::Place {
                number: placed,
                outcome,
            } if placed == number => Some(outcome),
            _ => None,
        });
        if outcome.is_none() && self.rules.tenants > 0 {
            // It waits for credit.
            return;
        }
        let no_answer = Rejection {
            code: ResultCode::Busy,
            why: "the node gave no answer".to_owned(),
            retry_after: Milliseconds(1000),
        };
        self.attempts(
            id,
            AttemptInput::Scheduler(outcome.unwrap_or(Err(no_answer))),
        );
    }

    /// The node tells what became of a request that waited.
    pub(super) fn on_placed(
        &mut self,
        machine: usize,
        incarnation: u64,
        number: u64,
        outcome: Result<Placement, Rejection>,
    ) {
        let is_it = |request: &SimRequest| {
            (request.router, request.incarnation, request.number) == (machine, incarnation, number)
        };
        let found = self
            .requests
            .iter()
            .find(|(_, request)| is_it(request))
            .map(|(id, _)| id.clone());
        if let Some(id) = found {
            self.attempts(&id, AttemptInput::Scheduler(outcome));
        }
    }

    fn ask_server(&mut self, id: &RequestId, placing: Placement) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let Some(server) = self
            .servers
            .iter()
            .position(|server| server.name == placing.server)
        else {
            return;
        };
        request.keep = placing.token.is_some();
        request.epoch = placing.epoch;
        request.access = placing.access;
        request.meant_for = placing.incarnation;
        request.sent_to = Some(placing.server);
        let machine = request.router;
        if !self.may_act(machine) {
            return self.withhold(id);
        }
        let late = self.servers[server].accepts_late;
        let connecting = 1 + self.below(4) + if late { self.below(400) } else { 0 };
        self.put(
            connecting,
            Event::Connected {
                request: id.clone(),
                server,
                run: placing.run,
            },
        );
    }

    /// The connection is made: whether the request may still leave, as it was placed, is asked once more.
    pub(super) fn on_connected(&mut self, id: RequestId, server: usize, run: RunId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let machine = request.router;
        if self.now < self.routers[machine].frozen_until {
            let wake = self.routers[machine].frozen_until - self.now;
            return self.put(
                wake,
                Event::Connected {
                    request: id,
                    server,
                    run,
                },
            );
        }
        let epoch = request.epoch;
        if self.rules.mutant != Some(Mutant::AskOnce) {
            if !self.may_act(machine) {
                return self.withhold(&id);
            }
            if self.routers[machine]
                .node
                .as_ref()
                .is_some_and(|node| node.epoch() > epoch)
            {
                self.ended(&id, Outcome::Refused);
                return self.attempts(&id, AttemptInput::Supersede);
            }
        }
        let m = &self.routers[machine];
        let is_apart = self
            .witness
            .sent(self.now, m.address, epoch, &m.contact, self.rules.quorum);
        self.requests
            .entry(id.clone())
            .and_modify(|request| request.is_apart = is_apart);
        self.put(
            1,
            Event::RunReaches {
                request: id,
                server,
                run,
            },
        );
    }

    fn may_act(&self, machine: usize) -> bool {
        let m = &self.routers[machine];
        let now = MonotonicInstant(self.now + m.offset);
        // What the control thread last said, as carriers see it: it changes nothing while it's frozen.
        m.node.is_some() && now < m.may_act_until
    }

    fn withhold(&mut self, id: &RequestId) {
        self.ended(id, Outcome::Refused);
        self.attempts(id, AttemptInput::LoseLease);
    }

    pub(super) fn ended(&mut self, id: &RequestId, outcome: Outcome) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let (machine, incarnation) = (request.router, request.incarnation);
        if self.routers[machine].incarnation == incarnation {
            self.step_node(
                machine,
                NodeInput::Event(SchedulerEvent::Ended {
                    request: id.clone(),
                    outcome,
                }),
            );
        }
    }

    /// A request reaches its server, which takes it, refuses it, or answers that it is another incarnation.
    pub(super) fn on_run_reaches(&mut self, id: RequestId, server: usize, run: RunId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let s = &self.servers[server];
        let is_cut_off = self.routers[request.router].is_cut_off;
        if !s.is_up || is_cut_off || request.sent_to.as_ref() != Some(&s.name) {
            return self.put_run_outcome(2, id, Some(Failure::Unsent));
        }
        self.witness.attempted(&id, &request.service);
        if s.is_dark {
            // It takes the request, may or may not run it, and says nothing.
            self.witness_run(&id, server, 0);
            self.judge_tenant(&id);
            return self.put_run_outcome(2000, id, Some(Failure::Unknown));
        }
        let meant_for = request
            .meant_for
            .filter(|_| self.rules.mutant != Some(Mutant::IgnoreLives));
        if meant_for.is_some_and(|incarnation| incarnation != s.incarnation) {
            let server = s.name.clone();
            let event = Event::OtherIncarnation {
                request: id,
                server,
            };
            return self.put(2, event);
        }
        let run_request = request.run_request(run, meant_for);
        self.take_run(id, server, run_request);
    }

    /// Gives a run to a server's schedule, and puts what came of it.
    fn take_run(&mut self, id: RequestId, server: usize, run_request: RunRequest) {
        let now = MonotonicInstant(self.now);
        let s = &mut self.servers[server];
        let is_taken =
            run_request.service.as_str() == "pages" || s.schedule.take(&run_request, now);
        if !is_taken {
            return self.put_run_outcome(2, id, Some(Failure::Refused));
        }
        let (running, waiting) = s.schedule.load(now);
        let incarnation = s.incarnation;
        self.judge_tenant(&id);
        self.witness_run(&id, server, running + waiting);
        if let Some(request) = self.requests.get_mut(&id) {
            request.run = Some((server, run_request.run));
            request.server_incarnation = incarnation;
        }
        self.put_run_outcome(2, id, None);
    }

    /// Records that a server runs a request while it has so many.
    fn witness_run(&mut self, id: &RequestId, server: usize, load: u32) {
        let request = &self.requests[id];
        let apart_from = request.is_apart.then_some(request.epoch);
        let server = &self.servers[server];
        self.witness
            .run(self.now, id, &request.service, server, load, apart_from);
    }

    fn put_run_outcome(&mut self, delay: u64, request: RequestId, failure: Option<Failure>) {
        self.put(delay, Event::RunOutcome { request, failure });
    }

    /// The server says that it is not the incarnation that the request was meant for.
    pub(super) fn on_other_incarnation(&mut self, id: RequestId, server: ServerName) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let (machine, incarnation) = (request.router, request.incarnation);
        if self.now < self.routers[machine].frozen_until {
            let wake = self.routers[machine].frozen_until - self.now;
            return self.put(
                wake,
                Event::OtherIncarnation {
                    request: id,
                    server,
                },
            );
        }
        self.ended(&id, Outcome::Refused);
        if self.routers[machine].incarnation == incarnation {
            self.step_node(
                machine,
                NodeInput::Event(SchedulerEvent::Unreachable { server }),
            );
        }
        self.attempts(
            &id,
            AttemptInput::Fail(Failure::Refused, "it has another life".into()),
        );
    }

    pub(super) fn on_run_outcome(&mut self, id: RequestId, failure: Option<Failure>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if self.now < self.routers[request.router].frozen_until {
            let wake = self.routers[request.router].frozen_until - self.now;
            self.put(
                wake,
                Event::RunOutcome {
                    request: id,
                    failure,
                },
            );
            return;
        }
        match failure {
            None => {
                let is_fetch = request.service.as_str() == "pages";
                self.attempts(&id, AttemptInput::Open);
                if is_fetch {
                    self.ended(&id, Outcome::Complete);
                    self.on_stream_input(&id, RequestInput::Finish);
                } else {
                    self.put(10, Event::Watch { request: id });
                }
            }
            Some(failure) => {
                self.ended(&id, failure.outcome());
                self.attempts(&id, AttemptInput::Fail(failure, "as simulated".into()));
            }
        }
    }

    pub(super) fn first_token(&mut self, id: &RequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let (machine, incarnation) = (request.router, request.incarnation);
        self.witness
            .first_ms
            .entry(request.service.clone())
            .or_default()
            .push(self.now - request.came);
        if self.routers[machine].incarnation == incarnation {
            self.step_node(
                machine,
                NodeInput::Event(SchedulerEvent::FirstToken {
                    request: id.clone(),
                }),
            );
        }
    }

    pub(super) fn on_kv(&mut self, machine: usize, task: KvTask) {
        let now = MonotonicInstant(self.now);
        let find = |servers: &[ServerMachine], name: &ServerName| {
            servers
                .iter()
                .position(|server| server.name == *name && server.is_up && !server.is_dark)
        };
        match task {
            KvTask::Copy {
                prefix,
                holder,
                target,
            } => {
                self.witness.copies += 1;
                let from = find(&self.servers, &holder);
                let is_held =
                    from.is_some_and(|place| self.servers[place].schedule.holds(prefix, now));
                let to = find(&self.servers, &target);
                let is_taken = is_held && to.is_some();
                if let (true, Some(place)) = (is_taken, to) {
                    self.servers[place].schedule.import(prefix, now);
                }
                let event = SchedulerEvent::CopyFate {
                    prefix,
                    server: target,
                    is_taken,
                    knows_kv: true,
                };
                self.step_node(machine, NodeInput::Event(event));
            }
            KvTask::Drop { prefix, server } => {
                if let Some(place) = find(&self.servers, &server) {
                    self.servers[place].schedule.drop_prefix(prefix);
                }
            }
        }
    }

    /// A server ends, and another starts in its place under a new address.
    pub(super) fn replace_server(&mut self, server: usize) {
        self.replaced += 1;
        let port = 5000 + self.replaced;
        self.servers[server].name = ServerName(Address::loopback(port).to_string());
        self.start_server(server);
    }

    /// A server starts (again), empty.
    pub(super) fn start_server(&mut self, server: usize) {
        let incarnation = self.draw();
        let s = &mut self.servers[server];
        s.schedule = Schedule::new(self.rules.servers.clone());
        s.incarnation = incarnation;
        s.started = self.now;
        s.is_up = true;
        s.is_dark = false;
        s.is_listed = true;
        s.draining_since = None;
        self.publish();
    }
}

impl SimRequest {
    /// The first placement that is asked for the request.
    fn placement_request(&self, id: &RequestId, run: RunId) -> PlacementRequest {
        let (kind, hashes) = if self.service.as_str() == "pages" {
            (ServiceKind::Fetch, vec![])
        } else {
            let hashes = block_hashes(self.prompt.as_bytes(), 64, 256);
            (ServiceKind::Stream, hashes)
        };
        PlacementRequest {
            number: self.number,
            request: id.clone(),
            service: self.service.clone(),
            kind,
            route: None,
            key: self.owner.as_ref().map(|owner| owner.key),
            hashes,
            request_cost: RequestCost::default(),
            round: 0,
            tried: vec![],
            may_have_run: false,
            run,
        }
    }

    /// The request as a router sends it to a server.
    fn run_request(&self, run: RunId, incarnation: Option<u64>) -> RunRequest {
        RunRequest {
            run,
            service: self.service.clone(),
            prompt: self.prompt.clone(),
            max_pieces: self.pieces as u32,
            keep: self.keep,
            incarnation,
        }
    }
}

/// Repeats a text up to so many bytes.
fn repeat_to(text: String, bytes: usize) -> String {
    let mut all = text.repeat(bytes / text.len() + 1);
    all.truncate(bytes);
    all
}
