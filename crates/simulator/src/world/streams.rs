//! Streams: what servers give, through the router's own reader, to clients who judge every piece, and who
//! read on elsewhere when a stream is cut.

use crate::schedule::Progress;
use crate::world::event::Event;
use crate::world::stream_reader::{
    MALFORMED, ServerLine, StreamReader, chunk_line, is_event_stream, unterminated,
};
use crate::world::{Mutant, World};
use loadgen::prompt_fingerprint;
use placement::Outcome;
use router::RunRecord;
use router::{NodeInput, NodeOutput};
use router::{RelayedLine, RequestInput, resume_id};
use types::{MonotonicInstant, RequestId, RunId};

/// A stream as it stands, on its client's side and on its router's.
pub(super) struct SimStream {
    token: Option<String>,
    run: RunId,
    /// The next piece that the client wants.
    next: u64,
    reader: StreamReader,
    /// Pieces that the router has read from the server.
    read: u64,
    resumes: u32,
    /// The number under which it's read on, if it is.
    resumed_as: Option<u64>,
}

impl SimStream {
    pub(super) fn new(token: Option<String>, run: RunId) -> Self {
        let reader = StreamReader::new(&run, 0);
        SimStream {
            token,
            run,
            next: 0,
            reader,
            read: 0,
            resumes: 0,
            resumed_as: None,
        }
    }

    /// Puts a server's line through the router's reader. The mutants pass on whatever comes.
    fn relay_line(&mut self, line: &ServerLine, mutant: Option<Mutant>) -> RelayedLine {
        self.read += 1;
        let is_lax = match self.reader {
            StreamReader::Chunks(_) => mutant == Some(Mutant::LaxPieces),
            StreamReader::Events(_) if matches!(line, ServerLine::Unterminated(_)) => {
                mutant == Some(Mutant::PassUnterminated)
            }
            StreamReader::Events(_) => mutant == Some(Mutant::PassMalformed),
        };
        match self.reader.take(line) {
            RelayedLine::Abort(..) if is_lax => match line {
                ServerLine::Record(RunRecord::End { .. }) => RelayedLine::End(chunk_line(line)),
                _ => RelayedLine::Chunk(chunk_line(line)),
            },
            passed => passed,
        }
    }

    /// What is wrong with a line that reached the client, as the next of its stream; `pieces` is what the client asked for.
    fn fault_of(&self, given: &str, is_end: bool, print: u64, pieces: u64) -> Option<&'static str> {
        let value: serde_json::Value = serde_json::from_str(given).unwrap_or_default();
        if is_end {
            // It is complete if the client has as many as it asked for, whatever the record says.
            return (value["pieces"] != self.next || self.next != pieces)
                .then_some("an end before the end");
        }
        let wanted = format!("{}|{}|{print:x}", self.run, self.next);
        let is_next = value["n"] == self.next && value["text"] == wanted.as_str();
        (!is_next).then_some("a piece skipped, repeated, spliced or of another client")
    }
}

/// How often a client tries to read on.
const RESUMES: u32 = 12;

impl World {
    /// Reads what the server has by now, as the stream would show it.
    pub(super) fn on_watch(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let router = &self.routers[request.router];
        if router.incarnation != request.incarnation {
            return;
        }
        if self.now < router.frozen_until {
            let wake = router.frozen_until - self.now;
            return self.put(wake, Event::Watch { request: id });
        }
        let (Some((server, run)), Some(stream)) = (request.run.clone(), &request.stream) else {
            return;
        };
        let s = &self.servers[server];
        let progress = s.schedule.progress(&run, MonotonicInstant(self.now));
        let is_lost = !s.is_up || s.is_dark || s.incarnation != request.server_incarnation;
        let (Some(Progress::Pieces(there, _) | Progress::All(there)), false) = (progress, is_lost)
        else {
            return self.cut(&id);
        };
        let mut lines: Vec<ServerLine> = (stream.read..there)
            .map(|n| {
                ServerLine::Record(RunRecord::Chunk {
                    run: run.clone(),
                    n,
                    text: s.schedule.text(&run, n),
                })
            })
            .collect();
        if progress == Some(Progress::All(there)) {
            lines.push(ServerLine::Record(RunRecord::End {
                run: run.clone(),
                end: true,
                pieces: there,
            }));
        }
        if s.is_garbled && !lines.is_empty() {
            if is_event_stream(&run) {
                self.garble_events(&mut lines, server);
            } else {
                self.garble(&mut lines, server);
            }
        }
        for line in lines {
            if !self.give(&id, &line) {
                return;
            }
        }
        if let Some(Progress::Pieces(_, next)) = progress {
            let wait = MonotonicInstant(self.now).until(next).0.clamp(5, 200);
            self.put(wait, Event::Watch { request: id });
        }
    }

