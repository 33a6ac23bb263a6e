use crate::chart::{Chart, Failure};
use crate::errand::{Errand, ErrandInput, ErrandOutput};
use crate::node::{Denial, NodeInput, PlaceAsk, Placing};
use crate::shared::{Place, Shared};
use crate::tallies::Tallies;
use crate::token::run_id;
use config::{KeyDigest, ServiceKind};
use placement::{Demand, Event, Outcome, PrefixHash};
use std::sync::Arc;
use types::{ServiceName, random_bytes};

/// Why a server has not taken a request.
pub(crate) enum NotTaken {
    /// This node may not act any more, or not as it was placed: nothing that could run was sent.
    Withheld,
    /// Asking it failed in this way.
    Failed(Failure, String),
    /// Another server has its address; nothing ran there.
    Elsewhere(String),
    /// The client has gone.
    ClientGone,
}

/// What a request wants of the scheduler, whatever it's spoken in.
pub(crate) struct Wanted {
    pub service: ServiceName,
    pub kind: ServiceKind,
    pub route: Option<String>,
    pub key: Option<KeyDigest>,
    pub hashes: Vec<PrefixHash>,
    pub demand: Demand,
}

impl Wanted {
    /// One whose client names the service and tells nothing more.
    pub fn of_service(
        service: ServiceName,
        kind: ServiceKind,
        key: Option<KeyDigest>,
        hashes: Vec<PrefixHash>,
    ) -> Self {
        Wanted {
            service,
            kind,
            route: None,
            key,
            hashes,
            demand: Demand::default(),
        }
    }
}

/// What a trip came to.
pub(crate) enum Gone<T> {
    /// A server has taken it, and this was heard.
    Opened(Placing, T),
    /// The final answer.
    Told(Denial),
    /// The client's connection is to be cut.
    Cut(String),
}

/// A request on its way: its errand, done with real servers.
pub(crate) struct Trip {
    pub shared: Arc<Shared>,
    pub place: Place,
    pub errand: Errand,
    wanted: Wanted,
}

impl Trip {
    /// For a request that has its place; at most so many servers may get it.
    pub fn new(place: Place, wanted: Wanted, most: Option<u32>) -> (Trip, ErrandOutput) {
        let (errand, first) = most.map_or_else(Errand::begin, Errand::begin_bounded);
        (
            Trip {
                shared: place.shared.clone(),
                place,
                errand,
                wanted,
            },
            first,
        )
    }

    /// Finds a server that takes the request, going on to others as far as the errand allows.
    pub fn go<T>(
        &mut self,
        first: ErrandOutput,
        mut ask: impl FnMut(&Placing, &Chart) -> Result<T, NotTaken>,
    ) -> Gone<T> {
        let request = self.place.request.clone();
        let does_stream = self.wanted.kind == ServiceKind::Stream;
        let (mut output, mut taken) = (first, None);
        loop {
            output = match output {
                ErrandOutput::AskScheduler {
                    round,
                    tried,
                    may_have_run,
                } => {
                    let input = NodeInput::Place(PlaceAsk {
                        number: self.place.number,
                        request: request.clone(),
                        service: self.wanted.service.clone(),
                        kind: self.wanted.kind,
                        route: self.wanted.route.clone(),
                        key: self.wanted.key,
                        hashes: self.wanted.hashes.clone(),
                        demand: self.wanted.demand.clone(),
                        round,
                        tried,
                        may_have_run,
                        run: run_id(random_bytes()),
                    });
                    let outcome = self.shared.ask_scheduler(&self.place, input);
                    if round > 0 && outcome.is_ok() {
                        Tallies::more(&self.shared.tallies.repeats);
                    }
                    self.errand.step(ErrandInput::Scheduler(outcome))
                }
                ErrandOutput::AskServer(placing) => match ask(&placing, self.errand.chart()) {
                    Ok(heard) => {
                        taken = Some(heard);
                        self.errand.step(ErrandInput::Open)
                    }
                    Err(NotTaken::Withheld) => {
                        self.shared.tell_ended(&request, Outcome::Refused);
                        let is_superseded =
                            self.shared.may_act() && self.shared.is_superseded(placing.epoch);
                        self.errand.step(if is_superseded {
                            ErrandInput::Supersede
                        } else {
                            ErrandInput::LoseLease
                        })
                    }
                    Err(NotTaken::Failed(failure, why)) => {
                        self.shared.tell_ended(&request, failure.outcome());
                        self.errand.step(ErrandInput::Fail(failure, why))
                    }
                    Err(NotTaken::Elsewhere(why)) => {
                        self.shared.tell_ended(&request, Outcome::Refused);
                        let server = placing.server.clone();
                        self.shared
                            .tell(NodeInput::Event(Event::Unreachable { server }));
                        self.errand.step(ErrandInput::Fail(Failure::Refused, why))
                    }
                    Err(NotTaken::ClientGone) => {
                        self.shared.tell_ended(&request, Outcome::Cancelled);
                        self.place.may_have_run = does_stream;
                        return Gone::Cut("the client has gone".into());
                    }
                },
                ErrandOutput::Carry(placing) => match taken.take() {
                    Some(heard) => {
                        self.place.may_have_run = does_stream;
                        return Gone::Opened(placing, heard);
                    }
                    None => self.errand.step(ErrandInput::Fail(
                        Failure::Unknown,
                        "nothing was heard".into(),
                    )),
                },
                ErrandOutput::Tell(denial) => {
                    self.place.may_have_run = does_stream && self.errand.chart().may_have_run();
                    return Gone::Told(denial);
                }
                ErrandOutput::Cut(why) => return Gone::Cut(why),
            }
        }
    }
}