    /// What a server gone wrong makes of its lines: one is left out, doubled, of another run, or the end
    /// comes early.
    fn garble(&mut self, lines: &mut Vec<ServerLine>, server: usize) {
        let place = self.below(lines.len() as u64) as usize;
        let others = self
            .requests
            .values()
            .filter_map(|request| request.run.as_ref());
        let other = others
            .filter(|(at, _)| *at == server)
            .map(|(_, run)| run.clone())
            .next();
        match (self.below(12), other) {
            (0, _) => drop(lines.remove(place)),
            (1, _) => lines.insert(place, lines[place].clone()),
            (2, Some(other)) => {
                if let ServerLine::Record(RunRecord::Chunk { run, n, text }) = &mut lines[place] {
                    *text = self.servers[server].schedule.text(&other, *n);
                    *run = other;
                }
            }
            (3, _) => {
                if let ServerLine::Record(RunRecord::Chunk { run, n, .. }) = &lines[place] {
                    lines[place] = ServerLine::Record(RunRecord::End {
                        run: run.clone(),
                        end: true,
                        pieces: *n + 1,
                    });
                }
            }
            _ => {}
        }
    }

    /// What a server gone wrong makes of its events: one is doubled, something else stands before it, in its place or
    /// behind it, or the body ends in its middle. Events name no run and may leave numbers out, so what their reader can't know is not played.
    fn garble_events(&mut self, lines: &mut Vec<ServerLine>, server: usize) {
        let place = self.below(lines.len() as u64) as usize;
        let malformed = ServerLine::Malformed(MALFORMED[(place + server) % MALFORMED.len()]);
        match self.below(12) {
            0 => lines.insert(place, malformed),
            1 => lines.insert(place, lines[place].clone()),
            2 => lines[place] = malformed,
            3 => lines.insert(place + 1, malformed),
            // Nothing comes behind the end of a body.
            4 if matches!(lines[place], ServerLine::Record(RunRecord::Chunk { .. })) => {
                lines[place] = unterminated(&lines[place], place + server);
                lines.truncate(place + 1);
            }
            _ => {}
        }
    }

    /// Passes a line on to the client; says whether the stream goes on.
    fn give(&mut self, id: &RequestId, line: &ServerLine) -> bool {
        let mutant = self.rules.mutant;
        let now = self.now;
        let Some(request) = self.requests.get_mut(id) else {
            return false;
        };
        let print = prompt_fingerprint(&request.prompt);
        let Some(stream) = &mut request.stream else {
            return false;
        };
        let passed = stream.relay_line(line, mutant);
        let (RelayedLine::Chunk(given) | RelayedLine::End(given)) = &passed else {
            self.cut(id);
            return false;
        };
        let is_end = matches!(passed, RelayedLine::End(_));
        let fault = stream.fault_of(given, is_end, print, request.pieces);
        let at = stream.next;
        stream.next += 1;
        if let Some(fault) = fault {
            self.witness.violate(
                now,
                format!("{id}: {fault} where piece {at} was deadline: {given}"),
            );
        }
        self.first_piece(id);
        if is_end {
            self.on_stream_end(id);
        }
        !is_end
    }

    /// The client has the end of its stream: a resumed request leaves its router, another one is finished there.
    fn on_stream_end(&mut self, id: &RequestId) {
        match self
            .requests
            .get(id)
            .and_then(|request| request.stream.as_ref()?.resumed_as)
        {
            Some(number) => {
                self.leave(id, number);
                self.close(id, "complete");
            }
            None => {
                self.ended(id, Outcome::Complete);
                self.on_stream_input(id, RequestInput::Finish);
            }
        }
    }

    fn first_piece(&mut self, id: &RequestId) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if !std::mem::replace(&mut request.had_first, true) {
            self.first_token(id);
        }
        let Some(request) = self.requests.get(id) else {
            return;
        };
        if request
            .stream
            .as_ref()
            .is_some_and(|stream| stream.resumed_as.is_none())
        {
            self.on_stream_input(id, RequestInput::Relay);
        }
    }

    /// A router has read a resumed stream to its end or its cut.
    fn leave(&mut self, id: &RequestId, number: u64) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let (machine, incarnation) = (request.router, request.incarnation);
        if self.routers[machine].incarnation == incarnation {
            self.step_node(
                machine,
                NodeInput::Close {
                    request: resume_id(number),
                    number,
                    may_have_run: false,
                },
            );
        }
    }

    /// A stream breaks off at its router.
    fn cut(&mut self, id: &RequestId) {
        match self
            .requests
            .get(id)
            .and_then(|request| request.stream.as_ref()?.resumed_as)
        {
            Some(number) => {
                self.leave(id, number);
                self.read_on(id, "broken");
            }
            None => {
                self.ended(id, Outcome::Failed);
                self.on_stream_input(id, RequestInput::Abort);
            }
        }
    }

    /// The client's stream was cut: it reads on elsewhere, if it can, or else has this for its last word.
    /// Says whether it reads on.
    pub(super) fn read_on(&mut self, id: &RequestId, word: &'static str) -> bool {
        let end = self.rules.span.0 + self.rules.calm.0;
        let may_go_on = self.now + 400 < end;
        let Some(request) = self.requests.get_mut(id) else {
            return false;
        };
        let can = request.stream.as_mut().is_some_and(|stream| {
            stream.resumes += 1;
            stream.resumed_as = Some(0);
            may_go_on && stream.token.is_some() && stream.resumes <= RESUMES
        });
        if can {
            request.run = None;
            self.put(
                300,
                Event::Resume {
                    request: id.clone(),
                },
            );
            return true;
        }
        self.requests.remove(id);
        self.witness.record_outcome(id, word);
        false
    }

    pub(super) fn on_resume(&mut self, id: RequestId) {
        let machine = self.below(self.routers.len() as u64) as usize;
        let number = 1_000_000_000 + self.draw() % 1_000_000_000;
        let Some(token) = self
            .requests
            .get(&id)
            .and_then(|request| request.stream.as_ref()?.token.clone())
        else {
            return;
        };
        let router = &self.routers[machine];
        let incarnation = router.incarnation;
        if router.node.is_none() || self.now < router.frozen_until || router.is_cut_off {
            self.read_on(&id, "broken");
            return;
        }
        let outcome = self
            .step_node(machine, NodeInput::Resume { number, token })
            .into_iter()
            .find_map(|output| match output {
                NodeOutput::Resume { outcome, .. } => Some(outcome),
                _ => None,
            });
        let is_again = self.rules.mutant == Some(Mutant::ResumeFromStart);
        let Some(Ok(token)) = outcome else {
            self.read_on(&id, "broken");
            return;
        };
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        (request.router, request.incarnation) = (machine, incarnation);
        let server = self
            .servers
            .iter()
            .position(|server| server.name == token.server && server.is_up && !server.is_dark);
        let has_run = |place: usize| {
            self.servers[place]
                .schedule
                .progress(&token.run, MonotonicInstant(self.now))
                .is_some()
        };
        let Some(server) = server.filter(|place| has_run(*place)) else {
            // Out of reach, or gone: the client can't tell more than that it's not there now.
            self.leave(&id, number);
            self.read_on(&id, "broken");
            return;
        };
        request.server_incarnation = self.servers[server].incarnation;
        request.run = Some((server, token.run.clone()));
        if let Some(stream) = &mut request.stream {
            let from = if is_again { 0 } else { stream.next };
            stream.reader = StreamReader::new(&token.run, from);
            (stream.read, stream.resumed_as) = (from, Some(number));
        }
        self.witness.resumed += 1;
        self.put(5, Event::Watch { request: id });
    }
}
